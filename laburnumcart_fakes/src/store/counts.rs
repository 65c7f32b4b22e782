//! Counts of the calls to the fake object service.

use std::{
    collections,
    sync, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Read of an object, or a list.
    Read,
    /// Conditional write or deletion.
    Write,
    /// Watch, counted once regardless of its duration.
    Watch,
}

/// Counts of one group of keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that the rate limit refused, which the other counts exclude.
    pub refused: u64,
}

/// Counts of all calls.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Sum over all keys.
    pub total: Count,
    /// Counts by first segment of the key or prefix.
    pub prefixes: collections::BTreeMap<String, Count>,
}

/// Counters that all requests share.
#[derive(Debug, Default)]
pub struct Counts(sync::Mutex<Report>);

impl Counts {
    /// Counts a call within the rate limit.
    pub fn count_admitted(&self, kind: Kind, key: &str) {
        self.update(key, |count| match kind {
            Kind::Read => count.reads += 1,
            Kind::Write => count.writes += 1,
            Kind::Watch => count.watches += 1,
        });
    }

    /// Counts a call that the rate limit refused.
    pub fn count_refused(&self, key: &str) {
        self.update(key, |count| count.refused += 1);
    }

    /// Returns the current counts.
    pub fn report(&self) -> Report {
        self.lock().clone()
    }

    fn update(&self, key: &str, change: impl Fn(&mut Count)) {
        let mut report = self.lock();
        let first = key.split('/').next().unwrap_or_default();
        change(&mut report.total);
        change(report.prefixes.entry(first.to_owned()).or_default());
    }

    fn lock(&self) -> sync::MutexGuard<'_, Report> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
