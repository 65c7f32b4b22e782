//! Recent times of one stage.

use std::time;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Time after which a histogram starts anew.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Fewest times from which a quantile is worth anything.
const COUNT: u64 = 20;

/// Longest time told apart, in microseconds.
const MICROS_MAX: u64 = 600_000_000;

/// Quantiles of the times within one to two half windows.
///
/// Each time goes into two histograms that start half a window apart. The older one is read, so
/// that a quantile rests on at least half a window, and no merging is needed.
#[derive(Debug)]
pub struct Quantiles {
    old: Histogram<u32>,
    young: Histogram<u32>,
    /// Start of the young histogram.
    since: Instant,
}

impl Quantiles {
    /// Creates an empty sample.
    pub fn new(now: Instant) -> Self {
        Self {
            old: histogram(),
            young: histogram(),
            since: now,
        }
    }

    /// Takes in a time; above ten minutes it counts as ten minutes.
    pub fn record(&mut self, elapsed: time::Duration, now: Instant) {
        self.rotate(now);
        let micros = elapsed.as_micros().try_into().unwrap_or(u64::MAX);
        self.old.saturating_record(micros);
        self.young.saturating_record(micros);
    }

    /// Returns a quantile, if enough was measured and it is not outdated.
    pub fn quantile(&self, quantile: f64, now: Instant) -> Option<time::Duration> {
        let outdated = now.saturating_duration_since(self.since) > 2 * WINDOW;
        if outdated || self.old.len() < COUNT {
            return None;
        }
        Some(time::Duration::from_micros(
            self.old.value_at_quantile(quantile),
        ))
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < WINDOW / 2 {
            return;
        }
        std::mem::swap(&mut self.old, &mut self.young);
        self.young.reset();
        if age >= WINDOW {
            self.old.reset();
        }
        self.since = now;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MICROS_MAX, 2).expect("The bounds are valid.")
}
