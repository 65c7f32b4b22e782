//! Appends to the log, retried until the outcome is certain.

use std::time;

use tokio::{
    sync::watch,
    time as clock, //
};

use laburnumcart::{
    claim::record,
    unit, //
};
use laburnumcart_platform::store;

/// Pause between retries of an append without a response.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The segment is in the log.
    Durable(store::Version),
    /// The segment number holds a seal; the records are not in the log and never will be.
    Sealed,
    /// The segment is not in the log; its number is still free.
    Refused(Option<unit::Period>),
}

/// Calls the object service with a timeout, after which the call may still take effect.
pub(super) async fn with_timeout<T>(
    timeout: time::Duration,
    call: impl Future<Output = Result<T, store::Failure>>,
) -> Result<T, store::Failure> {
    let lost = Err(store::Failure::Unanswered);
    clock::timeout(timeout, call).await.unwrap_or(lost)
}

/// Writes a segment by create-if-absent, and retries it when the response is lost.
///
/// A write without a response may take effect at any later time. If it counted as failed, its
/// claims would be refused as "not run" and yet be found by a resend, or another batch under the
/// same number would be mistaken for it. The same value is therefore written under the same number
/// until either it or a seal is found there. `in_doubt` is set meanwhile.
pub(super) async fn append_segment(
    store: &impl store::Store,
    key: &str,
    segment: &record::Segment,
    timeout: time::Duration,
    in_doubt: &watch::Sender<bool>,
) -> Outcome {
    let value = serde_json::to_string(segment).expect("segments serialize");
    loop {
        let call = store.put(key, store::Expect::Absent, &value);
        match with_timeout(timeout, call).await {
            Ok(version) => return Outcome::Durable(version),
            Err(store::Failure::Conflict) => {
                if let Some(outcome) = read_back(store, key, &value, timeout).await {
                    return outcome;
                }
            }
            Err(store::Failure::Unanswered) => {}
            Err(failure) if !*in_doubt.borrow() => {
                return Outcome::Refused(retry_after(&failure));
            }
            Err(_) => {}
        }
        if !in_doubt.send_replace(true) {
            continue;
        }
        clock::sleep(RETRY_PAUSE).await;
    }
}

/// Returns the delay that the service asked for.
pub(super) fn retry_after(failure: &store::Failure) -> Option<unit::Period> {
    match failure {
        store::Failure::Unavailable { retry } => *retry,
        _ => None,
    }
}

/// Reads the object under the segment number; `None` if that fails or there is none yet.
async fn read_back(
    store: &impl store::Store,
    key: &str,
    value: &str,
    timeout: time::Duration,
) -> Option<Outcome> {
    let object = with_timeout(timeout, store.get(key)).await.ok()??;
    let found: record::Segment = serde_json::from_str(&object.value).ok()?;
    // Serialization rounds periods, so both sides are compared as text. Otherwise the own segment
    // would be taken for a seal, and the shard given up as if its claims were not in the log.
    let found = serde_json::to_string(&found).ok()?;
    match found == value {
        true => Some(Outcome::Durable(object.version)),
        false => Some(Outcome::Sealed),
    }
}
