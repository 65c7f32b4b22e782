//! Counters of an agent.

use laburnumcart::verdict;
use laburnumcart_daemon::metrics;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter,
        family,
        gauge, //
    },
    registry, //
};

/// Labels of a refusal.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Refused {
    /// Cause.
    pub reason: metrics::Label<verdict::Reason>,
    /// Whether it may have run.
    pub verdict: metrics::Label<verdict::Verdict>,
}

/// Counters and gauges of an agent.
#[derive(Debug, Default)]
pub struct Counters {
    /// Attempts that were admitted.
    pub admitted: counter::Counter,
    /// Attempts whose whole result was kept.
    pub done: counter::Counter,
    /// Attempts that were refused or failed.
    pub refused: family::Family<Refused, counter::Counter>,
    /// Queries about attempts that were in doubt.
    pub queries: counter::Counter,
    /// Calls over fenced sessions.
    pub fenced: counter::Counter,
    /// Crashes of the target.
    pub crashes: counter::Counter,
    /// Orders that were given.
    pub orders: counter::Counter,
    /// News that the control thread was too busy for.
    pub news_dropped: counter::Counter,
    /// Attempts that the target executes.
    pub running: gauge::Gauge,
    /// Attempts that wait.
    pub queued: gauge::Gauge,
    /// Attempts that the target can execute at once.
    pub limit: gauge::Gauge,
}

impl Counters {
    /// Creates the counters and registers them.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        let counters = Self::default();
        metrics.register("laburnum_agent", |registry| counters.register(registry));
        counters
    }

    /// Counts a refusal.
    pub fn refuse(&self, refusal: &verdict::Refusal) {
        let labels = Refused {
            reason: metrics::Label(refusal.reason),
            verdict: metrics::Label(refusal.verdict),
        };
        self.refused.get_or_create(&labels).inc();
    }

    fn register(&self, registry: &mut registry::Registry) {
        let counters = [
            ("admitted", "Attempts admitted", &self.admitted),
            ("done", "Attempts with a whole result", &self.done),
            ("queries", "Queries about attempts in doubt", &self.queries),
            ("fenced", "Calls over fenced sessions", &self.fenced),
            ("crashes", "Crashes of the target", &self.crashes),
            ("orders", "Orders given to the target", &self.orders),
            ("news_dropped", "News dropped", &self.news_dropped),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("running", "Attempts at the target", &self.running),
            ("queued", "Attempts that wait", &self.queued),
            ("limit", "Concurrency limit", &self.limit),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let help = "Attempts refused or failed";
        registry.register("refused", help, self.refused.clone());
    }
}
