//! Poison requests: content whose requests crash the targets that execute them.
//!
//! One failed request proves nothing about its content: targets crash and connections break for
//! other reasons, and all requests in flight at a target fail with it. Content is refused once it
//! has failed at several targets in sequence, all of which are gone. When many targets crash at
//! once, innocent requests fail at the same time; only content that is sent again fails in
//! sequence.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Crashed targets after which content is refused.
const CRASHES: usize = 3;

/// Time for which a failure is kept.
pub const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Greatest number of failures kept per target, sufficient for the requests that it runs at once.
const MAX_FAILURES: usize = 64;

/// Failure of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Fingerprint of the content of the request.
    pub content: id::Fingerprint,
    /// When the request was sent.
    pub sent: Instant,
    /// When the request failed.
    pub failed: Instant,
}

/// Recent failures by target.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{id, poison};
/// use tokio::time::Instant;
///
/// let content = id::Fingerprint(7);
/// let mut failures = poison::Failures::default();
/// let mut now = Instant::now();
/// for life in 1..=3 {
///     assert_eq!(failures.refused_until(content, |_| true, now), None);
///     let target = id::TargetLife { name: "engine-1".parse().unwrap(), life: id::Life(life) };
///     let failed = now + Duration::from_millis(20);
///     failures.record_failure(target, poison::Failure { content, sent: now, failed });
///     now = failed;
/// }
/// assert!(failures.refused_until(content, |_| true, now).is_some());
/// assert_eq!(failures.refused_until(content, |_| false, now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Failures(collections::HashMap<id::TargetLife, Vec<Failure>>);

impl Failures {
    /// Records a failure; returns whether it is new.
    pub fn record_failure(&mut self, target: id::TargetLife, failure: Failure) -> bool {
        let known = self.0.entry(target).or_default();
        known.retain(|known| failure.failed < known.failed + RETENTION);
        if known.len() >= MAX_FAILURES || known.iter().any(|f| f.content == failure.content) {
            return false;
        }
        known.push(failure);
        true
    }

    /// Drops failures past their retention time.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, known| {
            known.retain(|failure| now < failure.failed + RETENTION);
            !known.is_empty()
        });
    }

    /// Reports whether failures at a target are kept.
    pub fn has_failures(&self, target: &id::TargetLife) -> bool {
        self.0.contains_key(target)
    }

    /// Lists the targets with failures.
    pub fn targets(&self) -> impl Iterator<Item = &id::TargetLife> {
        self.0.keys()
    }

    /// Lists the failures with their targets.
    pub fn iter(&self) -> impl Iterator<Item = (&id::TargetLife, &Failure)> {
        let all = self.0.iter();
        all.flat_map(|(target, known)| known.iter().map(move |failure| (target, failure)))
    }

    /// Returns until when content is refused, if it is; `is_gone` tells which targets have crashed.
    pub fn refused_until(
        &self,
        content: id::Fingerprint,
        is_gone: impl Fn(&id::TargetLife) -> bool,
        now: Instant,
    ) -> Option<Instant> {
        let own = self.iter().filter(|(_, f)| f.content == content);
        let recent = own.filter(|(_, f)| now < f.failed + RETENTION);
        let crashes = recent.filter(|(target, _)| is_gone(target));
        let mut crashes: Vec<_> = crashes.map(|(_, failure)| failure).collect();
        crashes.sort_by_key(|failure| failure.failed);
        let mut sequence: Vec<&Failure> = Vec::new();
        for failure in crashes {
            if sequence
                .last()
                .is_none_or(|last| last.failed <= failure.sent)
            {
                sequence.push(failure);
            }
        }
        let oldest = sequence.len().checked_sub(CRASHES)?;
        Some(sequence[oldest].failed + RETENTION)
    }
}
