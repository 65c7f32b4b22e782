//! Metrics of the speed of targets.

use std::sync::atomic;

use prometheus_client::{
    metrics::{
        counter,
        family,
        gauge, //
    },
    registry, //
};

use crate::budgets;

/// Metrics of the speed of targets.
#[derive(Clone, Debug, Default)]
pub struct SpeedMetrics {
    /// Services whose targets are chosen by their speed.
    pub services: gauge::Gauge<i64>,
    /// Reported slowdowns that are no positive numbers or beyond the bounds.
    pub false_figures: counter::Counter<u64>,
    /// Least learned factor of the engines of a service.
    pub least: family::Family<budgets::ServiceLabels, gauge::Gauge<f64, atomic::AtomicU64>>,
    /// Greatest learned factor of the engines of a service.
    pub greatest: family::Family<budgets::ServiceLabels, gauge::Gauge<f64, atomic::AtomicU64>>,
}

impl SpeedMetrics {
    pub(super) fn register(&self, r: &mut registry::Registry) {
        r.register(
            "speed_services",
            "Services whose targets are chosen by their speed",
            self.services.clone(),
        );
        r.register(
            "slowdowns_false",
            "Reported slowdowns that are no positive numbers or beyond the bounds",
            self.false_figures.clone(),
        );
        r.register(
            "speed_factor_least",
            "Least learned factor of the engines of a service",
            self.least.clone(),
        );
        r.register(
            "speed_factor_greatest",
            "Greatest learned factor of the engines of a service",
            self.greatest.clone(),
        );
    }
}
