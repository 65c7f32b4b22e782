//! Poison requests: content whose requests crash the targets that execute them.
//!
//! What may crash a target is a *cause*: the whole content of a request, or a part of its prompt
//! that requests of other contents have too. Both are counted and weighed in the same way.
//!
//! One failed request proves nothing about its content: targets crash and connections break for
//! other reasons, and all requests in flight at a target fail with it. [`Failures`] keeps the
//! failures of a target until [`Check`] tells whether it has crashed. [`Crashes`] counts the
//! crashes of each cause, merged with those that other processes have noticed, until a request with
//! it completes. A cause that crashed several targets in sequence is quarantined. When many targets
//! crash at once, harmless requests fail at the same time; only what is sent again fails in
//! sequence.

mod check;
mod completions;
mod crashes;
mod failures;
mod levels;
mod trials;

use std::sync::Arc;

use tokio::time::Instant;

use crate::id;

pub use self::{
    check::{
        Check,
        Outcome,
        Probe,
        Sign, //
    },
    crashes::{
        Crashes,
        RETENTION,
        Status, //
    },
    failures::Failures,
    trials::Trials,
};

/// Failure of a request at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Fingerprint of the content of the request.
    pub content: id::Fingerprint,
    /// Fingerprints of the parts of its prompt that may have caused the failure; none if its target
    /// had got past the start of the response.
    pub parts: Arc<[id::Fingerprint]>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the request failed.
    pub failed: Instant,
    /// Whether it was given up while its target was not silent.
    pub given_up: bool,
}

impl Failure {
    /// Reports whether it shows more of the crash of its target than another one there.
    ///
    /// Reports of one failure differ by their way here, and by the clocks on it. A later one would
    /// follow the crash and not count. Of several requests with a part, those that were sent later
    /// may have met a target that was down, and failed sooner than the one that crashed it.
    fn precedes(&self, other: &Self) -> bool {
        match self.content == other.content {
            true => self.failed < other.failed,
            false => self.sent < other.sent,
        }
    }

    /// Reports whether the request had a cause.
    pub fn has(&self, cause: id::Fingerprint) -> bool {
        self.content == cause || self.parts.contains(&cause)
    }
}
