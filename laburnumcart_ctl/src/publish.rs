//! Publication of a change of the head to the object service.

use std::time;

use tokio::time::Instant;

use laburnumcart::{
    head,
    unit, //
};
use laburnumcart_platform::store;

use crate::error;

/// Delay before a failed call is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Publishes a change of the head and retries until its outcome is certain, for at most `limit`.
///
/// After a write without a response, reads the head to find out whether the write took effect, so
/// that a change is neither made twice nor reported wrongly.
pub async fn publish(
    store: &impl store::Store,
    mut change: head::Publish<store::Version>,
    limit: unit::Period,
) -> Result<head::Head, error::Error> {
    let deadline = Instant::now() + limit.0;
    loop {
        if let head::Step::Done(outcome) = change.step() {
            return outcome.map_err(error::Error::Publish);
        }
        let step = tokio::time::timeout_at(deadline, perform_step(store, &mut change)).await;
        match step {
            Ok(Ok(())) => {}
            Ok(Err(StepError::Head(e))) => return Err(error::Error::Head(e)),
            Ok(Err(StepError::Invalid)) => return Err(error::Error::Invalid),
            // A write that was cancelled at the deadline may still take effect.
            Err(_) => return Err(timeout_error(&change)),
            Ok(Err(StepError::Transient)) if Instant::now() + RETRY_DELAY < deadline => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Ok(Err(StepError::Transient)) => return Err(unavailable_error(&change)),
        }
    }
}

/// Failure of a step.
enum StepError {
    /// The service does not answer; the step can be retried.
    Transient,
    /// The service rejected the call as invalid.
    Invalid,
    /// The stored head cannot be parsed.
    Head(head::Malformed),
}

impl From<store::Failure> for StepError {
    fn from(failure: store::Failure) -> Self {
        match failure {
            store::Failure::Invalid => Self::Invalid,
            _ => Self::Transient,
        }
    }
}

fn timeout_error(change: &head::Publish<store::Version>) -> error::Error {
    match change.step() {
        head::Step::Write { .. } => error::Error::InDoubt,
        _ => unavailable_error(change),
    }
}

fn unavailable_error(change: &head::Publish<store::Version>) -> error::Error {
    if change.is_in_doubt() {
        error::Error::InDoubt
    } else {
        error::Error::Unavailable
    }
}

async fn perform_step(
    store: &impl store::Store,
    change: &mut head::Publish<store::Version>,
) -> Result<(), StepError> {
    match change.step() {
        head::Step::Create { digest, value } => {
            let key = head::object_key(digest);
            match store.put(&key, store::Expect::Absent, &value).await {
                // Objects are named by their digest, so an existing one has the same content.
                Ok(_) | Err(store::Failure::Conflict) => change.record_created(),
                Err(failure) => return Err(StepError::from(failure)),
            }
        }
        head::Step::Read => change.record_read(read_head(store).await?),
        head::Step::Write { expect, value } => {
            let expect = expect.map_or(store::Expect::Absent, store::Expect::Version);
            match store.put(head::KEY, expect, &value).await {
                Ok(_) => change.record_write(head::WriteOutcome::Applied),
                Err(store::Failure::Conflict) => change.record_write(head::WriteOutcome::Conflict),
                Err(store::Failure::Unanswered) => change.record_write(head::WriteOutcome::Unknown),
                Err(failure) => return Err(StepError::from(failure)),
            }
        }
        head::Step::Done(_) => {}
    }
    Ok(())
}

async fn read_head(
    store: &impl store::Store,
) -> Result<Option<(store::Version, head::Head)>, StepError> {
    let object = store.get(head::KEY).await.map_err(StepError::from)?;
    let Some(object) = object else {
        return Ok(None);
    };
    let head = head::Head::parse(&object.value).map_err(StepError::Head)?;
    Ok(Some((object.version, head)))
}
