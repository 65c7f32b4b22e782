//! Choice of the owner of a shard, and failure detection that leads to a takeover.

use std::{
    net,
    time, //
};

use tokio::time::Instant;

/// Returns the process that should own a shard, by rendezvous hashing over the live addresses.
///
/// This only spreads the shards; safety does not depend on it. Two processes with different lists
/// may both attempt a takeover, and the log lets one of them succeed.
pub fn preferred_owner(shard: u16, live: &[net::SocketAddr]) -> Option<net::SocketAddr> {
    let weight = |addr: &&net::SocketAddr| {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&shard.to_be_bytes());
        hash.update(addr.to_string().as_bytes());
        (hash.digest(), **addr)
    };
    live.iter().max_by_key(weight).copied()
}

/// Thresholds for replacing an unreachable owner.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which the owner must have been unreachable.
    pub silence: time::Duration,
    /// Longest time between two failed calls that count as one silence.
    pub max_gap: time::Duration,
    /// Shortest time between two changes of owner; doubled after each change that follows soon.
    pub settle_time: time::Duration,
    /// Upper limit of the doubled time.
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

/// Action after a failed call to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Call the owner again after this time.
    Retry(time::Duration),
    /// Take the shard over.
    TakeOver,
    /// The shard changed its owner recently; refuse claims for this time.
    Settle(time::Duration),
}

/// Failure detector for the owner of a shard.
///
/// Two entries that reach the object service but not each other would take the shard from one
/// another with every claim, each time at the cost of a replay. The doubling wait leaves the shard
/// with one of them for longer and longer; the other refuses claims, which is safe.
#[derive(Clone, Debug)]
pub struct Detector {
    limits: Limits,
    /// Times of the first and the latest failed call of the present silence.
    silent_span: Option<(Instant, Instant)>,
    last_change: Option<Instant>,
    settle_wait: time::Duration,
}

impl Detector {
    /// Creates the detector for a shard of which nothing is known.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
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

    /// Records a failed call to the owner and returns what to do next.
    pub fn record_failure(&mut self, now: Instant) -> Action {
        let silence = self.record_silence(now);
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

    /// Records a failed call and returns for how long the owner has been silent.
    ///
    /// A paused process accepts connections, and each call to it ends at a timeout that is longer
    /// than the required silence. `max_gap` must exceed such timeouts; otherwise the owner would
    /// never be replaced, and claims on its shards would be refused for as long as the pause lasts.
    fn record_silence(&mut self, now: Instant) -> time::Duration {
        let recent = |(_, last): &(Instant, Instant)| {
            now.saturating_duration_since(*last) < self.limits.max_gap
        };
        let (first, _) = self.silent_span.filter(recent).unwrap_or((now, now));
        self.silent_span = Some((first, now));
        now.saturating_duration_since(first)
    }
}
