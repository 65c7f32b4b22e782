//! Weighted fair queueing of the teams at one target.
//!
//! Each team has a virtual time: the cost of its served work divided by its weight. The team with
//! the least virtual time is served next. Each step of priority below the highest adds a fixed
//! penalty in this comparison. Urgent work therefore goes first, but only within that penalty: a
//! team that floods the target with urgent work falls back to its share, and no team starves.

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
    /// Key of a team in one queue.
    pub struct TeamKey;

    /// Key of a waiting entry in one queue.
    pub struct EntryKey;
}

/// Virtual time of one unit of cost at weight 1.
const UNIT: u128 = 1 << 20;

/// Penalty of each step of priority, in requests of unit cost for a team of mean weight.
const PENALTY_REQUESTS: u128 = 8;

/// Number of priorities.
const PRIORITIES: usize = 3;

/// Time added to the deadline for each step of priority below the highest, where the entries of one
/// team are sorted by deadline.
const PRIORITY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Request to be queued.
#[derive(Clone, Debug)]
pub struct Request<T> {
    /// Priority under contention.
    pub priority: bundle::Priority,
    /// Time after which the request is dropped.
    pub deadline: Instant,
    /// Expected cost, in a unit common to all requests of the queue; 0 counts as 1.
    pub cost: u32,
    /// Caller's own data.
    pub value: T,
}

/// Entry taken from the queue to be served.
#[derive(Debug)]
pub struct Popped<T> {
    /// Key of the entry, no longer valid.
    pub key: EntryKey,
    /// Team of the entry.
    pub team: TeamKey,
    /// Queued request.
    pub request: Request<T>,
}

/// Entry dropped from the queue, proven not executed.
#[derive(Debug)]
pub struct Dropped<T> {
    /// Key of the entry, no longer valid.
    pub key: EntryKey,
    /// Team of the entry.
    pub team: TeamKey,
    /// Queued request.
    pub request: Request<T>,
    /// Refusal to return to the caller.
    pub refusal: verdict::Refusal,
}

/// Outcome of [`Queue::push`].
#[derive(Debug)]
pub struct Pushed<T> {
    /// Key of the new entry; not valid if that entry was dropped.
    pub key: EntryKey,
    /// Entry dropped for the new one, possibly the new one itself.
    pub dropped: Option<Dropped<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    team: TeamKey,
    request: Request<T>,
}

/// Weighted fair queue whose operations take logarithmic time.
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
    capacity: usize,
    teams: SlotMap<TeamKey, Team>,
    entries: SlotMap<EntryKey, Entry<T>>,
    /// Sum of all weights.
    weights: u128,
    /// Teams with entries by virtual time, for each priority of their next entry.
    by_priority: [collections::BTreeSet<(u128, TeamKey)>; PRIORITIES],
    /// Teams with entries by waiting cost per weight.
    by_excess: collections::BTreeSet<(u128, TeamKey)>,
    /// Entries by deadline.
    by_deadline: collections::BTreeSet<(Instant, EntryKey)>,
    expired: Vec<Dropped<T>>,
    clock: Clock,
}

/// Progress of the teams with entries; it never decreases.
#[derive(Clone, Copy, Debug, Default)]
struct Clock {
    /// Least virtual time.
    time: u128,
    /// Least virtual time including the penalty of priorities.
    penalized_time: u128,
}

impl<T> Queue<T> {
    /// Creates a queue of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            teams: SlotMap::with_key(),
            entries: SlotMap::with_key(),
            weights: 0,
            by_priority: Default::default(),
            by_excess: collections::BTreeSet::new(),
            by_deadline: collections::BTreeSet::new(),
            expired: Vec::new(),
            clock: Clock::default(),
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries of a team.
    pub fn team_len(&self, team: TeamKey) -> usize {
        self.teams.get(team).map_or(0, Team::len)
    }

