//! Bundle synchronisation task.

use laburnumcart_platform::store;

use super::{
    fallback,
    feed,
    follow,
    options,
    peers, //
};

/// Keeps `feed` up to date from the object service and from peers.
///
/// Never returns; the future can be dropped at any time.
pub async fn run(
    feed: feed::Feed,
    store: impl store::Store,
    peers: impl peers::Peers,
    options: options::Options,
) {
    let follower = follow::Follower::new(feed, options);
    tokio::join!(
        follower.follow(&store),
        fallback::poll_peers(&follower, &peers)
    );
}
