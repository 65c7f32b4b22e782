//! Which process owns the queue of each service.
//!
//! An owner makes the calls of all processes for its service, on a processor that its callers need
//! as well. With several queues on one instance its calls take longer than the targets do: these
//! stand idle while jobs wait, callers are refused and come again, and each of them costs the same
//! owner more. So owners are chosen for all services at once, and never meet while there are others
//! as strong.
//!
//! Nothing is agreed on. Who knows the same members and services finds the same owners.

use std::collections;

use crate::{
    id,
    readers,
    rendezvous, //
};

/// Members by the service whose queue they may own, the first choice first.
pub type Rankings<'a> = collections::BTreeMap<&'a id::ServiceName, Vec<readers::Member<'a>>>;

/// Lists for each service which members may own its queue, the first choice first.
///
/// Which members can be reached is left out on purpose. Each process sees that differently, and if
/// the loss of one member moved the owners of other services, two processes would disagree on all
/// of them.
pub fn rankings<'a>(
    members: &[readers::Member<'a>],
    services: impl IntoIterator<Item = &'a id::ServiceName>,
) -> Rankings<'a> {
    let services: collections::BTreeSet<_> = services.into_iter().collect();
    let mut owners = Vec::new();
    for service in &services {
        let order = sorted(members, service, |member| cost(member, &owners));
        owners.extend(order.first().copied());
    }
    let order = |(i, service): (usize, &'a id::ServiceName)| {
        let own = owners.get(i).map(|owner| owner.name);
        // Who stands in for an owner that is gone should own no other queue.
        let mut order = sorted(members, service, |member| cost(member, &owners));
        order.sort_by_key(|member| own != Some(member.name));
        (service, order)
    };
    services.into_iter().enumerate().map(order).collect()
}

/// What speaks against a member as the owner of one more queue, the weightier first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    /// Queues that it owns.
    queues: usize,
    /// Queues that are owned in its data centre, and would all be lost with it.
    near: usize,
}

fn cost(member: &readers::Member<'_>, owners: &[readers::Member<'_>]) -> Cost {
    let is_same = |owner: &&readers::Member<'_>| owner.name == member.name;
    let is_near = |owner: &&readers::Member<'_>| owner.data_centre == member.data_centre;
    Cost {
        queues: owners.iter().filter(is_same).count(),
        near: owners.iter().filter(is_near).count(),
    }
}

/// Sorts members for a service: strong ones first, then those of least cost.
fn sorted<'a>(
    members: &[readers::Member<'a>],
    service: &id::ServiceName,
    cost: impl Fn(&readers::Member<'a>) -> Cost,
) -> Vec<readers::Member<'a>> {
    let mut order = members.to_vec();
    rendezvous::order_by(
        &mut order,
        service.as_str(),
        readers::Member::candidate,
        cost,
    );
    order
}
