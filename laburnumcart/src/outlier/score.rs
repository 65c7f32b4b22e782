//! Results of one target within an interval.

use crate::outlier;

/// Fewest calls from which a target is compared.
const CALLS: u32 = 5;

/// Fewest targets that can be compared with one another.
const TARGETS: usize = 3;

/// Results of one target within an interval.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score {
    succeeded: u32,
    failed: u32,
    /// Sum of the latencies of successes, in seconds.
    latency: f64,
}

/// What is usual among the targets.
pub(super) struct Usual {
    failing: f64,
    latency: Option<f64>,
}

impl Score {
    pub(super) fn record(&mut self, outcome: outlier::Outcome) {
        match outcome {
            outlier::Outcome::Success(latency) => {
                self.succeeded += 1;
                self.latency += latency.as_secs_f64();
            }
            outlier::Outcome::Failure => self.failed += 1,
        }
    }

    pub(super) fn is_enough(&self) -> bool {
        self.succeeded + self.failed >= CALLS
    }

    fn failing(&self) -> f64 {
        f64::from(self.failed) / f64::from((self.succeeded + self.failed).max(1))
    }

    fn latency(&self) -> Option<f64> {
        (self.succeeded > 0).then(|| self.latency / f64::from(self.succeeded))
    }

    /// Returns how far a target is from the usual; above 1 it is an outlier.
    pub(super) fn excess(&self, usual: &Usual) -> f64 {
        let failing = (self.failing() - usual.failing) / outlier::FAILING;
        let slow = self.latency().zip(usual.latency);
        let slow = slow.map_or(0.0, |(own, usual)| own / (usual * outlier::SLOW));
        failing.max(slow)
    }
}

/// Returns the medians over the targets; with too few nothing is an outlier by comparison.
///
/// The mean would be moved by the outlier itself.
pub(super) fn usual<'a>(scores: impl Iterator<Item = &'a Score> + Clone) -> Usual {
    if scores.clone().count() < TARGETS {
        return Usual {
            failing: 1.0,
            latency: None,
        };
    }
    Usual {
        failing: median(scores.clone().map(Score::failing)).unwrap_or(1.0),
        latency: median(scores.filter_map(Score::latency)),
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
