//! What a gateway counts.

use std::sync::atomic;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter,
        family,
        gauge,
        histogram, //
    },
};

use laburnumcart::verdict;
use laburnumcart_daemon::metrics;

use crate::{
    budgets,
    pool, //
};

/// Bounds of the latency histograms in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Why a request was refused, and whether it may have run.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Refused {
    /// Reason.
    pub reason: metrics::Label<verdict::Reason>,
    /// Verdict.
    pub verdict: metrics::Label<verdict::Verdict>,
}

/// What is counted of targets that get less than others.
#[derive(Clone, Debug, Default)]
pub struct TargetGauges {
    /// Targets that have named a limit.
    pub limited: gauge::Gauge<i64>,
    /// Sends to them.
    pub limited_sends: counter::Counter<u64>,
    /// Targets that are cold.
    pub cold: gauge::Gauge<i64>,
    /// Targets that want nothing from this process for a while.
    pub backing_off: gauge::Gauge<i64>,
    /// Targets that are leaving.
    pub leaving: gauge::Gauge<i64>,
    /// Data centres that are evacuated.
    pub evacuated: gauge::Gauge<i64>,
}

/// Counters and histograms of one gateway; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests that came.
    pub requests: counter::Counter<u64>,
    /// Requests that were answered by a target.
    pub answered: counter::Counter<u64>,
    /// Requests that were refused or given up.
    pub refused: family::Family<Refused, counter::Counter<u64>>,
    /// Streams that broke off.
    pub streams_broken: counter::Counter<u64>,
    /// Streams that went on at another target.
    pub streams_resumed: counter::Counter<u64>,
    /// Sends to another target after a failure.
    pub resent: counter::Counter<u64>,
    /// Arrivals at targets beyond the first of each request, by what was decided.
    pub repeats: family::Family<budgets::Labels, counter::Counter>,
    /// Batches sent.
    pub calls: counter::Counter<u64>,
    /// Pieces in them.
    pub pieces: counter::Counter<u64>,
    /// Jobs that were refused because they would have been late.
    pub refused_early: counter::Counter<u64>,
    /// How late a timer of the process is in the mean, in seconds.
    pub timer_lag: gauge::Gauge<f64, atomic::AtomicU64>,
    /// Targets that get less than others.
    pub targets: TargetGauges,
    /// Time until the stages were done.
    pub stages: histogram::Histogram,
    /// Time until the first byte of an answer.
    pub first_byte: histogram::Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: counter::Counter::default(),
            answered: counter::Counter::default(),
            refused: family::Family::default(),
            streams_broken: counter::Counter::default(),
            streams_resumed: counter::Counter::default(),
            resent: counter::Counter::default(),
            repeats: family::Family::default(),
            calls: counter::Counter::default(),
            pieces: counter::Counter::default(),
            refused_early: counter::Counter::default(),
            timer_lag: gauge::Gauge::default(),
            targets: TargetGauges::default(),
            stages: histogram::Histogram::new(BUCKETS),
            first_byte: histogram::Histogram::new(BUCKETS),
        }
    }
}

impl Metrics {
    /// Registers everything under `laburnum_gateway`.
    pub fn register(&self, metrics: &metrics::Metrics, pool: &pool::Counters) {
        metrics.register("laburnum_gateway", |r| {
            r.register("requests", "Requests that came", self.requests.clone());
            r.register(
                "answered",
                "Requests answered by a target",
                self.answered.clone(),
            );
            r.register(
                "refused",
                "Requests refused or given up",
                self.refused.clone(),
            );
            r.register(
                "streams_broken",
                "Streams that broke off",
                self.streams_broken.clone(),
            );
            r.register(
                "streams_resumed",
                "Streams resumed elsewhere",
                self.streams_resumed.clone(),
            );
            r.register("resent", "Sends after a failure", self.resent.clone());
            r.register(
                "repeats",
                "Arrivals beyond the first of each request",
                self.repeats.clone(),
            );
            r.register("calls", "Batches sent", self.calls.clone());
            r.register("pieces", "Pieces in batches", self.pieces.clone());
            r.register(
                "jobs_refused",
                "Jobs refused early",
                self.refused_early.clone(),
            );
            r.register(
                "late_seconds",
                "Mean lateness of a timer of the process",
                self.timer_lag.clone(),
            );
            r.register(
                "targets_limited",
                "Targets that have named a limit",
                self.targets.limited.clone(),
            );
            r.register(
                "limited_sends",
                "Sends to targets that have named a limit",
                self.targets.limited_sends.clone(),
            );
            r.register(
                "targets_cold",
                "Targets that are cold",
                self.targets.cold.clone(),
            );
            r.register(
                "targets_backing_off",
                "Targets that want nothing for a while",
                self.targets.backing_off.clone(),
            );
            r.register(
                "targets_leaving",
                "Targets that are leaving",
                self.targets.leaving.clone(),
            );
            r.register(
                "data_centres_evacuated",
                "Data centres that get no work",
                self.targets.evacuated.clone(),
            );
            r.register("stages_seconds", "Time of the stages", self.stages.clone());
            r.register(
                "first_byte_seconds",
                "Time to the first byte",
                self.first_byte.clone(),
            );
            r.register(
                "connections_opened",
                "Connections to targets",
                pool.opened.clone(),
            );
            r.register(
                "connections_reused",
                "Exchanges on kept ones",
                pool.reused.clone(),
            );
        });
    }
}
