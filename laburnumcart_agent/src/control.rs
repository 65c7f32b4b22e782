//! The control thread: health of the target and what follows from it.

use std::sync;

use laburnumcart::bundle;
use laburnumcart_daemon::event;
use tokio::time;

use crate::{
    shared,
    snapshot, //
};

/// Time between two looks at the target.
const POLL: time::Duration = time::Duration::from_millis(250);

/// Runs the control loop for as long as the process lives.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut ticks = time::interval(POLL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let state = shared.target.state().await;
        let before = shared.snapshot.load_full();
        let ready = state.is_ok();
        if ready != before.ready {
            event!(Info, "target", ready = ready);
        }
        let kind = state.ok().map(|state| match state.models.is_empty() {
            true => bundle::Kind::Pool,
            false => bundle::Kind::Engine,
        });
        shared.snapshot.store(sync::Arc::new(snapshot::Snapshot {
            ready,
            kind: kind.or(before.kind),
            facts: before.facts.clone(),
        }));
    }
}
