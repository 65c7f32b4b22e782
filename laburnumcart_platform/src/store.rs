//! Interface of the object service, independent of its transport.

use std::{
    future,
    sync,
    time, //
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::unit;

use crate::progress;

/// Largest value of an object in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// Longest key in bytes.
pub const KEY_MAX: usize = 512;

/// Reports whether `key` is a valid key of an object.
///
/// A key is 1 to [`KEY_MAX`] bytes of `A-Z a-z 0-9 . _ - ~ /`, which need no escaping in a URL. Its
/// segments, divided by `/`, are neither empty nor `.` or `..`.
pub fn is_key(key: &str) -> bool {
    let is_well_formed = !key.starts_with('/') && !key.ends_with('/') && !key.contains("//");
    !key.is_empty() && is_well_formed && is_prefix(key)
}

/// Reports whether `prefix` is a valid prefix of keys; it may be empty.
pub fn is_prefix(prefix: &str) -> bool {
    let is_plain =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'~' | b'/');
    let is_relative = |segment: &str| matches!(segment, "." | "..");
    prefix.len() <= KEY_MAX && prefix.bytes().all(is_plain) && !prefix.split('/').any(is_relative)
}

/// Version of one object; increases with every write of the object.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Position in the history of all objects.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, with segments divided by `/`.
    pub key: String,
    /// Version of the value.
    pub version: Version,
    /// JSON text.
    pub value: String,
}

/// A change of one object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Key of the object.
    pub key: String,
    /// Version of the object after the change.
    pub version: Version,
    /// JSON text; `None` if the object was deleted.
    pub value: Option<String>,
}

/// All objects under a prefix at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision at which the objects were listed.
    pub revision: Revision,
    /// Objects, sorted by key.
    pub objects: Vec<Object>,
    /// Upper bound on the age of the data when the call was sent; zero from the service itself.
    #[serde(default)]
    pub age: unit::Period,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Changes in order; empty if there were none until the end of the wait.
    pub events: Vec<Event>,
    /// Upper bound on the age of the data when the call was sent; zero from the service itself.
    #[serde(default)]
    pub age: unit::Period,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Failure of a call to the object service.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Failure {
    /// The object was not in the expected state; the write had no effect.
    #[display("object changed by another writer")]
    Conflict,
    /// The service refused the call or could not be reached; a write had no effect.
    #[display("object service unavailable")]
    Unavailable {
        /// Time after which the service can be called again, if known.
        retry: Option<unit::Period>,
    },
    /// The service did not answer; a write may have taken effect.
    #[display("object service did not answer")]
    Unanswered,
    /// The history no longer reaches back to the revision; the caller has to list again.
    #[display("revision is no longer in the history")]
    Compacted,
    /// The request or the answer is malformed.
    #[display("malformed request or answer")]
    Invalid,
}

/// Client of the object service.
///
/// After a future of [`Store::put`] or [`Store::delete`] is dropped, the write may or may not take
/// effect, as after [`Failure::Unanswered`].
pub trait Store: Send + Sync + 'static {
    /// Returns an object, or `None` if it does not exist.
    fn get(
        &self,
        key: &str,
    ) -> impl future::Future<Output = Result<Option<Object>, Failure>> + Send;

    /// Writes an object if it is in the expected state; returns its new version.
    fn put(
        &self,
        key: &str,
        expect: Expect,
        value: &str,
    ) -> impl future::Future<Output = Result<Version, Failure>> + Send;

    /// Deletes an object if it has this version; succeeds if the object does not exist.
    fn delete(
        &self,
        key: &str,
        version: Version,
    ) -> impl future::Future<Output = Result<(), Failure>> + Send;

    /// Returns all objects whose keys start with `prefix`, with their values.
    fn list(&self, prefix: &str) -> impl future::Future<Output = Result<Listing, Failure>> + Send;

    /// Returns the changes under `prefix` since revision `after`; waits up to `wait` for the first.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<Changes, Failure>> + Send;

    /// Lists like [`Store::list`], and records the bytes as they arrive.
    ///
    /// By default, no progress is seen.
    fn list_observed(
        &self,
        prefix: &str,
        _progress: &progress::Progress,
    ) -> impl future::Future<Output = Result<Listing, Failure>> + Send {
        self.list(prefix)
    }

    /// Watches like [`Store::watch`], and records the bytes as they arrive.
    ///
    /// By default, no progress is seen.
    fn watch_observed(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
        _progress: &progress::Progress,
    ) -> impl future::Future<Output = Result<Changes, Failure>> + Send {
        self.watch(prefix, after, wait)
    }
}

impl<S: Store> Store for sync::Arc<S> {
    async fn get(&self, key: &str) -> Result<Option<Object>, Failure> {
        S::get(self, key).await
    }

    async fn put(&self, key: &str, expect: Expect, value: &str) -> Result<Version, Failure> {
        S::put(self, key, expect, value).await
    }

    async fn delete(&self, key: &str, version: Version) -> Result<(), Failure> {
        S::delete(self, key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Failure> {
        S::list(self, prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
    ) -> Result<Changes, Failure> {
        S::watch(self, prefix, after, wait).await
    }

    async fn list_observed(
        &self,
        prefix: &str,
        progress: &progress::Progress,
    ) -> Result<Listing, Failure> {
        S::list_observed(self, prefix, progress).await
    }

    async fn watch_observed(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
        progress: &progress::Progress,
    ) -> Result<Changes, Failure> {
        S::watch_observed(self, prefix, after, wait, progress).await
    }
}
