//! Throughput of a queue, and the `Retry-After` of refused callers.

use std::time;

use tokio::time::Instant;

use crate::estimate;

/// Time constant of the average of completions.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Least measuring time assumed, so that a first completion does not give a high rate.
const MIN_MEASURED: time::Duration = time::Duration::from_secs(1);

/// Completions per second assumed before any measurement.
///
/// If this is too high, callers return early and are refused once more, with a measured time by
/// then. If it is too low, they stay away while the queue is empty.
const DEFAULT_RATE: f64 = 50.0;

/// Least `Retry-After`.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Greatest random extension of a `Retry-After`, as a fraction of it.
const JITTER: f64 = 0.25;

/// Throughput of a queue, and the schedule on which refused callers return.
#[derive(Clone, Debug)]
pub struct Throughput {
    /// Completions, exponentially weighted by age.
    count: f64,
    last_completion: Instant,
    start: Instant,
    /// Earliest return time of the next refused caller.
    next_return: Instant,
}

impl Throughput {
    /// Creates the measurement of a queue without completions.
    pub fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            last_completion: now,
            start: now,
            next_return: now,
        }
    }

    /// Records a completion.
    pub fn record(&mut self, now: Instant) {
        self.count = self.decayed_count(now) + 1.0;
        self.last_completion = now;
    }

    /// Returns the completions per second, or `None` before any measurement.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let elapsed = now.saturating_duration_since(self.start).max(MIN_MEASURED);
        // Shortly after the start only a part of the window has been measured.
        let measured = 1.0 - (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        let rate = self.decayed_count(now) / (WINDOW.as_secs_f64() * measured);
        (rate > 1e-3).then_some(rate)
    }

    /// Returns the expected wait behind `queued` entries, or zero before any measurement.
    pub fn wait_time(&self, queued: u32, now: Instant) -> time::Duration {
        let rate = self.rate(now);
        rate.map_or(time::Duration::ZERO, |rate| {
            time::Duration::from_secs_f64(f64::from(queued) / rate)
        })
    }

    /// Returns the `Retry-After` of a refused caller, which is at least `excess`.
    ///
    /// Callers are scheduled one completion time apart. With the same `Retry-After` they would all
    /// return at once, and all but one would be refused again.
    pub fn retry_after(
        &mut self,
        excess: time::Duration,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> time::Duration {
        let rate = self.rate(now).unwrap_or(DEFAULT_RATE);
        let at = (now + excess.max(MIN_RETRY_AFTER)).max(self.next_return);
        let limit = now + estimate::MAX_RETRY_AFTER;
        self.next_return = (at + time::Duration::from_secs_f64(1.0 / rate)).min(limit);
        let period = at.saturating_duration_since(now);
        let jittered = period.mul_f64(1.0 + JITTER * rng.random::<f64>());
        jittered.min(estimate::MAX_RETRY_AFTER)
    }

    fn decayed_count(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_completion);
        self.count * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
