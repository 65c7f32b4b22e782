//! Metrics of the gateway.

mod pace;
mod shortage;
mod speed;

use std::sync::atomic;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter,
        family,
        gauge,
        histogram, //
    },
    registry,
};

use laburnumcart::{
    id,
    poison,
    verdict, //
};
use laburnumcart_daemon::metrics;

use crate::{
    budgets,
    pool,
    relay::reads, //
};

pub use self::{
    pace::PaceMetrics,
    shortage::ShortageMetrics,
    speed::SpeedMetrics, //
};

/// Buckets of the latency histograms in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Labels of a refused request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: metrics::Label<verdict::Reason>,
    /// Whether the request may have been executed.
    pub verdict: metrics::Label<verdict::Verdict>,
}

/// Metrics of targets with restricted traffic.
#[derive(Clone, Debug, Default)]
pub struct TargetMetrics {
    /// Targets that advertise a rate limit.
    pub limited: gauge::Gauge<i64>,
    /// Requests sent to such targets.
    pub limited_sends: counter::Counter<u64>,
    /// Targets within their warm-up time.
    pub cold: gauge::Gauge<i64>,
    /// Targets in a backoff that they asked this process for.
    pub backing_off: gauge::Gauge<i64>,
    /// Targets that are shutting down.
    pub leaving: gauge::Gauge<i64>,
    /// Evacuated data centres.
    pub evacuated: gauge::Gauge<i64>,
}

/// Labels of a crash of a target.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Crashed {
    /// What has shown the crash.
    pub sign: metrics::Label<poison::Sign>,
}

/// Labels of a status check of a target.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Probed {
    /// What it has shown.
    pub outcome: metrics::Label<poison::Probe>,
}

/// Metrics of crashes of targets and of the contents that failed with them.
#[derive(Clone, Debug, Default)]
pub struct CrashMetrics {
    /// Failures after which the target was to be checked.
    pub failures: counter::Counter<u64>,
    /// Status checks of targets.
    pub probes: family::Family<Probed, counter::Counter>,
    /// Targets that were held to have crashed.
    pub crashes: family::Family<Crashed, counter::Counter>,
    /// Contents that may run one request at a time since.
    pub limited: counter::Counter<u64>,
    /// Contents that were refused since.
    pub quarantined: counter::Counter<u64>,
    /// Contents that were cleared by a completion.
    pub cleared: counter::Counter<u64>,
}

impl CrashMetrics {
    /// Counts a crash.
    pub fn record_crash(&self, sign: poison::Sign) {
        let labels = Crashed {
            sign: metrics::Label(sign),
        };
        self.crashes.get_or_create(&labels).inc();
    }

    /// Counts a status check.
    pub fn record_probe(&self, outcome: poison::Probe) {
        let labels = Probed {
            outcome: metrics::Label(outcome),
        };
        self.probes.get_or_create(&labels).inc();
    }

    fn register(&self, r: &mut registry::Registry) {
        r.register(
            "content_failures",
            "Failures after which the target is checked",
            self.failures.clone(),
        );
        r.register("probes", "Status checks of targets", self.probes.clone());
        r.register(
            "target_crashes",
            "Targets held to have crashed",
            self.crashes.clone(),
        );
        r.register(
            "contents_limited",
            "Contents limited to one request at a time",
            self.limited.clone(),
        );
        r.register(
            "contents_quarantined",
            "Contents refused because they crashed targets",
            self.quarantined.clone(),
        );
        r.register(
            "contents_cleared",
            "Contents cleared by a completed request",
            self.cleared.clone(),
        );
    }
}

/// Metrics of sends that were given up without a sign of their target.
#[derive(Clone, Debug, Default)]
pub struct UnsettledMetrics {
    /// Sends that were given up, by service.
    pub given_up: family::Family<budgets::ServiceLabels, counter::Counter>,
    /// Repeats that arrived long after they were charged, by service.
    pub late: family::Family<budgets::ServiceLabels, counter::Counter>,
    /// Such sends of requests that were sent again, by service.
    pub sends: family::Family<budgets::ServiceLabels, gauge::Gauge>,
    /// Age of the oldest of them in seconds, by service.
    pub age: family::Family<budgets::ServiceLabels, gauge::Gauge<f64, atomic::AtomicU64>>,
}

impl UnsettledMetrics {
    fn register(&self, r: &mut registry::Registry) {
        r.register(
            "sends_given_up",
            "Sends given up without a sign of their target",
            self.given_up.clone(),
        );
        r.register(
            "repeats_late",
            "Repeats that arrived a second or more after they were charged",
            self.late.clone(),
        );
        r.register(
            "unsettled_sends",
            "Sends given up without a sign of their target, of requests sent again",
            self.sends.clone(),
        );
        r.register(
            "unsettled_age_seconds",
            "Age of the oldest of these sends",
            self.age.clone(),
        );
    }
}

