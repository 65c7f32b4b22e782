//! Concurrency limit of a target, found from measured latency.
//!
//! The limit follows the ratio of the least latency in a sliding window to the present one. Both
//! are means of batches without their slowest tenth, so that no single call decides. Where the work
//! of calls differs widely, the caller passes the latency per unit of work.

use std::time;

use tokio::time::Instant;

/// Limit of a target that was never measured.
const INITIAL: f64 = 4.0;

/// Latency above the least that is not yet taken for congestion.
const TOLERANCE: f64 = 1.2;

/// Most that one batch can lower the limit.
const GRADIENT_MIN: f64 = 0.5;

/// Factor for a batch in which the target refused calls.
const REFUSED: f64 = 0.8;

/// Samples of a batch, for each call that the limit allows.
const ROUNDS: usize = 4;

/// Fewest and most samples of a batch.
const BATCH: (usize, usize) = (24, 256);

/// Part of a batch, from its slowest on, that is left out: one in so many.
const TRIMMED: usize = 10;

/// Drop of latency at half the limit that shows that the target was congested before.
const RELIEF: f64 = 0.85;

/// Time for which a latency that was found by a search is held against all others.
const KEPT: time::Duration = time::Duration::from_secs(300);

/// Fewest samples of a batch of a search, which takes capacity; more follow until it is exact.
const PROBE: usize = 8;

/// Standard error of a batch, relative to its mean, up to which luck cannot have ended a search.
const EXACT: f64 = 0.05;

/// Half of the sliding window.
const HALF: time::Duration = time::Duration::from_secs(15);

/// Pause after which a batch that was begun is void.
const STALE: time::Duration = time::Duration::from_secs(2);

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
    /// Samples of the batch with at least half the limit in flight.
    used: usize,
    refused: bool,
    /// Latency before the last cut of a search for the uncongested latency.
    probe: Option<time::Duration>,
    /// Least latency that the last search has found, and when.
    found: Option<(time::Duration, Instant)>,
    /// Time of the last sample.
    last: Option<Instant>,
    /// Least typical latency of a batch in this half of the window and in the one before.
    least: Option<time::Duration>,
    before: Option<time::Duration>,
    /// Start of this half.
    since: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}

impl Limit {
    /// Creates the limit of a target that was never measured.
    pub fn new() -> Self {
        Self {
            value: INITIAL,
            batch: Vec::new(),
            used: 0,
            refused: false,
            probe: None,
            found: None,
            last: None,
            least: None,
            before: None,
            since: None,
        }
    }

    /// Returns the number of calls that may be in flight; at least 1.
    pub fn get(&self) -> u32 {
        self.value.max(1.0) as u32
    }

    /// Returns the least latency in the window.
    pub fn base_latency(&self) -> Option<time::Duration> {
        let found = self.found.map(|(found, _)| found);
        self.least.into_iter().chain(self.before).chain(found).min()
    }

    /// Takes in a completed call; `in_flight` includes it.
    pub fn record_latency(&mut self, latency: time::Duration, in_flight: u32, now: Instant) {
        // Calls that started under a higher limit measure that one, not the present.
        if in_flight > self.get() {
            return;
        }
        self.restart_stale(now);
        self.last = Some(now);
        self.used += usize::from(in_flight >= self.get().div_ceil(2));
        let micros = latency.as_micros().try_into().unwrap_or(u32::MAX);
        self.batch.push(micros);
        let size = ROUNDS * self.get() as usize;
        if self.batch.len() >= size.clamp(BATCH.0, BATCH.1) || self.is_exact() {
            self.close(now);
        }
    }

    /// Reports whether the batch of a search tells enough.
    fn is_exact(&self) -> bool {
        let enough = self.probe.is_some() && self.batch.len() >= PROBE;
        enough && typical(&mut self.batch.clone()).1 <= EXACT
    }

    /// Takes in a refusal by the target itself.
    pub fn record_refusal(&mut self) {
        if !self.refused {
            self.value = (self.value * REFUSED).max(1.0);
        }
        self.refused = true;
    }

