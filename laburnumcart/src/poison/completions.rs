//! Completions of contents of which no crash is known yet.

use std::{
    collections,
    mem,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Time for which a completion is kept at least, unless there are too many.
const RETENTION: time::Duration = time::Duration::from_secs(5);

/// Greatest number of completions in a generation.
const GENERATION_MAX: usize = 2048;

/// Recent completions, in two generations.
///
/// A process may be told of a completion before the crash that it clears.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    recent: collections::HashMap<id::Fingerprint, Instant>,
    earlier: collections::HashMap<id::Fingerprint, Instant>,
    /// When the first of the recent ones was recorded.
    since: Option<Instant>,
}

impl Completions {
    /// Records a completion.
    pub(super) fn record(&mut self, content: id::Fingerprint, at: Instant) {
        let since = *self.since.get_or_insert(at);
        if self.recent.len() >= GENERATION_MAX || since + RETENTION <= at {
            self.earlier = mem::take(&mut self.recent);
            self.since = Some(at);
        }
        let known = self.recent.entry(content).or_insert(at);
        *known = at.max(*known);
    }

    /// Returns when a content last completed.
    pub(super) fn last(&self, content: id::Fingerprint) -> Option<Instant> {
        let recent = self.recent.get(&content).copied();
        recent.max(self.earlier.get(&content).copied())
    }
}
