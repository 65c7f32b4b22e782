//! What the processes of a fleet say about the bundle in force.

use std::{
    net,
    time, //
};

use futures_util::future;

use crate::{
    fleet,
    wait, //
};

/// Name of the metric that shows the generation in force.
const GENERATION: &str = "laburnum_bundle_generation ";

/// Returns the addresses of the pages of all daemons.
pub fn metrics_addrs(fleet: &fleet::Fleet) -> Vec<net::SocketAddr> {
    let agents = fleet.nodes.iter().map(|node| node.admin_addr);
    let entries = fleet.entries.iter().map(|entry| entry.caller_addr);
    entries.chain(agents).collect()
}

/// Returns the generation in force in a process, if it answers.
pub async fn generation(fleet: &fleet::Fleet, page: net::SocketAddr) -> Option<u64> {
    let answer = fleet.http.get(page, "/metrics").await.ok()?;
    let mut lines = answer.body.lines();
    lines.find_map(|line| line.strip_prefix(GENERATION)?.trim().parse().ok())
}

/// Returns the generation in force in each process.
pub async fn generations(fleet: &fleet::Fleet) -> Vec<Option<u64>> {
    let all = metrics_addrs(fleet);
    let all = all.into_iter().map(|page| generation(fleet, page));
    future::join_all(all).await
}

/// Waits until a generation is in force in every process; returns how long that took.
///
/// # Panics
///
/// Panics when a process shows a higher one.
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
