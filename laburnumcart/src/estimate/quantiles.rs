//! Quantiles of the recent durations of a stage.

use std::time;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Time after which a histogram is reset.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Minimum measurements for a quantile.
const MIN_COUNT: u64 = 20;

/// Greatest duration recorded, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Quantiles of the durations in the last half to whole window.
///
/// Each duration is recorded in two histograms that start half a window apart. Quantiles come from
/// the older one, so that they cover at least half a window without merging histograms.
#[derive(Debug)]
pub struct Quantiles {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    /// Start of the newer histogram.
    newer_start: Instant,
}

impl Quantiles {
    /// Creates quantiles without measurements.
    pub fn new(now: Instant) -> Self {
        Self {
            older: histogram(),
            newer: histogram(),
            newer_start: now,
        }
    }

    /// Records a duration; above ten minutes it counts as ten minutes.
    pub fn record(&mut self, elapsed: time::Duration, now: Instant) {
        self.rotate(now);
        let micros = elapsed.as_micros().try_into().unwrap_or(u64::MAX);
        self.older.saturating_record(micros);
        self.newer.saturating_record(micros);
    }

    /// Returns a quantile, or `None` without enough recent measurements.
    pub fn quantile(&self, quantile: f64, now: Instant) -> Option<time::Duration> {
        let outdated = now.saturating_duration_since(self.newer_start) > 2 * WINDOW;
        if outdated || self.older.len() < MIN_COUNT {
            return None;
        }
        Some(time::Duration::from_micros(
            self.older.value_at_quantile(quantile),
        ))
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.newer_start);
        if age < WINDOW / 2 {
            return;
        }
        std::mem::swap(&mut self.older, &mut self.newer);
        self.newer.reset();
        if age >= WINDOW {
            self.older.reset();
        }
        self.newer_start = now;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("histogram bounds are valid")
}
