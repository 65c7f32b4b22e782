//! Drives a change of the head against the object service.

use std::time;

use tokio::time::Instant;

use laburnumcart::{
    head,
    unit, //
};
use laburnumcart_platform::store;

use crate::error;

/// Pause before a refused call is repeated.
const PAUSE: time::Duration = time::Duration::from_millis(200);

/// Performs a change until its outcome is proven, for at most `limit`.
///
/// A call without an answer is settled by reading, so that a change is never made twice and never
/// reported wrongly.
pub async fn publish(
    store: &impl store::Store,
    mut change: head::Publish<store::Version>,
    limit: unit::Period,
) -> Result<head::Head, error::Error> {
    let end = Instant::now() + limit.0;
    loop {
        if let head::Step::Done(outcome) = change.step() {
            return outcome.map_err(error::Error::Lost);
        }
        let step = tokio::time::timeout_at(end, perform(store, &mut change)).await;
        match step {
            Ok(Ok(())) => {}
            Ok(Err(Stop::Head(e))) => return Err(error::Error::Head(e)),
            Ok(Err(Stop::Invalid)) => return Err(error::Error::Invalid),
            // A write cut off by the end of the time may take effect as well.
            Err(_) => return Err(cut_off(&change)),
            Ok(Err(Stop::Later)) if Instant::now() + PAUSE < end => {
                tokio::time::sleep(PAUSE).await;
            }
            Ok(Err(Stop::Later)) => return Err(given_up(&change)),
        }
    }
}

/// Why a step was not performed.
enum Stop {
    /// The service does not answer now; the step is to be performed again.
    Later,
    /// The service refuses the call as wrong.
    Invalid,
    /// The head is not one.
    Head(head::Malformed),
}

impl From<store::Failure> for Stop {
    fn from(failure: store::Failure) -> Self {
        match failure {
            store::Failure::Invalid => Self::Invalid,
            _ => Self::Later,
        }
    }
}

fn cut_off(change: &head::Publish<store::Version>) -> error::Error {
    match change.step() {
        head::Step::Write { .. } => error::Error::InDoubt,
        _ => given_up(change),
    }
}

fn given_up(change: &head::Publish<store::Version>) -> error::Error {
    if change.is_in_doubt() {
        error::Error::InDoubt
    } else {
        error::Error::Unavailable
    }
}

async fn perform(
    store: &impl store::Store,
    change: &mut head::Publish<store::Version>,
) -> Result<(), Stop> {
    match change.step() {
        head::Step::Create { digest, value } => {
            let key = head::object_key(digest);
            match store.put(&key, store::Expect::Absent, &value).await {
                // The name is the digest of the content: what exists under it is the same.
                Ok(_) | Err(store::Failure::Conflict) => change.record_created(),
                Err(failure) => return Err(Stop::from(failure)),
            }
        }
        head::Step::Read => change.record_read(read(store).await?),
        head::Step::Write { expect, value } => {
            let expect = expect.map_or(store::Expect::Absent, store::Expect::Version);
            match store.put(head::KEY, expect, &value).await {
                Ok(_) => change.record_write(head::WriteOutcome::Applied),
                Err(store::Failure::Conflict) => change.record_write(head::WriteOutcome::Conflict),
                Err(store::Failure::Unanswered) => change.record_write(head::WriteOutcome::Unknown),
                Err(failure) => return Err(Stop::from(failure)),
            }
        }
        head::Step::Done(_) => {}
    }
    Ok(())
}

async fn read(store: &impl store::Store) -> Result<Option<(store::Version, head::Head)>, Stop> {
    let object = store.get(head::KEY).await.map_err(Stop::from)?;
    let Some(object) = object else {
        return Ok(None);
    };
    let head = head::Head::parse(&object.value).map_err(Stop::Head)?;
    Ok(Some((object.version, head)))
}
