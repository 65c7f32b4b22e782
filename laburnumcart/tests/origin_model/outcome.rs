//! Counts of streams that were taken up.

use std::collections;

/// What became of the streams that were taken up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) taken_up: usize,
    pub(crate) mixed: usize,
    /// Streams taken up where nothing prevents that they go on.
    pub(crate) able: usize,
    /// Those of them that went on.
    pub(crate) went_on: usize,
    /// Mixed streams that began at a version that their gateway could not note in time.
    pub(crate) mixed_unnoted: usize,
    /// Streams that went on, by what told their version.
    pub(crate) sources: collections::BTreeMap<&'static str, usize>,
    /// Able streams and those of them that went on, by what their version follows from.
    pub(crate) evidence: collections::BTreeMap<&'static str, (usize, usize)>,
}

impl Outcome {
    /// Returns the number of streams with events of two versions.
    pub(crate) fn joined(&self) -> usize {
        self.mixed + self.mixed_unnoted
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.taken_up += other.taken_up;
        self.mixed += other.mixed;
        self.able += other.able;
        self.went_on += other.went_on;
        self.mixed_unnoted += other.mixed_unnoted;
        for (source, count) in &other.sources {
            *self.sources.entry(source).or_default() += count;
        }
        for (evidence, (able, went_on)) in &other.evidence {
            let counts = self.evidence.entry(evidence).or_default();
            counts.0 += able;
            counts.1 += went_on;
        }
    }
}
