//! Share of the queue's throughput that jobs on time use.

use std::time;

use tokio::time::Instant;

/// Time after which the pieces of a call count half.
const HALF_LIFE: time::Duration = time::Duration::from_millis(1000);

/// Least share of the throughput that late jobs are assumed to get; it bounds their estimates.
///
/// A second of full load says little about the ten seconds that a late job may still have. Without
/// this bound, callers that retry after a loss of all instances get estimates such as 28 s for
/// 0.8 s of waiting work and are refused permanently. With a much higher value, callers would wait
/// in vain while load stays above capacity.
const SPARE_MIN: f64 = 0.12;

/// Exponentially decayed count of the pieces of jobs on time that calls have taken.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pieces: f64,
    last: Option<Instant>,
}

impl Load {
    /// Adds the pieces of a call.
    pub(crate) fn add(&mut self, pieces: usize, now: Instant) {
        self.pieces = self.decayed(now) + pieces as f64;
        self.last = Some(now);
    }

    /// Returns the unused share of a throughput in pieces per second.
    pub(crate) fn spare_share(&self, throughput: f64, now: Instant) -> f64 {
        // At a steady rate, the decayed count is that rate times the mean age.
        let mean_age = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let rate = self.decayed(now) / mean_age;
        (1.0 - rate / throughput.max(1.0)).clamp(SPARE_MIN, 1.0)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self.last.map_or(time::Duration::ZERO, |last| {
            now.saturating_duration_since(last)
        });
        self.pieces * 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
