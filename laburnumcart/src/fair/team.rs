//! Virtual time and entries of one team.

use std::collections;

use tokio::time::Instant;

use crate::{
    bundle,
    fair, //
};

/// Data that decides the order of an entry within its team.
#[derive(Clone, Copy, Debug)]
pub(super) struct SortKey {
    pub(super) deadline: Instant,
    pub(super) priority: bundle::Priority,
    cost: u32,
}

impl SortKey {
    pub(super) fn new<T>(request: &fair::Request<T>) -> Self {
        Self {
            deadline: request.deadline,
            priority: request.priority,
            cost: request.cost.max(1),
        }
    }

    /// Returns the deadline with the delay of the priority.
    fn delayed_deadline(&self) -> Instant {
        self.deadline + fair::PRIORITY_DELAY * self.priority as u32
    }
}

/// Keys of a team in the indices over the teams of its queue.
pub(super) struct IndexKeys {
    /// Priority of the next entry to serve.
    pub(super) priority: usize,
    /// Virtual time.
    pub(super) time: u128,
    /// Waiting cost per weight.
    pub(super) excess: u128,
}

/// Virtual time and entries of one team.
#[derive(Debug)]
pub(super) struct Team {
    weight: u32,
    bound: usize,
    /// Virtual time.
    time: u128,
    /// Cost of all entries.
    waiting_cost: u128,
    /// Entries in the order of service.
    serve_order: collections::BTreeMap<(Instant, fair::EntryKey), bundle::Priority>,
    /// Entries by importance; the last one is shed first.
    shed_order: collections::BTreeSet<(bundle::Priority, Instant, fair::EntryKey)>,
}

impl Team {
    pub(super) fn new(weight: u32, bound: usize, time: u128) -> Self {
        Self {
            weight: weight.max(1),
            bound,
            time,
            waiting_cost: 0,
            serve_order: collections::BTreeMap::new(),
            shed_order: collections::BTreeSet::new(),
        }
    }

    pub(super) fn weight(&self) -> u128 {
        u128::from(self.weight)
    }

    pub(super) fn len(&self) -> usize {
        self.serve_order.len()
    }

    pub(super) fn is_over_bound(&self) -> bool {
        self.serve_order.len() > self.bound
    }

    pub(super) fn keys(&self) -> Vec<fair::EntryKey> {
        self.serve_order.keys().map(|(_, key)| *key).collect()
    }

    /// Returns the entry to serve next.
    pub(super) fn next_served(&self) -> Option<fair::EntryKey> {
        self.serve_order.keys().next().map(|(_, key)| *key)
    }

    /// Returns the entry to shed next.
    pub(super) fn next_shed(&self) -> Option<fair::EntryKey> {
        self.shed_order.last().map(|(_, _, key)| *key)
    }

    /// Returns the keys of the team in the indices, if it has entries.
    pub(super) fn index_keys(&self) -> Option<IndexKeys> {
        let (_, priority) = self.serve_order.first_key_value()?;
        Some(IndexKeys {
            priority: *priority as usize,
            time: self.time,
            excess: self.waiting_cost * fair::UNIT / u128::from(self.weight),
        })
    }

    pub(super) fn set(&mut self, weight: u32, bound: usize) {
        self.weight = weight.max(1);
        self.bound = bound;
    }

    /// Adds an entry; a team without entries resumes at least at the virtual time `start`.
    pub(super) fn insert(&mut self, sort_key: SortKey, key: fair::EntryKey, start: u128) {
        if self.serve_order.is_empty() {
            self.time = self.time.max(start);
        }
        self.serve_order
            .insert((sort_key.delayed_deadline(), key), sort_key.priority);
        self.shed_order
            .insert((sort_key.priority, sort_key.deadline, key));
        self.waiting_cost += u128::from(sort_key.cost);
    }

    pub(super) fn remove(&mut self, sort_key: SortKey, key: fair::EntryKey) {
        self.serve_order.remove(&(sort_key.delayed_deadline(), key));
        self.shed_order
            .remove(&(sort_key.priority, sort_key.deadline, key));
        self.waiting_cost -= u128::from(sort_key.cost);
    }

    /// Adds served cost to the virtual time.
    pub(super) fn charge(&mut self, cost: u128) {
        self.time += cost / u128::from(self.weight);
    }

    /// Subtracts cost that was charged in excess from the virtual time.
    pub(super) fn refund(&mut self, cost: u128) {
        self.time = self.time.saturating_sub(cost / u128::from(self.weight));
    }
}
