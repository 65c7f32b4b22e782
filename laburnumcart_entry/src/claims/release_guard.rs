//! Claims that nobody runs under, because their decision came too late or not at all.

use std::{
    sync,
    time, //
};

use tokio::time as clock;

use laburnumcart::id;
use laburnumcart_platform::store;
use laburnumcart_wire::entry;

use crate::claims;

/// Tries to give back a claim that nobody runs under.
const RELEASE_TRIES: u32 = 6;

/// Pause after the first of them, doubled after each.
const RELEASE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A claim whose asker has not heard the decision; gives the claim back when it is dropped.
///
/// The caller may hang up, or its deadline pass, while the append is on its way; or a peer's answer
/// was lost and the next one is a refusal. The request never runs then, and a claim that stayed
/// behind would answer each resend with "may have run".
pub(super) struct ReleaseGuard<S: store::Store, P: claims::Peers> {
    service: Option<sync::Arc<claims::Service<S, P>>>,
    claim: claims::ClaimRequest,
    /// Whether a peer was asked whose answer did not come.
    pub(super) unanswered: bool,
}

impl<S: store::Store, P: claims::Peers> ReleaseGuard<S, P> {
    /// Begins to ask.
    pub(super) fn new(
        service: sync::Arc<claims::Service<S, P>>,
        ask: claims::ClaimRequest,
    ) -> Self {
        Self {
            service: Some(service),
            claim: ask,
            unanswered: false,
        }
    }

    /// Takes note of the decision and gives the claim back if it may be in the log nevertheless;
    /// returns whether it may.
    pub(super) fn resolve(mut self, decision: &entry::Decision) -> bool {
        let doubtful = *decision != entry::Decision::Granted && self.unanswered;
        if !doubtful {
            self.service = None;
        }
        doubtful
    }
}

impl<S: store::Store, P: claims::Peers> Drop for ReleaseGuard<S, P> {
    fn drop(&mut self) {
        let Some(service) = self.service.take() else {
            return;
        };
        let (key, request) = (self.claim.key, self.claim.request);
        let runtime = service.runtime.clone();
        runtime.spawn(async move { release_with_retries(&*service, key, request).await });
    }
}

/// Gives back a claim that may be in the log, and tries again for a while until it is recorded.
async fn release_with_retries<S: store::Store, P: claims::Peers>(
    service: &claims::Service<S, P>,
    key: id::Fingerprint,
    request: id::RequestId,
) {
    let mut pause = RELEASE_PAUSE;
    for _ in 0..RELEASE_TRIES {
        if service.release(key, request).await {
            return;
        }
        clock::sleep(pause).await;
        pause *= 2;
    }
}
