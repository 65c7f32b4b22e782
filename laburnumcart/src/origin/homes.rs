//! Processes that keep the origin of a stream for all others.
//!
//! A caller takes its stream up at any process, when the one that began it may have ended. All
//! processes compute the same homes of a stream from the list of members.

use std::collections;

use crate::{
    id,
    rendezvous, //
};

/// Number of homes that are told of a stream, each in another data centre if there are so many.
pub const HOMES: usize = 3;

/// Number of processes that are asked for a stream's origin.
///
/// Up to three members may have been added since, and have taken the place of homes.
pub const ASKED: usize = 6;

/// Ranks members as homes of a stream: the best of each data centre, then the second best of each.
pub fn rank<T>(
    members: &mut [T],
    stream: id::Fingerprint,
    candidate: impl Fn(&T) -> rendezvous::Candidate<'_>,
    data_centre: impl Fn(&T) -> &id::DataCentre,
) {
    rendezvous::rank(members, &format!("stream {stream}"), candidate);
    let mut counts: collections::HashMap<id::DataCentre, usize> = collections::HashMap::new();
    members.sort_by_cached_key(|member| {
        let count = counts.entry(data_centre(member).clone()).or_default();
        *count += 1;
        *count
    });
}
