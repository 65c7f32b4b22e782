//! Which processes read a shared service for all others.
//!
//! Each call of the service is paid for and counts toward its rate. If each process followed it by
//! itself, calls would grow with the fleet, and most would tell nothing. A few readers make them,
//! and the others ask a reader.
//!
//! Nothing is agreed on. Two processes that see different members may take different ones for
//! readers; what a process passes on carries its age, so that any of them can be asked.

mod health;

use std::collections;

use crate::{
    id,
    rendezvous, //
};

pub use self::health::Health;

/// Fewest readers, so that the loss of one leaves another that everybody knows already.
///
/// Others are asked when both are lost.
const FEWEST: usize = 2;

/// Members for each reader. It answers each of them about three times a second, so that no reader
/// has more than 120 answers a second to give, however large the fleet is.
const SERVED: usize = 40;

/// A process that may read for others.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Its name.
    pub name: &'a id::InstanceName,
    /// Its data centre.
    pub data_centre: &'a id::DataCentre,
    /// Processor of its instance in cores.
    pub cores: f64,
}

impl Member<'_> {
    /// Returns what its place in an order depends on.
    pub(crate) fn candidate(&self) -> rendezvous::Candidate<'_> {
        rendezvous::Candidate {
            name: self.name,
            cores: self.cores,
        }
    }
}

/// Returns how many of `members` processes read.
pub fn reader_count(members: usize) -> usize {
    members.div_ceil(SERVED).max(FEWEST).min(members)
}

/// Chooses the readers, spread over data centres as far as they go.
///
/// The loss of a data centre takes away as few of them as possible, and most processes have one
/// near.
pub fn choose<'a>(members: impl IntoIterator<Item = Member<'a>>) -> Vec<Member<'a>> {
    let mut members: Vec<_> = members.into_iter().collect();
    let count = reader_count(members.len());
    rendezvous::order(&mut members, "readers", |member| member.candidate());
    let mut seen = collections::HashSet::new();
    let (mut members, rest): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|member| seen.insert(member.data_centre));
    members.extend(rest);
    members.truncate(count);
    members
}

/// Sorts readers as `own` asks them: those of its data centre first.
///
/// The rest are in an order of each process's own, so that readers get equal parts of the fleet.
pub fn sort_by_proximity(
    readers: &mut [Member<'_>],
    own: &id::InstanceName,
    data_centre: &id::DataCentre,
) {
    rendezvous::order(readers, own.as_str(), |member| rendezvous::Candidate {
        name: member.name,
        // Those that read are strong enough.
        cores: 1.0,
    });
    readers.sort_by_key(|member| member.data_centre != data_centre);
}
