//! Claims on idempotency keys, which make a non-idempotent request execute at most once.
//!
//! Keys are spread over shards. Each shard has one owner at a time, which keeps a [`table`] of the
//! granted keys and appends every change to a [`log`] in the object service before it answers.
//! [`record`] defines the records of the log, [`limiter`] limits the rate of appends, and
//! [`ownership`] selects owners and decides when to take over a shard.
//!
//! # Examples
//!
//! ```
//! use laburnumcart::{claim, claim::log, claim::record, id, unit};
//! use tokio::time::Instant;
//!
//! let team = "clinic".parse().unwrap();
//! let grant = record::Grant {
//!     key: claim::key(&team, "file-17"),
//!     content: id::Fingerprint(7),
//!     request: id::RequestId(1),
//!     holder: claim::Holder {
//!         addr: "10.0.0.1:7000".parse().unwrap(),
//!         incarnation: id::Incarnation(1),
//!     },
//!     keep: unit::Period::from_secs(3600),
//!     age: unit::Period::default(),
//! };
//! let now = Instant::now();
//! let mut log = log::Log::new(1, Default::default(), Default::default(), now);
//! assert!(matches!(log.claim(grant.clone(), now), log::Outcome::Queued(_)));
//!
//! // Nothing is granted before the append is durable.
//! let append = log.begin_append(now).unwrap();
//! assert_eq!(append.number, 0);
//! log.append_succeeded(now);
//! assert_eq!(log.claim(grant, now), log::Outcome::Granted);
//! ```

pub mod limiter;
pub mod log;
pub mod ownership;
pub mod record;
pub mod table;

use std::net;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::Digest;

use crate::id;

/// Process that executes a claimed request and stores its answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// Address of its peer port.
    pub addr: net::SocketAddr,
    /// Incarnation of the process; another one at this address does not have the answer.
    pub incarnation: id::Incarnation,
}

/// Returns the digest of a team and its caller's idempotency key.
///
/// The digest is a truncated SHA-256, so that no team can craft a key that collides with another
/// team's key and occupies its claim.
pub fn key(team: &id::TeamName, text: &str) -> id::Fingerprint {
    let mut hash = sha2::Sha256::new();
    hash.update(team.as_str().as_bytes());
    // A name holds no zero byte, so that different pairs are hashed as different bytes.
    hash.update([0]);
    hash.update(text.as_bytes());
    let digest: [u8; 32] = hash.finalize().into();
    let (head, _) = digest.split_at(16);
    let mut bytes = [0; 16];
    bytes.copy_from_slice(head);
    id::Fingerprint(u128::from_be_bytes(bytes))
}

/// Returns the shard of a key, below `shards`; `shards` of zero counts as one.
pub fn shard(key: id::Fingerprint, shards: u16) -> u16 {
    let shards = u128::from(shards.max(1));
    (key.0 % shards) as u16
}
