//! Description of the processes of a fleet.

use std::net;

use serde_json::{
    Value,
    json, //
};

/// One service and its fake targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name in the bundle.
    pub name: &'static str,
    /// `engine` or `pool`.
    pub kind: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Additional arguments of each fake target.
    pub args: Vec<&'static str>,
}

impl Service {
    /// Describes a service.
    pub fn new(name: &'static str, kind: &'static str, targets: usize) -> Self {
        Self {
            name,
            kind,
            targets,
            args: Vec::new(),
        }
    }

    /// Adds arguments of each fake target.
    #[must_use]
    pub fn args(mut self, args: &[&'static str]) -> Self {
        self.args.extend(args);
        self
    }
}

/// Processes to start and their settings.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) entries: usize,
    pub(super) services: Vec<Service>,
    pub(super) bundle: Value,
    pub(super) store_args: Vec<&'static str>,
    pub(super) stop_limit: &'static str,
    pub(super) relays: bool,
    traces: Option<net::SocketAddr>,
}

impl Plan {
    /// Plans two entries, the given services and the bundle.
    pub fn new(services: Vec<Service>, bundle: Value) -> Self {
        Self {
            entries: 2,
            services,
            bundle,
            store_args: Vec::new(),
            stop_limit: "60s",
            relays: false,
            traces: None,
        }
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the stop limit of entries and agents.
    #[must_use]
    pub fn stop_limit(mut self, limit: &'static str) -> Self {
        self.stop_limit = limit;
        self
    }

    /// Puts a relay in front of each agent; the list of instances holds the address of the relay.
    #[must_use]
    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }

    /// Adds arguments of the fake object service.
    #[must_use]
    pub fn store_args(mut self, args: &[&'static str]) -> Self {
        self.store_args.extend(args);
        self
    }

    /// Sets the collector that entries and agents send their spans to.
    #[must_use]
    pub fn traces(mut self, collector: net::SocketAddr) -> Self {
        self.traces = Some(collector);
        self
    }

    /// Returns the `telemetry` settings.
    pub(super) fn telemetry(&self) -> Value {
        json!({"level": "info", "traces": self.traces})
    }
}
