//! Deletion of segments that a complete snapshot supersedes.

use std::{
    sync,
    time, //
};

use tokio::time as clock;

use laburnumcart::claim::record;
use laburnumcart_platform::store;

use crate::claims::{
    actor,
    append, //
};

/// An object to delete.
#[derive(Clone, Debug)]
pub(super) struct Superseded {
    /// Its key.
    pub(super) key: String,
    /// Its version.
    pub(super) version: store::Version,
}

/// Head to move once the old epochs are empty but for their seals.
#[derive(Clone, Debug)]
pub(super) struct BaseUpdate {
    /// Shard of the head.
    pub(super) shard: u16,
    /// Head as this owner wrote it.
    pub(super) head: record::Head,
    /// Its version.
    pub(super) version: store::Version,
}

/// Deletes what is old, then moves the base of the head.
///
/// A deletion is a write as an append is, so it has a rate limit too.
///
/// Stops at the first failure: what is left lies within the base and is found by the next owner.
pub(super) async fn delete_superseded<S: store::Store>(
    store: sync::Arc<S>,
    old: Vec<Superseded>,
    base: Option<BaseUpdate>,
    pace: actor::SharedLimiter,
    limit: time::Duration,
) {
    for object in old {
        let now = clock::Instant::now();
        let slot = pace.lock().expect("lock is not poisoned").reserve_slot(now);
        clock::sleep_until(slot).await;
        let call = store.delete(&object.key, object.version);
        if append::with_timeout(limit, call).await.is_err() {
            return;
        }
    }
    let Some(base) = base else { return };
    let head = record::Head {
        base: base.head.epoch,
        ..base.head
    };
    let key = record::head_key(base.shard);
    let value = serde_json::to_string(&head).expect("heads serialize");
    let call = store.put(&key, store::Expect::Version(base.version), &value);
    // Without it the next owner reads more epochs than it needs.
    append::with_timeout(limit, call).await.ok();
}
