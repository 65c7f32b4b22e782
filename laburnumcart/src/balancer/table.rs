//! Immutable snapshot of the targets of one service.

use crate::balancer;

/// Targets of one service, as the control thread publishes them.
#[derive(Clone, Debug)]
pub struct Table {
    targets: Vec<balancer::Target>,
    /// Digest of each target's name.
    seeds: Vec<u64>,
    /// Number of local targets, which come first.
    near: usize,
    mean: f64,
}

impl Table {
    /// Creates a table; local targets move to the front, otherwise the order is kept.
    pub fn new(mut targets: Vec<balancer::Target>) -> Self {
        targets.sort_by_key(|target| !target.local);
        admit_outliers(&mut targets);
        let near = targets.iter().filter(|target| target.local).count();
        let digest = |t: &balancer::Target| xxhash_rust::xxh3::xxh3_64(t.name.as_str().as_bytes());
        let seeds = targets.iter().map(digest).collect();
        let mean = mean(&targets);
        Self {
            targets,
            seeds,
            near,
            mean,
        }
    }

    /// Returns the targets in the order of their positions.
    pub fn targets(&self) -> &[balancer::Target] {
        &self.targets
    }

    /// Returns the number of local targets, which come first.
    pub(super) fn local_count(&self) -> usize {
        self.near
    }

    /// Returns the mean load by others, in attempts for each that a target executes at once.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the rendezvous score of a prefix at a target.
    pub(super) fn score(&self, i: usize, prefix: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(&prefix.to_le_bytes(), self.seeds[i])
    }
}

/// Makes ejected targets eligible when there is no other.
///
/// The cap on the ejected share counts targets that have left or are down. When those that are
/// ready go, callers would be told that there is no target while an outlier works.
fn admit_outliers(targets: &mut [balancer::Target]) {
    if targets.iter().any(|t| t.state == balancer::State::Ready) {
        return;
    }
    let ejected = targets
        .iter_mut()
        .filter(|t| t.state == balancer::State::Ejected);
    ejected.for_each(|target| target.state = balancer::State::Ready);
}

fn mean(targets: &[balancer::Target]) -> f64 {
    let ready = targets.iter().filter(|t| t.state == balancer::State::Ready);
    let loads = ready.map(|target| {
        let load = &target.load;
        f64::from(load.pending.saturating_sub(load.own_pending)) / f64::from(load.limit.max(1))
    });
    let (count, sum) = loads.fold((0u32, 0.0), |(n, sum), load| (n + 1, sum + load));
    sum / f64::from(count.max(1))
}
