//! Adaptive concurrency limit of a target, derived from measured latency.
//!
//! The limit follows the ratio of the minimum latency in a sliding window to the current latency.
//! Both are means of batches without their slowest tenth, so that no single call decides. If the
//! work of calls varies widely, the calling code passes the latency per unit of work.

use std::time;

use tokio::time::Instant;

/// Limit before any measurement.
const INITIAL: f64 = 4.0;

/// Ratio of latency to its minimum up to which a target does not count as congested.
const TOLERANCE: f64 = 1.2;

/// Least factor by which one batch lowers the limit.
const MIN_GRADIENT: f64 = 0.5;

/// Factor for a batch in which the target refused calls.
const REFUSAL_FACTOR: f64 = 0.8;

/// Samples of a batch per call that the limit allows.
const SAMPLES_PER_SLOT: usize = 4;

/// Minimum and maximum samples of a batch.
const BATCH_SIZE: (usize, usize) = (24, 256);

/// Divisor of the batch size that gives the number of slowest samples left out.
const TRIM_DIVISOR: usize = 10;

/// Ratio of latency after halving the limit to that before, below which the target was congested.
const RELIEF_RATIO: f64 = 0.85;

/// Time for which the latency found by a search stays in the minimum.
const FOUND_RETENTION: time::Duration = time::Duration::from_secs(300);

/// Minimum samples of a search batch, during which capacity is reduced; more are taken if inexact.
const MIN_SEARCH_SAMPLES: usize = 8;

/// Standard error relative to the mean up to which a batch is exact enough to end a search.
const MAX_ERROR: f64 = 0.05;

/// Half of the sliding window.
const HALF_WINDOW: time::Duration = time::Duration::from_secs(15);

/// Idle time after which an incomplete batch is discarded.
const MAX_IDLE: time::Duration = time::Duration::from_secs(2);

/// Concurrency limit of one target.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::concurrency;
/// use tokio::time::Instant;
///
/// let mut now = Instant::now();
/// let mut limit = concurrency::Limit::new();
/// let before = limit.get();
/// for _ in 0..100 {
///     now += Duration::from_millis(5);
///     limit.record_latency(Duration::from_millis(20), limit.get(), now);
/// }
/// assert!(limit.get() > before);
/// ```
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    /// Latencies in microseconds.
    batch: Vec<u32>,
    /// Samples in the batch taken with at least half the limit in flight.
    saturated: usize,
    refused: bool,
    /// During a search for the uncongested latency: latency before the limit was last halved.
    search: Option<time::Duration>,
    /// Minimum latency found by the last search, and when.
    found: Option<(time::Duration, Instant)>,
    /// Time of the last sample.
    last_sample: Option<Instant>,
    /// Minimum batch latency in the current half of the window.
    current_min: Option<time::Duration>,
    /// Minimum batch latency in the previous half.
    previous_min: Option<time::Duration>,
    /// Start of the current half.
    half_start: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}

impl Limit {
    /// Creates the limit of a target before any measurement.
    pub fn new() -> Self {
        Self {
            value: INITIAL,
            batch: Vec::new(),
            saturated: 0,
            refused: false,
            search: None,
            found: None,
            last_sample: None,
            current_min: None,
            previous_min: None,
            half_start: None,
        }
    }

    /// Returns the number of calls that may be in flight; at least 1.
    pub fn get(&self) -> u32 {
        self.value.max(1.0) as u32
    }

    /// Returns the minimum latency in the window.
    pub fn base_latency(&self) -> Option<time::Duration> {
        let found = self.found.map(|(found, _)| found);
        let window = self.current_min.into_iter().chain(self.previous_min);
        window.chain(found).min()
    }

    /// Records the latency of a completed call; `in_flight` includes it.
    pub fn record_latency(&mut self, latency: time::Duration, in_flight: u32, now: Instant) {
        // Calls that were sent under a higher limit do not measure the current one.
        if in_flight > self.get() {
            return;
        }
        self.discard_stale_batch(now);
        self.last_sample = Some(now);
        self.saturated += usize::from(in_flight >= self.get().div_ceil(2));
        let micros = latency.as_micros().try_into().unwrap_or(u32::MAX);
        self.batch.push(micros);
        let size = SAMPLES_PER_SLOT * self.get() as usize;
        if self.batch.len() >= size.clamp(BATCH_SIZE.0, BATCH_SIZE.1) || self.is_exact() {
            self.finish_batch(now);
        }
    }

    /// Reports whether the batch of a search is exact enough to end early.
    fn is_exact(&self) -> bool {
        let is_enough = self.search.is_some() && self.batch.len() >= MIN_SEARCH_SAMPLES;
        is_enough && trimmed_mean(&mut self.batch.clone()).1 <= MAX_ERROR
    }

