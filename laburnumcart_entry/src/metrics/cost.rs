//! Execution time at targets by team, beside its guaranteed share, and by stage.

use std::sync::{
    Arc,
    atomic::AtomicU64, //
};

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

use laburnumcart::{
    bundle,
    id,
    unit, //
};
use laburnumcart_daemon::metrics;

/// Maximum number of stages with series of their own.
const STAGES_MAX: usize = 64;

/// Use of the time that a target spent.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Spent {
    /// The request was answered completely and on time.
    Useful,
    /// The request failed or was late.
    Wasted,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Team {
    team: metrics::Name,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Stage {
    stage: metrics::Name,
    spent: Spent,
}

/// Execution time at targets by team and by stage; clones share the values.
#[derive(Clone, Debug)]
pub struct Cost {
    teams: Arc<metrics::Names>,
    stages: Arc<metrics::Names>,
    shares: Family<Team, Gauge<f64, AtomicU64>>,
    by_team: Family<Team, Counter<f64, AtomicU64>>,
    by_stage: Family<Stage, Counter<f64, AtomicU64>>,
}

impl Cost {
    /// Creates the counters; `teams` limits the team labels together with other metrics.
    pub fn new(teams: Arc<metrics::Names>) -> Self {
        Self {
            teams,
            stages: Arc::new(metrics::Names::new(STAGES_MAX)),
            shares: Family::default(),
            by_team: Family::default(),
            by_stage: Family::default(),
        }
    }

    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "team_share",
            "Guaranteed share of a team in contended targets",
            self.shares.clone(),
        );
        registry.register(
            "team_busy_seconds",
            "Execution time at targets of a team's results",
            self.by_team.clone(),
        );
        registry.register(
            "request_busy_seconds",
            "Execution time at targets of results, by the outcome of the request",
            self.by_stage.clone(),
        );
    }

    /// Sets the shares that a bundle guarantees; teams without a series of their own are summed up.
    pub fn set_shares(&self, bundle: &bundle::Bundle) {
        let weights = bundle.teams.values().map(|team| f64::from(team.weight));
        let total: f64 = weights.sum();
        self.shares.clear();
        for (name, team) in &bundle.teams {
            let team_label = self.teams.label(name.as_str());
            let gauge = self.shares.get_or_create(&Team { team: team_label });
            gauge.inc_by(f64::from(team.weight) / total.max(1.0));
        }
    }

    /// Adds the execution time of a stage's complete result.
    pub fn record(
        &self,
        team: &id::TeamName,
        stage: &id::StageName,
        spent: Spent,
        busy: unit::Period,
    ) {
        let seconds = busy.0.as_secs_f64();
        let team = self.teams.label(team.as_str());
        self.by_team.get_or_create(&Team { team }).inc_by(seconds);
        let stage = self.stages.label(stage.as_str());
        let labels = Stage { stage, spent };
        self.by_stage.get_or_create(&labels).inc_by(seconds);
    }
}
