//! How old a process's knowledge of the configuration may be.
//!
//! A process that is cut off from the store, or was suspended, does not learn that a key was
//! revoked. It must stop to honour keys before the bound on revocation has passed. What counts is
//! the moment *before* the last successful read was sent: the answer may have been delayed for any
//! time after the store wrote it.

use std::{
    sync::atomic,
    time, //
};

use derive_more::Display;

/// A moment on a clock that goes on while the instance is suspended.
///
/// The steady clock of the runtime stands still then, so that a process that was suspended for
/// minutes would hold its knowledge to be fresh.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{}ms", _0.as_millis())]
pub struct BootTime(pub time::Duration);

impl BootTime {
    /// Returns the time since an earlier moment, zero for a later one.
    pub fn since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment that was this long before.
    pub fn before(self, period: time::Duration) -> Self {
        Self(self.0.saturating_sub(period))
    }
}

/// Moment up to which the configuration is known to be current; shared by all threads.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::freshness::{BootTime, Freshness};
///
/// let freshness = Freshness::default();
/// assert_eq!(freshness.age(BootTime(Duration::from_secs(9))), None);
/// freshness.record_read(BootTime(Duration::from_secs(5)));
/// assert_eq!(freshness.age(BootTime(Duration::from_secs(9))), Some(Duration::from_secs(4)));
/// ```
#[derive(Debug, Default)]
pub struct Freshness {
    /// Microseconds on the clock of [`BootTime`]; 0 before the first read.
    asked: atomic::AtomicU64,
}

impl Freshness {
    /// Records a successful read that was sent at `asked`; an older one changes nothing.
    ///
    /// What was read must be in force before this is called, or a thread could find an old
    /// configuration with a new age.
    pub fn record_read(&self, asked: BootTime) {
        let micros = asked.0.as_micros().try_into().unwrap_or(u64::MAX);
        self.asked.fetch_max(micros, atomic::Ordering::Release);
    }

    /// Returns the age of what is known, or `None` before the first read.
    pub fn age(&self, now: BootTime) -> Option<time::Duration> {
        match self.asked.load(atomic::Ordering::Acquire) {
            0 => None,
            micros => Some(now.since(BootTime(time::Duration::from_micros(micros)))),
        }
    }

    /// Reports whether what is known is at most `limit` old.
    pub fn is_fresh(&self, limit: time::Duration, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
