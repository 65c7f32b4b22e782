//! Rendezvous hashing: a ranking of processes for a task, without an agreement protocol.
//!
//! Each process hashes the name of the task with the names of all processes. Processes that know
//! the same members compute the same ranking, and a member that joins or leaves does not change the
//! relative order of the others.

use std::cmp;

use xxhash_rust::xxh3;

use crate::id;

/// Fraction of the strongest member's cores below which a member ranks after all others.
///
/// A task serves all processes; on an instance with a tenth of a core its answers would wait for
/// processor time.
const WEAK_FRACTION: f64 = 0.6;

/// Process that can take a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the process.
    pub name: &'a id::InstanceName,
    /// Processor cores of its instance.
    pub cores: f64,
}

/// Ranks members for a task, the preferred one first.
pub fn rank<T>(members: &mut [T], task: &str, candidate: impl Fn(&T) -> Candidate<'_>) {
    rank_by(members, task, candidate, |_| ());
}

/// Ranks members for a task, the preferred one first: strong members first, among these by least
/// cost.
pub fn rank_by<T, C: Ord>(
    members: &mut [T],
    task: &str,
    candidate: impl Fn(&T) -> Candidate<'_>,
    cost: impl Fn(&T) -> C,
) {
    let seed = xxh3::xxh3_64(task.as_bytes());
    let cores = |member: &T| candidate(member).cores;
    let most = members.iter().map(cores).fold(0.0, f64::max);
    members.sort_by_cached_key(|member| {
        let Candidate { name, cores } = candidate(member);
        let hash = xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        (
            cores < WEAK_FRACTION * most,
            cost(member),
            cmp::Reverse(hash),
        )
    });
}
