//! Keeps a process up to date, from the object service and from peers.

use laburnumcart_platform::store;

use super::{
    feed,
    follow,
    gather,
    options,
    peers, //
};

/// Keeps `feed` up to date; never returns, and can be dropped at any time.
pub async fn run(
    feed: feed::Feed,
    store: impl store::Store,
    peers: impl peers::Peers,
    options: options::Options,
) {
    let follower = follow::Follower::new(feed, options);
    tokio::join!(follower.follow(&store), gather::gather(&follower, &peers));
}
