//! Follows the platform's list of instances.

use tokio::sync::watch;

use laburnumcart::unit;
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::members;

/// Longest wait of one watch, which counts as a call of the object service.
///
/// A connection to the object service that has gone silent hides changes for so long. The list lags
/// anyway, and whether a listed agent takes work is read from its own reports.
const WAIT: unit::Period = unit::Period::from_secs(30);

/// Keeps `list` up to date; never returns.
///
/// The list is read once and changes are applied to it. Reading it whole for each change or each
/// watch would cost the fleet bytes that grow with the square of its size.
pub async fn follow<S: store::Store>(store: S, list: watch::Sender<Vec<members::Instance>>) {
    let settings = follow::Settings {
        wait: WAIT,
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