    /// Returns the earliest deadline of an entry.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_deadline.first().map(|(at, _)| *at)
    }

    /// Adds a team with at most `bound` entries; a weight of 0 counts as 1.
    pub fn add_team(&mut self, weight: u32, bound: usize) -> TeamKey {
        let team = Team::new(weight, bound, self.clock.time);
        self.weights += team.weight();
        self.teams.insert(team)
    }

    /// Changes the weight and bound of a team; entries beyond the new bound stay.
    pub fn set_team(&mut self, key: TeamKey, weight: u32, bound: usize) {
        let before = self.teams.get(key).map_or(0, Team::weight);
        self.update_team(key, |team| team.set(weight, bound));
        let after = self.teams.get(key).map_or(0, Team::weight);
        self.weights = self.weights + after - before;
    }

    /// Removes a team and returns its entries.
    pub fn remove_team(&mut self, key: TeamKey) -> Vec<Dropped<T>> {
        let keys = self.teams.get(key).map(Team::keys).unwrap_or_default();
        // No reason stands for a removed team; its pipelines are gone with it.
        let reason = verdict::Reason::UnknownPipeline;
        let dropped = keys.iter().filter_map(|k| self.drop_entry(*k, reason));
        let dropped = dropped.collect();
        if let Some(team) = self.teams.remove(key) {
            self.weights -= team.weight();
        }
        dropped
    }

    /// Adds a request of a team.
    ///
    /// If the bound of the team is exceeded, its least important entry is dropped; if the capacity
    /// of the queue is, that of the team with the highest waiting cost per weight.
    ///
    /// # Panics
    ///
    /// Panics if the team was removed.
    pub fn push(&mut self, key: TeamKey, request: Request<T>) -> Pushed<T> {
        let sort_key = team::SortKey::new(&request);
        let entry = self.entries.insert(Entry { team: key, request });
        self.by_deadline.insert((sort_key.deadline, entry));
        let start = self.start_time(sort_key.priority);
        self.update_team(key, |team| team.insert(sort_key, entry, start));
        let dropped = self.shed_excess(key);
        Pushed {
            key: entry,
            dropped,
        }
    }

    /// Takes the entry to serve next; expired entries are returned by [`Queue::take_expired`].
    pub fn pop(&mut self, now: Instant) -> Option<Popped<T>> {
        self.expire(now);
        let (penalized_time, team) = self.next_team()?;
        self.advance_clock(penalized_time);
        let key = self.teams[team].next_served()?;
        let entry = self.remove_entry(key)?;
        let cost = u128::from(entry.request.cost.max(1));
        self.update_team(team, |t| t.charge(cost * UNIT));
        Some(Popped {
            key,
            team,
            request: entry.request,
        })
    }

    /// Removes an entry whose caller has gone.
    pub fn remove(&mut self, key: EntryKey) -> Option<Request<T>> {
        self.remove_entry(key).map(|entry| entry.request)
    }

    /// Corrects the charged cost of a served request once its actual cost is known.
    pub fn correct_cost(&mut self, key: TeamKey, expected: u32, actual: u32) {
        let (expected, actual) = (u128::from(expected.max(1)), u128::from(actual.max(1)));
        self.update_team(key, |team| {
            if actual >= expected {
                team.charge((actual - expected) * UNIT);
            } else {
                team.refund((expected - actual) * UNIT);
            }
        });
    }

    /// Drops all entries whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.by_deadline.first().copied()
            && at <= now
        {
            let dropped = self.drop_entry(key, verdict::Reason::DeadlineExceeded);
            self.expired.extend(dropped);
        }
    }

    /// Returns the entries that expired since the last call.
    pub fn take_expired(&mut self) -> Vec<Dropped<T>> {
        std::mem::take(&mut self.expired)
    }

    /// Drops one entry if a bound is exceeded after a push to `team`.
    fn shed_excess(&mut self, team: TeamKey) -> Option<Dropped<T>> {
        if self.teams[team].is_over_bound() {
            let key = self.teams[team].next_shed()?;
            return self.drop_entry(key, verdict::Reason::OverShare);
        }
        if self.entries.len() <= self.capacity {
            return None;
        }
        let (_, largest) = *self.by_excess.last()?;
        let key = self.teams[largest].next_shed()?;
        self.drop_entry(key, verdict::Reason::Overloaded)
    }

    fn drop_entry(&mut self, key: EntryKey, reason: verdict::Reason) -> Option<Dropped<T>> {
        let entry = self.remove_entry(key)?;
        Some(Dropped {
            key,
            team: entry.team,
            request: entry.request,
            refusal: verdict::Refusal::not_run(reason),
        })
    }

    fn remove_entry(&mut self, key: EntryKey) -> Option<Entry<T>> {
        let entry = self.entries.remove(key)?;
        let sort_key = team::SortKey::new(&entry.request);
        self.by_deadline.remove(&(sort_key.deadline, key));
        self.update_team(entry.team, |team| team.remove(sort_key, key));
        Some(entry)
    }

    /// Changes a team and updates the indices over teams.
    fn update_team(&mut self, key: TeamKey, change: impl FnOnce(&mut Team)) {
        let Some(team) = self.teams.get_mut(key) else {
            return;
        };
        if let Some(keys) = team.index_keys() {
            self.by_priority[keys.priority].remove(&(keys.time, key));
            self.by_excess.remove(&(keys.excess, key));
        }
        change(team);
        if let Some(keys) = team.index_keys() {
            self.by_priority[keys.priority].insert((keys.time, key));
            self.by_excess.insert((keys.excess, key));
        }
    }

    /// Returns the virtual time that each step of priority adds.
    fn priority_penalty(&self) -> u128 {
        PENALTY_REQUESTS * UNIT * self.teams.len() as u128 / self.weights.max(1)
    }

    /// Returns the team to serve next, with its virtual time including the penalty.
    fn next_team(&self) -> Option<(u128, TeamKey)> {
        let penalty = self.priority_penalty();
        let levels = self.by_priority.iter().zip(0..);
        let candidates = levels.filter_map(|(level, step)| {
            let (time, key) = *level.first()?;
            Some((time + penalty * step, key))
        });
        candidates.min()
    }

    /// Advances the clock to the least virtual times.
    fn advance_clock(&mut self, penalized_time: u128) {
        let heads = self.by_priority.iter().filter_map(|level| level.first());
        let time = heads.map(|(time, _)| *time).min().unwrap_or(0);
        self.clock.time = self.clock.time.max(time);
        self.clock.penalized_time = self.clock.penalized_time.max(penalized_time);
    }

    /// Returns the lower bound of the virtual time of a team that was idle and has new work of a
    /// priority.
    ///
    /// An idle team accumulates no credit, which would let it block the others on its return. But
    /// it keeps the lag caused by the penalty of its priority: a team with a single request at a
    /// time would otherwise lose that lag again and again.
    fn start_time(&self, priority: bundle::Priority) -> u128 {
        let penalty = self.priority_penalty() * priority as u128;
        self.clock
            .time
            .min(self.clock.penalized_time.saturating_sub(penalty))
    }
}
