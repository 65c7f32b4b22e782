//! Metrics of an agent.

use std::{
    sync::atomic,
    time, //
};

use laburnumcart::{
    id,
    verdict, //
};
use laburnumcart_daemon::metrics;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue, //
    },
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
    /// Reason of the refusal.
    pub reason: metrics::Label<verdict::Reason>,
    /// Whether the attempt may have executed.
    pub verdict: metrics::Label<verdict::Verdict>,
}

/// Use of the time that the target spent on an attempt.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Spent {
    /// The attempt produced a complete result.
    Whole,
    /// The attempt failed, was cancelled or exceeded its deadline.
    Wasted,
}

/// Labels of the time that the target spent.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Busy {
    stage: metrics::Name,
    spent: Spent,
}

/// Most stages with a series of their own; the rest share one.
const STAGES_MAX: usize = 64;

/// Counters and gauges of an agent.
#[derive(Debug)]
pub struct Counters {
    /// Admitted attempts.
    pub admitted: counter::Counter,
    /// Attempts with a complete result.
    pub done: counter::Counter,
    /// Refused or failed attempts.
    pub refused: family::Family<Refused, counter::Counter>,
    /// Seconds that the target spent, by stage.
    busy: family::Family<Busy, counter::Counter<f64, atomic::AtomicU64>>,
    stages: metrics::Names,
    /// Queries about attempts in doubt.
    pub queries: counter::Counter,
    /// Calls refused because their session is fenced.
    pub fenced: counter::Counter,
    /// Detected crashes of the target.
    pub crashes: counter::Counter,
    /// Orders sent to the target.
    pub orders: counter::Counter,
    /// Messages dropped because the channel to the control thread was full.
    pub news_dropped: counter::Counter,
    /// Attempts in execution at the target.
    pub running: gauge::Gauge,
    /// Waiting attempts.
    pub queued: gauge::Gauge,
    /// Concurrency limit of the target, in attempts.
    pub limit: gauge::Gauge,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            admitted: counter::Counter::default(),
            done: counter::Counter::default(),
            refused: family::Family::default(),
            busy: family::Family::default(),
            stages: metrics::Names::new(STAGES_MAX),
            queries: counter::Counter::default(),
            fenced: counter::Counter::default(),
            crashes: counter::Counter::default(),
            orders: counter::Counter::default(),
            news_dropped: counter::Counter::default(),
            running: gauge::Gauge::default(),
            queued: gauge::Gauge::default(),
            limit: gauge::Gauge::default(),
        }
    }
}

impl Counters {
    /// Creates the counters and registers them.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        let counters = Self::default();
        metrics.register("laburnum_agent", |registry| counters.register(registry));
        counters
    }

    /// Records a refused or failed attempt.
    pub fn record_refusal(&self, refusal: &verdict::Refusal) {
        let labels = Refused {
            reason: metrics::Label(refusal.reason),
            verdict: metrics::Label(refusal.verdict),
        };
        self.refused.get_or_create(&labels).inc();
    }

    /// Adds the time that the target spent on an attempt.
    pub fn record_busy_time(&self, stage: &id::StageName, spent: Spent, busy: time::Duration) {
        let stage = self.stages.label(stage.as_str());
        let counter = self.busy.get_or_create(&Busy { stage, spent });
        counter.inc_by(busy.as_secs_f64());
    }

    fn register(&self, registry: &mut registry::Registry) {
        let counters = [
            ("admitted", "Attempts admitted", &self.admitted),
            ("done", "Attempts with a complete result", &self.done),
            ("queries", "Queries about attempts in doubt", &self.queries),
            ("fenced", "Calls over fenced sessions", &self.fenced),
            ("crashes", "Crashes of the target", &self.crashes),
            ("orders", "Orders sent to the target", &self.orders),
            (
                "news_dropped",
                "Messages to the control thread dropped",
                &self.news_dropped,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("running", "Attempts at the target", &self.running),
            ("queued", "Attempts waiting", &self.queued),
            ("limit", "Concurrency limit", &self.limit),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let help = "Attempts refused or failed";
        registry.register("refused", help, self.refused.clone());
        let help = "Time that the target spent on a stage";
        registry.register("stage_busy_seconds", help, self.busy.clone());
    }
}
