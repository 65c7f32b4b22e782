//! Finds out the outcome of conditional writes whose answer was lost.
//!
//! Such a write may have taken effect, may be lost, or may still be in flight and take effect after
//! the object was read again. A read cannot tell the last two apart. The same write is therefore
//! sent again: both depend on the same version, so at most one can succeed, and once one has
//! succeeded the other always fails.

use std::time;

use tokio::time::Instant;

use crate::{
    backoff,
    store, //
};

/// First pause before the object is read again.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Longest pause between two reads.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(1);

/// A conditional write.
///
/// The value must be unique among all writers, for example by a random number in it.
#[derive(Clone, Copy, Debug)]
pub struct Write<'a> {
    /// Key of the object.
    pub key: &'a str,
    /// State of the object that the write depends on.
    pub expect: store::Expect,
    /// JSON text.
    pub value: &'a str,
}

/// Conclusion about a write from the changed object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The object is the result of the write.
    Ours,
    /// The object proves that the write did not take effect.
    NotOurs,
    /// The write may have taken effect and been overwritten since.
    Unclear,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write took effect and created this version.
    Written(store::Version),
    /// The write had no effect and never will.
    NotWritten,
    /// The outcome is unknown; the write may still take effect.
    Unclear,
}

/// Returns the judge for a key that is never overwritten, nor deleted and created again.
pub fn judge_created<'a>(write: Write<'a>) -> impl Fn(&store::Object) -> Judgement + Copy + 'a {
    move |found| match found.value == write.value {
        true => Judgement::Ours,
        false => Judgement::NotOurs,
    }
}

/// Returns the judge for a key that other writers may overwrite.
pub fn judge_replaced<'a>(write: Write<'a>) -> impl Fn(&store::Object) -> Judgement + Copy + 'a {
    move |found| match found.value == write.value {
        true => Judgement::Ours,
        false => Judgement::Unclear,
    }
}

/// Writes an object, and finds out the outcome if the answer is lost.
///
/// `judge` is called with an object that is no longer in the expected state. If the key can be
/// deleted and created again, `judge` must allow for a stale read from before the deletion. An
/// outcome that is still unknown at `until` is returned as [`Outcome::Unclear`]. An error means
/// that the write had no effect; it is [`store::Failure::Unavailable`] or
/// [`store::Failure::Invalid`].
pub async fn put(
    store: &impl store::Store,
    write: Write<'_>,
    until: Instant,
    judge: impl Fn(&store::Object) -> Judgement,
) -> Result<Outcome, store::Failure> {
    match store.put(write.key, write.expect, write.value).await {
        Ok(version) => Ok(Outcome::Written(version)),
        Err(store::Failure::Conflict) => Ok(Outcome::NotWritten),
        Err(store::Failure::Unanswered) => Ok(resolve(store, write, until, judge).await),
        Err(failure) => Err(failure),
    }
}

/// Finds out the outcome of a write that was sent before, such as one whose future was dropped.
pub async fn resolve(
    store: &impl store::Store,
    write: Write<'_>,
    until: Instant,
    judge: impl Fn(&store::Object) -> Judgement,
) -> Outcome {
    let attempts = async {
        let mut backoff = backoff::Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        loop {
            if let Some(outcome) = resolve_once(store, write, &judge).await {
                return outcome;
            }
            tokio::time::sleep(backoff.next(time::Duration::ZERO)).await;
        }
    };
    let settled = tokio::time::timeout_at(until, attempts).await;
    settled.unwrap_or(Outcome::Unclear)
}

async fn resolve_once(
    store: &impl store::Store,
    write: Write<'_>,
    judge: &impl Fn(&store::Object) -> Judgement,
) -> Option<Outcome> {
    let found = store.get(write.key).await.ok()?;
    let Some(object) = found.filter(|object| has_changed(write.expect, object)) else {
        let resent = store.put(write.key, write.expect, write.value).await;
        return resent.ok().map(Outcome::Written);
    };
    Some(match judge(&object) {
        Judgement::Ours => Outcome::Written(object.version),
        Judgement::NotOurs => Outcome::NotWritten,
        Judgement::Unclear => Outcome::Unclear,
    })
}

/// Reports whether the object is past the expected state.
///
/// `false` proves nothing: a stale read can return the expected version, or an earlier one, of an
/// object that has changed since.
fn has_changed(expect: store::Expect, found: &store::Object) -> bool {
    match expect {
        store::Expect::Absent => true,
        store::Expect::Version(version) => found.version > version,
    }
}
