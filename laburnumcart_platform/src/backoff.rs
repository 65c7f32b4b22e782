//! Exponential backoff with jitter.

use std::time;

/// Exponential backoff; each pause is drawn at random from the upper half of its range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: time::Duration,
    longest: time::Duration,
    retries: u32,
}

impl Backoff {
    pub(crate) fn new(first: time::Duration, longest: time::Duration) -> Self {
        Self {
            first,
            longest,
            retries: 0,
        }
    }

    /// Returns the next pause, at least `least`, and doubles the range up to the longest pause.
    pub(crate) fn next(&mut self, least: time::Duration) -> time::Duration {
        let factor = 1u32 << self.retries.min(16);
        self.retries += 1;
        let full = (self.first * factor).min(self.longest);
        full.mul_f64(0.5 + rand::random::<f64>() / 2.0).max(least)
    }

    /// Starts over after a success.
    pub(crate) fn reset(&mut self) {
        self.retries = 0;
    }
}
