//! Choice of the readers: the few processes that watch a shared service on behalf of the others.
//!
//! Each call to the service is billed and counts towards its rate limit. If every process watched
//! the service itself, the calls would grow with the fleet, and most would return nothing new.
//! Therefore a few readers call it, and the other processes ask a reader.
//!
//! There is no agreement protocol. Processes that know different members may choose different
//! readers; data that a process passes on carries its age, so any process can be asked.

mod health;

use std::collections;

use crate::{
    id,
    rendezvous, //
};

pub use self::health::Health;

/// Least number of readers: if one is lost, the others already know another one.
///
/// If both are lost, other processes are asked.
const MIN_READERS: usize = 2;

/// Members per reader. A member asks about three times per second, so a reader answers at most 120
/// calls per second in a fleet of any size.
const MEMBERS_PER_READER: usize = 40;

/// Process that may be a reader.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Name of the process.
    pub name: &'a id::InstanceName,
    /// Data centre of the process.
    pub data_centre: &'a id::DataCentre,
    /// Processor cores of its instance.
    pub cores: f64,
}

impl Member<'_> {
    /// Returns the data by which the member is ranked.
    pub(crate) fn candidate(&self) -> rendezvous::Candidate<'_> {
        rendezvous::Candidate {
            name: self.name,
            cores: self.cores,
        }
    }
}

/// Returns the number of readers among a number of members.
pub fn reader_count(members: usize) -> usize {
    members
        .div_ceil(MEMBERS_PER_READER)
        .max(MIN_READERS)
        .min(members)
}

/// Chooses the readers, spread over as many data centres as possible.
///
/// The loss of a data centre then affects as few readers as possible, and most processes have one
/// nearby.
pub fn choose<'a>(members: impl IntoIterator<Item = Member<'a>>) -> Vec<Member<'a>> {
    let mut members: Vec<_> = members.into_iter().collect();
    let count = reader_count(members.len());
    rendezvous::rank(&mut members, "readers", |member| member.candidate());
    let mut seen = collections::HashSet::new();
    let (mut members, rest): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|member| seen.insert(member.data_centre));
    members.extend(rest);
    members.truncate(count);
    members
}

/// Sorts readers in the order in which the process `own` asks them: those in its data centre first.
///
/// Otherwise the order differs between processes, so that the load is spread evenly over the
/// readers.
pub fn sort_by_proximity(
    readers: &mut [Member<'_>],
    own: &id::InstanceName,
    data_centre: &id::DataCentre,
) {
    rendezvous::rank(readers, own.as_str(), |member| rendezvous::Candidate {
        name: member.name,
        // Readers are strong enough, so their cores do not matter.
        cores: 1.0,
    });
    readers.sort_by_key(|member| member.data_centre != data_centre);
}
