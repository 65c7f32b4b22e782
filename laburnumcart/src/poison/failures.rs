//! Failures at targets of which it is not known whether they have crashed.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    id,
    poison::Failure, //
};

/// Greatest number of failures kept per target, more than it runs at once.
const TARGET_FAILURES_MAX: usize = 256;

/// Greatest number of targets with failures.
const TARGETS_MAX: usize = 1024;

/// Time for which a failure is kept; the entry of a crashed target lapses well before.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Time after a failure within which the end of the target's entry shows that it had crashed,
/// although it has answered since.
///
/// A target that restarts under its name answers before its new entry is known.
const REMOVAL_TIME: time::Duration = time::Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Pending {
    failure: Failure,
    /// Whether the target answered a request that was sent after the failure.
    has_answered: bool,
}

/// Failures of this process's requests, by target.
#[derive(Debug, Default)]
pub struct Failures(collections::HashMap<id::TargetLife, Vec<Pending>>);

impl Failures {
    /// Records a failure; returns whether it is kept.
    pub fn record(&mut self, target: &id::TargetLife, failure: Failure) -> bool {
        if self.0.len() >= TARGETS_MAX && !self.0.contains_key(target) {
            return false;
        }
        let known = self.0.entry(target.clone()).or_default();
        known.retain(|pending| failure.failed < pending.failure.failed + RETENTION);
        if known.len() >= TARGET_FAILURES_MAX {
            return false;
        }
        known.push(Pending {
            failure,
            has_answered: false,
        });
        true
    }

    /// Records that a target answered a request that was sent at `sent`.
    pub fn record_answer(&mut self, target: &id::TargetLife, sent: Instant) {
        for pending in self.0.get_mut(target).into_iter().flatten() {
            pending.has_answered |= pending.failure.failed <= sent;
        }
    }

    /// Reports whether it is open whether a target has crashed.
    pub fn is_open(&self, target: &id::TargetLife) -> bool {
        let known = self.0.get(target).into_iter().flatten();
        known.into_iter().any(|pending| !pending.has_answered)
    }

    /// Removes and returns the failures of a crashed target since its last answer.
    pub fn take_crashed(&mut self, target: &id::TargetLife) -> Vec<Failure> {
        let known = self.0.remove(target).into_iter().flatten();
        let open = known.filter(|pending| !pending.has_answered);
        open.map(|pending| pending.failure).collect()
    }

    /// Removes and returns the failures of a target whose entry has ended or is of a later run.
    pub fn take_removed(&mut self, target: &id::TargetLife, now: Instant) -> Vec<Failure> {
        let known = self.0.remove(target).into_iter().flatten();
        let taken = known
            .filter(|pending| !pending.has_answered || now < pending.failure.failed + REMOVAL_TIME);
        taken.map(|pending| pending.failure).collect()
    }

    /// Lists the targets with failures.
    pub fn targets(&self) -> impl Iterator<Item = &id::TargetLife> {
        self.0.keys()
    }

    /// Drops failures past their retention time.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, known| {
            known.retain(|pending| now < pending.failure.failed + RETENTION);
            !known.is_empty()
        });
    }
}
