//! Whom to ask about a shard, and when to take it over.

use std::{
    net,
    time, //
};

use tokio::time::Instant;

/// Returns the process that should own a shard, by rendezvous hashing over the live addresses.
///
/// This is a preference that spreads the shards. Safety does not rest on it: two processes with
/// different lists may both try, and the log lets one through.
pub fn preferred_owner(shard: u16, live: &[net::SocketAddr]) -> Option<net::SocketAddr> {
    let weight = |addr: &&net::SocketAddr| {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&shard.to_be_bytes());
        hash.update(addr.to_string().as_bytes());
        (hash.digest(), **addr)
    };
    live.iter().max_by_key(weight).copied()
}

/// When an owner that cannot be reached is replaced.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which the owner must have been out of reach.
    pub silence: time::Duration,
    /// Longest time between two tries without an answer that speak of the same silence.
    pub max_gap: time::Duration,
    /// Time after a change of owner before the next one, doubled with each that follows soon.
    pub settle_time: time::Duration,
    /// Longest such time.
    pub settle_max: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            silence: time::Duration::from_millis(250),
            max_gap: time::Duration::from_secs(10),
            settle_time: time::Duration::from_millis(500),
            settle_max: time::Duration::from_secs(30),
        }
    }
}

/// What to do about an owner that did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask it again after this time.
    Retry(time::Duration),
    /// Take the shard over.
    TakeOver,
    /// The shard changed hands a short while ago; refuse until this time has passed.
    Settle(time::Duration),
}

/// Memory of an owner's silence and of a shard's changes of owner.
///
/// Two entries that cannot reach each other but do reach the object service would take a shard
/// from one another with every claim, each time at the cost of a replay. The doubling wait leaves
/// the shard with one of them for longer and longer; the other refuses, which is safe.
#[derive(Clone, Debug)]
pub struct Detector {
    limits: Limits,
    silent_span: Option<(Instant, Instant)>,
    last_change: Option<Instant>,
    settle_wait: time::Duration,
}

impl Detector {
    /// Creates the memory for a shard of which nothing is known.
    pub fn new(patience: Limits) -> Self {
        Self {
            limits: patience,
            silent_span: None,
            last_change: None,
            settle_wait: time::Duration::ZERO,
        }
    }

    /// Records that the owner answered.
    pub fn record_success(&mut self) {
        self.silent_span = None;
    }

    /// Records that the shard has a new owner.
    pub fn record_owner_change(&mut self, now: Instant) {
        self.silent_span = None;
        let soon = self
            .last_change
            .is_some_and(|last| now.saturating_duration_since(last) < self.settle_wait * 4);
        self.settle_wait = match soon {
            true => (self.settle_wait * 2).min(self.limits.settle_max),
            false => self.limits.settle_time,
        };
        self.last_change = Some(now);
    }

    /// Records that the owner did not answer, and says what to do.
    pub fn record_failure(&mut self, now: Instant) -> Action {
        let silence = self.silence(now);
        if silence < self.limits.silence {
            return Action::Retry(self.limits.silence - silence);
        }
        let settled = self.last_change.map_or(time::Duration::MAX, |last| {
            now.saturating_duration_since(last)
        });
        if settled < self.settle_wait {
            return Action::Settle(self.settle_wait - settled);
        }
        Action::TakeOver
    }

    /// Returns how long the owner has been silent; a try long ago says nothing about today.
    ///
    /// A process that is paused accepts connections and lets each try run into its timeouts, which
    /// are longer than the silence asked for. If only tries in quick succession counted, it would
    /// never be replaced, and its shards would be refused for as long as the pause lasts.
    fn silence(&mut self, now: Instant) -> time::Duration {
        let recent = |(_, last): &(Instant, Instant)| {
            now.saturating_duration_since(*last) < self.limits.max_gap
        };
        let (first, _) = self.silent_span.filter(recent).unwrap_or((now, now));
        self.silent_span = Some((first, now));
        now.saturating_duration_since(first)
    }
}
