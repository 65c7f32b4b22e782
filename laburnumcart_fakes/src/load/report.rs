//! Counts of a load by team and in total, and their printed form.

use std::{
    collections,
    fmt,
    time, //
};

use hdrhistogram::Histogram;
use laburnumcart::id;
use serde::Serialize;

use crate::load::cost;

/// Outcome of a request for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete response was received.
    Answered {
        /// Id of the request at the targets.
        request: String,
        /// Whether the output is the expected one.
        correct: bool,
    },
    /// The request was refused.
    Refused {
        /// Verdict: whether it may have run.
        verdict: String,
        /// Reason of the refusal.
        reason: String,
    },
    /// Neither a response nor a refusal was received.
    Lost,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Team that sent it.
    pub team: id::TeamName,
    /// Number of stages of its pipeline.
    pub stages: usize,
    /// Whether it was sent directly to the targets.
    pub direct: bool,
    /// Whether it was non-idempotent.
    pub non_idempotent: bool,
    /// Time from the scheduled arrival to the end.
    pub latency: time::Duration,
    /// Time limit from the scheduled arrival.
    pub deadline: time::Duration,
    /// Number of resends after a refusal.
    pub resent: u32,
    /// Outcome.
    pub outcome: Outcome,
}

impl Sample {
    /// Returns whether the correct response was received within the deadline.
    pub fn attained(&self) -> bool {
        let correct = matches!(self.outcome, Outcome::Answered { correct: true, .. });
        correct && self.latency <= self.deadline
    }
}

/// Quantiles of latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Counts of a set of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Offered requests.
    pub offered: u64,
    /// Correct responses within the deadline.
    pub attained: u64,
    /// Correct responses after the deadline.
    pub late: u64,
    /// Complete responses with an unexpected output.
    pub wrong: u64,
    /// Requests without a response or refusal.
    pub lost: u64,
    /// Refusals by verdict and reason.
    pub refused: collections::BTreeMap<String, u64>,
    /// Number of resends.
    pub resent: u64,
    /// Share of the offered requests that were attained.
    pub attainment: f64,
    /// Attained requests per second.
    pub goodput: f64,
    /// Latency of complete responses.
    pub latency: Quantiles,
    #[serde(skip)]
    micros: Option<Histogram<u64>>,
}

impl Tally {
    /// Counts a request.
    pub fn add(&mut self, sample: &Sample) {
        self.offered += 1;
        self.resent += u64::from(sample.resent);
        match &sample.outcome {
            Outcome::Answered { correct: false, .. } => self.wrong += 1,
            Outcome::Answered { .. } if sample.attained() => self.attained += 1,
            Outcome::Answered { .. } => self.late += 1,
            Outcome::Refused { verdict, reason } => {
                let key = format!("{verdict} {reason}");
                *self.refused.entry(key).or_default() += 1;
            }
            Outcome::Lost => self.lost += 1,
        }
        if matches!(sample.outcome, Outcome::Answered { .. }) {
            let micros = sample.latency.as_micros() as u64;
            self.micros
                .get_or_insert_with(new_histogram)
                .saturating_record(micros);
        }
    }

    /// Computes shares, rates and quantiles for a load of `seconds`.
    pub fn finish(&mut self, seconds: f64) {
        self.attainment = self.attained as f64 / (self.offered.max(1)) as f64;
        self.goodput = self.attained as f64 / seconds;
        if let Some(micros) = &self.micros {
            let millis = |q| micros.value_at_quantile(q) as f64 / 1e3;
            self.latency = Quantiles {
                p50: millis(0.5),
                p90: millis(0.9),
                p99: millis(0.99),
            };
        }
    }

    /// Returns the number of refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// Creates a histogram of microseconds up to one hour with three significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap()
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Quantiles { p50, p90, p99 } = self.latency;
        write!(
            f,
            "offered={} attained={} attainment={:.4} late={} wrong={} lost={} refused={} resent={} \
             goodput={:.1}/s p50={p50:.1}ms p90={p90:.1}ms p99={p99:.1}ms",
            self.offered,
            self.attained,
            self.attainment,
            self.late,
            self.wrong,
            self.lost,
            self.refusals(),
            self.resent,
            self.goodput,
        )
    }
}

