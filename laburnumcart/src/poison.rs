//! Content whose requests crash the targets that run them.
//!
//! A request that fails tells nothing of its content: targets crash and connections break for other
//! reasons, and all that ran at a target fails with it. Content is refused once several targets that
//! are gone since have failed under it one after the other. Innocent requests fail together when
//! many targets crash at once; only what comes again can fail them in turn.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Targets after whose crash content is refused.
const CRASHES: usize = 3;

/// Time for which a failure is remembered.
pub const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Most failures that are remembered of one target: what it runs at once.
const MOST: usize = 64;

/// A request that failed at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Its content.
    pub content: id::Fingerprint,
    /// When it was sent.
    pub sent: Instant,
    /// When it failed.
    pub failed: Instant,
}

/// Requests that failed of late, by target.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{id, poison};
/// use tokio::time::Instant;
///
/// let content = id::Fingerprint(7);
/// let mut strikes = poison::Failures::default();
/// let mut now = Instant::now();
/// for life in 1..=3 {
///     assert_eq!(strikes.refused_until(content, |_| true, now), None);
///     let target = id::TargetLife { name: "engine-1".parse().unwrap(), life: id::Life(life) };
///     let failed = now + Duration::from_millis(20);
///     strikes.record_failure(target, poison::Failure { content, sent: now, failed });
///     now = failed;
/// }
/// assert!(strikes.refused_until(content, |_| true, now).is_some());
/// assert_eq!(strikes.refused_until(content, |_| false, now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Failures(collections::HashMap<id::TargetLife, Vec<Failure>>);

impl Failures {
    /// Takes in a failure; returns whether it is news.
    pub fn record_failure(&mut self, target: id::TargetLife, strike: Failure) -> bool {
        let known = self.0.entry(target).or_default();
        known.retain(|known| strike.failed < known.failed + RETENTION);
        if known.len() >= MOST || known.iter().any(|s| s.content == strike.content) {
            return false;
        }
        known.push(strike);
        true
    }

    /// Forgets what failed long ago.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, known| {
            known.retain(|strike| now < strike.failed + RETENTION);
            !known.is_empty()
        });
    }

    /// Reports whether anything that has failed at a target is remembered.
    pub fn has_failures(&self, target: &id::TargetLife) -> bool {
        self.0.contains_key(target)
    }

    /// Lists the targets at which anything has failed.
    pub fn targets(&self) -> impl Iterator<Item = &id::TargetLife> {
        self.0.keys()
    }

    /// Lists the failures.
    pub fn iter(&self) -> impl Iterator<Item = (&id::TargetLife, &Failure)> {
        let all = self.0.iter();
        all.flat_map(|(target, known)| known.iter().map(move |strike| (target, strike)))
    }

    /// Returns until when content is refused, if it is.
    pub fn refused_until(
        &self,
        content: id::Fingerprint,
        is_gone: impl Fn(&id::TargetLife) -> bool,
        now: Instant,
    ) -> Option<Instant> {
        let own = self.iter().filter(|(_, strike)| strike.content == content);
        let recent = own.filter(|(_, strike)| now < strike.failed + RETENTION);
        let crashes = recent.filter(|(target, _)| is_gone(target));
        let mut crashes: Vec<_> = crashes.map(|(_, strike)| strike).collect();
        crashes.sort_by_key(|strike| strike.failed);
        let mut in_turn: Vec<&Failure> = Vec::new();
        for strike in crashes {
            if in_turn.last().is_none_or(|last| last.failed <= strike.sent) {
                in_turn.push(strike);
            }
        }
        let oldest = in_turn.len().checked_sub(CRASHES)?;
        Some(in_turn[oldest].failed + RETENTION)
    }
}
