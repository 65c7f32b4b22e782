//! Admission control at an entry.
//!
//! The queues at the agents share each target among teams by weight, but a flood of requests would
//! still exhaust the memory and connections of the entry. So each team has a share of the requests
//! that the entry keeps in flight. A team may borrow the unused part of other shares, less of it at
//! lower priorities. The limits follow the agents' refusals: a refusal for overload lowers the
//! capacity for all teams, one for a team's share lowers the limit of that team.

use std::time;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    bundle,
    estimate,
    unit,
    verdict, //
};

slotmap::new_key_type! {
    /// Key of a team at one entry.
    pub struct TeamKey;
}

/// Initial capacity, in requests in flight.
const INITIAL_CAPACITY: f64 = 256.0;

/// Least and greatest capacity, in requests in flight.
const CAPACITY_RANGE: (f64, f64) = (8.0, 65_536.0);

/// Factor of the capacity, or of a team's limit, after refusals.
const DECREASE_FACTOR: f64 = 0.8;

/// Least time between two decreases, as refusals close together have the same cause.
const DECREASE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Requests by which a limit grows for every completion of as many requests as it allows.
const GROWTH: f64 = 4.0;

/// Outcome of an admitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was answered in full.
    Done,
    /// The request was refused or failed.
    Refused(verdict::Reason),
}

#[derive(Clone, Debug)]
struct Team {
    weight: u32,
    in_flight: u32,
    /// Limit after refusals for the team's share; otherwise infinite.
    limit: f64,
    decreased: Option<Instant>,
}

/// Admission controller of one entry; each decision takes constant time.
///
/// ```
/// use laburnumcart::{admission, bundle::Priority, verdict};
/// use rand::SeedableRng;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut admission = admission::Controller::new(now);
/// let (flood, calm) = (admission.add_team(1), admission.add_team(1));
/// while admission.admit(flood, Priority::Normal, now, &mut rng).is_ok() {}
/// let refusal = admission.admit(flood, Priority::Normal, now, &mut rng).unwrap_err();
/// assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
/// assert!(admission.admit(calm, Priority::Normal, now, &mut rng).is_ok());
/// ```
#[derive(Debug)]
pub struct Controller {
    teams: SlotMap<TeamKey, Team>,
    capacity: f64,
    in_flight: u32,
    /// Sum of the weights of teams with requests in flight.
    active_weight: u64,
    decreased: Option<Instant>,
    throughput: estimate::Throughput,
}

impl Controller {
    /// Creates the controller of an entry that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            teams: SlotMap::with_key(),
            capacity: INITIAL_CAPACITY,
            in_flight: 0,
            active_weight: 0,
            decreased: None,
            throughput: estimate::Throughput::new(now),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests in flight up to which shares are not enforced.
    pub fn capacity(&self) -> u32 {
        self.capacity as u32
    }

    /// Adds a team; a weight of 0 counts as 1.
    pub fn add_team(&mut self, weight: u32) -> TeamKey {
        self.teams.insert(Team {
            weight: weight.max(1),
            in_flight: 0,
            limit: f64::INFINITY,
            decreased: None,
        })
    }

    /// Sets the weight of a team; a weight of 0 counts as 1.
    pub fn set_weight(&mut self, key: TeamKey, weight: u32) {
        let Some(team) = self.teams.get_mut(key) else {
            return;
        };
        let previous = std::mem::replace(&mut team.weight, weight.max(1));
        if team.in_flight > 0 {
            self.active_weight = self.active_weight - u64::from(previous) + u64::from(team.weight);
        }
    }

    /// Removes a team; its requests in flight are no longer counted.
    pub fn remove_team(&mut self, key: TeamKey) {
        let Some(team) = self.teams.remove(key) else {
            return;
        };
        self.in_flight -= team.in_flight;
        if team.in_flight > 0 {
            self.active_weight -= u64::from(team.weight);
        }
    }

