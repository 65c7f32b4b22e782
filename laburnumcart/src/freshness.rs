//! Age of the configuration that a process has read.
//!
//! A process that cannot reach the store, or was suspended, does not learn that a key was revoked,
//! and must stop accepting keys within the limit for revocations. Age counts from the moment
//! *before* the last successful read was sent, as the response may be delayed for any time after
//! the store wrote it.

use std::{
    sync::atomic,
    time, //
};

use derive_more::Display;

/// Time on a clock that includes suspended time (`CLOCK_BOOTTIME`).
///
/// The monotonic clock of the runtime stops during suspension, so a process suspended for minutes
/// would take its configuration for fresh.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{}ms", _0.as_millis())]
pub struct BootTime(pub time::Duration);

impl BootTime {
    /// Returns the time elapsed since `earlier`, or zero if it is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `period` before.
    pub fn before(self, period: time::Duration) -> Self {
        Self(self.0.saturating_sub(period))
    }
}

/// Time of the last successful read of the configuration; shared by all threads.
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
    /// Microseconds of [`BootTime`]; 0 before the first read.
    last_read: atomic::AtomicU64,
}

impl Freshness {
    /// Records a successful read that was sent at `sent`; an older one changes nothing.
    ///
    /// The configuration must be in force before this is called, or another thread could see an old
    /// configuration with a new age.
    pub fn record_read(&self, sent: BootTime) {
        let micros = sent.0.as_micros().try_into().unwrap_or(u64::MAX);
        self.last_read.fetch_max(micros, atomic::Ordering::Release);
    }

    /// Returns the age of the configuration, or `None` before the first read.
    pub fn age(&self, now: BootTime) -> Option<time::Duration> {
        match self.last_read.load(atomic::Ordering::Acquire) {
            0 => None,
            micros => Some(now.since(BootTime(time::Duration::from_micros(micros)))),
        }
    }

    /// Reports whether the configuration is at most `limit` old.
    pub fn is_fresh(&self, limit: time::Duration, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
