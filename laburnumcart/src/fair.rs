//! Weighted fair queue of the teams at one target.
//!
//! Each team has a virtual time: the cost that it was served, divided by its weight. The team that
//! is furthest behind is served next. A priority below the highest adds a fixed lead to the
//! comparison, so that urgent work overtakes, yet only by that lead: a team that floods the target
//! with urgent work comes back to its share, and nobody starves.

use std::{
    collections,
    time, //
};

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    bundle,
    verdict, //
};

mod team;

use team::Team;

slotmap::new_key_type! {
    /// A team of one queue.
    pub struct TeamKey;

    /// A waiting entry of one queue.
    pub struct EntryKey;
}

/// Virtual time of one unit of cost at weight 1.
const UNIT: u128 = 1 << 20;

/// Requests of unit cost by which a team of mean weight overtakes for each step of priority.
const LEAD: u128 = 8;

/// Number of priorities.
const LEVELS: usize = 3;

/// Time by which each step of priority overtakes a deadline within one team.
const SLACK: time::Duration = time::Duration::from_secs(1);

/// Work that asks for a place.
#[derive(Clone, Debug)]
pub struct Request<T> {
    /// Priority under contention.
    pub priority: bundle::Priority,
    /// Moment after which it is dropped.
    pub deadline: Instant,
    /// Expected cost in any unit that all requests of the queue share; 0 counts as 1.
    pub cost: u32,
    /// What the caller wants back.
    pub value: T,
}

/// An entry that leaves the queue to be served.
#[derive(Debug)]
pub struct Popped<T> {
    /// Its key, now free.
    pub key: EntryKey,
    /// Its team.
    pub team: TeamKey,
    /// The work.
    pub request: Request<T>,
}

/// An entry that leaves the queue unserved; it provably did not run.
#[derive(Debug)]
pub struct Dropped<T> {
    /// Its key, now free.
    pub key: EntryKey,
    /// Its team.
    pub team: TeamKey,
    /// The work.
    pub request: Request<T>,
    /// Cause.
    pub refusal: verdict::Refusal,
}

/// Outcome of [`Queue::push`].
#[derive(Debug)]
pub struct Pushed<T> {
    /// Key of the new entry; free again if `dropped` names it.
    pub key: EntryKey,
    /// Entry that had to go, possibly the new one itself.
    pub dropped: Option<Dropped<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    team: TeamKey,
    request: Request<T>,
}

/// Weighted fair queue; each operation takes logarithmic time.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{bundle::Priority, fair};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut queue = fair::Queue::new(100);
/// let clinics = queue.add_team(3, 64);
/// let races = queue.add_team(1, 64);
/// for team in [clinics, races].repeat(8) {
///     let deadline = now + Duration::from_secs(10);
///     queue.push(team, fair::Request { priority: Priority::Normal, deadline, cost: 1, value: () });
/// }
/// let served: Vec<_> = (0..8).map(|_| queue.pop(now).unwrap().team).collect();
/// assert_eq!(served.iter().filter(|t| **t == clinics).count(), 6);
/// ```
#[derive(Debug)]
pub struct Queue<T> {
    bound: usize,
    teams: SlotMap<TeamKey, Team>,
    entries: SlotMap<EntryKey, Entry<T>>,
    /// Sum of all weights.
    weights: u128,
    /// Teams with entries by virtual time, for each priority of the entry they serve next.
    levels: [collections::BTreeSet<(u128, TeamKey)>; LEVELS],
    /// Teams with entries, by waiting cost a weight.
    excess: collections::BTreeSet<(u128, TeamKey)>,
    /// Entries by deadline.
    deadlines: collections::BTreeSet<(Instant, EntryKey)>,
    expired: Vec<Dropped<T>>,
    clock: Clock,
}

/// How far the teams with entries have come; never goes back.
#[derive(Clone, Copy, Debug, Default)]
struct Clock {
    /// Least virtual time.
    time: u128,
    /// Least virtual time with the lead of priorities counted in.
    rank: u128,
}

