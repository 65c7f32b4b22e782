//! Options of the bundle synchronisation task.

use std::net;

use laburnumcart::{
    signing,
    unit, //
};

/// Timeouts and intervals of [`run`](super::run).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Longest wait of one watch; an open watch counts as a call of the object service.
    pub watch_wait: unit::Period,
    /// Timeout of any other call, and of a watch beyond its wait.
    pub call_timeout: unit::Period,
    /// Mean pause before the first retry of a failed call.
    pub retry_pause: unit::Period,
    /// Interval between two rounds of polling peers while the object service is down.
    pub poll_interval: unit::Period,
    /// Time for the object service to deliver a known generation before peers are asked for it.
    pub store_grace: unit::Period,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            watch_wait: unit::Period::from_secs(30),
            call_timeout: unit::Period::from_secs(5),
            retry_pause: unit::Period::from_millis(500),
            poll_interval: unit::Period::from_secs(2),
            store_grace: unit::Period::from_millis(250),
        }
    }
}

/// Options of [`run`](super::run).
#[derive(Clone, Debug)]
pub struct Options {
    pub(super) trust: signing::Trust,
    pub(super) peers: Vec<net::SocketAddr>,
    pub(super) timing: Timing,
}

impl Options {
    /// Creates options with no peers and the default timing.
    pub fn new(trust: signing::Trust) -> Self {
        Self {
            trust,
            peers: Vec::new(),
            timing: Timing::default(),
        }
    }

    /// Sets the peers to poll while the object service is down.
    #[must_use]
    pub fn peers(mut self, peers: impl Into<Vec<net::SocketAddr>>) -> Self {
        self.peers = peers.into();
        self
    }

    /// Sets the timeouts and intervals.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }
}
