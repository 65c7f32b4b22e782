//! Counters of the claim service.

use prometheus_client::{
    metrics::counter,
    registry, //
};

/// Counters of the claim service of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Claims granted by this process.
    pub granted: counter::Counter,
    /// Claims of a key that another request holds.
    pub taken: counter::Counter,
    /// Claims refused as not run.
    pub refused: counter::Counter,
    /// Claims released.
    pub released: counter::Counter,
    /// Appends to the log that became durable.
    pub appends: counter::Counter,
    /// Appends without a response, which had to be settled by reading back.
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
        add(
            "taken",
            "Claims of a key that another request holds",
            &self.taken,
        );
        add("refused", "Claims refused as not run", &self.refused);
        add("released", "Claims released", &self.released);
        add("appends", "Durable appends", &self.appends);
        add("unanswered", "Appends without a response", &self.unanswered);
        add("takeovers", "Shards taken over", &self.takeovers);
        add("lost", "Shards lost to another entry", &self.lost);
    }
}
