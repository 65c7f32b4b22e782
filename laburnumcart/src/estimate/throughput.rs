//! Rate at which a queue is worked off.

use std::time;

use tokio::time::Instant;

use crate::estimate;

/// Time over which completions are averaged.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Shortest time that counts as measured, lest a first completion look like a high rate.
const WARM: time::Duration = time::Duration::from_secs(1);

/// Completions a second that are assumed until some were measured.
///
/// A guess too high costs callers one more refusal, with a measured time by then; one too low keeps
/// them away while the queue is empty.
const UNMEASURED: f64 = 50.0;

/// Shortest Retry-After.
const RETRY_MIN: time::Duration = time::Duration::from_millis(100);

/// Most that a Retry-After is drawn out, as a part of it.
const JITTER: f64 = 0.25;

/// Rate at which a queue is worked off, and the times at which refused callers may come back.
#[derive(Clone, Debug)]
pub struct Throughput {
    /// Completions, each losing weight with age.
    count: f64,
    last: Instant,
    start: Instant,
    /// Moment that the next refused caller is sent to, at the earliest.
    next: Instant,
}

impl Throughput {
    /// Creates the meter of a queue that was never worked off.
    pub fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            last: now,
            start: now,
            next: now,
        }
    }

    /// Takes in a completion.
    pub fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.last = now;
    }

    /// Returns the completions a second, if any were measured.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let elapsed = now.saturating_duration_since(self.start).max(WARM);
        // A meter that has just started has seen only a part of its window.
        let seen = 1.0 - (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        let rate = self.decayed(now) / (WINDOW.as_secs_f64() * seen);
        (rate > 1e-3).then_some(rate)
    }

    /// Returns the expected wait behind a number of entries; nothing if no rate was measured.
    pub fn wait_time(&self, ahead: u32, now: Instant) -> time::Duration {
        let rate = self.rate(now);
        rate.map_or(time::Duration::ZERO, |rate| {
            time::Duration::from_secs_f64(f64::from(ahead) / rate)
        })
    }

    /// Returns when a refused caller should come back, at least `excess` from now.
    ///
    /// Each caller is sent to a moment of its own, one completion after the last one's. Sent to the
    /// same moment, they would all return at once and all but one be refused again.
    pub fn retry_after(
        &mut self,
        excess: time::Duration,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> time::Duration {
        let rate = self.rate(now).unwrap_or(UNMEASURED);
        let at = (now + excess.max(RETRY_MIN)).max(self.next);
        let limit = now + estimate::RETRY_MAX;
        self.next = (at + time::Duration::from_secs_f64(1.0 / rate)).min(limit);
        let period = at.saturating_duration_since(now);
        let drawn = period.mul_f64(1.0 + JITTER * rng.random::<f64>());
        drawn.min(estimate::RETRY_MAX)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last);
        self.count * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}
