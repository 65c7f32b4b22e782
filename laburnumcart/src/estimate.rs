//! Estimates of stage durations, and refusal of requests that cannot meet their deadline.

use std::{
    collections,
    hash,
    time, //
};

use tokio::time::Instant;

use crate::{
    bundle,
    unit,
    verdict, //
};

mod quantiles;
mod throughput;

pub use quantiles::Quantiles;
pub use throughput::Throughput;

/// Greatest `Retry-After`.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

/// Remaining time and work of a queued request.
#[derive(Clone, Copy, Debug)]
pub struct Remaining {
    /// Time until the deadline.
    pub time_left: time::Duration,
    /// Entries ahead of the request in the queue.
    pub queued: u32,
    /// Expected duration of the remaining stages, from [`Estimates::expected_rest`].
    pub stage_time: time::Duration,
}

/// Measured durations of stages; the key `K` identifies a stage, such as by service and name.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{bundle::Priority, estimate};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut estimates = estimate::Estimates::default();
/// for _ in 0..100 {
///     estimates.record("encode", Duration::from_millis(10), now);
///     estimates.record("generate", Duration::from_millis(400), now);
/// }
/// let rest = estimates.expected_rest(["encode", "generate"], Priority::Normal, now);
/// assert!(rest > Duration::from_millis(400) && rest < Duration::from_millis(420));
/// ```
#[derive(Debug)]
pub struct Estimates<K> {
    quantiles: collections::HashMap<K, Quantiles>,
}

impl<K> Default for Estimates<K> {
    fn default() -> Self {
        Self {
            quantiles: collections::HashMap::new(),
        }
    }
}

impl<K: Eq + hash::Hash> Estimates<K> {
    /// Records the duration of a stage at its target.
    pub fn record(&mut self, stage: K, elapsed: time::Duration, now: Instant) {
        let quantiles = self.quantiles.entry(stage);
        quantiles
            .or_insert_with(|| Quantiles::new(now))
            .record(elapsed, now);
    }

    /// Keeps only the stages for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.quantiles.retain(|stage, _| keep(stage));
    }

    /// Returns a quantile of a stage's duration, or `None` without enough recent measurements.
    pub fn quantile(&self, stage: &K, quantile: f64, now: Instant) -> Option<time::Duration> {
        self.quantiles.get(stage)?.quantile(quantile, now)
    }

    /// Returns the expected duration of the remaining stages; unmeasured stages count as zero.
    ///
    /// The higher the priority, the lower the quantile, so that urgent requests are tried even if
    /// they are less likely to finish in time.
    pub fn expected_rest(
        &self,
        stages: impl IntoIterator<Item = K>,
        priority: bundle::Priority,
        now: Instant,
    ) -> time::Duration {
        let quantile = match priority {
            bundle::Priority::High => 0.25,
            bundle::Priority::Normal => 0.5,
            bundle::Priority::Low => 0.75,
        };
        let durations = stages
            .into_iter()
            .map(|stage| self.quantile(&stage, quantile, now));
        durations.map(Option::unwrap_or_default).sum()
    }
}

/// Refuses a request that is not expected to finish before its deadline; its verdict is `not-run`.
///
/// A request that misses its deadline wastes capacity and delays the requests after it.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::estimate;
/// use rand::SeedableRng;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut throughput = estimate::Throughput::new(now);
/// let stage_time = Duration::from_millis(300);
/// let time_left = Duration::from_secs(1);
/// let remaining = estimate::Remaining { time_left, queued: 0, stage_time };
/// assert!(estimate::check_deadline(&remaining, &mut throughput, now, &mut rng).is_ok());
/// let late = estimate::Remaining { time_left: Duration::from_millis(200), ..remaining };
/// assert!(estimate::check_deadline(&late, &mut throughput, now, &mut rng).is_err());
/// ```
pub fn check_deadline(
    remaining: &Remaining,
    throughput: &mut Throughput,
    now: Instant,
    rng: &mut impl rand::Rng,
) -> Result<(), verdict::Refusal> {
    let wait = throughput.wait_time(remaining.queued, now);
    let expected = wait + remaining.stage_time;
    if expected <= remaining.time_left {
        return Ok(());
    }
    // Retrying later can only save queueing time, so the excess is capped at that.
    let excess = (expected - remaining.time_left).min(wait);
    let period = unit::Period(throughput.retry_after(excess, now, rng));
    Err(verdict::Refusal::not_run(verdict::Reason::DeadlineTooShort).retry_after(period))
}
