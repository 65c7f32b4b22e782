//! Records and segments of the claim log, and the keys of its objects.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    claim,
    id,
    unit, //
};

/// Number of a period of ownership of a shard; only increases.
pub type Epoch = u64;

/// Key of the object that fixes the number of shards.
pub const SHARDS_KEY: &str = "claims/shards";

/// Object that fixes the number of shards; written once.
///
/// With another number a key would map to a shard that does not know its claim. The first number
/// therefore stays in force whatever a later bundle says.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// Number of shards.
    pub shards: u16,
}

/// Head of a shard's log; changed only by conditional update.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Epoch in force.
    pub epoch: Epoch,
    /// Owner of the epoch, `None` after a graceful shutdown.
    pub owner: Option<claim::Holder>,
    /// First epoch whose segments are still needed for a replay.
    pub base: Epoch,
}

/// A granted claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Digest of the team and its idempotency key.
    pub key: id::Fingerprint,
    /// Digest of the request's content.
    pub content: id::Fingerprint,
    /// Request that may execute.
    pub request: id::RequestId,
    /// Process that executes it.
    pub holder: claim::Holder,
    /// Retention time of the claim.
    pub keep: unit::Period,
    /// Minimum age of the claim when the record was written.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub age: unit::Period,
}

fn is_zero(period: &unit::Period) -> bool {
    period.0.is_zero()
}

/// A change of the table of claims.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A key was claimed.
    Grant(Grant),
    /// The claim of a request that is proven never to have started was released.
    Release {
        /// Digest of the team and its idempotency key.
        key: id::Fingerprint,
        /// Request that held the claim.
        request: id::RequestId,
    },
}

impl Record {
    /// Returns the key that the record is about.
    pub fn key(&self) -> id::Fingerprint {
        match self {
            Self::Grant(grant) => grant.key,
            Self::Release { key, .. } => *key,
        }
    }

    /// Returns the request that the record is about.
    pub fn request(&self) -> id::RequestId {
        match self {
            Self::Grant(grant) => grant.request,
            Self::Release { request, .. } => *request,
        }
    }
}

/// One object of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Segment {
    /// Changes made by one append.
    Batch {
        /// Age of the epoch when the batch was written.
        at: unit::Period,
        /// Changes in order.
        records: Vec<Record>,
    },
    /// One part of a snapshot of the table. A complete snapshot supersedes the segments before its
    /// first part.
    Snapshot {
        /// Age of the epoch when the part was written.
        at: unit::Period,
        /// Segment number of the first part.
        first: u64,
        /// Whether this is the last part.
        last: bool,
        /// Claims with their ages.
        grants: Vec<Grant>,
    },
    /// End of the epoch, with the number of the epoch that wrote it.
    ///
    /// A seal is never deleted. Otherwise an owner that was paused could append at its number and
    /// grant a key that its successor grants too.
    Seal(Epoch),
}

impl Segment {
    /// Returns the age of the epoch when the segment was written, as measured by its owner.
    pub fn epoch_age(&self) -> Option<unit::Period> {
        match self {
            Self::Batch { at, .. } | Self::Snapshot { at, .. } => Some(*at),
            Self::Seal(_) => None,
        }
    }
}

/// Returns the key of a shard's head.
pub fn head_key(shard: u16) -> String {
    format!("claims/{shard}/head")
}

/// Returns the key prefix of an epoch's segments.
pub fn epoch_prefix(shard: u16, epoch: Epoch) -> String {
    format!("claims/{shard}/{epoch}/")
}

/// Returns the key of a segment.
pub fn segment_key(shard: u16, epoch: Epoch, number: u64) -> String {
    format!("claims/{shard}/{epoch}/{number}")
}

/// Returns the number of a segment from its key.
pub fn segment_number(key: &str) -> Option<u64> {
    let (_, number) = key.rsplit_once('/')?;
    number.parse().ok()
}
