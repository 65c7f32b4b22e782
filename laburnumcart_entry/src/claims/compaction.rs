//! Deletion of log segments that a complete snapshot supersedes.

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

/// A segment that a snapshot supersedes.
#[derive(Clone, Debug)]
pub(super) struct Superseded {
    /// Key of its object.
    pub(super) key: String,
    /// Version of its object, which the deletion is conditional on.
    pub(super) version: store::Version,
}

/// Update of a head's base epoch, due when the older epochs hold only their seals.
#[derive(Clone, Debug)]
pub(super) struct BaseUpdate {
    pub(super) shard: u16,
    /// Head as written by this owner.
    pub(super) head: record::Head,
    /// Version of the head, which the update is conditional on.
    pub(super) version: store::Version,
}

/// Deletes superseded segments, then raises the base epoch of the head.
///
/// Deletions are rate limited, as the object service counts them as writes. The first failure ends
/// the work: the segments that are left lie at or above the base epoch, where the next owner finds
/// them.
pub(super) async fn delete_superseded<S: store::Store>(
    store: sync::Arc<S>,
    superseded: Vec<Superseded>,
    base: Option<BaseUpdate>,
    limiter: actor::SharedLimiter,
    timeout: time::Duration,
) {
    for object in superseded {
        let now = clock::Instant::now();
        let slot = limiter
            .lock()
            .expect("lock is not poisoned")
            .reserve_slot(now);
        clock::sleep_until(slot).await;
        let call = store.delete(&object.key, object.version);
        if append::with_timeout(timeout, call).await.is_err() {
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
    // If the update is lost, the next owner only reads more epochs than it needs.
    append::with_timeout(timeout, call).await.ok();
}
