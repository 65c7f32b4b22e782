//! Fetches bundles from peers when the object service is down or behind.

use std::net;

use rand::seq::IndexedRandom;
use tokio::time;

use super::{
    counters::Failure,
    follow,
    peers, //
};

/// Maximum number of peers of each kind, announced and configured, that one round asks.
const ROUND_PEERS: usize = 3;

/// Polls peers when a higher generation is known, and while the object service is down; never
/// returns.
pub(super) async fn poll_peers(follower: &follow::Follower, peers: &impl peers::Peers) {
    let timing = &follower.options.timing;
    loop {
        // A wakeup that came during the last round is kept and ends this wait at once.
        let _ = time::timeout(timing.poll_interval.0, follower.feed.wait_newer()).await;
        if follower.feed.is_behind() && !follower.is_down() {
            // The object service usually delivers the same generation within this time.
            time::sleep(timing.store_grace.0).await;
        }
        if follower.feed.is_behind() || follower.is_down() {
            poll_round(follower, peers).await;
        }
    }
}

/// Asks the candidates in turn until the process is up to date.
async fn poll_round(follower: &follow::Follower, peers: &impl peers::Peers) {
    for peer in candidates(follower) {
        fetch_from(follower, peers, peer).await;
        let behind = follower.feed.is_behind();
        if !behind && follower.feed.current().is_some() {
            return;
        }
    }
}

/// Returns the peers that have announced a higher generation, then random ones of the settings.
fn candidates(follower: &follow::Follower) -> Vec<net::SocketAddr> {
    let mut peers = follower.feed.newer_peers();
    peers.truncate(ROUND_PEERS);
    let configured = &follower.options.peers;
    let sample = configured.choose_multiple(&mut rand::rng(), ROUND_PEERS);
    peers.extend(sample);
    peers
}

/// Fetches from one peer a bundle newer than the one in force.
async fn fetch_from(follower: &follow::Follower, peers: &impl peers::Peers, peer: net::SocketAddr) {
    let feed = &follower.feed;
    let least = feed.generation().next();
    let answer = time::timeout(
        follower.options.timing.call_timeout.0,
        peers.fetch(peer, least),
    )
    .await;
    match answer {
        Ok(Ok(Some(signed))) => {
            // Whether the bundle is valid or not, the peer has delivered what it announced.
            feed.forget_peer(peer);
            follower.install(signed.head.get(), signed.envelope.get(), "peer");
        }
        Ok(Ok(None)) => feed.forget_peer(peer),
        Ok(Err(_)) | Err(_) => {
            feed.record_failure(Failure::Peer);
            feed.record_peer_failure(peer);
        }
    }
}
