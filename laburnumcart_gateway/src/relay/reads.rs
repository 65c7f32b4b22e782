//! Record of what a process asked for each topic, to explain a late change.

use std::{
    collections,
    fmt,
    sync::Mutex,
    time, //
};

use derive_more::Display;
use prometheus_client::metrics::{
    gauge,
    histogram, //
};

use laburnumcart::{
    id,
    unit, //
};

use crate::{
    relay::Topic,
    view, //
};

/// Maximum number of failed attempts that are kept for a topic; the first ones stay.
const ATTEMPTS_MAX: usize = 12;

/// Buckets in seconds; changes must be in force within 2 s.
const DELAY_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.5, 2.0, 4.0, 8.0];

/// Where data comes from.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The store itself.
    #[display("store")]
    Store,
    /// Another process.
    Peer(id::InstanceName),
}

/// Why an attempt to read has yielded nothing.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Failure {
    /// The data of the peer is too old.
    Stale,
    /// The peer left a large answer to the store.
    TooLarge,
    /// No answer came in time, or the call was refused.
    Unanswered,
}

/// An attempt that has yielded nothing.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{source}:{failure}:{took}:{received}")]
pub struct Attempt {
    /// Process or service that was asked.
    pub source: Source,
    /// Why it yielded nothing.
    pub failure: Failure,
    /// Time until that was known.
    pub took: unit::Period,
    /// How much of an answer had arrived, if that is known.
    pub received: unit::Size,
}

/// Source and age of the last answer for a topic.
#[derive(Clone, Debug)]
pub struct Read {
    /// Process or service that answered.
    pub source: Source,
    /// Age of the data as it arrived.
    pub age: unit::Period,
    /// Attempts since the answer before it.
    pub attempts: Attempts,
}

/// Attempts in the order in which they failed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Attempts(pub Vec<Attempt>);

impl fmt::Display for Attempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let attempts: Vec<_> = self.0.iter().map(Attempt::to_string).collect();
        match attempts.is_empty() {
            true => f.write_str("none"),
            false => f.write_str(&attempts.join(",")),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    attempts: Attempts,
    last: Option<Read>,
}

/// Reads of each topic by this process.
#[derive(Debug)]
pub struct Reads {
    topics: Mutex<collections::HashMap<Topic, State>>,
    /// Time since the last confirmation, for each configuration that was activated.
    ///
    /// The store has written the configuration within it.
    pub config_delay: histogram::Histogram,
    /// Parts of the configuration in force that cannot be read.
    pub refused_parts: gauge::Gauge<i64>,
}

impl Default for Reads {
    fn default() -> Self {
        Self {
            topics: Mutex::default(),
            config_delay: histogram::Histogram::new(DELAY_BUCKETS),
            refused_parts: gauge::Gauge::default(),
        }
    }
}

impl Reads {
    /// Records an attempt that has yielded nothing.
    pub fn record_failure(
        &self,
        topic: Topic,
        source: Source,
        failure: Failure,
        took: time::Duration,
        received: unit::Size,
    ) {
        let took = unit::Period(took);
        let mut topics = view::lock(&self.topics);
        let attempts = &mut topics.entry(topic).or_default().attempts.0;
        if attempts.len() < ATTEMPTS_MAX {
            attempts.push(Attempt {
                source,
                failure,
                took,
                received,
            });
        }
    }

    /// Records an answer; returns whether its source is another one than before.
    pub fn record_answer(&self, topic: Topic, source: Source, age: unit::Period) -> bool {
        let mut topics = view::lock(&self.topics);
        let state = topics.entry(topic).or_default();
        let attempts = std::mem::take(&mut state.attempts);
        let last = state.last.replace(Read {
            source: source.clone(),
            age,
            attempts,
        });
        last.is_none_or(|last| last.source != source)
    }

    /// Returns the last answer for a topic.
    pub fn last(&self, topic: Topic) -> Option<Read> {
        view::lock(&self.topics).get(&topic)?.last.clone()
    }
}
