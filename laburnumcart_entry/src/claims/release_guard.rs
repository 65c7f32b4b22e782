//! Release of claims whose request will not execute, as their decision came too late or not at all.

use std::{
    sync,
    time, //
};

use tokio::time as clock;

use laburnumcart::id;
use laburnumcart_platform::store;
use laburnumcart_wire::entry;

use crate::claims;

/// Attempts to release a claim.
const RELEASE_ATTEMPTS: u32 = 6;

/// Pause after the first attempt, doubled after each further one.
const RELEASE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Guard of an undecided claim; releases the claim when dropped.
///
/// The caller may disconnect or its deadline pass during the append, or a peer's response is lost
/// and the next one is a refusal. The request then never executes, and a claim that stayed in the
/// log would cause each resend to be refused as "may have run".
pub(super) struct ReleaseGuard<S: store::Store, P: claims::Peers> {
    service: Option<sync::Arc<claims::Service<S, P>>>,
    claim: claims::ClaimRequest,
    /// Whether a call to a peer got no response.
    pub(super) unanswered: bool,
}

impl<S: store::Store, P: claims::Peers> ReleaseGuard<S, P> {
    /// Creates the guard before the claim is sent.
    pub(super) fn new(
        service: sync::Arc<claims::Service<S, P>>,
        claim: claims::ClaimRequest,
    ) -> Self {
        Self {
            service: Some(service),
            claim,
            unanswered: false,
        }
    }

    /// Disarms the guard by a decision, unless the claim may be in the log without a grant.
    ///
    /// Returns whether it may be; it is then released.
    pub(super) fn resolve(mut self, decision: &entry::Decision) -> bool {
        let in_doubt = *decision != entry::Decision::Granted && self.unanswered;
        if !in_doubt {
            self.service = None;
        }
        in_doubt
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

/// Releases a claim that may be in the log, with a bounded number of retries.
async fn release_with_retries<S: store::Store, P: claims::Peers>(
    service: &claims::Service<S, P>,
    key: id::Fingerprint,
    request: id::RequestId,
) {
    let mut pause = RELEASE_PAUSE;
    for _ in 0..RELEASE_ATTEMPTS {
        if service.release(key, request).await {
            return;
        }
        clock::sleep(pause).await;
        pause *= 2;
    }
}
