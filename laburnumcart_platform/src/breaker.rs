//! Circuit breaker for calls to the object service.
//!
//! Without it, several hundred processes would keep calling a service that is down at their normal
//! rate, each call holding a socket and a task until its timeout, and would hit the service with
//! all of that load when it recovers.

use std::time;

use tokio::time::Instant;

use laburnumcart::unit;

/// Settings of a [`CircuitBreaker`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// First pause; each further pause is twice as long.
    pub first_pause: time::Duration,
    /// Longest pause.
    pub longest_pause: time::Duration,
    /// Time after which a probe without an outcome is given up.
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

/// Decision on a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The breaker is closed; the call may be sent.
    Pass,
    /// The breaker is half-open; this single call tests whether the service has recovered.
    Probe,
    /// The breaker is open; the call may be tried again after the period.
    Refuse(unit::Period),
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed { failures: u32 },
    Open { until: Instant, pauses: u32 },
    HalfOpen { until: Instant, pauses: u32 },
}

/// Circuit breaker of one service: closed, open after failures, or half-open during a probe.
#[derive(Debug)]
pub struct CircuitBreaker {
    limits: Limits,
    state: State,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: State::Closed { failures: 0 },
        }
    }

    /// Reports whether the breaker is open or half-open.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// Decides on a call. The outcome of every admitted call must be recorded.
    pub fn admit(&mut self, now: Instant) -> Admission {
        match self.state {
            State::Closed { .. } => Admission::Pass,
            State::Open { until, .. } | State::HalfOpen { until, .. } if now < until => {
                Admission::Refuse(unit::Period(until - now))
            }
            State::Open { pauses, .. } | State::HalfOpen { pauses, .. } => {
                // A probe whose task was dropped records no outcome. Without a time limit, all
                // calls would be refused forever.
                let until = now + self.limits.probe_timeout;
                self.state = State::HalfOpen { until, pauses };
                Admission::Probe
            }
        }
    }

    /// Records that the service answered; closes the breaker.
    pub fn record_success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records that the service failed or did not answer.
    ///
    /// `jitter`, from 0 to 1, spreads the probes of processes that failed at the same time.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.limits.failures => State::Closed {
                failures: failures + 1,
            },
            State::Closed { .. } => self.open(now, 0, jitter),
            // Calls in flight when the breaker opened fail too; they must not extend the pause.
            State::Open { .. } => self.state,
            State::HalfOpen { pauses, .. } => self.open(now, pauses + 1, jitter),
        };
    }

    fn open(&self, now: Instant, pauses: u32, jitter: f64) -> State {
        let factor = 1u32 << pauses.min(16);
        let full = (self.limits.first_pause * factor).min(self.limits.longest_pause);
        let until = now + full.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        State::Open { until, pauses }
    }
}
