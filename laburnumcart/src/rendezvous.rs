//! Order of processes that each of them finds alone, without any agreement.
//!
//! Each process hashes the name of a task with the names of all processes. Who sees the same
//! members finds the same order; a member that comes or goes moves nobody else.

use std::cmp;

use xxhash_rust::xxh3;

use crate::id;

/// Part of the strongest member's processor below which a member comes after all others.
///
/// A task serves all processes; on an instance with a tenth of a core its answers would wait for
/// the processor.
const WEAK: f64 = 0.6;

/// A process that can take a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a id::InstanceName,
    /// Processor of its instance in cores.
    pub cores: f64,
}

/// Sorts members for a task, the first choice first.
pub fn order<T>(members: &mut [T], task: &str, candidate: impl Fn(&T) -> Candidate<'_>) {
    order_by(members, task, candidate, |_| ());
}

/// Sorts members for a task: strong ones first, among these the ones of least cost, the first
/// choice first.
pub fn order_by<T, C: Ord>(
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
        (cores < WEAK * most, cost(member), cmp::Reverse(hash))
    });
}
