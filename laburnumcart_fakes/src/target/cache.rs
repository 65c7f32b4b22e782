//! An engine's prompt prefixes in limited memory, and the events that it publishes about them.

use std::{
    collections,
    time, //
};

use serde::Serialize;
use tokio::time::Instant;

/// Every event whose number is a multiple of this is never published.
const GAP: u64 = 7;

/// Events that are kept for readers.
const EVENTS_MAX: usize = 1024;

/// A prefix that was kept or dropped.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    pub(super) number: u64,
    pub(super) prefix: String,
    pub(super) kept: bool,
}

/// Prefixes, the least recently used dropped first.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    lag: time::Duration,
    used: u64,
    prefixes: collections::HashMap<String, u64>,
    events: collections::VecDeque<(Instant, Event)>,
    number: u64,
}

impl Cache {
    pub(super) fn new(limit: usize, lag: time::Duration) -> Self {
        Self {
            limit,
            lag,
            used: 0,
            prefixes: collections::HashMap::new(),
            events: collections::VecDeque::new(),
            number: 0,
        }
    }

    /// Uses a prefix and reports whether it was cached.
    pub(super) fn touch(&mut self, prefix: &str) -> bool {
        self.used += 1;
        let hit = self.prefixes.insert(prefix.into(), self.used).is_some();
        if !hit {
            self.publish(prefix, true);
        }
        while self.prefixes.len() > self.limit {
            self.evict();
        }
        hit
    }

    /// Returns the published events after a number.
    pub(super) fn events(&self, after: u64) -> Vec<Event> {
        let visible = |(at, event): &&(Instant, Event)| {
            event.number > after && at.elapsed() >= self.lag && !event.number.is_multiple_of(GAP)
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
        self.number += 1;
        let event = Event {
            number: self.number,
            prefix: prefix.into(),
            kept,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
