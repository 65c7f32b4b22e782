//! Exponential backoff with jitter.

use std::time;

use rand::{
    Rng,
    SeedableRng,
    rngs, //
};

/// Exponential backoff; each pause is drawn at random from the upper half of its range.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    first: time::Duration,
    longest: time::Duration,
    retries: u32,
    rng: rngs::StdRng,
}

impl Backoff {
    pub(crate) fn new(first: time::Duration, longest: time::Duration) -> Self {
        Self {
            first,
            longest,
            retries: 0,
            rng: rngs::StdRng::from_os_rng(),
        }
    }

    /// Draws the pauses of a seed.
    pub(crate) fn with_seed(self, seed: u64) -> Self {
        let rng = rngs::StdRng::seed_from_u64(seed);
        Self { rng, ..self }
    }

    /// Returns the next pause, at least `least`, and doubles the range up to the longest pause.
    pub(crate) fn next(&mut self, least: time::Duration) -> time::Duration {
        let factor = 1u32 << self.retries.min(16);
        self.retries += 1;
        let full = (self.first * factor).min(self.longest);
        full.mul_f64(0.5 + self.rng.random::<f64>() / 2.0)
            .max(least)
    }

    /// Starts over after a success.
    pub(crate) fn reset(&mut self) {
        self.retries = 0;
    }
}
