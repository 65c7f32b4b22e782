//! Health of the shared service as seen by one process, and whether the process calls it itself.

use std::time;

use tokio::time::Instant;

/// Pause of a reader after a failed call while other processes can answer.
const READER_RETRY: time::Duration = time::Duration::from_secs(2);

/// Time after a successful call for which the next one may wait for changes.
///
/// A call that does not wait shows at once whether the service is available.
const SUCCESS_TTL: time::Duration = time::Duration::from_secs(5);

/// Mean interval between the probes of a process that is no reader, for each member of the fleet.
///
/// If the service is down for all, the calls of the readers suffice, and each further call is
/// billed. If it refuses only the readers, the other processes find out within this time.
const PROBE_INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(100);

/// Shortest and longest mean interval between the probes of a process that is no reader.
const PROBE_INTERVAL_MIN: time::Duration = time::Duration::from_millis(400);
const PROBE_INTERVAL_MAX: time::Duration = time::Duration::from_secs(4);

/// Times of the last successful and the last failed call to the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    last_success: Option<Instant>,
    last_failure: Option<Instant>,
    /// Time of the last answer of a process that reads the service.
    last_relayed: Option<Instant>,
}

impl Health {
    /// Records a successful call.
    pub fn record_success(&mut self, now: Instant) {
        self.last_success = Some(now);
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Reports whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.last_failure > self.last_success
    }

    /// Reports whether a reader calls the service before it asks other processes.
    pub fn can_call_first(&self, now: Instant) -> bool {
        !self.is_failing() || !is_within(self.last_failure, READER_RETRY, now)
    }

    /// Reports whether a call may wait for changes, as the service has answered one lately.
    pub fn can_wait(&self, now: Instant) -> bool {
        !self.is_failing() && is_within(self.last_success, SUCCESS_TTL, now)
    }

    /// Records an answer of another process that reads the service.
    pub fn record_relayed(&mut self, now: Instant) {
        self.last_relayed = Some(now);
    }

    /// Reports whether a process that is no reader probes the service when no reader has data.
    ///
    /// A failure forbids it for a while, unless the service has answered a reader since: that
    /// outage is over, and this one may be of the readers alone. `jitter` is a random number from 0
    /// to 1, drawn for each probe, so that hundreds of processes do not call at the same time.
    pub fn can_probe(&self, members: usize, jitter: f64, now: Instant) -> bool {
        if !self.is_failing() || self.last_relayed > self.last_failure {
            return true;
        }
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let interval = PROBE_INTERVAL_PER_MEMBER.saturating_mul(members);
        let interval = interval.clamp(PROBE_INTERVAL_MIN, PROBE_INTERVAL_MAX);
        !is_within(self.last_failure, interval.mul_f64(0.5 + jitter), now)
    }
}

/// Reports whether an event happened less than `limit` ago.
fn is_within(at: Option<Instant>, limit: time::Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
