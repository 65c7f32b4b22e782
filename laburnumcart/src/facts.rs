//! Rare facts that travel on every heartbeat.

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

/// Facts that merge monotonically: the highest generation, the union of the lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Highest generation in force at the sender.
    #[serde(default)]
    pub generation: id::Generation,
    /// Lives that accept no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<id::Incarnation>,
    /// Crashes of targets, with what ran at the time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Suspects that have completed since, and so are cleared of the crashes before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Cleared>,
}

/// One crash of a target.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Random number that identifies the crash.
    pub id: id::Incarnation,
    /// What ran on the target when it crashed.
    pub suspects: Vec<id::Fingerprint>,
    /// Time for which the fact stays valid.
    pub ttl: unit::Period,
}

/// A suspect that has completed.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Cleared {
    /// The request's content.
    pub fingerprint: id::Fingerprint,
    /// Crash that it is cleared of.
    pub crash: id::Incarnation,
    /// Time for which the fact stays valid.
    pub ttl: unit::Period,
}
