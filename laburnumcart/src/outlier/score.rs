//! Score of a target: its failure rate and mean latency within a comparison interval.

use crate::outlier;

/// Minimum calls for a target to be compared.
const MIN_CALLS: u32 = 5;

/// Minimum targets for a comparison.
const MIN_TARGETS: usize = 3;

/// Outcomes of the calls to one target within an interval.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score {
    succeeded: u32,
    failed: u32,
    /// Sum of the latencies of successes, in seconds.
    latency_sum: f64,
}

/// Medians over the targets.
pub(super) struct Medians {
    failure_rate: f64,
    /// Mean latency, in seconds.
    latency: Option<f64>,
}

impl Score {
    pub(super) fn record(&mut self, outcome: outlier::Outcome) {
        match outcome {
            outlier::Outcome::Success(latency) => {
                self.succeeded += 1;
                self.latency_sum += latency.as_secs_f64();
            }
            outlier::Outcome::Failure => self.failed += 1,
        }
    }

    pub(super) fn has_enough_calls(&self) -> bool {
        self.succeeded + self.failed >= MIN_CALLS
    }

    fn failure_rate(&self) -> f64 {
        f64::from(self.failed) / f64::from((self.succeeded + self.failed).max(1))
    }

    fn mean_latency(&self) -> Option<f64> {
        (self.succeeded > 0).then(|| self.latency_sum / f64::from(self.succeeded))
    }

    /// Returns the distance of a target from the medians; above 1 it is an outlier.
    pub(super) fn excess(&self, medians: &Medians) -> f64 {
        let failures = (self.failure_rate() - medians.failure_rate) / outlier::FAILURE_RATE_MARGIN;
        let latencies = self.mean_latency().zip(medians.latency);
        let latency = latencies.map_or(0.0, |(own, median)| {
            own / (median * outlier::LATENCY_FACTOR)
        });
        failures.max(latency)
    }
}

/// Returns the medians over the targets; with too few targets, none is an outlier.
///
/// Means would be shifted by the outlier itself.
pub(super) fn medians<'a>(scores: impl Iterator<Item = &'a Score> + Clone) -> Medians {
    if scores.clone().count() < MIN_TARGETS {
        return Medians {
            failure_rate: 1.0,
            latency: None,
        };
    }
    Medians {
        failure_rate: median(scores.clone().map(Score::failure_rate)).unwrap_or(1.0),
        latency: median(scores.filter_map(Score::mean_latency)),
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
