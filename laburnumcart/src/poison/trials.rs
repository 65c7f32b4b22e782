//! Runs of content that may be poison, one at a time.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Time after which a trial ends if the process that runs it does not tell.
const TRIAL_MAX: time::Duration = time::Duration::from_secs(10);

/// Greatest number of concurrent trials.
const TRIALS_MAX: usize = 4096;

/// Trials in progress, kept by the process that permits them.
///
/// ```
/// use laburnumcart::{id, poison};
/// use tokio::time::Instant;
///
/// let (content, now) = (id::Fingerprint(7), Instant::now());
/// let mut trials = poison::Trials::default();
/// assert!(trials.begin(content, now));
/// assert!(!trials.begin(content, now));
/// trials.end(content);
/// assert!(trials.begin(content, now));
/// ```
#[derive(Debug, Default)]
pub struct Trials(collections::HashMap<id::Fingerprint, Instant>);

impl Trials {
    /// Begins a trial unless one of this content is in progress; returns whether it has begun.
    pub fn begin(&mut self, content: id::Fingerprint, now: Instant) -> bool {
        self.0.retain(|_, until| now < *until);
        if self.0.len() >= TRIALS_MAX || self.0.contains_key(&content) {
            return false;
        }
        self.0.insert(content, now + TRIAL_MAX);
        true
    }

    /// Ends the trial of a content.
    pub fn end(&mut self, content: id::Fingerprint) {
        self.0.remove(&content);
    }
}
