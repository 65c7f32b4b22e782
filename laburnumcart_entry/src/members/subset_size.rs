//! Number of agents of a service that an entry keeps lanes to.

use tokio::time;

/// Delay before a subset shrinks after its agents have recovered.
///
/// Without it, a lane that breaks and reconnects at once would open and close another one each
/// time.
const SHRINK_DELAY: time::Duration = time::Duration::from_secs(10);

/// Size of a subset, with a delay before it shrinks.
#[derive(Debug, Default)]
pub struct SubsetSize {
    size: usize,
    /// Time since which a smaller size is wanted.
    smaller_since: Option<time::Instant>,
}

impl SubsetSize {
    /// Returns the current size.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Sets the wanted size; returns whether the current size has changed.
    pub fn update(&mut self, wanted: usize, now: time::Instant) -> bool {
        if wanted >= self.size {
            self.smaller_since = None;
            return std::mem::replace(&mut self.size, wanted) != wanted;
        }
        let since = *self.smaller_since.get_or_insert(now);
        let can_shrink = now.saturating_duration_since(since) >= SHRINK_DELAY;
        if can_shrink {
            self.size = wanted;
            self.smaller_since = None;
        }
        can_shrink
    }
}

/// Returns the subset size that should give `size` usable agents, if `usable` of `kept` are now.
///
/// If no agent of a subset accepts work, callers are refused although others of the service would
/// accept it. The subset therefore grows by one agent for each unusable one, which is kept as it is
/// the first to be used again. Without any usable agent the subset doubles, so that it covers the
/// whole service after a few rounds.
pub fn wanted_size(size: usize, kept: usize, usable: usize) -> usize {
    if usable == 0 {
        size.max(2 * kept)
    } else {
        size + kept.saturating_sub(usable)
    }
}
