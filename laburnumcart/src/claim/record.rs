//! What the claim log holds, and the keys of its objects.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    claim,
    id,
    unit, //
};

/// Number of an ownership of a shard; only ever grows.
pub type Epoch = u64;

/// Key of the object that fixes the number of shards.
pub const SHARDS_KEY: &str = "claims/shards";

/// Number of shards, written once.
///
/// Another number would send a key to a shard that does not know its claim, so the first number
/// stays in force whatever a later bundle says.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// Number of shards.
    pub shards: u16,
}

/// Head of a shard's log; changes by conditional update only.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Epoch in force.
    pub epoch: Epoch,
    /// Its owner, `None` after an orderly stop.
    pub owner: Option<claim::Holder>,
    /// First epoch whose segments are still needed.
    pub base: Epoch,
}

/// A granted claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Team and idempotency key together.
    pub key: id::Fingerprint,
    /// Content of the request.
    pub content: id::Fingerprint,
    /// Request that may execute.
    pub request: id::RequestId,
    /// Process that executes it.
    pub holder: claim::Holder,
    /// How long the claim is kept.
    pub keep: unit::Period,
    /// Least age when the record was written.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub age: unit::Period,
}

fn is_zero(period: &unit::Period) -> bool {
    period.0.is_zero()
}

/// A change of the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A key was claimed.
    Grant(Grant),
    /// The claim of a request that provably never started was given back.
    Release {
        /// Team and idempotency key together.
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
    /// Changes.
    Batch {
        /// Age of the epoch when the batch was written.
        at: unit::Period,
        /// Changes, in order.
        records: Vec<Record>,
    },
    /// A part of the whole table; supersedes what is before its first part, once it is complete.
    Snapshot {
        /// Age of the epoch when the part was written.
        at: unit::Period,
        /// Number of the first part.
        first: u64,
        /// Whether this is the last part.
        last: bool,
        /// Claims with their ages.
        grants: Vec<Grant>,
    },
    /// End of the epoch; the epoch that wrote it.
    ///
    /// A seal is never deleted: an owner that was paused would find its slot free, append there,
    /// and grant a key that its successor grants too.
    Seal(Epoch),
}

impl Segment {
    /// Returns the age of the epoch when the segment was written, as its owner measured it.
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

/// Returns the prefix of an epoch's segments.
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
