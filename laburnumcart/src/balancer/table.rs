//! Immutable snapshot of the targets of one service.

use crate::balancer;

/// Snapshot of the targets of one service, published by the control thread.
#[derive(Clone, Debug)]
pub struct Table {
    targets: Vec<balancer::Target>,
    /// Hash of each target's name.
    seeds: Vec<u64>,
    /// Number of local targets, which come first.
    local_count: usize,
    mean_load: f64,
}

impl Table {
    /// Creates a table; local targets move to the front, otherwise the order is kept.
    pub fn new(mut targets: Vec<balancer::Target>) -> Self {
        targets.sort_by_key(|target| !target.local);
        restore_ejected(&mut targets);
        let local_count = targets.iter().filter(|target| target.local).count();
        let hash = |t: &balancer::Target| xxhash_rust::xxh3::xxh3_64(t.name.as_str().as_bytes());
        let seeds = targets.iter().map(hash).collect();
        let mean_load = mean_load(&targets);
        Self {
            targets,
            seeds,
            local_count,
            mean_load,
        }
    }

    /// Returns the targets, local ones first; a request refers to them by their index here.
    pub fn targets(&self) -> &[balancer::Target] {
        &self.targets
    }

    /// Returns the number of local targets, which come first.
    pub(super) fn local_count(&self) -> usize {
        self.local_count
    }

    /// Returns the mean load of the ready targets by other processes: their attempts at a target
    /// divided by its concurrency limit.
    pub(super) fn mean_load(&self) -> f64 {
        self.mean_load
    }

    /// Returns the rendezvous score of a key at a target.
    pub(super) fn score(&self, i: usize, key: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(&key.to_le_bytes(), self.seeds[i])
    }
}

/// Makes ejected targets eligible if no target is ready.
///
/// The ejection cap counts targets that are leaving or down, so all others may be ejected. Callers
/// would then be told that there is no target although an outlier still works.
fn restore_ejected(targets: &mut [balancer::Target]) {
    if targets.iter().any(|t| t.state == balancer::State::Ready) {
        return;
    }
    let ejected = targets
        .iter_mut()
        .filter(|t| t.state == balancer::State::Ejected);
    ejected.for_each(|target| target.state = balancer::State::Ready);
}

fn mean_load(targets: &[balancer::Target]) -> f64 {
    let ready = targets.iter().filter(|t| t.state == balancer::State::Ready);
    let loads = ready.map(|target| {
        let load = &target.load;
        f64::from(load.pending.saturating_sub(load.own_pending)) / f64::from(load.limit.max(1))
    });
    let (count, sum) = loads.fold((0u32, 0.0), |(n, sum), load| (n + 1, sum + load));
    sum / f64::from(count.max(1))
}
