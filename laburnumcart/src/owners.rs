//! Assignment of batch queues to owner processes.
//!
//! An owner sends the calls of all processes for its service, on a processor that its own callers
//! need as well. If one instance owned several queues, its processor would be the bottleneck:
//! targets would idle while jobs wait, and refused callers would retry and load the same owner
//! further. Therefore owners are chosen for all services at once, and no instance owns two queues
//! while another one as strong owns none.
//!
//! There is no agreement protocol. Processes that know the same members and services compute the
//! same owners.

use std::collections;

use crate::{
    id,
    readers,
    rendezvous, //
};

/// Members that may own the queue of each service, the preferred one first.
pub type Rankings<'a> = collections::BTreeMap<&'a id::ServiceName, Vec<readers::Member<'a>>>;

/// Ranks the members as owners of each service's queue, the preferred one first.
///
/// Reachability is deliberately ignored. Each process sees it differently, and if the loss of one
/// member changed the owners of other services, processes would disagree on all of them.
pub fn rankings<'a>(
    members: &[readers::Member<'a>],
    services: impl IntoIterator<Item = &'a id::ServiceName>,
) -> Rankings<'a> {
    let services: collections::BTreeSet<_> = services.into_iter().collect();
    let mut owners = Vec::new();
    for service in &services {
        let ranking = rank(members, service, |member| cost(member, &owners));
        owners.extend(ranking.first().copied());
    }
    let ranking = |(i, service): (usize, &'a id::ServiceName)| {
        let owner = owners.get(i).map(|owner| owner.name);
        // The successor of a lost owner should own no other queue.
        let mut ranking = rank(members, service, |member| cost(member, &owners));
        ranking.sort_by_key(|member| owner != Some(member.name));
        (service, ranking)
    };
    services.into_iter().enumerate().map(ranking).collect()
}

/// Cost of a member as the owner of another queue, in the order of importance.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    /// Number of queues that the member owns.
    own_queues: usize,
    /// Number of queues owned in its data centre, which would all be lost with it.
    near_queues: usize,
}

fn cost(member: &readers::Member<'_>, owners: &[readers::Member<'_>]) -> Cost {
    let is_same = |owner: &&readers::Member<'_>| owner.name == member.name;
    let is_near = |owner: &&readers::Member<'_>| owner.data_centre == member.data_centre;
    Cost {
        own_queues: owners.iter().filter(is_same).count(),
        near_queues: owners.iter().filter(is_near).count(),
    }
}

/// Ranks members for a service: strong ones first, among these by least cost.
fn rank<'a>(
    members: &[readers::Member<'a>],
    service: &id::ServiceName,
    cost: impl Fn(&readers::Member<'a>) -> Cost,
) -> Vec<readers::Member<'a>> {
    let mut ranking = members.to_vec();
    rendezvous::rank_by(
        &mut ranking,
        service.as_str(),
        readers::Member::candidate,
        cost,
    );
    ranking
}
