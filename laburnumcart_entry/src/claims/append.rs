//! One write to the log whose outcome is known in the end.

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

/// Pause before an append whose answer was lost is tried again.
const SETTLE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// In the log.
    Durable(store::Version),
    /// The slot holds a seal; the records are not in the log and never will be.
    Sealed,
    /// Not in the log; the slot is still free.
    Refused(Option<unit::Period>),
}

/// Bounds one call; a call without an answer in time may have taken effect.
pub(super) async fn with_timeout<T>(
    limit: time::Duration,
    call: impl Future<Output = Result<T, store::Failure>>,
) -> Result<T, store::Failure> {
    let lost = Err(store::Failure::Unanswered);
    clock::timeout(limit, call).await.unwrap_or(lost)
}

/// Writes a segment by create-if-absent and settles a lost answer.
///
/// A write without an answer may take effect at any later time. Treated as failed, its claim
/// would be refused as "not run" and yet be found by a resend, or another batch in its slot would
/// be mistaken for it. So the same value is written to the same slot until one of the two writes,
/// or a seal, is seen there. `doubt` is set meanwhile.
pub(super) async fn append_segment(
    store: &impl store::Store,
    key: &str,
    segment: &record::Segment,
    limit: time::Duration,
    doubt: &watch::Sender<bool>,
) -> Outcome {
    let value = serde_json::to_string(segment).expect("segments serialize");
    loop {
        let call = store.put(key, store::Expect::Absent, &value);
        match with_timeout(limit, call).await {
            Ok(version) => return Outcome::Durable(version),
            Err(store::Failure::Conflict) => {
                if let Some(outcome) = read_back(store, key, &value, limit).await {
                    return outcome;
                }
            }
            Err(store::Failure::Unanswered) => {}
            Err(failure) if !*doubt.borrow() => {
                return Outcome::Refused(retry_after(&failure));
            }
            Err(_) => {}
        }
        if !doubt.send_replace(true) {
            continue;
        }
        clock::sleep(SETTLE_PAUSE).await;
    }
}

/// Returns when the service asked to be called again.
pub(super) fn retry_after(failure: &store::Failure) -> Option<unit::Period> {
    match failure {
        store::Failure::Unavailable { retry } => *retry,
        _ => None,
    }
}

/// Reads what occupies the slot, `None` when that cannot be told yet.
async fn read_back(
    store: &impl store::Store,
    key: &str,
    value: &str,
    limit: time::Duration,
) -> Option<Outcome> {
    let object = with_timeout(limit, store.get(key)).await.ok()??;
    let found: record::Segment = serde_json::from_str(&object.value).ok()?;
    // Written periods are rounded. Compared before that, the own append would pass for a seal, the
    // shard would be given up, and its waiting claims would be taken for not being in the log.
    let found = serde_json::to_string(&found).ok()?;
    match found == value {
        true => Some(Outcome::Durable(object.version)),
        false => Some(Outcome::Sealed),
    }
}
