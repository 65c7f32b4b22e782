//! Metrics of the paces of targets.

use prometheus_client::{
    metrics::{
        gauge,
        histogram, //
    },
    registry, //
};

use crate::metrics::BUCKETS;

/// Metrics of the paces of targets.
#[derive(Clone, Debug)]
pub struct PaceMetrics {
    /// Targets that get few requests until one is answered in the usual time.
    pub probing: gauge::Gauge<i64>,
    /// Targets whose allowance follows their answers.
    pub growing: gauge::Gauge<i64>,
    /// Sum of the allowances of both.
    pub allowance: gauge::Gauge<i64>,
    /// Time from a target's first answer until it was not limited any more.
    pub time_to_full: histogram::Histogram,
}

impl Default for PaceMetrics {
    fn default() -> Self {
        Self {
            probing: gauge::Gauge::default(),
            growing: gauge::Gauge::default(),
            allowance: gauge::Gauge::default(),
            time_to_full: histogram::Histogram::new(BUCKETS),
        }
    }
}

impl PaceMetrics {
    pub(super) fn register(&self, r: &mut registry::Registry) {
        r.register(
            "targets_probing",
            "Targets that get few requests after a start or failure",
            self.probing.clone(),
        );
        r.register(
            "targets_growing",
            "Targets whose allowance follows their answers",
            self.growing.clone(),
        );
        r.register(
            "pace_allowance",
            "Requests in flight that the paces of targets allow",
            self.allowance.clone(),
        );
        r.register(
            "pace_full_seconds",
            "Time from the first answer of a target until it is not limited",
            self.time_to_full.clone(),
        );
    }
}
