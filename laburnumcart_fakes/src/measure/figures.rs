//! Figures of the runs of one case by one strategy, with median and spread.

use std::collections;

use laburnumcart::id;
use serde::Serialize;

use crate::load::report;

/// Median of some runs, with the least and the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Least.
    pub low: f64,
    /// Median; the lower one of two.
    pub mid: f64,
    /// Most.
    pub high: f64,
}

impl Spread {
    /// Sums up values; all zero if there are none.
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

    /// Returns it with all values multiplied.
    pub fn scale(self, factor: f64) -> Self {
        Self {
            low: self.low * factor,
            mid: self.mid * factor,
            high: self.high * factor,
        }
    }
}

/// Cost of one stage in target-seconds for each completed request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Of executions that an answer came from.
    pub useful: Spread,
    /// Of all others.
    pub wasted: Spread,
}

/// Figures of one team.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Team {
    /// Offered requests a second.
    pub offered: Spread,
    /// Attained part of the offered.
    pub attainment: Spread,
    /// Attained requests a second.
    pub goodput: Spread,
}

/// Figures of some runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Attained part of the offered.
    pub attainment: Spread,
    /// The same of the idempotent requests only.
    pub idempotent: Spread,
    /// Median latency of whole answers in milliseconds.
    pub p50: Spread,
    /// Latency that 99 of 100 whole answers keep, in milliseconds.
    pub p99: Spread,
    /// Attained requests a second.
    pub goodput: Spread,
    /// Useful target-seconds of all stages for each completed request.
    pub useful: Spread,
    /// Wasted target-seconds of all stages for each completed request.
    pub wasted: Spread,
    /// Executions of a non-idempotent request and stage after its first, in all runs.
    pub repeated: u64,
    /// Wrong answers in all runs.
    pub wrong: u64,
    /// Requests without answer or refusal in all runs.
    pub lost: u64,
    /// Refusals by verdict and reason in all runs.
    pub refused: collections::BTreeMap<String, u64>,
    /// Cost by stage.
    pub stages: collections::BTreeMap<String, Cost>,
    /// Figures by team.
    pub teams: collections::BTreeMap<id::TeamName, Team>,
}

impl Figures {
    /// Sums up the reports of the runs.
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
            useful: spread(&|r| each(r, r.cost.stages.values().map(|s| s.useful).sum())),
            wasted: spread(&|r| each(r, r.cost.stages.values().map(|s| s.wasted).sum())),
            repeated: reports.iter().map(|r| r.cost.repeated).sum(),
            wrong: reports.iter().map(|r| r.all.wrong).sum(),
            lost: reports.iter().map(|r| r.all.lost).sum(),
            refused,
            stages: stages(reports),
            teams: teams(reports),
        }
    }
}

/// Returns target-seconds for each completed request.
fn each(report: &report::Report, seconds: f64) -> f64 {
    seconds / report.all.attained.max(1) as f64
}

fn stages(reports: &[report::Report]) -> collections::BTreeMap<String, Cost> {
    let names = reports.iter().flat_map(|report| report.cost.stages.keys());
    let names: collections::BTreeSet<_> = names.collect();
    let cost = |name: &String| {
        let stages = || reports.iter().filter_map(|r| r.cost.stages.get(name));
        let wasted = stages().map(|s| s.wasted / s.completed.max(1) as f64);
        Cost {
            useful: Spread::of(stages().map(|s| s.each)),
            wasted: Spread::of(wasted),
        }
    };
    names.into_iter().map(|n| (n.clone(), cost(n))).collect()
}

fn teams(reports: &[report::Report]) -> collections::BTreeMap<id::TeamName, Team> {
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
