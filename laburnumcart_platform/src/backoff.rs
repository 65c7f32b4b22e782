//! Pauses between tries that grow and differ between processes.

use std::time;

/// Growing pauses; each is drawn from the upper half of its range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: time::Duration,
    longest: time::Duration,
    tries: u32,
}

impl Backoff {
    pub(crate) fn new(first: time::Duration, longest: time::Duration) -> Self {
        Self {
            first,
            longest,
            tries: 0,
        }
    }

    /// Returns the next pause, at least `least`.
    pub(crate) fn next(&mut self, least: time::Duration) -> time::Duration {
        let factor = 1u32 << self.tries.min(16);
        self.tries += 1;
        let full = (self.first * factor).min(self.longest);
        full.mul_f64(0.5 + rand::random::<f64>() / 2.0).max(least)
    }

    /// Starts over after a success.
    pub(crate) fn reset(&mut self) {
        self.tries = 0;
    }
}
