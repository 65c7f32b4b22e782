//! Watch on the platform's list of instances.

use tokio::sync::watch;

use laburnumcart::unit;
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::members;

/// Maximum duration of one watch, each of which counts as a call to the object service.
///
/// A dead connection to the object service hides changes for this time. That is acceptable as the
/// list may be stale anyway, and agents report themselves whether they accept work.
const WATCH_TIMEOUT: unit::Period = unit::Period::from_secs(30);

/// Keeps `list` up to date; never returns.
///
/// Reads the list once and then applies changes. If each process read the whole list for each
/// change or watch, the traffic of the fleet would grow with the square of its size.
pub async fn follow<S: store::Store>(store: S, list: watch::Sender<Vec<members::Instance>>) {
    let settings = follow::Settings {
        wait: WATCH_TIMEOUT,
        ..follow::Settings::default()
    };
    let (follower, mut snapshots) = follow::follower(store, members::PREFIX, settings);
    let parse = async {
        while snapshots.changed().await.is_ok() {
            list.send_replace(members::parse(&snapshots.borrow_and_update()));
        }
    };
    tokio::join!(follower.run(), parse);
}
