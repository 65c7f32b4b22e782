//! What the system asks of the object service, apart from how it is reached.

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

/// Largest value of an object in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// Longest key in bytes.
pub const KEY_MAX: usize = 512;

/// Reports whether `key` can name an object.
///
/// A key is 1 to [`KEY_MAX`] bytes of `A-Z a-z 0-9 . _ - ~ /`, which a URL carries as they are.
pub fn is_key(key: &str) -> bool {
    let whole = !key.starts_with('/') && !key.ends_with('/') && !key.contains("//");
    !key.is_empty() && whole && is_prefix(key)
}

/// Reports whether `prefix` can start a key.
pub fn is_prefix(prefix: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'~' | b'/');
    let relative = |segment: &str| matches!(segment, "." | "..");
    prefix.len() <= KEY_MAX && prefix.bytes().all(plain) && !prefix.split('/').any(relative)
}

/// Version of one object; grows with every write of it.
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

/// An object as read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key, segments divided by `/`.
    pub key: String,
    /// Version of the value.
    pub version: Version,
    /// JSON text.
    pub value: String,
}

/// A change seen by a watch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Key of the object.
    pub key: String,
    /// Version after the change.
    pub version: Version,
    /// JSON text, `None` when the object was deleted.
    pub value: Option<String>,
}

/// All objects under a prefix at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision at which the listing holds.
    pub revision: Revision,
    /// Objects in the order of their keys.
    pub objects: Vec<Object>,
    /// How much older than the call the answer may be; zero from the service itself.
    #[serde(default)]
    pub age: unit::Period,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Changes in order; empty when the wait ended first.
    pub events: Vec<Event>,
    /// How much older than the call the answer may be; zero from the service itself.
    #[serde(default)]
    pub age: unit::Period,
}

/// State of an object that a write depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// A call of the object service that did not succeed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Failure {
    /// The object was not as expected; the write had no effect.
    #[display("object changed by another writer")]
    Conflict,
    /// The service refused the call or was not reached; a write had no effect.
    #[display("object service unavailable")]
    Unavailable {
        /// When the service asked to be called again.
        retry: Option<unit::Period>,
    },
    /// No answer came; a write may have taken effect.
    #[display("object service did not answer")]
    Unanswered,
    /// The revision is no longer in the history; list again.
    #[display("revision too old")]
    Compacted,
    /// The call or the answer is malformed.
    #[display("invalid call or answer")]
    Invalid,
}

/// The object service.
///
/// Dropping a future of [`Store::put`] or [`Store::delete`] leaves it open whether the write took
/// effect, as [`Failure::Unanswered`] does.
pub trait Store: Send + Sync + 'static {
    /// Reads an object.
    fn get(
        &self,
        key: &str,
    ) -> impl future::Future<Output = Result<Option<Object>, Failure>> + Send;

    /// Writes an object if it is as expected.
    fn put(
        &self,
        key: &str,
        expect: Expect,
        value: &str,
    ) -> impl future::Future<Output = Result<Version, Failure>> + Send;

    /// Deletes an object if it has the version; succeeds when it does not exist.
    fn delete(
        &self,
        key: &str,
        version: Version,
    ) -> impl future::Future<Output = Result<(), Failure>> + Send;

    /// Lists the objects whose keys start with `prefix`, with their values.
    fn list(&self, prefix: &str) -> impl future::Future<Output = Result<Listing, Failure>> + Send;

    /// Waits for changes under `prefix` after `after`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<Changes, Failure>> + Send;
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
}
