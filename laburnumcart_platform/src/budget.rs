//! Rate limits of one process for calls to the object service.
//!
//! The service applies one rate limit to all processes together. Each process has a fixed share of
//! it, so that none can starve the others; calls beyond the share are refused at once.

use std::time;

use tokio::time::Instant;

use laburnumcart::unit;

/// Burst of a bucket, as seconds of its rate.
const BURST_SECS: f64 = 0.25;

/// A token bucket in which waiting calls take one token a second for as long as they last.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    waiting: u32,
    last: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: unit::Rate, now: Instant) -> Self {
        let rate = rate.0.max(0.0);
        let burst = (rate * BURST_SECS).max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            waiting: 0,
            last: now,
        }
    }

    /// Takes a token for one call; the error is the time until the next token.
    pub fn try_take(&mut self, now: Instant) -> Result<(), unit::Period> {
        self.refill(now);
        if self.tokens < 1.0 {
            return Err(self.wait_time());
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Takes a token for a waiting call, and one more each second until [`Bucket::release`].
    ///
    /// A waiting call is refused if all of them together would exceed the rate, so that the bucket
    /// never goes into debt. The error is the time after which to try again.
    pub fn try_hold(&mut self, now: Instant) -> Result<(), unit::Period> {
        self.refill(now);
        if f64::from(self.waiting + 1) > self.rate {
            return Err(unit::Period::from_secs(1));
        }
        self.try_take(now)?;
        self.waiting += 1;
        Ok(())
    }

    /// Ends one waiting call.
    pub fn release(&mut self, now: Instant) {
        self.refill(now);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Drops all tokens, after the service itself has refused a call because of its rate limit.
    pub fn drop_tokens(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = 0.0;
    }

    /// Returns the number of waiting calls.
    pub fn waiting_calls(&self) -> u32 {
        self.waiting
    }

    fn free_rate(&self) -> f64 {
        self.rate - f64::from(self.waiting)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = self.last.max(now);
        self.tokens = (self.tokens + passed * self.free_rate()).clamp(0.0, self.burst);
    }

    fn wait_time(&self) -> unit::Period {
        let free = self.free_rate().max(0.1);
        let wait = (1.0 - self.tokens) / free;
        unit::Period(time::Duration::from_secs_f64(wait.min(1.0)))
    }
}

/// Rate limits of one process.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Rate of reads, lists and watches; a waiting watch counts as one call a second.
    pub reads: unit::Rate,
    /// Rate of conditional writes and deletions.
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

/// Token buckets of one process.
#[derive(Debug)]
pub struct Budget {
    /// Bucket of reads, lists and watches.
    pub reads: Bucket,
    /// Bucket of conditional writes and deletions.
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
