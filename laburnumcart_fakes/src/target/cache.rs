//! Bounded cache of an engine's prompt prefixes, and its published events.

use std::{
    collections,
    time, //
};

use serde::Serialize;
use tokio::time::Instant;

/// Interval of event numbers that are lost instead of published.
const LOSS_INTERVAL: u64 = 7;

/// Number of events kept for readers.
const MAX_EVENTS: usize = 1024;

/// Insertion or eviction of a prefix.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    pub(super) number: u64,
    pub(super) prefix: String,
    pub(super) kept: bool,
}

/// LRU cache of prefixes.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    lag: time::Duration,
    clock: u64,
    prefixes: collections::HashMap<String, u64>,
    events: collections::VecDeque<(Instant, Event)>,
    last_number: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize, lag: time::Duration) -> Self {
        Self {
            capacity,
            lag,
            clock: 0,
            prefixes: collections::HashMap::new(),
            events: collections::VecDeque::new(),
            last_number: 0,
        }
    }

    /// Marks a prefix as used and returns whether it was cached.
    pub(super) fn use_prefix(&mut self, prefix: &str) -> bool {
        self.clock += 1;
        let hit = self.prefixes.insert(prefix.into(), self.clock).is_some();
        if !hit {
            self.publish(prefix, true);
        }
        while self.prefixes.len() > self.capacity {
            self.evict();
        }
        hit
    }

    /// Returns the published events with higher numbers than `after`.
    pub(super) fn events(&self, after: u64) -> Vec<Event> {
        let visible = |(at, event): &&(Instant, Event)| {
            event.number > after
                && at.elapsed() >= self.lag
                && !event.number.is_multiple_of(LOSS_INTERVAL)
        };
        let visible = self.events.iter().filter(visible);
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn evict(&mut self) {
        let oldest = self.prefixes.iter().min_by_key(|(_, used)| **used);
        let Some(prefix) = oldest.map(|(prefix, _)| prefix.clone()) else {
            return;
        };
        self.prefixes.remove(&prefix);
        self.publish(&prefix, false);
    }

    fn publish(&mut self, prefix: &str, kept: bool) {
        self.last_number += 1;
        let event = Event {
            number: self.last_number,
            prefix: prefix.into(),
            kept,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
