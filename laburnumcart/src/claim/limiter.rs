//! When the next append may start, so that claims leave room for other writes.

use std::time;

use tokio::time::Instant;

use crate::unit;

/// Rate limit of one kind of writes of one process, over all shards that it owns.
///
/// Batches of a shard gather while it waits for its slot, so that under load the appends keep to
/// the rate and grow instead, and without load a claim does not wait.
#[derive(Clone, Debug)]
pub struct Limiter {
    rate: f64,
    shards: u16,
    burst: u32,
    owned_shards: u16,
    next_slot: Option<Instant>,
}

impl Limiter {
    /// Creates the limit of a process without shards; `rate` holds for all `shards` together, and
    /// `burst` writes may start at once after a quiet time.
    pub fn new(rate: unit::Rate, shards: u16, burst: u32) -> Self {
        Self {
            rate: rate.0.max(1.0),
            shards: shards.max(1),
            burst,
            owned_shards: 0,
            next_slot: None,
        }
    }

    /// Counts a shard that the process has taken over.
    pub fn add_shard(&mut self) {
        self.owned_shards = self.owned_shards.saturating_add(1);
    }

    /// Counts a shard that the process has lost.
    pub fn remove_shard(&mut self) {
        self.owned_shards = self.owned_shards.saturating_sub(1);
    }

    /// Returns the time between two appends in the long run.
    pub fn interval(&self) -> time::Duration {
        let owned = f64::from(self.owned_shards.max(1));
        time::Duration::from_secs_f64(f64::from(self.shards) / (self.rate * owned))
    }

    /// Reserves the next slot and returns its time, which is `now` unless the rate is used up.
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
