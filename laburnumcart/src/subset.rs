//! Subsetting: limits the targets of a service to which one process connects.
//!
//! Without subsets, heartbeat traffic grows as the product of processes and targets. A heartbeat
//! and its report are 127 and 261 bytes of JSON. With WebSocket frame headers (8 and 4 bytes) and
//! four TCP/IP headers of 52 bytes for the two messages and their acknowledgements, one exchange
//! takes [`EXCHANGE_BYTES`]. A rate of 23 KB/s allows 37 exchanges per second, or 75 peers at an
//! interval of 2 s:
//!
//! | process | peers | heartbeat traffic at an interval of 2 s |
//! |---|---|---|
//! | entry without subsets, 670 engines | 670 | 204 KB/s |
//! | entry with 16 engines of each of 4 models | 64 | 19 KB/s |
//! | agent of one of 167 engines of a model, with 350 entries | 34 | 10 KB/s |
//!
//! Other pools share the remaining rate: [`size`] computes the limit for the targets of all
//! services.

use std::time;

use crate::id;

/// Bytes in both directions of one heartbeat with its report.
pub const EXCHANGE_BYTES: u64 = 127 + 8 + 261 + 4 + 4 * 52;

/// Divisor of the subset size that gives the number of targets in other data centres.
const REMOTE_DIVISOR: usize = 4;

/// A candidate for a subset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member<'a> {
    /// Name of the target.
    pub name: &'a id::TargetName,
    /// Data centre of the target.
    pub data_centre: &'a id::DataCentre,
}

/// Returns the subset size per service at which all heartbeats stay within `bytes` per second.
///
/// `counts` are the numbers of targets of the services. Services with few targets leave their
/// unused part of the rate to larger ones. With equal parts, a few processes could leave targets of
/// a large service without work although the rate allows heartbeats to all targets.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::subset;
///
/// let period = Duration::from_secs(2);
/// assert_eq!(subset::size(23_000, period, [167; 4]), 18);
/// assert_eq!(subset::size(23_000, period, [167, 3, 3, 4]), 65);
/// ```
pub fn size(bytes: u64, period: time::Duration, counts: impl IntoIterator<Item = usize>) -> usize {
    let exchanges = bytes as f64 * period.as_secs_f64() / EXCHANGE_BYTES as f64;
    let mut remaining = exchanges as usize;
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    for (i, count) in counts.iter().enumerate() {
        let share = remaining / (counts.len() - i);
        if *count > share {
            return share;
        }
        remaining -= count;
    }
    counts.last().copied().unwrap_or_default()
}

/// Returns the least heartbeat period at which traffic with `peers` stays within `bytes` per
/// second.
///
/// ```
/// use laburnumcart::subset;
///
/// assert_eq!(subset::heartbeat_period(15_000, 350).as_millis(), 14_186);
/// ```
pub fn heartbeat_period(bytes: u64, peers: usize) -> time::Duration {
    let exchanges = peers as f64 * EXCHANGE_BYTES as f64;
    time::Duration::from_secs_f64(exchanges / bytes.max(1) as f64)
}

/// Chooses at most `size` members for a process by rendezvous hashing.
///
/// A quarter of the subset lies in other data centres if they have members, so that the process
/// still has targets when the local data centre fails. If either part has too few members, the
/// other fills the subset. Adding or removing a member changes at most one member of each subset.
///
/// ```
/// use laburnumcart::{id, subset};
///
/// let names: Vec<id::TargetName> = (0..40).map(|i| format!("t{i}").parse().unwrap()).collect();
/// let data_centres: [id::DataCentre; 2] = ["east".parse().unwrap(), "west".parse().unwrap()];
/// let members = names.iter().enumerate();
/// let members = members.map(|(i, name)| subset::Member { name, data_centre: &data_centres[i % 2] });
/// let own: id::InstanceName = "entry-1".parse().unwrap();
/// let chosen = subset::choose(&own, &data_centres[0], members, 8);
/// assert_eq!(chosen.iter().filter(|m| m.data_centre == &data_centres[0]).count(), 6);
/// assert_eq!(chosen.len(), 8);
/// ```
pub fn choose<'a>(
    own: &id::InstanceName,
    data_centre: &id::DataCentre,
    members: impl IntoIterator<Item = Member<'a>>,
    size: usize,
) -> Vec<Member<'a>> {
    let seed = xxhash_rust::xxh3::xxh3_64(own.as_str().as_bytes());
    let score = |m: &Member<'_>| {
        let digest = xxhash_rust::xxh3::xxh3_64_with_seed(m.name.as_str().as_bytes(), seed);
        (std::cmp::Reverse(digest), m.name.clone())
    };
    let (mut local, mut remote): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|member| member.data_centre == data_centre);
    local.sort_by_cached_key(score);
    remote.sort_by_cached_key(score);
    let min_remote = remote.len().min(size / REMOTE_DIVISOR);
    let local_count = local.len().min(size - min_remote);
    let remote_count = remote.len().min(size - local_count);
    local.truncate(local_count);
    remote.truncate(remote_count);
    local.append(&mut remote);
    local
}
