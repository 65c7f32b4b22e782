//! Settles writes whose answer was lost.
//!
//! A write in doubt may have taken effect, may be lost, or may still be under way and take effect
//! after the object was read again. Reading alone can't tell the last two apart. The write is
//! therefore sent again as it was: as both depend on the same version, at most one can succeed, and
//! once either has, the other is refused for good.

use std::time;

use tokio::time::Instant;

use crate::{
    backoff,
    store, //
};

/// First pause before the object is read.
const FIRST: time::Duration = time::Duration::from_millis(20);

/// Longest pause between two reads.
const LONGEST: time::Duration = time::Duration::from_secs(1);

/// A conditional write.
///
/// The value must tell it from the writes of all others, for example by a random number.
#[derive(Clone, Copy, Debug)]
pub struct Write<'a> {
    /// Key of the object.
    pub key: &'a str,
    /// State that the write depends on.
    pub expect: store::Expect,
    /// JSON text.
    pub value: &'a str,
}

/// What an object that has changed says of the write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The write has made it.
    Ours,
    /// It could not be as it is if the write had taken effect.
    NotOurs,
    /// The write may have taken effect and been overwritten since.
    Unclear,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It took effect and made this version.
    Written(store::Version),
    /// It had no effect and never will.
    NotWritten,
    /// It cannot be told yet; it may still take effect.
    Unclear,
}

/// Judges the write of a key that is never overwritten, nor deleted and created again.
pub fn judge_created<'a>(write: Write<'a>) -> impl Fn(&store::Object) -> Judgement + Copy + 'a {
    move |found| match found.value == write.value {
        true => Judgement::Ours,
        false => Judgement::NotOurs,
    }
}

/// Judges the write of a key that others may overwrite.
pub fn judge_replaced<'a>(write: Write<'a>) -> impl Fn(&store::Object) -> Judgement + Copy + 'a {
    move |found| match found.value == write.value {
        true => Judgement::Ours,
        false => Judgement::Unclear,
    }
}

/// Writes, and settles the write if its answer is lost.
///
/// `judge` is asked about an object that is no longer as expected. Where a key can be deleted and
/// created again, it must reckon with a stale read of an object before the deletion. Doubt that
/// lasts beyond `until` is returned as [`Outcome::Unclear`]. An error means that the write had no effect and is
/// [`store::Failure::Unavailable`] or [`store::Failure::Invalid`].
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

/// Settles a write that is in doubt already, such as one whose future was dropped.
pub async fn resolve(
    store: &impl store::Store,
    write: Write<'_>,
    until: Instant,
    judge: impl Fn(&store::Object) -> Judgement,
) -> Outcome {
    let attempts = async {
        let mut pause = backoff::Backoff::new(FIRST, LONGEST);
        loop {
            if let Some(outcome) = attempt(store, write, &judge).await {
                return outcome;
            }
            tokio::time::sleep(pause.next(time::Duration::ZERO)).await;
        }
    };
    let settled = tokio::time::timeout_at(until, attempts).await;
    settled.unwrap_or(Outcome::Unclear)
}

async fn attempt(
    store: &impl store::Store,
    write: Write<'_>,
    judge: &impl Fn(&store::Object) -> Judgement,
) -> Option<Outcome> {
    let found = store.get(write.key).await.ok()?;
    let Some(object) = found.filter(|object| has_changed(write.expect, object)) else {
        let again = store.put(write.key, write.expect, write.value).await;
        return again.ok().map(Outcome::Written);
    };
    Some(match judge(&object) {
        Judgement::Ours => Outcome::Written(object.version),
        Judgement::NotOurs => Outcome::NotWritten,
        Judgement::Unclear => Outcome::Unclear,
    })
}

/// Reports whether the object has left the expected state for good.
///
/// A stale read can show it in that state, or before it, although it has changed since.
fn has_changed(expect: store::Expect, found: &store::Object) -> bool {
    match expect {
        store::Expect::Absent => true,
        store::Expect::Version(version) => found.version > version,
    }
}