/// Latency of the system compared with direct calls, for pipelines of the same length.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Number of stages.
    pub stages: usize,
    /// Latency through the system.
    pub system: Quantiles,
    /// Latency of direct calls.
    pub direct: Quantiles,
    /// Difference per stage.
    #[serde(rename = "each")]
    pub per_stage: Quantiles,
}

/// Result of a load.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Duration of the load.
    pub seconds: f64,
    /// All requests except the direct ones of a comparison.
    pub all: Tally,
    /// Idempotent requests among them.
    pub idempotent: Tally,
    /// Requests by team.
    pub teams: collections::BTreeMap<id::TeamName, Tally>,
    /// Cost by stage.
    pub cost: cost::Summary,
    /// Overhead by number of stages; only for a comparison.
    pub overhead: Vec<Overhead>,
    #[serde(skip)]
    compared: collections::BTreeMap<(usize, bool), Tally>,
    #[serde(skip)]
    completed: collections::HashSet<String>,
}

impl Report {
    /// Counts a request; with `for_comparison`, only for the overhead.
    pub fn add(&mut self, sample: &Sample, for_comparison: bool) {
        if !for_comparison {
            self.all.add(sample);
            if !sample.non_idempotent {
                self.idempotent.add(sample);
            }
            self.teams
                .entry(sample.team.clone())
                .or_default()
                .add(sample);
        }
        // Non-idempotent requests are excluded, since direct calls have no claim step.
        if !sample.non_idempotent {
            let key = (sample.stages, sample.direct);
            self.compared.entry(key).or_default().add(sample);
        }
        if let Outcome::Answered { request, .. } = &sample.outcome
            && sample.attained()
        {
            self.completed.insert(request.clone());
        }
    }

    /// Computes the figures that depend on all requests.
    pub fn finish(&mut self, seconds: f64) {
        self.seconds = seconds;
        self.all.finish(seconds);
        self.idempotent.finish(seconds);
        let tallies = self.teams.values_mut().chain(self.compared.values_mut());
        tallies.for_each(|tally| tally.finish(seconds));
        self.overhead = self.compute_overheads();
    }

    /// Returns the ids of the attained requests.
    pub fn completed(&self) -> &collections::HashSet<String> {
        &self.completed
    }

    fn compute_overheads(&self) -> Vec<Overhead> {
        let systems = self.compared.iter().filter(|((_, direct), _)| !direct);
        let pair = |((stages, _), system): (&(usize, bool), &Tally)| {
            let direct = self.compared.get(&(*stages, true))?.latency;
            let system = system.latency;
            let per_stage = |a: f64, b: f64| (a - b) / *stages as f64;
            Some(Overhead {
                stages: *stages,
                system,
                direct,
                per_stage: Quantiles {
                    p50: per_stage(system.p50, direct.p50),
                    p90: per_stage(system.p90, direct.p90),
                    p99: per_stage(system.p99, direct.p99),
                },
            })
        };
        systems.filter_map(pair).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (team, tally) in &self.teams {
            writeln!(f, "team={team} {tally}")?;
        }
        writeln!(f, "all seconds={:.1} {}", self.seconds, self.all)?;
        for (cause, count) in &self.all.refused {
            writeln!(f, "refused cause={cause:?} count={count}")?;
        }
        write!(f, "{}", self.cost)?;
        for overhead in &self.overhead {
            writeln!(
                f,
                "overhead stages={} system p50={:.2}ms p99={:.2}ms direct p50={:.2}ms p99={:.2}ms \
                 each stage p50={:.2}ms p99={:.2}ms",
                overhead.stages,
                overhead.system.p50,
                overhead.system.p99,
                overhead.direct.p50,
                overhead.direct.p99,
                overhead.per_stage.p50,
                overhead.per_stage.p99,
            )?;
        }
        Ok(())
    }
}
