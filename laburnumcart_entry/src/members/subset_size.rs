//! How many agents of a service an entry keeps lanes to.

use tokio::time;

/// Time for which a subset stays wide after its agents work again.
///
/// A lane that breaks and comes back at once would otherwise open and close another each time.
const KEEP: time::Duration = time::Duration::from_secs(10);

/// Size of a subset, and since when a smaller one would do.
#[derive(Debug, Default)]
pub struct SubsetSize {
    size: usize,
    low: Option<time::Instant>,
}

impl SubsetSize {
    /// Returns the size.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Takes in the size that is wanted; returns whether the size changes.
    pub fn update(&mut self, wanted: usize, now: time::Instant) -> bool {
        if wanted >= self.size {
            self.low = None;
            return std::mem::replace(&mut self.size, wanted) != wanted;
        }
        let low = *self.low.get_or_insert(now);
        let settled = now.saturating_duration_since(low) >= KEEP;
        if settled {
            self.size = wanted;
            self.low = None;
        }
        settled
    }
}

/// Returns the size with which `size` agents take work, of `kept` ones of which `usable` do now.
///
/// If no agent of a subset takes work, callers are refused although others of the service would
/// take it. So each that does not is replaced by the next in the subset's order, and kept, as it
/// comes back first. Without any that works the subset doubles, so that a few rounds reach all.
pub fn wanted_size(size: usize, kept: usize, usable: usize) -> usize {
    if usable == 0 {
        size.max(2 * kept)
    } else {
        size + kept.saturating_sub(usable)
    }
}
