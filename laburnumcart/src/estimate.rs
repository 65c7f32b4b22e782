//! Expected time of stages, and refusal of what cannot finish.

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

/// Longest Retry-After.
const RETRY_MAX: time::Duration = time::Duration::from_secs(60);

/// Time of a request that has yet to run.
#[derive(Clone, Copy, Debug)]
pub struct Remaining {
    /// Left until the deadline.
    pub time_left: time::Duration,
    /// Entries before it in the queue.
    pub queued: u32,
    /// Expected time of the stages that are left, as of [`Estimates::expected_rest`].
    pub stage_time: time::Duration,
}

/// Times of all stages that a process has seen; `K` names one, such as service and stage.
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
    samples: collections::HashMap<K, Quantiles>,
}

impl<K> Default for Estimates<K> {
    fn default() -> Self {
        Self {
            samples: collections::HashMap::new(),
        }
    }
}

impl<K: Eq + hash::Hash> Estimates<K> {
    /// Takes in the time that a stage took at its target.
    pub fn record(&mut self, stage: K, elapsed: time::Duration, now: Instant) {
        let sample = self.samples.entry(stage);
        sample
            .or_insert_with(|| Quantiles::new(now))
            .record(elapsed, now);
    }

    /// Forgets the stages that are not kept.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.samples.retain(|stage, _| keep(stage));
    }

    /// Returns a quantile of a stage's time, once enough was measured.
    pub fn quantile(&self, stage: &K, quantile: f64, now: Instant) -> Option<time::Duration> {
        self.samples.get(stage)?.quantile(quantile, now)
    }

    /// Returns the expected time of the stages that are left; unmeasured ones count nothing.
    ///
    /// The more urgent a request, the more favourable the quantile: it is tried at worse odds.
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
        let times = stages
            .into_iter()
            .map(|stage| self.quantile(&stage, quantile, now));
        times.map(Option::unwrap_or_default).sum()
    }
}

/// Decides whether a request can finish in time; if not, it is refused and did not run.
///
/// Work that will miss its deadline holds a target for nothing, and makes the next miss theirs too.
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
/// let mut drain = estimate::Throughput::new(now);
/// let stage_time = Duration::from_millis(300);
/// let outlook = estimate::Remaining { time_left: Duration::from_secs(1), queued: 0, stage_time };
/// assert!(estimate::check_deadline(&outlook, &mut drain, now, &mut rng).is_ok());
/// let late = estimate::Remaining { time_left: Duration::from_millis(200), ..outlook };
/// assert!(estimate::check_deadline(&late, &mut drain, now, &mut rng).is_err());
/// ```
pub fn check_deadline(
    outlook: &Remaining,
    drain: &mut Throughput,
    now: Instant,
    rng: &mut impl rand::Rng,
) -> Result<(), verdict::Refusal> {
    let wait = drain.wait_time(outlook.queued, now);
    let expected = wait + outlook.stage_time;
    if expected <= outlook.time_left {
        return Ok(());
    }
    // If the stages alone take longer, no later moment is better; only the wait gets shorter.
    let excess = (expected - outlook.time_left).min(wait);
    let period = unit::Period(drain.retry_after(excess, now, rng));
    Err(verdict::Refusal::not_run(verdict::Reason::DeadlineTooShort).retry_after(period))
}
