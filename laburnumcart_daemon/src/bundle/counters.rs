//! Metrics of bundle synchronisation.

use derive_more::Display;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter,
        family,
        gauge, //
    },
};

use crate::metrics;

/// Reason why a bundle was not fetched or was rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Failure {
    /// The object service did not return it.
    Store,
    /// A peer did not return it.
    Peer,
    /// The head is malformed or of another generation than announced.
    Head,
    /// The envelope differs from the accepted one or lacks signatures of enough trusted signers.
    Signature,
    /// The text is not a valid bundle.
    Content,
}

impl metrics::ClosedSet for Failure {}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Labels {
    reason: metrics::Label<Failure>,
}

/// Bundle metrics of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct Counters {
    generation: gauge::Gauge,
    failures: family::Family<Labels, counter::Counter>,
}

impl Counters {
    /// Registers the metrics.
    pub(super) fn register(&self, metrics: &metrics::Metrics) {
        metrics.register("laburnum_bundle", |registry| {
            registry.register(
                "generation",
                "Generation of the bundle in force, 0 before the first",
                self.generation.clone(),
            );
            registry.register(
                "failures",
                "Bundles that could not be fetched or were refused",
                self.failures.clone(),
            );
        });
    }

    /// Sets the gauge of the generation in force.
    pub(super) fn set_generation(&self, generation: u64) {
        self.generation
            .set(generation.try_into().unwrap_or(i64::MAX));
    }

    pub(super) fn record_failure(&self, reason: Failure) {
        let reason = metrics::Label(reason);
        self.failures.get_or_create(&Labels { reason }).inc();
    }

    /// Returns the number of failures with this reason.
    pub(super) fn failure_count(&self, reason: Failure) -> u64 {
        let reason = metrics::Label(reason);
        self.failures.get_or_create(&Labels { reason }).get()
    }
}
