//! Check whether a target at which requests failed has crashed.

use std::time;

use derive_more::Display;

/// Probes that must be closed without an answer in sequence.
///
/// A target at its connection limit closes new connections too, but not for long.
const CLOSED_PROBES: u32 = 3;

/// What a probe of a target has shown.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Probe {
    /// The target answered.
    Answered,
    /// Another target, or a later run of this one, answered.
    Replaced,
    /// No connection could be opened.
    Unreached,
    /// The connection was closed without an answer.
    Closed,
    /// Neither the probe nor any request was answered in time.
    Silent,
}

/// Why a target is held to have crashed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Sign {
    /// It accepts no connections.
    Unreached,
    /// It closes its connections.
    Closed,
    /// It is silent.
    Silent,
    /// Another target answers at its address.
    Replaced,
    /// It is not listed any more, or listed with another start.
    Unlisted,
    /// Another process has told so.
    Reported,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target is alive; its requests failed for other reasons.
    Alive,
    /// The target has crashed.
    Crashed(Sign),
}

/// A check in progress.
///
/// ```
/// use laburnumcart::poison;
///
/// let mut check = poison::Check::default();
/// assert_eq!(check.record(poison::Probe::Closed), None);
/// assert_eq!(check.record(poison::Probe::Answered), Some(poison::Outcome::Alive));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Check {
    closed: u32,
}

impl Check {
    /// Pause before each probe: a process that dies closes its port and connections one by one.
    pub const PAUSE: time::Duration = time::Duration::from_millis(80);

    /// Time without an answer after which a probe counts as silent.
    pub const TIMEOUT: time::Duration = time::Duration::from_millis(1000);

    /// Time without a sign of a target with requests in flight after which it is checked.
    pub const SILENCE: time::Duration = time::Duration::from_millis(500);

    /// Records a probe; returns the result, or `None` if another probe is needed.
    pub fn record(&mut self, probe: Probe) -> Option<Outcome> {
        let sign = match probe {
            Probe::Answered => return Some(Outcome::Alive),
            Probe::Closed => {
                self.closed += 1;
                if self.closed < CLOSED_PROBES {
                    return None;
                }
                Sign::Closed
            }
            Probe::Replaced => Sign::Replaced,
            Probe::Unreached => Sign::Unreached,
            Probe::Silent => Sign::Silent,
        };
        Some(Outcome::Crashed(sign))
    }
}
