//! Admission of requests at an entry.
//!
//! The queues at the agents share each target by weight. Before them, a flood would still fill the
//! entry's memory and its connections. So each team has a share of what the entry keeps in flight.
//! What others leave unused is lent, less of it to lower priorities. The total follows the agents'
//! refusals: a refusal for overload lowers it for all, one for a team's share lowers that team's.

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
    /// A team at one entry.
    pub struct TeamKey;
}

/// Requests in flight that an entry allows before anything was measured.
const INITIAL: f64 = 256.0;

/// Fewest and most requests in flight that the total can come to.
const TOTAL: (f64, f64) = (8.0, 65_536.0);

/// Factor of the total, or of a team's bound, after refusals.
const CUT: f64 = 0.8;

/// Time for which one cut stands, as the refusals in it have one cause.
const PAUSE: time::Duration = time::Duration::from_millis(250);

/// Requests by which a bound grows for each round of completions.
const GROWTH: f64 = 4.0;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Whole answer.
    Done,
    /// Refused or failed.
    Refused(verdict::Reason),
}

#[derive(Clone, Debug)]
struct Team {
    weight: u32,
    running: u32,
    /// Bound after refusals for the team's share; infinite without.
    bound: f64,
    cut: Option<Instant>,
}

/// Admission of one entry; each decision takes constant time.
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
    total: f64,
    running: u32,
    /// Sum of the weights of teams with requests in flight.
    active: u64,
    cut: Option<Instant>,
    drain: estimate::Throughput,
}

impl Controller {
    /// Creates the admission of an entry that has just started.
    pub fn new(now: Instant) -> Self {
        Self {
            teams: SlotMap::with_key(),
            total: INITIAL,
            running: 0,
            active: 0,
            cut: None,
            drain: estimate::Throughput::new(now),
        }
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.running
    }

    /// Returns the requests that may be in flight before shares are enforced.
    pub fn capacity(&self) -> u32 {
        self.total as u32
    }

    /// Adds a team; a weight of 0 counts as 1.
    pub fn add_team(&mut self, weight: u32) -> TeamKey {
        self.teams.insert(Team {
            weight: weight.max(1),
            running: 0,
            bound: f64::INFINITY,
            cut: None,
        })
    }

    /// Changes the weight of a team.
    pub fn set_weight(&mut self, key: TeamKey, weight: u32) {
        let Some(team) = self.teams.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut team.weight, weight.max(1));
        if team.running > 0 {
            self.active = self.active - u64::from(before) + u64::from(team.weight);
        }
    }

    /// Removes a team; what it has in flight is forgotten.
    pub fn remove_team(&mut self, key: TeamKey) {
        let Some(team) = self.teams.remove(key) else {
            return;
        };
        self.running -= team.running;
        if team.running > 0 {
            self.active -= u64::from(team.weight);
        }
    }

    /// Admits a request or refuses it as not run; each one admitted must be finished.
    ///
    /// Within its share a team is admitted even when others have borrowed that room, so there may be
    /// up to twice the total in flight until they finish.
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
        let running = f64::from(team.running);
        if running >= team.bound {
            return Err(self.refuse(verdict::Reason::OverShare, now, rng));
        }
        let in_share = running < self.share(team);
        let lent = f64::from(self.running) < self.total * lendable(priority);
        if !in_share && !lent {
            let reason = self.reason(team);
            return Err(self.refuse(reason, now, rng));
        }
        self.enter(key);
        Ok(())
    }

    /// Ends an admitted request.
    pub fn finish(&mut self, key: TeamKey, outcome: Outcome, now: Instant) {
        let saturated = f64::from(self.running) >= 0.7 * self.total;
        if !self.leave(key) {
            return;
        }
        match outcome {
            Outcome::Done => {
                self.drain.record(now);
                self.grow(key, saturated);
            }
            Outcome::Refused(verdict::Reason::Overloaded) => self.cut_total(now),
            Outcome::Refused(verdict::Reason::OverShare) => self.cut_team(key, now),
            Outcome::Refused(_) => {}
        }
    }

    /// Returns a team's part of the total, among the teams with requests in flight.
    fn share(&self, team: &Team) -> f64 {
        let own = u64::from(team.weight);
        let others = self.active - if team.running > 0 { own } else { 0 };
        (self.total * own as f64 / (own + others) as f64).max(1.0)
    }

    fn reason(&self, team: &Team) -> verdict::Reason {
        if u64::from(team.weight) == self.active {
            // The only active team has no one whose share it could take.
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
        let period = self.drain.retry_after(time::Duration::ZERO, now, rng);
        verdict::Refusal::not_run(reason).retry_after(unit::Period(period))
    }

    fn enter(&mut self, key: TeamKey) {
        let team = &mut self.teams[key];
        if team.running == 0 {
            self.active += u64::from(team.weight);
        }
        team.running += 1;
        self.running += 1;
    }

    fn leave(&mut self, key: TeamKey) -> bool {
        let Some(team) = self.teams.get_mut(key).filter(|team| team.running > 0) else {
            return false;
        };
        team.running -= 1;
        self.running -= 1;
        if team.running == 0 {
            self.active -= u64::from(team.weight);
        }
        true
    }

    fn grow(&mut self, key: TeamKey, saturated: bool) {
        // Room that was not used proves nothing.
        if saturated {
            self.total = (self.total + GROWTH / self.total).min(TOTAL.1);
        }
        let team = &mut self.teams[key];
        team.bound += GROWTH / team.bound;
        if team.bound > self.total {
            team.bound = f64::INFINITY;
        }
    }

    fn cut_total(&mut self, now: Instant) {
        if is_pausing(self.cut, now) {
            return;
        }
        self.cut = Some(now);
        let used = self.total.min(f64::from(self.running + 1));
        self.total = (used * CUT).max(TOTAL.0);
    }

    fn cut_team(&mut self, key: TeamKey, now: Instant) {
        let team = &mut self.teams[key];
        if is_pausing(team.cut, now) {
            return;
        }
        team.cut = Some(now);
        let used = team.bound.min(f64::from(team.running + 1));
        team.bound = (used * CUT).max(1.0);
    }
}

/// Returns the part of the total up to which a priority may borrow.
fn lendable(priority: bundle::Priority) -> f64 {
    match priority {
        bundle::Priority::High => 1.0,
        bundle::Priority::Normal => 0.9,
        bundle::Priority::Low => 0.75,
    }
}

fn is_pausing(cut: Option<Instant>, now: Instant) -> bool {
    cut.is_some_and(|at| now.saturating_duration_since(at) < PAUSE)
}
