//! Counters of the claim service.

use prometheus_client::{
    metrics::counter,
    registry, //
};

/// Counters of the claim service of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Claims granted here.
    pub granted: counter::Counter,
    /// Claims of a key that another request holds.
    pub taken: counter::Counter,
    /// Claims refused as not run.
    pub refused: counter::Counter,
    /// Claims given back.
    pub released: counter::Counter,
    /// Appends to the log that are durable.
    pub appends: counter::Counter,
    /// Appends whose answer was lost.
    pub unanswered: counter::Counter,
    /// Shards taken over.
    pub takeovers: counter::Counter,
    /// Shards lost to another entry.
    pub lost: counter::Counter,
}

impl Metrics {
    /// Registers the counters.
    pub fn register(&self, registry: &mut registry::Registry) {
        let registry = registry.sub_registry_with_prefix("claims");
        let mut add = |name: &str, help: &str, counter: &counter::Counter| {
            registry.register(name, help, counter.clone());
        };
        add("granted", "Claims granted", &self.granted);
        add("taken", "Claims of a key held already", &self.taken);
        add("refused", "Claims refused as not run", &self.refused);
        add("released", "Claims given back", &self.released);
        add("appends", "Durable appends", &self.appends);
        add("unanswered", "Appends without an answer", &self.unanswered);
        add("takeovers", "Shards taken over", &self.takeovers);
        add("lost", "Shards lost to another entry", &self.lost);
    }
}