    /// Records a refusal by the target itself.
    pub fn record_refusal(&mut self) {
        if !self.refused {
            self.value = (self.value * REFUSAL_FACTOR).max(1.0);
        }
        self.refused = true;
    }

    /// Discards a batch that was interrupted by an idle period.
    fn discard_stale_batch(&mut self, now: Instant) {
        let is_stale = |last: Instant| now.saturating_duration_since(last) > MAX_IDLE;
        if self.last_sample.is_some_and(is_stale) {
            self.batch.clear();
            self.saturated = 0;
        }
    }

    /// Completes a batch and adjusts the limit.
    fn finish_batch(&mut self, now: Instant) {
        let (mean, error) = trimmed_mean(&mut self.batch);
        let saturated = 2 * self.saturated >= self.batch.len();
        // The minimum of many batches gets lower the more they vary by chance, which would make a
        // usual batch look congested. Adding the standard error compensates for that.
        let base = mean.mul_f64(1.0 + error);
        self.current_min = Some(self.current_min.map_or(base, |min| min.min(base)));
        if !self.continue_search(mean, error, saturated, now) {
            self.adjust(mean, saturated);
            self.rotate(mean, saturated, now);
        }
        self.batch.clear();
        self.saturated = 0;
        self.refused = false;
    }

    /// Adjusts the limit to the mean latency of a batch.
    fn adjust(&mut self, mean: time::Duration, saturated: bool) {
        // Below saturation, low latency does not justify a higher limit, and high latency has other
        // causes than the limit.
        if !saturated {
            return;
        }
        let base = self.base_latency().unwrap_or(mean).as_secs_f64();
        let ratio = TOLERANCE * base / mean.as_secs_f64().max(f64::MIN_POSITIVE);
        let gradient = ratio.clamp(MIN_GRADIENT, 1.0);
        let growth = if self.refused { 0.0 } else { self.value.sqrt() };
        self.value = (self.value * gradient + growth).max(1.0);
    }

    /// Continues a search for the uncongested latency; returns whether it goes on.
    ///
    /// Under sustained load the minimum latency would leave the window, the congested latency would
    /// take its place, and the limit would grow without bound. Halving the limit until latency no
    /// longer falls measures the uncongested latency anew, whatever the limit was before.
    fn continue_search(
        &mut self,
        mean: time::Duration,
        error: f64,
        saturated: bool,
        now: Instant,
    ) -> bool {
        let Some(previous) = self.search.take() else {
            return false;
        };
        let relieved = mean < previous.mul_f64(RELIEF_RATIO);
        if !relieved || !saturated || self.value <= 1.0 {
            let base = self.base_latency().filter(|_| error <= MAX_ERROR);
            self.found = base.map(|base| (base, now));
            return false;
        }
        self.halve(mean);
        true
    }

    /// Halves the limit as a step of a search; `mean` is the latency before.
    fn halve(&mut self, mean: time::Duration) {
        self.search = Some(mean);
        self.value = (self.value / 2.0).max(1.0);
    }

    /// Advances the window by a half once it is over, and starts a search if one is due.
    ///
    /// The window advances only as batches complete, so that idle time discards nothing.
    fn rotate(&mut self, mean: time::Duration, saturated: bool, now: Instant) {
        let is_first = self.half_start.is_none();
        let half_start = *self.half_start.get_or_insert(now);
        if !is_first && now.saturating_duration_since(half_start) < HALF_WINDOW {
            return;
        }
        self.previous_min = self.current_min.take();
        self.half_start = Some(now);
        let is_recent =
            |(_, at): &(_, Instant)| now.saturating_duration_since(*at) < FOUND_RETENTION;
        self.found = self.found.filter(is_recent);
        // A search at a slow target reduces its capacity for seconds, and near capacity a queue
        // builds up meanwhile. So the search is not repeated while its result is kept.
        if saturated && self.found.is_none() {
            self.halve(mean);
        }
    }
}

/// Returns the mean of a batch without its slowest tenth, and the standard error relative to it.
fn trimmed_mean(batch: &mut [u32]) -> (time::Duration, f64) {
    let count = batch.len() - batch.len().div_ceil(TRIM_DIVISOR);
    let (fast, ..) = batch.select_nth_unstable(count);
    let values = || fast.iter().copied().map(f64::from);
    let mean = values().sum::<f64>() / count as f64;
    let variance = values().map(|v| (v - mean).powi(2)).sum::<f64>() / count as f64;
    let error = (variance / count as f64).sqrt() / mean.max(1.0);
    (time::Duration::from_secs_f64(mean / 1e6), error)
}
