//! Figures of the runs of a case with one strategy: minimum, median and maximum.

use std::collections;

use laburnumcart::id;
use serde::Serialize;

use crate::load::report;

/// Minimum, median and maximum of a set of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Minimum.
    pub low: f64,
    /// Median; the lower one of an even number of values.
    pub mid: f64,
    /// Maximum.
    pub high: f64,
}

impl Spread {
    /// Computes the spread of values, zero without values.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<_> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let Some(last) = values.len().checked_sub(1) else {
            return Self::default();
        };
        Self {
            low: values[0],
            mid: values[last / 2],
            high: values[last],
        }
    }

    /// Returns the spread with all values multiplied by a factor.
    pub fn scale(self, factor: f64) -> Self {
        Self {
            low: self.low * factor,
            mid: self.mid * factor,
            high: self.high * factor,
        }
    }
}

/// Cost of a stage in target-seconds per completed request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Cost of executions whose output was used.
    pub useful: Spread,
    /// Cost of all other executions.
    pub wasted: Spread,
}

/// Figures of a team.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Team {
    /// Offered requests per second.
    pub offered: Spread,
    /// Share of the offered requests that were attained.
    pub attainment: Spread,
    /// Attained requests per second.
    pub goodput: Spread,
}

/// Figures of a set of runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Share of the offered requests that were attained.
    pub attainment: Spread,
    /// The same share for idempotent requests only.
    pub idempotent: Spread,
    /// Median latency of complete responses in milliseconds.
    pub p50: Spread,
    /// 99th percentile of the latency of complete responses in milliseconds.
    pub p99: Spread,
    /// Attained requests per second.
    pub goodput: Spread,
    /// Useful target-seconds of all stages per completed request.
    pub useful: Spread,
    /// Wasted target-seconds of all stages per completed request.
    pub wasted: Spread,
    /// Executions of a non-idempotent request and stage after the first one, in all runs.
    pub repeated: u64,
    /// Responses with an unexpected output, in all runs.
    pub wrong: u64,
    /// Requests without a response or refusal, in all runs.
    pub lost: u64,
    /// Refusals by verdict and reason, in all runs.
    pub refused: collections::BTreeMap<String, u64>,
    /// Cost by stage.
    pub stages: collections::BTreeMap<String, Cost>,
    /// Figures by team.
    pub teams: collections::BTreeMap<id::TeamName, Team>,
}

impl Figures {
    /// Computes the figures from the reports of the runs.
    pub fn of(reports: &[report::Report]) -> Self {
        let spread = |value: &dyn Fn(&report::Report) -> f64| Spread::of(reports.iter().map(value));
        let mut refused = collections::BTreeMap::new();
        for (cause, count) in reports.iter().flat_map(|report| &report.all.refused) {
            *refused.entry(cause.clone()).or_default() += count;
        }
        Self {
            attainment: spread(&|r| r.all.attainment),
            idempotent: spread(&|r| r.idempotent.attainment),
            p50: spread(&|r| r.all.latency.p50),
            p99: spread(&|r| r.all.latency.p99),
            goodput: spread(&|r| r.all.goodput),
            useful: spread(&|r| per_request(r, r.cost.stages.values().map(|s| s.useful).sum())),
            wasted: spread(&|r| per_request(r, r.cost.stages.values().map(|s| s.wasted).sum())),
            repeated: reports.iter().map(|r| r.cost.repeated).sum(),
            wrong: reports.iter().map(|r| r.all.wrong).sum(),
            lost: reports.iter().map(|r| r.all.lost).sum(),
            refused,
            stages: stage_costs(reports),
            teams: team_figures(reports),
        }
    }
}

/// Returns target-seconds per completed request.
fn per_request(report: &report::Report, seconds: f64) -> f64 {
    seconds / report.all.attained.max(1) as f64
}

fn stage_costs(reports: &[report::Report]) -> collections::BTreeMap<String, Cost> {
    let names = reports.iter().flat_map(|report| report.cost.stages.keys());
    let names: collections::BTreeSet<_> = names.collect();
    let cost = |name: &String| {
        let stages = || reports.iter().filter_map(|r| r.cost.stages.get(name));
        let wasted = stages().map(|s| s.wasted / s.completed.max(1) as f64);
        Cost {
            useful: Spread::of(stages().map(|s| s.per_request)),
            wasted: Spread::of(wasted),
        }
    };
    names.into_iter().map(|n| (n.clone(), cost(n))).collect()
}

fn team_figures(reports: &[report::Report]) -> collections::BTreeMap<id::TeamName, Team> {
    let names = reports.iter().flat_map(|report| report.teams.keys());
    let names: collections::BTreeSet<_> = names.collect();
    let team = |name: &id::TeamName| {
        let tallies = || reports.iter().filter_map(|r| Some((r, r.teams.get(name)?)));
        Team {
            offered: Spread::of(tallies().map(|(r, t)| t.offered as f64 / r.seconds)),
            attainment: Spread::of(tallies().map(|(_, t)| t.attainment)),
            goodput: Spread::of(tallies().map(|(_, t)| t.goodput)),
        }
    };
    names.into_iter().map(|n| (n.clone(), team(n))).collect()
}
