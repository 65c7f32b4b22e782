//! Metrics of queues that are short of capacity.

use prometheus_client::{
    metrics::{
        counter,
        gauge, //
    },
    registry, //
};

/// Metrics of queues that are short of capacity.
#[derive(Clone, Debug, Default)]
pub struct ShortageMetrics {
    /// Shortages that have begun.
    pub begun: counter::Counter<u64>,
    /// Queues of this process that are short of capacity.
    pub current: gauge::Gauge<i64>,
}

impl ShortageMetrics {
    pub(super) fn register(&self, r: &mut registry::Registry) {
        r.register(
            "shortages",
            "Shortages of capacity that have begun",
            self.begun.clone(),
        );
        r.register(
            "queues_short",
            "Queues that are short of capacity",
            self.current.clone(),
        );
    }
}
