//! What happens in a run of the model, and what is seen of it from outside.

/// Time after the fifth crash from which arrivals are late.
const SPREAD_MS: u64 = 3000;

/// Number of crashes from which the bound on arrivals counts.
const CRASHES: usize = 5;

/// What happens in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// One or two parts crash targets.
    Part,
    /// Racks and single targets crash as well.
    PartBesideCrashes,
    /// Only racks and single targets crash.
    Crashes,
}

/// What has been seen in a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// Arrivals with a part later than 3 s after its fifth crash, of the worst part.
    pub(crate) late: usize,
    /// Share of the sound requests that are begun from 1 s after the fifth crash.
    pub(crate) begun: f64,
    /// Sound requests that were refused.
    pub(crate) refused: usize,
}

/// A part that crashes targets, as seen from outside.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crashing {
    pub(crate) rate: u64,
    /// Whether its requests share the first part with sound ones.
    pub(crate) has_first: bool,
    pub(crate) arrivals: Vec<u64>,
    pub(crate) crashes: Vec<u64>,
}

impl Crashing {
    /// Returns the number of arrivals later than 3 s after the fifth crash.
    pub(crate) fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(CRASHES - 1) else {
            return 0;
        };
        let late = self.arrivals.iter();
        late.filter(|at| **at > fifth + SPREAD_MS).count()
    }

    /// Returns the time of the fifth crash, or of the last one if there are fewer.
    pub(crate) fn fifth_or_last(&self) -> Option<u64> {
        let first = &self.crashes[..self.crashes.len().min(CRASHES)];
        first.last().copied()
    }
}
