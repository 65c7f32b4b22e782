//! At-most-once execution of requests: claims the key first, keeps the answer for resends.

use std::{
    fmt,
    sync::Arc, //
};

use jsonrpsee::core::async_trait;
use tokio::time;

use laburnumcart::{
    claim,
    id,
    unit,
    verdict, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::entry;

use crate::{
    claims::{
        self,
        resend, //
    },
    driver,
    entry as shared,
    request, //
};

/// Claim service, independent of the types of its store and peers.
#[async_trait]
pub trait Claims: fmt::Debug + Send + Sync {
    /// Claims a key; see [`claims::Service::claim`].
    async fn claim(&self, claim: claims::ClaimRequest, deadline: time::Instant) -> claims::Outcome;

    /// Releases a claim; see [`claims::Service::release`].
    async fn release(&self, key: id::Fingerprint, request: id::RequestId) -> bool;

    /// Handles a claim of another entry; see [`claims::Service::serve_claim`].
    async fn serve_claim(&self, claim: entry::Claim) -> entry::Decision;

    /// Handles a release of another entry; see [`claims::Service::serve_release`].
    async fn serve_release(&self, release: entry::Release) -> bool;

    /// Waits for the answer of the request that holds a claim; see [`resend::join`].
    async fn join(
        &self,
        holder: claim::Holder,
        request: id::RequestId,
        wait: unit::Period,
    ) -> Result<String, verdict::Refusal>;

    /// Sets the live entries; see [`claims::Service::set_live_entries`].
    fn set_live_entries(&self, live: &[std::net::SocketAddr]);

    /// Sets the number of shards; see [`claims::Service::set_shards`].
    fn set_shards(&self, shards: u16);

    /// Gives up the owned shards; see [`claims::Service::drain`].
    async fn drain(&self);
}

/// Claim service with the peers that it calls.
#[derive(Debug)]
pub struct ClaimService<S, P> {
    /// Service that claims and releases keys.
    pub service: Arc<claims::Service<S, P>>,
    /// Calls to other entries.
    pub peers: Arc<P>,
}

#[async_trait]
impl<S, P> Claims for ClaimService<S, P>
where
    S: store::Store + fmt::Debug,
    P: claims::Peers + fmt::Debug,
{
    async fn claim(&self, claim: claims::ClaimRequest, deadline: time::Instant) -> claims::Outcome {
        self.service.claim(claim, deadline).await
    }

    async fn release(&self, key: id::Fingerprint, request: id::RequestId) -> bool {
        self.service.release(key, request).await
    }

    async fn serve_claim(&self, claim: entry::Claim) -> entry::Decision {
        self.service.serve_claim(claim).await
    }

    async fn serve_release(&self, release: entry::Release) -> bool {
        self.service.serve_release(release).await
    }

    async fn join(
        &self,
        holder: claim::Holder,
        request: id::RequestId,
        wait: unit::Period,
    ) -> Result<String, verdict::Refusal> {
        resend::join(&*self.peers, holder, request, wait).await
    }

    fn set_live_entries(&self, live: &[std::net::SocketAddr]) {
        self.service.set_live_entries(live.to_vec());
    }

    fn set_shards(&self, shards: u16) {
        self.service.set_shards(shards);
    }

    async fn drain(&self) {
        self.service.drain().await;
    }
}

/// Claims the key of a request, executes the request if the claim is granted, and keeps its answer.
pub async fn execute(
    entry: &Arc<shared::Entry>,
    head: &request::Head,
    content: id::Fingerprint,
    execute: impl Future<Output = driver::Outcome>,
) -> driver::Outcome {
    let unavailable = verdict::Refusal::not_run(verdict::Reason::ClaimUnavailable);
    let claims = entry
        .claims()
        .ok_or(unavailable.retry_after(claims::RETRY_DELAY))?;
    let text = head.key.as_deref();
    let text = text.ok_or(verdict::Refusal::not_run(verdict::Reason::KeyMissing))?;
    let claim = claims::ClaimRequest {
        key: claim::key(&head.team, text),
        content,
        request: head.id,
        retention: head.rules.bundle.claims.retention,
    };
    // Opened before the claim exists, so that a resend that finds the claim also finds the slot.
    let slot = entry.answers.open(head.id);
    let claimed = claims.claim(claim, head.deadline).await;
    match claimed.decision {
        entry::Decision::Granted => {
            let outcome = execute.await;
            store_answer(entry, &*claims, claim, slot, &outcome).await;
            outcome
        }
        entry::Decision::Taken {
            request, holder, ..
        } => {
            drop(slot);
            claims
                .join(holder, request, unit::Period(head.remaining()))
                .await
        }
        entry::Decision::Refused(refusal) => {
            if claimed.in_doubt {
                // A resend that finds the claim before its release gets the same refusal. Without a
                // kept answer it would be refused as "may have run", which is final.
                let answer = entry::Answer::Refused(refusal);
                entry.answers.store(slot, answer, claim.retention.0);
            }
            Err(refusal)
        }
        entry::Decision::Elsewhere { .. } => Err(unavailable.retry_after(claims::RETRY_DELAY)),
    }
}

/// Keeps the final answer, and releases the claim if the request was not executed.
async fn store_answer(
    entry: &Arc<shared::Entry>,
    claims: &dyn Claims,
    claim: claims::ClaimRequest,
    slot: crate::answers::Slot,
    outcome: &driver::Outcome,
) {
    let answer = match outcome {
        Ok(body) => entry::Answer::Whole { body: body.clone() },
        Err(refusal) => entry::Answer::Refused(*refusal),
    };
    entry.answers.store(slot, answer, claim.retention.0);
    let not_run = |r: &verdict::Refusal| r.verdict == verdict::Verdict::NotRun;
    if outcome.as_ref().is_err_and(not_run) {
        // Otherwise a caller that resends, as the refusal permits, is refused until the claim
        // expires.
        claims.release(claim.key, claim.request).await;
    }
}
