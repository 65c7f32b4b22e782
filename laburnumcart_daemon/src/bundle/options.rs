//! Settings of the task that follows the head.

use std::net;

use laburnumcart::{
    signing,
    unit, //
};

/// Periods of [`run`](super::run).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Longest wait of one watch; a waiting watch counts as a call of the object service.
    pub wait: unit::Period,
    /// Longest time for any other call.
    pub call: unit::Period,
    /// Mean pause after a failed call.
    pub retry: unit::Period,
    /// Pause between two rounds of asking peers while the object service is down.
    pub ask: unit::Period,
    /// Time that the object service gets before a peer is asked for what was heard of.
    pub grace: unit::Period,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            wait: unit::Period::from_secs(30),
            call: unit::Period::from_secs(5),
            retry: unit::Period::from_millis(500),
            ask: unit::Period::from_secs(2),
            grace: unit::Period::from_millis(250),
        }
    }
}

/// Settings of [`run`](super::run).
#[derive(Clone, Debug)]
pub struct Options {
    pub(super) trust: signing::Trust,
    pub(super) peers: Vec<net::SocketAddr>,
    pub(super) timing: Timing,
}

impl Options {
    /// Creates settings with no peers and the default periods.
    pub fn new(trust: signing::Trust) -> Self {
        Self {
            trust,
            peers: Vec::new(),
            timing: Timing::default(),
        }
    }

    /// Sets the peers to ask while the object service is down.
    #[must_use]
    pub fn peers(mut self, peers: impl Into<Vec<net::SocketAddr>>) -> Self {
        self.peers = peers.into();
        self
    }

    /// Sets the periods.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }
}