/// Outcome of a stream that its caller has taken up.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum TakenUp {
    /// It went on.
    WentOn,
    /// It was refused, as no target of its version is left.
    VersionGone,
    /// It was refused, as its version is not known.
    Unknown,
}

impl metrics::ClosedSet for TakenUp {}

/// Labels of a stream that its caller has taken up.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct TakenUpLabels {
    /// What became of it.
    pub outcome: metrics::Label<TakenUp>,
    /// Software version that began it.
    pub version: String,
}

/// Metrics of the origins of streams.
#[derive(Clone, Debug, Default)]
pub struct OriginMetrics {
    /// Streams that callers have taken up.
    pub taken_up: family::Family<TakenUpLabels, counter::Counter>,
    /// Origins that are kept here.
    pub records: gauge::Gauge<i64>,
    /// Writes of the journal of origins.
    pub journal_writes: counter::Counter,
}

impl OriginMetrics {
    /// Counts a stream that its caller has taken up.
    pub fn record(&self, outcome: TakenUp, version: Option<&id::SoftwareVersion>) {
        let labels = TakenUpLabels {
            outcome: metrics::Label(outcome),
            version: id::version_label(version).to_owned(),
        };
        self.taken_up.get_or_create(&labels).inc();
    }
}

/// Cause for which a connection of a caller ended with a request that was not answered as a whole.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum ConnectionEnd {
    /// The caller closed the connection, or it failed.
    CallerLeft,
    /// The body of the answer could not be completed.
    BodyTruncated,
    /// The request was not complete in time; it was answered with 408.
    RequestTimeout,
    /// The request was not complete at the exit; it was answered with 503.
    Exiting,
    /// Too many bytes or connections were held, and the caller had gone longest without progress.
    Evicted,
    /// The caller sent on an idle connection while it was being closed.
    Crossed,
    /// The handler of the request panicked.
    Panicked,
    /// The bytes that were read are no request.
    Malformed,
    /// The HTTP library ended the connection.
    ServerError,
}

impl metrics::ClosedSet for ConnectionEnd {}

/// Labels of an ended connection.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ConnectionEndLabels {
    /// Why it ended.
    pub cause: metrics::Label<ConnectionEnd>,
}

/// Counters, gauges and histograms of a gateway; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Received requests.
    pub requests: counter::Counter<u64>,
    /// Requests answered by a target.
    pub answered: counter::Counter<u64>,
    /// Requests refused or failed.
    pub refused: family::Family<Refused, counter::Counter<u64>>,
    /// Streams that ended before their last event.
    pub streams_broken: counter::Counter<u64>,
    /// Streams resumed at another target.
    pub streams_resumed: counter::Counter<u64>,
    /// Retries at another target after a failure.
    pub resent: counter::Counter<u64>,
    /// Repeated arrivals of requests at targets, granted or denied by a retry budget.
    pub repeats: family::Family<budgets::Labels, counter::Counter>,
    /// Sends whose targets gave no sign.
    pub unsettled: UnsettledMetrics,
    /// Batch calls sent.
    pub batch_calls: counter::Counter<u64>,
    /// Pieces in batch calls.
    pub pieces: counter::Counter<u64>,
    /// Jobs refused because they would have been late.
    pub refused_early: counter::Counter<u64>,
    /// Queues that are short of capacity.
    pub shortages: ShortageMetrics,
    /// Mean lateness of a timer of the process in seconds.
    pub timer_lag: gauge::Gauge<f64, atomic::AtomicU64>,
    /// Targets with restricted traffic.
    pub targets: TargetMetrics,
    /// Speed of targets.
    pub speed: SpeedMetrics,
    /// Paces of targets.
    pub pace: PaceMetrics,
    /// Crashes of targets.
    pub crashes: CrashMetrics,
    /// Origins of streams.
    pub origins: OriginMetrics,
    /// Handlers of requests that panicked.
    pub panics: counter::Counter<u64>,
    /// Connections of callers that ended with a request that was not answered as a whole.
    pub connections_ended: family::Family<ConnectionEndLabels, counter::Counter>,
    /// Time until all stages of a request were complete.
    pub stages: histogram::Histogram,
    /// Time until the first byte of a response.
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
            unsettled: UnsettledMetrics::default(),
            batch_calls: counter::Counter::default(),
            pieces: counter::Counter::default(),
            refused_early: counter::Counter::default(),
            shortages: ShortageMetrics::default(),
            timer_lag: gauge::Gauge::default(),
            targets: TargetMetrics::default(),
            speed: SpeedMetrics::default(),
            pace: PaceMetrics::default(),
            crashes: CrashMetrics::default(),
            origins: OriginMetrics::default(),
            panics: counter::Counter::default(),
            connections_ended: family::Family::default(),
            stages: histogram::Histogram::new(BUCKETS),
            first_byte: histogram::Histogram::new(BUCKETS),
        }
    }
}

