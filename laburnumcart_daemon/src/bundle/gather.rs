//! Fetches bundles from peers where the object service falls short.

use std::net;

use rand::seq::IndexedRandom;
use tokio::time;

use super::{
    counters::Failure,
    follow,
    peers, //
};

/// Most peers asked in one round.
const ROUND: usize = 3;

/// Asks peers whenever a higher generation was heard of, and while the object service is down.
pub(super) async fn gather(follower: &follow::Follower, peers: &impl peers::Peers) {
    let timing = &follower.options.timing;
    loop {
        // A word that comes now is waited for here; one that came during a round is kept.
        let _ = time::timeout(timing.ask.0, follower.feed.woken()).await;
        if follower.feed.is_behind() && !follower.is_down() {
            // The object service mostly brings it at the same moment.
            time::sleep(timing.grace.0).await;
        }
        if follower.feed.is_behind() || follower.is_down() {
            round(follower, peers).await;
        }
    }
}

/// Asks some peers until one has brought the process up to date.
async fn round(follower: &follow::Follower, peers: &impl peers::Peers) {
    for peer in candidates(follower) {
        ask(follower, peers, peer).await;
        let more = follower.feed.is_behind();
        if !more && follower.feed.current().is_some() {
            return;
        }
    }
}

/// Picks whom to ask: who has shown a higher generation, then some from the settings.
fn candidates(follower: &follow::Follower) -> Vec<net::SocketAddr> {
    let mut peers = follower.feed.heard();
    peers.truncate(ROUND);
    let configured = &follower.options.peers;
    let more = configured.choose_multiple(&mut rand::rng(), ROUND);
    peers.extend(more);
    peers
}

/// Asks one peer for anything newer than what is in force.
async fn ask(follower: &follow::Follower, peers: &impl peers::Peers, peer: net::SocketAddr) {
    let feed = &follower.feed;
    let least = feed.generation().next();
    let answer = time::timeout(follower.options.timing.call.0, peers.fetch(peer, least)).await;
    match answer {
        Ok(Ok(Some(shown))) => {
            // Good or bad, its word is settled.
            feed.forget(peer);
            follower.install(shown.head.get(), shown.envelope.get(), "peer");
        }
        Ok(Ok(None)) => feed.forget(peer),
        Ok(Err(_)) | Err(_) => {
            feed.fail(Failure::Peer);
            feed.failed(peer);
        }
    }
}
