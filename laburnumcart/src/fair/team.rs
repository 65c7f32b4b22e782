//! Account and entries of one team.

use std::collections;

use tokio::time::Instant;

use crate::{
    bundle,
    fair, //
};

/// What decides the order of an entry within its team.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) deadline: Instant,
    pub(super) priority: bundle::Priority,
    cost: u32,
}

impl Place {
    pub(super) fn new<T>(request: &fair::Request<T>) -> Self {
        Self {
            deadline: request.deadline,
            priority: request.priority,
            cost: request.cost.max(1),
        }
    }

    /// Returns the deadline, put off by the slack of its priority.
    fn urgency(&self) -> Instant {
        self.deadline + fair::SLACK * self.priority as u32
    }
}

/// Position of a team in the orders of its queue.
pub(super) struct Ranks {
    pub(super) level: usize,
    pub(super) time: u128,
    pub(super) excess: u128,
}

/// Account and entries of one team.
#[derive(Debug)]
pub(super) struct Team {
    weight: u32,
    bound: usize,
    /// Virtual time.
    time: u128,
    /// Cost of all entries.
    waiting: u128,
    /// Entries, the next to serve first.
    order: collections::BTreeMap<(Instant, fair::EntryKey), bundle::Priority>,
    /// Entries, the next to shed last.
    worth: collections::BTreeSet<(bundle::Priority, Instant, fair::EntryKey)>,
}

impl Team {
    pub(super) fn new(weight: u32, bound: usize, time: u128) -> Self {
        Self {
            weight: weight.max(1),
            bound,
            time,
            waiting: 0,
            order: collections::BTreeMap::new(),
            worth: collections::BTreeSet::new(),
        }
    }

    pub(super) fn weight(&self) -> u128 {
        u128::from(self.weight)
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn is_over(&self) -> bool {
        self.order.len() > self.bound
    }

    pub(super) fn keys(&self) -> Vec<fair::EntryKey> {
        self.order.keys().map(|(_, key)| *key).collect()
    }

    /// Returns the entry to serve next.
    pub(super) fn head(&self) -> Option<fair::EntryKey> {
        self.order.keys().next().map(|(_, key)| *key)
    }

    /// Returns the entry to shed next.
    pub(super) fn tail(&self) -> Option<fair::EntryKey> {
        self.worth.last().map(|(_, _, key)| *key)
    }

    /// Returns the positions while anything waits.
    pub(super) fn ranks(&self) -> Option<Ranks> {
        let (_, priority) = self.order.first_key_value()?;
        Some(Ranks {
            level: *priority as usize,
            time: self.time,
            excess: self.waiting * fair::UNIT / u128::from(self.weight),
        })
    }

    pub(super) fn set(&mut self, weight: u32, bound: usize) {
        self.weight = weight.max(1);
        self.bound = bound;
    }

    pub(super) fn insert(&mut self, place: Place, key: fair::EntryKey, start: u128) {
        if self.order.is_empty() {
            self.time = self.time.max(start);
        }
        self.order.insert((place.urgency(), key), place.priority);
        self.worth.insert((place.priority, place.deadline, key));
        self.waiting += u128::from(place.cost);
    }

    pub(super) fn remove(&mut self, place: Place, key: fair::EntryKey) {
        self.order.remove(&(place.urgency(), key));
        self.worth.remove(&(place.priority, place.deadline, key));
        self.waiting -= u128::from(place.cost);
    }

    /// Moves the virtual time forward.
    pub(super) fn charge(&mut self, cost: u128) {
        self.time += cost / u128::from(self.weight);
    }

    /// Moves the virtual time back.
    pub(super) fn refund(&mut self, cost: u128) {
        self.time = self.time.saturating_sub(cost / u128::from(self.weight));
    }
}