    /// Admits a request or refuses it as not run; each admitted request must be [finished].
    ///
    /// Requests within a team's share are admitted even if other teams have borrowed the share, so
    /// up to twice the capacity may be in flight until those finish.
    ///
    /// [finished]: Self::finish
    pub fn admit(
        &mut self,
        key: TeamKey,
        priority: bundle::Priority,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Result<(), verdict::Refusal> {
        let Some(team) = self.teams.get(key) else {
            return Err(verdict::Refusal::not_run(verdict::Reason::Unauthorized));
        };
        let in_flight = f64::from(team.in_flight);
        if in_flight >= team.limit {
            return Err(self.refuse(verdict::Reason::OverShare, now, rng));
        }
        let in_share = in_flight < self.share(team);
        let can_borrow = f64::from(self.in_flight) < self.capacity * max_utilization(priority);
        if !in_share && !can_borrow {
            let reason = self.refusal_reason(team);
            return Err(self.refuse(reason, now, rng));
        }
        self.count_admitted(key);
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn finish(&mut self, key: TeamKey, outcome: Outcome, now: Instant) {
        let saturated = f64::from(self.in_flight) >= 0.7 * self.capacity;
        if !self.count_finished(key) {
            return;
        }
        match outcome {
            Outcome::Done => {
                self.throughput.record(now);
                self.raise_limits(key, saturated);
            }
            Outcome::Refused(verdict::Reason::Overloaded) => self.lower_capacity(now),
            Outcome::Refused(verdict::Reason::OverShare) => self.lower_team_limit(key, now),
            Outcome::Refused(_) => {}
        }
    }

    /// Returns a team's share of the capacity, among the teams with requests in flight.
    fn share(&self, team: &Team) -> f64 {
        let own = u64::from(team.weight);
        let others = self.active_weight - if team.in_flight > 0 { own } else { 0 };
        (self.capacity * own as f64 / (own + others) as f64).max(1.0)
    }

    fn refusal_reason(&self, team: &Team) -> verdict::Reason {
        if u64::from(team.weight) == self.active_weight {
            // The only active team exceeds no share.
            verdict::Reason::Overloaded
        } else {
            verdict::Reason::OverShare
        }
    }

    fn refuse(
        &mut self,
        reason: verdict::Reason,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> verdict::Refusal {
        let period = self.throughput.retry_after(time::Duration::ZERO, now, rng);
        verdict::Refusal::not_run(reason).retry_after(unit::Period(period))
    }

    fn count_admitted(&mut self, key: TeamKey) {
        let team = &mut self.teams[key];
        if team.in_flight == 0 {
            self.active_weight += u64::from(team.weight);
        }
        team.in_flight += 1;
        self.in_flight += 1;
    }

    /// Removes a request from the counts; returns false if the team has none in flight.
    fn count_finished(&mut self, key: TeamKey) -> bool {
        let Some(team) = self.teams.get_mut(key).filter(|team| team.in_flight > 0) else {
            return false;
        };
        team.in_flight -= 1;
        self.in_flight -= 1;
        if team.in_flight == 0 {
            self.active_weight -= u64::from(team.weight);
        }
        true
    }

    fn raise_limits(&mut self, key: TeamKey, saturated: bool) {
        // Completions below saturation do not justify a higher capacity.
        if saturated {
            self.capacity = (self.capacity + GROWTH / self.capacity).min(CAPACITY_RANGE.1);
        }
        let team = &mut self.teams[key];
        team.limit += GROWTH / team.limit;
        if team.limit > self.capacity {
            team.limit = f64::INFINITY;
        }
    }

    fn lower_capacity(&mut self, now: Instant) {
        if was_just_decreased(self.decreased, now) {
            return;
        }
        self.decreased = Some(now);
        let used = self.capacity.min(f64::from(self.in_flight + 1));
        self.capacity = (used * DECREASE_FACTOR).max(CAPACITY_RANGE.0);
    }

    fn lower_team_limit(&mut self, key: TeamKey, now: Instant) {
        let team = &mut self.teams[key];
        if was_just_decreased(team.decreased, now) {
            return;
        }
        team.decreased = Some(now);
        let used = team.limit.min(f64::from(team.in_flight + 1));
        team.limit = (used * DECREASE_FACTOR).max(1.0);
    }
}

/// Returns the fraction of the capacity up to which requests of a priority may borrow.
fn max_utilization(priority: bundle::Priority) -> f64 {
    match priority {
        bundle::Priority::High => 1.0,
        bundle::Priority::Normal => 0.9,
        bundle::Priority::Low => 0.75,
    }
}

fn was_just_decreased(decreased: Option<Instant>, now: Instant) -> bool {
    decreased.is_some_and(|at| now.saturating_duration_since(at) < DECREASE_INTERVAL)
}
