//! Decides when to call a service that has failed.
//!
//! Without it, each of several hundred processes would call a service that is down as fast as its
//! own work makes it, keep sockets and tasks waiting for a timeout each, and meet the service with
//! all of that at its return.

use std::time;

use tokio::time::Instant;

use laburnumcart::unit;

/// Thresholds and pauses of an [`CircuitBreaker`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Failures in a row after which calls are refused.
    pub failures: u32,
    /// First pause; each further one is twice as long.
    pub first_pause: time::Duration,
    /// Longest pause.
    pub longest_pause: time::Duration,
    /// Time after which a probe that has not reported is given up.
    pub probe_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            failures: 3,
            first_pause: time::Duration::from_millis(100),
            longest_pause: time::Duration::from_secs(5),
            probe_timeout: time::Duration::from_secs(5),
        }
    }
}

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The service works as far as is known.
    Pass,
    /// The service has failed; this one call finds out whether it is back.
    Probe,
    /// The service has failed; ask again after the period.
    Refuse(unit::Period),
}

#[derive(Clone, Copy, Debug)]
enum State {
    Working { failures: u32 },
    Paused { until: Instant, pauses: u32 },
    Probing { until: Instant, pauses: u32 },
}

/// What is known of the service: working, paused after failures, or being probed.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: Limits,
    state: State,
}

impl CircuitBreaker {
    /// Creates the state of a service that works.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: State::Working { failures: 0 },
        }
    }

    /// Reports whether calls are refused or probed.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Working { .. })
    }

    /// Decides on a call; every one that is admitted must report its outcome.
    pub fn admit(&mut self, now: Instant) -> Admission {
        match self.state {
            State::Working { .. } => Admission::Pass,
            State::Paused { until, .. } | State::Probing { until, .. } if now < until => {
                Admission::Refuse(unit::Period(until - now))
            }
            State::Paused { pauses, .. } | State::Probing { pauses, .. } => {
                // A probe whose task was dropped never reports. Without an end of its time, all
                // calls would be refused for good.
                let until = now + self.limits.probe_timeout;
                self.state = State::Probing { until, pauses };
                Admission::Probe
            }
        }
    }

    /// Records an answer of the service.
    pub fn record_success(&mut self) {
        self.state = State::Working { failures: 0 };
    }

    /// Records that the service was down or did not answer.
    ///
    /// `jitter`, from 0 to 1, spreads the pauses of many processes that failed together.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.state = match self.state {
            State::Working { failures } if failures + 1 < self.limits.failures => State::Working {
                failures: failures + 1,
            },
            State::Working { .. } => self.pause(now, 0, jitter),
            // Calls that were under way when the pause began fail as well and say nothing new.
            State::Paused { .. } => self.state,
            State::Probing { pauses, .. } => self.pause(now, pauses + 1, jitter),
        };
    }

    fn pause(&self, now: Instant, pauses: u32, jitter: f64) -> State {
        let factor = 1u32 << pauses.min(16);
        let full = (self.limits.first_pause * factor).min(self.limits.longest_pause);
        let until = now + full.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        State::Paused { until, pauses }
    }
}
