//! Choice of a target by expected finish.
//!
//! Of two targets drawn at random, the one with the earlier expected finish is chosen. One of the
//! two is drawn in the own data centre, so that another data centre is used only where it is
//! faster by more than the crossing costs. With a prefix, the target that most likely holds it in
//! its cache is chosen, while its load is near the mean.

use std::time;

use tokio::time::Instant;

use crate::id;

pub mod latency;
pub mod prefix;
mod table;

pub use table::Table;

/// Age at which half of a reported load is replaced by the mean of all targets.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Most load of a target that is chosen for its cache, as a multiple of the mean.
const BALANCE: f64 = 1.25;

/// Draws before the eligible targets are counted.
const DRAWS: usize = 8;

/// Whether a target can take work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Does not answer, or its agent has no live connection.
    Down,
    /// Takes no new work.
    Leaving,
    /// Excluded as an outlier.
    Ejected,
}

/// Load as a target's agent reported it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Attempts that execute or wait, from all senders.
    pub pending: u32,
    /// Part of `pending` that this process had sent.
    pub own_pending: u32,
    /// Attempts that the target executes at once without slowing down; 0 counts as 1.
    pub limit: u32,
    /// Mean time an attempt takes at the target.
    pub service_time: time::Duration,
    /// Moment that the report describes.
    pub at: Instant,
}

/// A target as a router sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name; decides the affinity of prefixes.
    pub name: id::TargetName,
    /// Whether it can take work.
    pub state: State,
    /// Last report.
    pub load: Load,
    /// Whether it is in the own data centre.
    pub local: bool,
    /// Measured time that a call takes to get there and back.
    pub extra_latency: time::Duration,
}

/// One question for a target.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// Positions in the table that were tried before.
    pub tried: &'a [usize],
    /// Key of the prompt's prefix, as of [`prefix::key`]; engines only.
    pub prefix: Option<u64>,
    /// Attempts that this process has in flight at a position.
    pub in_flight: &'a dyn Fn(usize) -> u32,
    /// Present time.
    pub now: Instant,
}

impl Table {
    /// Chooses a target; returns its position, or `None` if no target is eligible.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use laburnumcart::balancer;
    /// use rand::SeedableRng;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let target = |name: &str, pending| balancer::Target {
    ///     name: name.parse().unwrap(),
    ///     state: balancer::State::Ready,
    ///     load: balancer::Load {
    ///         pending,
    ///         own_pending: 0,
    ///         limit: 4,
    ///         service_time: Duration::from_millis(50),
    ///         at: now,
    ///     },
    ///     local: true,
    ///     extra_latency: Duration::ZERO,
    /// };
    /// let table = balancer::Table::new(vec![target("busy", 9), target("free", 0)]);
    /// let ask = balancer::Request { tried: &[], prefix: None, in_flight: &|_| 0, now };
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let chosen = table.choose(&ask, &mut rng).unwrap();
    /// assert_eq!(table.targets()[chosen].name.as_str(), "free");
    /// ```
    pub fn choose(&self, ask: &Request<'_>, rng: &mut impl rand::Rng) -> Option<usize> {
        if let Some(prefix) = ask.prefix
            && let Some(i) = self.choose_cached(prefix, ask)
        {
            return Some(i);
        }
        let all = 0..self.targets().len();
        let one = self
            .draw(0..self.local_count(), ask, None, rng)
            .or_else(|| self.draw(all.clone(), ask, None, rng))?;
        let Some(two) = self.draw(all, ask, Some(one), rng) else {
            return Some(one);
        };
        let sooner = self.expected_time(two, ask) < self.expected_time(one, ask);
        Some(if sooner { two } else { one })
    }

    /// Returns the first target that `fits` in the order of a key, by rendezvous hashing.
    ///
    /// All processes that know the same targets find the same order, whatever they know of load.
    pub fn find_by_key(&self, key: u64, fits: impl Fn(usize) -> bool) -> Option<usize> {
        let fitting = (0..self.targets().len()).filter(|i| fits(*i));
        fitting.max_by_key(|i| self.score(*i, key))
    }

    /// Returns the expected time until an attempt sent now has finished.
    pub fn expected_time(&self, i: usize, ask: &Request<'_>) -> time::Duration {
        let target = &self.targets()[i];
        let turns = 1.0 + self.pressure(i, ask);
        target.extra_latency + target.load.service_time.mul_f64(turns)
    }

    /// Returns the attempts expected at a target for each that it executes at once.
    fn pressure(&self, i: usize, ask: &Request<'_>) -> f64 {
        let load = &self.targets()[i].load;
        let age = ask.now.saturating_duration_since(load.at);
        // Without ageing, a target that was idle at its last report draws all traffic until the
        // next one. Without the mean, one whose reports have stopped would look ever more idle.
        let trust = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let others = f64::from(load.pending.saturating_sub(load.own_pending));
        let limit = f64::from(load.limit.max(1));
        let aged = trust * others / limit + (1.0 - trust) * self.mean();
        aged + f64::from((ask.in_flight)(i)) / limit
    }

    fn is_eligible(&self, i: usize, ask: &Request<'_>) -> bool {
        self.targets()[i].state == State::Ready && !ask.tried.contains(&i)
    }

    /// Draws an eligible position from a range, other than `but`.
    fn draw(
        &self,
        range: std::ops::Range<usize>,
        ask: &Request<'_>,
        but: Option<usize>,
        rng: &mut impl rand::Rng,
    ) -> Option<usize> {
        if range.is_empty() {
            return None;
        }
        let fits = |i: &usize| Some(*i) != but && self.is_eligible(*i, ask);
        for _ in 0..DRAWS {
            let i = rng.random_range(range.clone());
            if fits(&i) {
                return Some(i);
            }
        }
        let count = range.clone().filter(fits).count();
        if count == 0 {
            return None;
        }
        range.filter(fits).nth(rng.random_range(0..count))
    }

    /// Chooses by rendezvous hashing on the prefix among the targets whose load is near the mean.
    fn choose_cached(&self, prefix: u64, ask: &Request<'_>) -> Option<usize> {
        let eligible = |i: &usize| self.is_eligible(*i, ask);
        let all = 0..self.targets().len();
        let loads = all.filter(eligible).map(|i| (i, self.pressure(i, ask)));
        let loads: Vec<_> = loads.collect();
        let sum: f64 = loads.iter().map(|(_, load)| load).sum();
        let mean = sum / loads.len().max(1) as f64;
        // A popular prefix would overload its target. The bound passes what is above it to the
        // next in the prefix's own order, so that a popular prefix has few homes, not all. Up to
        // one attempt for each that the target executes at once nothing waits, so it is allowed.
        let bound = (BALANCE * mean).max(1.0);
        let near = loads.iter().filter(|(_, load)| *load < bound);
        near.max_by_key(|(i, _)| self.score(*i, prefix))
            .map(|(i, _)| *i)
    }
}
