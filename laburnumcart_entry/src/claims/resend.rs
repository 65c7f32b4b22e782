//! What a request gets whose key is claimed already.

use laburnumcart::{
    claim,
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::entry;

use crate::claims;

/// Joins the request that holds a claim: waits for its answer at its holder.
///
/// When the holder's life is over the answer is gone with it, and the request may have run; that
/// is said at once, as no wait can change it.
pub async fn join(
    peers: &impl claims::Peers,
    holder: claim::Holder,
    request: id::RequestId,
    wait: unit::Period,
) -> Result<String, verdict::Refusal> {
    let fetch = entry::Fetch {
        incarnation: holder.incarnation,
        request,
        wait,
    };
    let gone = verdict::Refusal::may_have_run(verdict::Reason::AlreadyClaimed);
    match peers.fetch(holder.addr, fetch).await {
        Ok(entry::Answer::Whole { body }) => Ok(body),
        Ok(entry::Answer::Refused(refusal)) => Err(refusal),
        Ok(entry::Answer::Running) => Err(verdict::Refusal::may_have_run(
            verdict::Reason::DeadlineExceeded,
        )),
        Ok(entry::Answer::Unknown) | Err(claims::Unreachable) => Err(gone),
    }
}
