//! Limits on how often a process calls the object service.
//!
//! The service counts each call of all processes against one rate. A process that could take any
//! part of it would starve the others, so each has its own share and is refused beyond it at once.

use std::time;

use tokio::time::Instant;

use laburnumcart::unit;

/// Time for which an unused rate is saved up.
const SAVED: f64 = 0.25;

/// A token bucket in which some calls take a token a second for as long as they last.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    held: u32,
    last: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: unit::Rate, now: Instant) -> Self {
        let rate = rate.0.max(0.0);
        let burst = (rate * SAVED).max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            held: 0,
            last: now,
        }
    }

    /// Takes a token for one call; an error tells when the next token is due.
    pub fn try_take(&mut self, now: Instant) -> Result<(), unit::Period> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(self.due());
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Takes a token for a call that waits, and one more each second until [`Bucket::release`].
    ///
    /// Calls that wait can take the whole rate; they are then refused, so that the bucket never
    /// runs into debt.
    pub fn try_hold(&mut self, now: Instant) -> Result<(), unit::Period> {
        self.refill(now);
        if f64::from(self.held + 1) > self.rate {
            return Err(unit::Period::from_secs(1));
        }
        self.try_take(now)?;
        self.held += 1;
        Ok(())
    }

    /// Ends one call that waited.
    pub fn release(&mut self, now: Instant) {
        self.refill(now);
        self.held = self.held.saturating_sub(1);
    }

    /// Gives up what was saved, after the service itself has refused a call.
    pub fn empty(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = 0.0;
    }

    /// Returns the number of calls that wait.
    pub fn waiting_calls(&self) -> u32 {
        self.held
    }

    fn free(&self) -> f64 {
        self.rate - f64::from(self.held)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = self.last.max(now);
        self.tokens = (self.tokens + passed * self.free()).clamp(0.0, self.burst);
    }

    fn due(&self) -> unit::Period {
        let free = self.free().max(0.1);
        let wait = (1.0 - self.tokens) / free;
        unit::Period(time::Duration::from_secs_f64(wait.min(1.0)))
    }
}

/// Rates at which one process may call.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Reads, lists and watches; a waiting watch counts as one a second.
    pub reads: unit::Rate,
    /// Conditional writes and deletions.
    pub writes: unit::Rate,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            reads: unit::Rate(50.0),
            writes: unit::Rate(50.0),
        }
    }
}

/// Buckets of one process.
#[derive(Debug)]
pub struct Budget {
    /// Reads, lists and watches.
    pub reads: Bucket,
    /// Conditional writes and deletions.
    pub writes: Bucket,
}

impl Budget {
    /// Creates full buckets.
    pub fn new(rates: Rates, now: Instant) -> Self {
        Self {
            reads: Bucket::new(rates.reads, now),
            writes: Bucket::new(rates.writes, now),
        }
    }
}
