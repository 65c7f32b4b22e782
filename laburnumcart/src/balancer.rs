//! Load balancing: power of two choices by expected completion time, and prefix affinity.
//!
//! Of two targets drawn at random, the one with the shorter expected completion time is chosen. One
//! of them is drawn from the local data centre, so that another data centre is used only if it is
//! faster despite the extra latency. For a request with a prefix, the target that most likely has
//! it in its cache is chosen as long as its load is near the mean.

use std::time;

use tokio::time::Instant;

use crate::id;

pub mod latency;
pub mod prefix;
mod table;

pub use table::Table;

/// Age at which half of a reported load is replaced by the mean of all targets.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Greatest load of a target chosen by prefix affinity, as a multiple of the mean.
const MAX_AFFINITY_LOAD: f64 = 1.25;

/// Random draws before the eligible targets are listed.
const MAX_DRAWS: usize = 8;

/// Availability of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Accepts work.
    Ready,
    /// Does not respond, or its agent is not connected.
    Down,
    /// Accepts no new work.
    Leaving,
    /// Excluded as an outlier.
    Ejected,
}

/// Load of a target, as reported by its agent.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Attempts executing or queued, from all senders.
    pub pending: u32,
    /// Attempts in `pending` that this process sent.
    pub own_pending: u32,
    /// Attempts that the target executes concurrently without slowing down; 0 counts as 1.
    pub limit: u32,
    /// Mean execution time of an attempt.
    pub service_time: time::Duration,
    /// Time of the report.
    pub at: Instant,
}

/// A target to balance load on.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name, which determines prefix affinity.
    pub name: id::TargetName,
    /// Availability.
    pub state: State,
    /// Last reported load.
    pub load: Load,
    /// Whether the target is in the local data centre.
    pub local: bool,
    /// Measured round-trip time beyond that of local targets.
    pub extra_latency: time::Duration,
}

/// Request for a target.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// Positions in the table of targets tried before.
    pub tried: &'a [usize],
    /// Key of the prompt's prefix, as returned by [`prefix::key`]; for engines only.
    pub prefix: Option<u64>,
    /// Returns the attempts of this process in flight to the target at a position.
    pub in_flight: &'a dyn Fn(usize) -> u32,
    /// Current time.
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
    /// let request = balancer::Request { tried: &[], prefix: None, in_flight: &|_| 0, now };
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let chosen = table.choose(&request, &mut rng).unwrap();
    /// assert_eq!(table.targets()[chosen].name.as_str(), "free");
    /// ```
    pub fn choose(&self, request: &Request<'_>, rng: &mut impl rand::Rng) -> Option<usize> {
        if let Some(prefix) = request.prefix
            && let Some(i) = self.choose_cached(prefix, request)
        {
            return Some(i);
        }
        let all = 0..self.targets().len();
        let first = self
            .draw(0..self.local_count(), request, None, rng)
            .or_else(|| self.draw(all.clone(), request, None, rng))?;
        let Some(second) = self.draw(all, request, Some(first), rng) else {
            return Some(first);
        };
        let is_sooner = self.expected_time(second, request) < self.expected_time(first, request);
        Some(if is_sooner { second } else { first })
    }

    /// Returns for each position the probability with which [`Table::choose`] returns it for a
    /// request without a prefix.
    pub fn choice_shares(&self, request: &Request<'_>) -> Vec<f64> {
        let mut shares = vec![0.0; self.targets().len()];
        let eligible = |range: std::ops::Range<usize>| -> Vec<usize> {
            range.filter(|i| self.is_eligible(*i, request)).collect()
        };
        let all = eligible(0..self.targets().len());
        let local = eligible(0..self.local_count());
        let firsts = if local.is_empty() { &all } else { &local };
        for first in firsts {
            let drawn = 1.0 / firsts.len() as f64;
            let others = all.iter().filter(|i| *i != first);
            let other_count = all.len() - 1;
            if other_count == 0 {
                shares[*first] += drawn;
            }
            for second in others {
                let is_sooner =
                    self.expected_time(*second, request) < self.expected_time(*first, request);
                let chosen = if is_sooner { second } else { first };
                shares[*chosen] += drawn / other_count as f64;
            }
        }
        shares
    }

    /// Returns the highest-ranked target for a key that `is_eligible`, by rendezvous hashing.
    ///
    /// All processes that know the same targets compute the same ranking, whatever loads they know.
    pub fn find_by_key(&self, key: u64, is_eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let eligible = (0..self.targets().len()).filter(|i| is_eligible(*i));
        eligible.max_by_key(|i| self.score(*i, key))
    }

    /// Returns the expected time until an attempt sent now completes.
    pub fn expected_time(&self, i: usize, request: &Request<'_>) -> time::Duration {
        let target = &self.targets()[i];
        let turns = 1.0 + self.expected_load(i, request);
        target.extra_latency + target.load.service_time.mul_f64(turns)
    }

    /// Returns the expected attempts at a target, relative to its concurrency.
    fn expected_load(&self, i: usize, request: &Request<'_>) -> f64 {
        let load = &self.targets()[i].load;
        let age = request.now.saturating_duration_since(load.at);
        // Without ageing, a target that was idle at its last report would attract all traffic until
        // the next one. Ageing towards the mean, not to zero, keeps a target whose reports have
        // stopped from looking idle.
        let weight = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let others = f64::from(load.pending.saturating_sub(load.own_pending));
        let limit = f64::from(load.limit.max(1));
        let aged = weight * others / limit + (1.0 - weight) * self.mean_load();
        aged + f64::from((request.in_flight)(i)) / limit
    }

    fn is_eligible(&self, i: usize, request: &Request<'_>) -> bool {
        self.targets()[i].state == State::Ready && !request.tried.contains(&i)
    }

    /// Draws a random eligible position from a range, other than `except`.
    fn draw(
        &self,
        range: std::ops::Range<usize>,
        request: &Request<'_>,
        except: Option<usize>,
        rng: &mut impl rand::Rng,
    ) -> Option<usize> {
        if range.is_empty() {
            return None;
        }
        let is_allowed = |i: &usize| Some(*i) != except && self.is_eligible(*i, request);
        for _ in 0..MAX_DRAWS {
            let i = rng.random_range(range.clone());
            if is_allowed(&i) {
                return Some(i);
            }
        }
        let count = range.clone().filter(is_allowed).count();
        if count == 0 {
            return None;
        }
        range.filter(is_allowed).nth(rng.random_range(0..count))
    }

    /// Chooses among the targets with a load near the mean by rendezvous hashing on the prefix.
    fn choose_cached(&self, prefix: u64, request: &Request<'_>) -> Option<usize> {
        let is_eligible = |i: &usize| self.is_eligible(*i, request);
        let all = 0..self.targets().len();
        let loads = all
            .filter(is_eligible)
            .map(|i| (i, self.expected_load(i, request)));
        let loads: Vec<_> = loads.collect();
        let sum: f64 = loads.iter().map(|(_, load)| load).sum();
        let mean = sum / loads.len().max(1) as f64;
        // A popular prefix would overload its target. Load above the bound goes to the next target
        // in the ranking of the prefix, so that the prefix is cached at few targets, not all. Up to
        // its concurrency a target queues nothing, so the bound is at least that.
        let bound = (MAX_AFFINITY_LOAD * mean).max(1.0);
        let allowed = loads.iter().filter(|(_, load)| *load < bound);
        allowed
            .max_by_key(|(i, _)| self.score(*i, prefix))
            .map(|(i, _)| *i)
    }
}