impl Metrics {
    /// Registers everything under `laburnum_gateway`.
    pub fn register(&self, metrics: &metrics::Metrics, pool: &pool::Pool, reads: &reads::Reads) {
        metrics.register("laburnum_gateway", |r| {
            r.register(
                "config_delay_seconds",
                "Time since the last confirmation when a configuration was activated",
                reads.config_delay.clone(),
            );
            r.register(
                "config_parts_refused",
                "Parts of the configuration in force that cannot be read",
                reads.refused_parts.clone(),
            );
            r.register("requests", "Requests received", self.requests.clone());
            r.register(
                "answered",
                "Requests answered by a target",
                self.answered.clone(),
            );
            r.register(
                "refused",
                "Requests refused or failed",
                self.refused.clone(),
            );
            r.register(
                "streams_broken",
                "Streams ended before their last event",
                self.streams_broken.clone(),
            );
            r.register(
                "streams_resumed",
                "Streams resumed at another target",
                self.streams_resumed.clone(),
            );
            r.register(
                "resent",
                "Retries at another target after a failure",
                self.resent.clone(),
            );
            r.register(
                "repeats",
                "Repeated arrivals of requests at targets",
                self.repeats.clone(),
            );
            self.unsettled.register(r);
            r.register("calls", "Batch calls sent", self.batch_calls.clone());
            r.register("pieces", "Pieces in batch calls", self.pieces.clone());
            r.register(
                "jobs_refused",
                "Jobs refused because they would have been late",
                self.refused_early.clone(),
            );
            self.shortages.register(r);
            r.register(
                "late_seconds",
                "Mean lateness of a timer of the process",
                self.timer_lag.clone(),
            );
            r.register(
                "targets_limited",
                "Targets that advertise a rate limit",
                self.targets.limited.clone(),
            );
            r.register(
                "limited_sends",
                "Requests sent to targets that advertise a rate limit",
                self.targets.limited_sends.clone(),
            );
            r.register(
                "targets_cold",
                "Targets within their warm-up time",
                self.targets.cold.clone(),
            );
            r.register(
                "targets_backing_off",
                "Targets in a backoff that they asked for",
                self.targets.backing_off.clone(),
            );
            r.register(
                "targets_leaving",
                "Targets that are shutting down",
                self.targets.leaving.clone(),
            );
            r.register(
                "data_centres_evacuated",
                "Evacuated data centres",
                self.targets.evacuated.clone(),
            );
            self.speed.register(r);
            self.pace.register(r);
            self.crashes.register(r);
            r.register(
                "streams_taken_up",
                "Streams that callers have taken up, by outcome and version",
                self.origins.taken_up.clone(),
            );
            r.register(
                "stream_origins",
                "Origins of streams that are kept",
                self.origins.records.clone(),
            );
            r.register(
                "origin_journal_writes",
                "Writes of the journal of origins of streams in flight",
                self.origins.journal_writes.clone(),
            );
            r.register(
                "panics",
                "Handlers of requests that panicked",
                self.panics.clone(),
            );
            r.register(
                "connections_ended",
                "Connections of callers that ended with a request not answered as a whole",
                self.connections_ended.clone(),
            );
            r.register(
                "stages_seconds",
                "Time until all stages of a request were complete",
                self.stages.clone(),
            );
            r.register(
                "first_byte_seconds",
                "Time until the first byte of a response",
                self.first_byte.clone(),
            );
            r.register(
                "connections_opened",
                "Connections opened to targets",
                pool.counters.opened.clone(),
            );
            r.register(
                "connections_reused",
                "Requests on reused connections",
                pool.counters.reused.clone(),
            );
            r.register(
                "held_bytes",
                "Bytes of bodies held for callers and targets",
                pool.held.counters.bytes.clone(),
            );
            r.register(
                "callers_evicted",
                "Connections of callers reset because too many bytes or connections were held",
                pool.held.counters.evicted.clone(),
            );
            r.register(
                "room_waits",
                "Bodies and parts of answers that waited for room",
                pool.held.counters.waited.clone(),
            );
            r.register(
                "room_refused",
                "Bodies refused as there was no room",
                pool.held.counters.refused.clone(),
            );
        });
    }
}
