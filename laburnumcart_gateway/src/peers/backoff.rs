//! Backoff after failures of a peer.

use std::time;

use tokio::time::Instant;

/// First backoff after a failure, which doubles with each further failure.
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(300);

/// Longest backoff after a failure.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(3);

/// Failures of a peer since its last answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    until: Option<Instant>,
    failures: u32,
}

impl Backoff {
    /// Returns whether the peer may be called.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    /// Records a failure and returns the backoff.
    pub fn record_failure(&mut self, now: Instant) -> time::Duration {
        let backoff = (BACKOFF_MIN * (1 << self.failures.min(5))).min(BACKOFF_MAX);
        self.failures += 1;
        self.until = Some(now + backoff);
        backoff
    }

    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }
}
