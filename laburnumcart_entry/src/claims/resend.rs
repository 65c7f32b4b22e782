//! Answers for resent requests, whose key another request has claimed.

use laburnumcart::{
    claim,
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::entry;

use crate::claims;

/// Waits at the holder of a claim for the answer of the request that claimed the key.
///
/// If the holder's process has ended, the answer is lost and the request may have executed. This is
/// returned without a wait, as it is final.
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
