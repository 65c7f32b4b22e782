//! Choice of a target for one attempt.

use std::sync::{
    Arc,
    atomic::Ordering, //
};

use laburnumcart::id;

use crate::{
    control,
    links, //
};

/// Returns the lane with the least expected wait among those that are ready and not `tried`.
///
/// A lane that was tried before comes last: its target refused or failed a moment ago.
pub(super) fn pick(
    view: &control::View,
    service: &id::ServiceName,
    tried: &[std::net::SocketAddr],
) -> Option<Arc<links::Lane>> {
    let lanes = view.lanes.get(service)?;
    let usable = |lane: &&Arc<links::Lane>| {
        lane.connection().is_some_and(|connection| {
            let report = connection.report.load();
            report.ready && !report.leaving && report.service == *service
        })
    };
    let rank = |lane: &&Arc<links::Lane>| {
        let again = tried.iter().filter(|addr| **addr == lane.addr).count();
        (
            again,
            lane.running.load(Ordering::Relaxed),
            rand::random::<u32>(),
        )
    };
    lanes.iter().filter(usable).min_by_key(rank).cloned()
}
