//! Handle of a pace that the choice of targets and the record of answers share.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use tokio::time::Instant;

use crate::pace::{
    Change,
    Observation,
    Pace,
    State, //
};

/// Pace of a target; clones share their state, and the default one never limits.
#[derive(Clone, Debug, Default)]
pub struct Shared(Option<Arc<Mutex<Pace>>>);

impl Shared {
    /// Creates a handle of a pace.
    pub fn new(pace: Pace) -> Self {
        Self(Some(Arc::new(Mutex::new(pace))))
    }

    /// Reports whether one more request may be sent besides `in_flight` of this instance.
    pub fn can_send(&self, in_flight: u32, now: Instant) -> bool {
        self.with(|pace| pace.can_send(in_flight, now))
            .unwrap_or(true)
    }

    /// Returns the greatest number of requests in flight; `None` if it is not limited.
    pub fn allowance(&self) -> Option<u32> {
        self.with(|pace| pace.allowance()).flatten()
    }

    /// Reports whether the answers of the target show the usual time: it is not limited, and has no
    /// more requests than slots by its last report.
    pub fn is_comparable(&self, now: Instant) -> bool {
        self.with(|pace| pace.is_comparable(now)).unwrap_or(true)
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.with(|pace| pace.state()).unwrap_or(State::Full)
    }

    /// Records an observation and returns the change of state that it caused.
    pub fn record(&self, observation: Observation, now: Instant) -> Option<Change> {
        self.with(|pace| pace.record(observation, now)).flatten()
    }

    fn with<T>(&self, act: impl FnOnce(&mut Pace) -> T) -> Option<T> {
        // A panic cannot leave the state inconsistent, so a poisoned lock is still usable.
        let pace = self.0.as_ref()?;
        let mut pace = pace.lock().unwrap_or_else(PoisonError::into_inner);
        Some(act(&mut pace))
    }
}
