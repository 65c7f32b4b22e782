//! Metrics of the bundle.

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

/// Why a bundle was not taken in.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Failure {
    /// The object service did not give it.
    Store,
    /// A peer did not give it.
    Peer,
    /// The head is malformed or belongs to another generation than was said.
    Head,
    /// The envelope is not the accepted one, or is not signed by enough trusted signers.
    Signature,
    /// The text is not a valid bundle.
    Content,
}

impl metrics::LabelValue for Failure {}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Labels {
    reason: metrics::Label<Failure>,
}

/// Counters of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct Counters {
    generation: gauge::Gauge,
    failures: family::Family<Labels, counter::Counter>,
}

impl Counters {
    /// Registers the counters.
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

    /// Shows the generation in force.
    pub(super) fn set_generation(&self, generation: u64) {
        self.generation
            .set(generation.try_into().unwrap_or(i64::MAX));
    }

    /// Counts a failure.
    pub(super) fn fail(&self, reason: Failure) {
        let reason = metrics::Label(reason);
        self.failures.get_or_create(&Labels { reason }).inc();
    }

    /// Returns how often a failure was counted.
    pub(super) fn failures(&self, reason: Failure) -> u64 {
        let reason = metrics::Label(reason);
        self.failures.get_or_create(&Labels { reason }).get()
    }
}