    /// Forgets a batch that was interrupted by an idle period.
    fn restart_stale(&mut self, now: Instant) {
        let stale = |last: Instant| now.saturating_duration_since(last) > STALE;
        if self.last.is_some_and(stale) {
            self.batch.clear();
            self.used = 0;
        }
    }

    /// Ends a batch and moves the limit.
    fn close(&mut self, now: Instant) {
        let (typical, error) = typical(&mut self.batch);
        let saturated = 2 * self.used >= self.batch.len();
        // A batch that was fast by luck must not be what all others are held against. The least of
        // many is the lower, the more they differ by chance, and the usual one looks congested.
        let base = typical.mul_f64(1.0 + error);
        self.least = Some(self.least.map_or(base, |least| least.min(base)));
        if !self.search(typical, error, saturated, now) {
            self.step(typical, saturated);
            self.rotate(typical, saturated, now);
        }
        self.batch.clear();
        self.used = 0;
        self.refused = false;
    }

    fn step(&mut self, typical: time::Duration, saturated: bool) {
        // Room that was not used says nothing of a higher limit, and slowness then has other causes.
        if !saturated {
            return;
        }
        let base = self.base_latency().unwrap_or(typical).as_secs_f64();
        let ratio = TOLERANCE * base / typical.as_secs_f64().max(f64::MIN_POSITIVE);
        let gradient = ratio.clamp(GRADIENT_MIN, 1.0);
        let growth = if self.refused { 0.0 } else { self.value.sqrt() };
        self.value = (self.value * gradient + growth).max(1.0);
    }

    /// Goes on with a search for the uncongested latency, if there is one.
    ///
    /// Under lasting load the least latency would be forgotten, the congested one taken for it,
    /// and the limit would creep up without end. Cutting the limit until latency no longer falls
    /// with it measures the uncongested latency afresh, whatever the limit was before.
    fn search(
        &mut self,
        typical: time::Duration,
        error: f64,
        saturated: bool,
        now: Instant,
    ) -> bool {
        let Some(before) = self.probe.take() else {
            return false;
        };
        let relieved = typical < before.mul_f64(RELIEF);
        if !relieved || !saturated || self.value <= 1.0 {
            let base = self.base_latency().filter(|_| error <= EXACT);
            self.found = base.map(|base| (base, now));
            return false;
        }
        self.cut(typical);
        true
    }

    fn cut(&mut self, typical: time::Duration) {
        self.probe = Some(typical);
        self.value = (self.value / 2.0).max(1.0);
    }

    /// Moves the window on; only measured time counts, so that idleness forgets nothing.
    fn rotate(&mut self, typical: time::Duration, saturated: bool, now: Instant) {
        let first = self.since.is_none();
        let since = *self.since.get_or_insert(now);
        if !first && now.saturating_duration_since(since) < HALF {
            return;
        }
        self.before = self.least.take();
        self.since = Some(now);
        let kept = |(_, at): &(_, Instant)| now.saturating_duration_since(*at) < KEPT;
        self.found = self.found.filter(kept);
        // A search at a slow target takes seconds at a part of its capacity. Near capacity a queue
        // builds up meanwhile, so what was found is not searched for again in each window.
        if saturated && self.found.is_none() {
            self.cut(typical);
        }
    }
}

/// Returns the mean of a batch without its slowest tenth, and its standard error as a part of it.
fn typical(batch: &mut [u32]) -> (time::Duration, f64) {
    let count = batch.len() - batch.len().div_ceil(TRIMMED);
    let (fast, ..) = batch.select_nth_unstable(count);
    let values = || fast.iter().copied().map(f64::from);
    let mean = values().sum::<f64>() / count as f64;
    let variance = values().map(|v| (v - mean).powi(2)).sum::<f64>() / count as f64;
    let error = (variance / count as f64).sqrt() / mean.max(1.0);
    (time::Duration::from_secs_f64(mean / 1e6), error)
}
