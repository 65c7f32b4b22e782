//! Facts about the system that are replicated by gossip on heartbeats.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id,
    unit, //
};

mod table;

pub use table::{
    Table,
    Version, //
};

/// Facts, merged by taking the highest generation and the union of each list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Highest generation in force at the sender.
    #[serde(default)]
    pub generation: id::Generation,
    /// Incarnations that accept no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<id::Incarnation>,
    /// Crashes of targets, with the requests that were running.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Suspects that have completed since, which clears them of a crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Cleared>,
}

/// One crash of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Random number that identifies the crash.
    pub id: id::Incarnation,
    /// Contents of the requests that ran on the target when it crashed.
    pub suspects: Vec<id::Fingerprint>,
    /// Time for which the fact stays valid.
    pub ttl: unit::Period,
}

/// Clearance of a suspect that has completed.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Cleared {
    /// Content of the request.
    pub fingerprint: id::Fingerprint,
    /// Crash of which it is cleared.
    pub crash: id::Incarnation,
    /// Time for which the fact stays valid.
    pub ttl: unit::Period,
}
