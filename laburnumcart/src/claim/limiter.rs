//! Rate limiter of appends to the claim log, which leaves capacity for other writes.
//!
//! The claim log makes claims of idempotency keys durable in the object service, by shard.

use std::time;

use tokio::time::Instant;

use crate::unit;

/// Rate limiter for one kind of write, over all shards that a process owns.
///
/// While a shard waits for its slot its next batch grows, so that load increases the size of
/// appends and not their rate. Without load a claim does not wait.
#[derive(Clone, Debug)]
pub struct Limiter {
    rate: f64,
    shards: u16,
    burst: u32,
    owned_shards: u16,
    next_slot: Option<Instant>,
}

impl Limiter {
    /// Creates the limiter of a process that owns no shards.
    ///
    /// `rate` applies to all `shards` of the system together. After an idle time `burst` writes may
    /// start at once.
    pub fn new(rate: unit::Rate, shards: u16, burst: u32) -> Self {
        Self {
            rate: rate.0.max(1.0),
            shards: shards.max(1),
            burst,
            owned_shards: 0,
            next_slot: None,
        }
    }

    /// Adds a shard that the process has taken over.
    pub fn add_shard(&mut self) {
        self.owned_shards = self.owned_shards.saturating_add(1);
    }

    /// Removes a shard that the process has lost.
    pub fn remove_shard(&mut self) {
        self.owned_shards = self.owned_shards.saturating_sub(1);
    }

    /// Returns the mean time between two writes at the limit.
    pub fn interval(&self) -> time::Duration {
        let owned = f64::from(self.owned_shards.max(1));
        time::Duration::from_secs_f64(f64::from(self.shards) / (self.rate * owned))
    }

    /// Reserves the next slot and returns its time, which is `now` unless the limit is reached.
    pub fn reserve_slot(&mut self, now: Instant) -> Instant {
        let interval = self.interval();
        let earliest = now
            .checked_sub(interval * self.burst.saturating_sub(1))
            .unwrap_or(now);
        let slot = self.next_slot.unwrap_or(earliest).max(earliest);
        self.next_slot = Some(slot + interval);
        slot.max(now)
    }
}
