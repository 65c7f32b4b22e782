//! How much of a queue's capacity goes to jobs that are on time.

use std::time;

use tokio::time::Instant;

/// Time after which a call counts half.
const HALF_LIFE: time::Duration = time::Duration::from_millis(1000);

/// Least share of the capacity that is held to be left for late jobs; it bounds their outlook.
///
/// What was full for a second is seldom full for the ten that a late job may still have. After a
/// loss of all instances, callers that came back were told of 28 s where 0.8 s of work waited, and
/// were refused for good. With much more than this, callers would wait in vain where load stays
/// above capacity.
const SPARE_MIN: f64 = 0.12;

/// Pieces that calls have taken, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pieces: f64,
    last: Option<Instant>,
}

impl Load {
    /// Takes in the pieces of a call.
    pub(super) fn add(&mut self, pieces: usize, now: Instant) {
        self.pieces = self.at(now) + pieces as f64;
        self.last = Some(now);
    }

    /// Returns the share of a capacity, in pieces a second, that is left.
    pub(super) fn spare(&self, capacity: f64, now: Instant) -> f64 {
        // What comes in at a steady rate adds up to that rate times the mean age.
        let mean = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let rate = self.at(now) / mean;
        (1.0 - rate / capacity.max(1.0)).clamp(SPARE_MIN, 1.0)
    }

    fn at(&self, now: Instant) -> f64 {
        let age = self.last.map_or(time::Duration::ZERO, |last| {
            now.saturating_duration_since(last)
        });
        self.pieces * 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
