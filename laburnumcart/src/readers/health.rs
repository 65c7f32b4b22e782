//! Whether a process calls the service itself, by how the service took its last calls.

use std::time;

use tokio::time::Instant;

/// Time after which a reader that the service has failed tries it again while others answer.
const RETRY: time::Duration = time::Duration::from_secs(2);

/// Time for which a process that the service has answered goes on by itself while no reader knows
/// anything.
const SERVED: time::Duration = time::Duration::from_secs(5);

/// Mean time between two tries of a process that is no reader, while nobody else knows anything.
///
/// A service that is down for all is called by the readers; each further call is paid for. One that
/// turns away the readers alone is found within this time by those whom it serves.
const TRY: time::Duration = time::Duration::from_secs(4);

/// How the service took the last calls of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    answered: Option<Instant>,
    failed: Option<Instant>,
}

impl Health {
    /// Records a call that was answered.
    pub fn record_success(&mut self, now: Instant) {
        self.answered = Some(now);
    }

    /// Records a call that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed = Some(now);
    }

    /// Reports whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failed > self.answered
    }

    /// Reports whether a reader calls the service before it asks others.
    pub fn can_call_first(&self, now: Instant) -> bool {
        !self.is_failing() || !is_within(self.failed, RETRY, now)
    }

    /// Reports whether a process that is no reader calls the service once the readers know nothing.
    pub fn can_call(&self, now: Instant) -> bool {
        !self.is_failing() && is_within(self.answered, SERVED, now)
    }

    /// Reports whether a process that is no reader tries the service once nobody knows anything.
    ///
    /// `draw` is a number below 1 that differs between processes and tries, so that hundreds of them
    /// do not call in one moment.
    pub fn can_probe(&self, draw: f64, now: Instant) -> bool {
        let tried = self.answered.max(self.failed);
        !is_within(tried, TRY.mul_f64(0.5 + draw), now)
    }
}

/// Reports whether something happened within a time.
fn is_within(at: Option<Instant>, limit: time::Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
