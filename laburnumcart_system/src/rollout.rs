//! Generation of the bundle in force in the processes of a fleet.

use std::{
    net,
    time, //
};

use futures_util::future;

use crate::{
    fleet,
    wait, //
};

/// Prefix of the sample that shows the generation in force.
const GENERATION_METRIC: &str = "laburnum_bundle_generation ";

/// Returns the addresses at which all daemons serve their metrics.
pub fn metrics_addrs(fleet: &fleet::Fleet) -> Vec<net::SocketAddr> {
    let agents = fleet.nodes.iter().map(|node| node.admin_addr);
    let entries = fleet.entries.iter().map(|entry| entry.caller_addr);
    entries.chain(agents).collect()
}

/// Returns the generation in force in a process, or `None` if it does not respond.
pub async fn generation(fleet: &fleet::Fleet, addr: net::SocketAddr) -> Option<u64> {
    let response = fleet.http.get(addr, "/metrics").await.ok()?;
    let mut lines = response.body.lines();
    lines.find_map(|line| line.strip_prefix(GENERATION_METRIC)?.trim().parse().ok())
}

/// Returns the generation in force in each process.
pub async fn generations(fleet: &fleet::Fleet) -> Vec<Option<u64>> {
    let addrs = metrics_addrs(fleet);
    let all = addrs.into_iter().map(|addr| generation(fleet, addr));
    future::join_all(all).await
}

/// Waits until a generation is in force in every process, and returns the time that it took.
///
/// # Panics
///
/// Panics when a process reports a higher generation.
pub async fn wait_in_force(fleet: &fleet::Fleet, wanted: u64) -> time::Duration {
    let start = tokio::time::Instant::now();
    let what = format!("generation {wanted} in force everywhere");
    wait::until(&what, || async {
        let found = generations(fleet).await;
        let above = found.iter().flatten().any(|found| *found > wanted);
        assert!(!above, "{found:?}, wanted {wanted}");
        found.iter().all(|f| *f == Some(wanted)).then_some(())
    })
    .await;
    start.elapsed()
}