impl<T> Queue<T> {
    /// Creates a queue that holds at most `bound` entries in all.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            teams: SlotMap::with_key(),
            entries: SlotMap::with_key(),
            weights: 0,
            levels: Default::default(),
            excess: collections::BTreeSet::new(),
            deadlines: collections::BTreeSet::new(),
            expired: Vec::new(),
            clock: Clock::default(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries of a team.
    pub fn team_len(&self, team: TeamKey) -> usize {
        self.teams.get(team).map_or(0, Team::len)
    }

    /// Returns when the next entry expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Adds a team; a weight of 0 counts as 1, and at most `bound` of its entries wait.
    pub fn add_team(&mut self, weight: u32, bound: usize) -> TeamKey {
        let team = Team::new(weight, bound, self.clock.time);
        self.weights += team.weight();
        self.teams.insert(team)
    }

    /// Changes the weight and bound of a team; entries above the new bound stay.
    pub fn set_team(&mut self, key: TeamKey, weight: u32, bound: usize) {
        let before = self.teams.get(key).map_or(0, Team::weight);
        self.change(key, |team| team.set(weight, bound));
        let after = self.teams.get(key).map_or(0, Team::weight);
        self.weights = self.weights + after - before;
    }

    /// Removes a team and returns what waited.
    pub fn remove_team(&mut self, key: TeamKey) -> Vec<Dropped<T>> {
        let keys = self.teams.get(key).map(Team::keys).unwrap_or_default();
        let reason = verdict::Reason::UnknownPipeline;
        let dropped = keys.iter().filter_map(|k| self.discard(*k, reason));
        let dropped = dropped.collect();
        if let Some(team) = self.teams.remove(key) {
            self.weights -= team.weight();
        }
        dropped
    }

    /// Adds work of a team; at a bound, the least important entry of the team at fault goes.
    ///
    /// # Panics
    ///
    /// Panics if the team was removed.
    pub fn push(&mut self, key: TeamKey, request: Request<T>) -> Pushed<T> {
        let place = team::Place::new(&request);
        let entry = self.entries.insert(Entry { team: key, request });
        self.deadlines.insert((place.deadline, entry));
        let start = self.start(place.priority);
        self.change(key, |team| team.insert(place, entry, start));
        let dropped = self.shed(key);
        Pushed {
            key: entry,
            dropped,
        }
    }

    /// Takes the entry to serve next; entries past their deadline go to [`Queue::take_expired`].
    pub fn pop(&mut self, now: Instant) -> Option<Popped<T>> {
        self.expire(now);
        let (rank, team) = self.next()?;
        self.advance(rank);
        let key = self.teams[team].head()?;
        let entry = self.unlink(key)?;
        let cost = u128::from(entry.request.cost.max(1));
        self.change(team, |t| t.charge(cost * UNIT));
        Some(Popped {
            key,
            team,
            request: entry.request,
        })
    }

    /// Removes a waiting entry, for a caller that has gone.
    pub fn remove(&mut self, key: EntryKey) -> Option<Request<T>> {
        self.unlink(key).map(|entry| entry.request)
    }

    /// Corrects a team's account once the true cost of served work is known.
    pub fn correct_cost(&mut self, key: TeamKey, expected: u32, actual: u32) {
        let (expected, actual) = (u128::from(expected.max(1)), u128::from(actual.max(1)));
        self.change(key, |team| {
            if actual >= expected {
                team.charge((actual - expected) * UNIT);
            } else {
                team.refund((expected - actual) * UNIT);
            }
        });
    }

    /// Drops all entries whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.deadlines.first().copied()
            && at <= now
        {
            let dropped = self.discard(key, verdict::Reason::DeadlineExceeded);
            self.expired.extend(dropped);
        }
    }

    /// Returns the entries that expired since the last call.
    pub fn take_expired(&mut self) -> Vec<Dropped<T>> {
        std::mem::take(&mut self.expired)
    }

    /// Drops one entry if a bound is exceeded after a push to `team`.
    fn shed(&mut self, team: TeamKey) -> Option<Dropped<T>> {
        if self.teams[team].is_over() {
            let key = self.teams[team].tail()?;
            return self.discard(key, verdict::Reason::OverShare);
        }
        if self.entries.len() <= self.bound {
            return None;
        }
        let (_, most) = *self.excess.last()?;
        let key = self.teams[most].tail()?;
        self.discard(key, verdict::Reason::Overloaded)
    }

    fn discard(&mut self, key: EntryKey, reason: verdict::Reason) -> Option<Dropped<T>> {
        let entry = self.unlink(key)?;
        Some(Dropped {
            key,
            team: entry.team,
            request: entry.request,
            refusal: verdict::Refusal::not_run(reason),
        })
    }

    fn unlink(&mut self, key: EntryKey) -> Option<Entry<T>> {
        let entry = self.entries.remove(key)?;
        let place = team::Place::new(&entry.request);
        self.deadlines.remove(&(place.deadline, key));
        self.change(entry.team, |team| team.remove(place, key));
        Some(entry)
    }

    /// Changes a team and keeps the orders over teams in step.
    fn change(&mut self, key: TeamKey, f: impl FnOnce(&mut Team)) {
        let Some(team) = self.teams.get_mut(key) else {
            return;
        };
        if let Some(ranks) = team.ranks() {
            self.levels[ranks.level].remove(&(ranks.time, key));
            self.excess.remove(&(ranks.excess, key));
        }
        f(team);
        if let Some(ranks) = team.ranks() {
            self.levels[ranks.level].insert((ranks.time, key));
            self.excess.insert((ranks.excess, key));
        }
    }

    /// Returns the virtual time by which one step of priority overtakes.
    fn lead(&self) -> u128 {
        LEAD * UNIT * self.teams.len() as u128 / self.weights.max(1)
    }

    /// Returns the team to serve next, with its rank.
    fn next(&self) -> Option<(u128, TeamKey)> {
        let lead = self.lead();
        let heads = self.levels.iter().zip(0..);
        let ranks = heads.filter_map(|(level, step)| {
            let (time, key) = *level.first()?;
            Some((time + lead * step, key))
        });
        ranks.min()
    }

    /// Moves the clock to the teams that are furthest behind.
    fn advance(&mut self, rank: u128) {
        let heads = self.levels.iter().filter_map(|level| level.first());
        let time = heads.map(|(time, _)| *time).min().unwrap_or(0);
        self.clock.time = self.clock.time.max(time);
        self.clock.rank = self.clock.rank.max(rank);
    }

    /// Returns the least virtual time of a team that comes back with work of a priority.
    ///
    /// A team that was idle is owed nothing for the past, or it would shut the others out on its
    /// return. What it is behind by the lead of more urgent teams, it keeps: a team with a single
    /// request at a time would otherwise lose that lead again and again.
    fn start(&self, priority: bundle::Priority) -> u128 {
        let lead = self.lead() * priority as u128;
        self.clock.time.min(self.clock.rank.saturating_sub(lead))
    }
}
