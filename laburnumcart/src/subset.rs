//! Bounded subset of the targets of a service for one process.
//!
//! Heartbeats to all targets grow as processes times targets. A heartbeat and its report are 127 and
//! 261 bytes of JSON. With WebSocket frames (8 and 4 bytes) and four TCP/IP headers of 52 bytes for
//! the two messages and their acknowledgements, one exchange comes to [`EXCHANGE`] bytes both ways.
//! Of 23 KB/s that allows 37 exchanges a second, so 75 peers with a heartbeat each 2 s:
//!
//! | side | peers | at one heartbeat each 2 s |
//! |---|---|---|
//! | entry, without subsets: 670 engines | 670 | 204 KB/s |
//! | entry, 16 of each of 4 models' engines | 64 | 19 KB/s |
//! | agent, one of 167 engines of a model, of 350 entries | 34 | 10 KB/s |
//!
//! Pools beside the engines share the rest: [`size`] works out the bound for the targets of all services.

use std::time;

use crate::id;

/// Bytes both ways of one heartbeat with its report.
pub const EXCHANGE_BYTES: u64 = 127 + 8 + 261 + 4 + 4 * 52;

/// Part of a subset that is kept in other data centres, one in so many.
const REMOTE: usize = 4;

/// A target that a subset can hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member<'a> {
    /// Its name.
    pub name: &'a id::TargetName,
    /// Its data centre.
    pub data_centre: &'a id::DataCentre,
}

/// Returns the size of a subset with which heartbeats to all services stay within a rate.
///
/// `counts` are the targets of each service. What a small service does not use is for the larger
/// ones: at equal parts, a few processes left targets of a large service without any work, although
/// all targets together were within the rate.
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
    let mut rest = exchanges as usize;
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    for (i, count) in counts.iter().enumerate() {
        let part = rest / (counts.len() - i);
        if *count > part {
            return part;
        }
        rest -= count;
    }
    counts.last().copied().unwrap_or_default()
}

/// Returns the least period at which heartbeats with so many peers stay within a rate.
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

/// Chooses at most `size` of the members for a process, by rendezvous hashing.
///
/// A quarter is kept in other data centres where there are any, as the process would be left with
/// nothing when its own fails. Either part is filled up from the other. A member that comes or goes
/// moves at most one place in each subset.
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
    let (mut near, mut far): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|member| member.data_centre == data_centre);
    near.sort_by_cached_key(score);
    far.sort_by_cached_key(score);
    let wanted = far.len().min(size / REMOTE);
    let local = near.len().min(size - wanted);
    let remote = far.len().min(size - local);
    near.truncate(local);
    far.truncate(remote);
    near.append(&mut far);
    near
}
