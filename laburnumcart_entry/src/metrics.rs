//! Metrics of an entry.

use std::sync::Arc;

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
};
use tokio::time;

use laburnumcart::{
    id,
    verdict, //
};
use laburnumcart_daemon::metrics;
use laburnumcart_wire::stage;

pub mod cost;

/// Maximum number of teams, pipelines and services with series of their own.
const TEAMS_MAX: usize = 256;
const PIPELINES_MAX: usize = 64;
const SERVICES_MAX: usize = 64;

/// Upper bounds of the duration buckets in seconds.
const BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.6, 2.0, 5.0, 10.0, 20.0, 60.0,
];

/// Outcome of a request or an attempt.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Ended {
    /// Complete and within the deadline.
    Whole,
    /// Complete, but after the deadline.
    Late,
    /// Refused, proven not executed.
    NotRun,
    /// Failed; may have executed.
    MayHaveRun,
}

impl From<verdict::Verdict> for Ended {
    fn from(verdict: verdict::Verdict) -> Self {
        match verdict {
            verdict::Verdict::NotRun => Self::NotRun,
            verdict::Verdict::MayHaveRun => Self::MayHaveRun,
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Request {
    team: metrics::Name,
    pipeline: metrics::Name,
    ended: Ended,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Pipeline {
    pipeline: metrics::Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Refusal {
    reason: metrics::Label<verdict::Reason>,
    verdict: metrics::Label<verdict::Verdict>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Service {
    service: metrics::Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Attempt {
    service: metrics::Name,
    ended: Ended,
}

/// Metrics of an entry; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    teams: Arc<metrics::Names>,
    pipelines: Arc<metrics::Names>,
    services: Arc<metrics::Names>,
    requests: Family<Request, Counter>,
    durations: Family<Pipeline, Histogram, fn() -> Histogram>,
    refusals: Family<Refusal, Counter>,
    attempts: Family<Attempt, Counter>,
    busy: Family<Service, Counter<f64, std::sync::atomic::AtomicU64>>,
    queued: Family<Service, Counter<f64, std::sync::atomic::AtomicU64>>,
    /// Execution time at targets by team and stage.
    pub cost: cost::Cost,
    /// Hedged attempts.
    pub hedges: Counter,
    /// Connections to agents that were closed as broken.
    pub closed_connections: Counter,
    /// Queries on a new connection about attempts whose outcome is unknown.
    pub outcome_queries: Counter,
    /// Working connections to agents.
    pub lanes: Gauge,
    /// Requests in flight.
    pub running: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let teams = Arc::new(metrics::Names::new(TEAMS_MAX));
        Self {
            cost: cost::Cost::new(teams.clone()),
            teams,
            pipelines: Arc::new(metrics::Names::new(PIPELINES_MAX)),
            services: Arc::new(metrics::Names::new(SERVICES_MAX)),
            requests: Family::default(),
            durations: Family::new_with_constructor(|| Histogram::new(BOUNDS)),
            refusals: Family::default(),
            attempts: Family::default(),
            busy: Family::default(),
            queued: Family::default(),
            hedges: Counter::default(),
            closed_connections: Counter::default(),
            outcome_queries: Counter::default(),
            lanes: Gauge::default(),
            running: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn register(&self, all: &metrics::Metrics) {
        all.register("laburnum_entry", |r| {
            r.register("requests", "Requests by outcome", self.requests.clone());
            r.register(
                "request_duration_seconds",
                "Time from arrival to the complete response",
                self.durations.clone(),
            );
            r.register("refusals", "Refusals to callers", self.refusals.clone());
            r.register("attempts", "Attempts by outcome", self.attempts.clone());
            r.register(
                "stage_busy_seconds",
                "Execution time at targets of complete results",
                self.busy.clone(),
            );
            r.register(
                "stage_queued_seconds",
                "Queueing time at agents of complete results",
                self.queued.clone(),
            );
            self.cost.register(r);
            r.register("hedges", "Hedged attempts", self.hedges.clone());
            r.register(
                "lane_breaks",
                "Connections to agents closed as broken",
                self.closed_connections.clone(),
            );
            r.register(
                "doubts",
                "Queries about attempts with unknown outcome",
                self.outcome_queries.clone(),
            );
            r.register("lanes", "Working connections to agents", self.lanes.clone());
            r.register("running", "Requests in flight", self.running.clone());
        });
    }

    /// Records the outcome and duration of a request of a known team.
    pub fn record_request(
        &self,
        team: &id::TeamName,
        pipeline: &id::PipelineName,
        ended: Ended,
        took: time::Duration,
    ) {
        let pipeline = self.pipelines.label(pipeline.as_str());
        if matches!(ended, Ended::Whole | Ended::Late) {
            let labels = Pipeline {
                pipeline: pipeline.clone(),
            };
            self.durations
                .get_or_create(&labels)
                .observe(took.as_secs_f64());
        }
        let team = self.teams.label(team.as_str());
        let labels = Request {
            team,
            pipeline,
            ended,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a refusal to a caller.
    pub fn record_refusal(&self, refusal: &verdict::Refusal) {
        let labels = Refusal {
            reason: metrics::Label(refusal.reason),
            verdict: metrics::Label(refusal.verdict),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts the outcome of an attempt.
    pub fn record_attempt(&self, service: &id::ServiceName, ended: Ended) {
        let service = self.services.label(service.as_str());
        self.attempts
            .get_or_create(&Attempt { service, ended })
            .inc();
    }

    /// Adds the execution and queueing time of a complete result.
    pub fn record_stage_time(&self, service: &id::ServiceName, end: &stage::End) {
        let labels = Service {
            service: self.services.label(service.as_str()),
        };
        let add = |family: &Family<Service, Counter<f64, _>>, period: time::Duration| {
            family.get_or_create(&labels).inc_by(period.as_secs_f64());
        };
        add(&self.busy, end.busy.0);
        add(&self.queued, end.queued.0);
    }
}
