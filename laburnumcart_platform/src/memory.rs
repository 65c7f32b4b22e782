//! In-memory object service, for tests and for embedding without a platform.
//!
//! The version of an object is the revision of the write that created it, so a key that is deleted
//! and created again never gets an earlier version back.

use std::{
    sync,
    time, //
};

use serde::{
    Deserialize,
    Serialize,
    de, //
};
use tokio::time::Instant;

use laburnumcart::unit;

use crate::store;

mod history;

/// Simulated faults of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuses every call.
    pub down: bool,
    /// Delay of every call before it takes effect.
    pub slow: unit::Period,
    /// Number of next writes that take effect but are not answered.
    pub lose_answers: u32,
    /// Number of next writes that are lost before they take effect, and are not answered.
    pub lose_calls: u32,
    /// Age of the state that reads, lists and watches return.
    pub stale: unit::Period,
}

/// Constant delay of reads under a prefix.
#[derive(Clone, Debug)]
struct Lag {
    prefix: String,
    period: time::Duration,
}

#[derive(Debug)]
struct Inner {
    history: history::History,
    faults: Faults,
}

#[derive(Debug)]
struct Shared {
    inner: sync::Mutex<Inner>,
    changed: tokio::sync::watch::Sender<store::Revision>,
    lag: Option<Lag>,
}

/// In-memory object service; clones share its objects.
#[derive(Clone, Debug)]
pub struct Memory {
    shared: sync::Arc<Shared>,
}

/// Builder of a [`Memory`].
#[derive(Clone, Debug)]
pub struct Builder {
    kept_changes: usize,
    initial_revision: store::Revision,
    lag: Option<Lag>,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            kept_changes: history::DEFAULT_CHANGES,
            initial_revision: store::Revision(0),
            lag: None,
        }
    }
}

impl Builder {
    /// Sets the number of changes kept for watches from an earlier revision.
    pub fn kept_changes(mut self, changes: usize) -> Self {
        self.kept_changes = changes;
        self
    }

    /// Sets the revision before the first write.
    pub fn initial_revision(mut self, revision: store::Revision) -> Self {
        self.initial_revision = revision;
        self
    }

    /// Makes reads, lists and watches of keys under `prefix` return the state of `period` ago.
    pub fn stale_reads(mut self, prefix: impl Into<String>, period: unit::Period) -> Self {
        self.lag = Some(Lag {
            prefix: prefix.into(),
            period: period.0,
        });
        self
    }

    /// Creates the service.
    pub fn build(self) -> Memory {
        let inner = Inner {
            history: history::History::new(self.initial_revision, self.kept_changes),
            faults: Faults::default(),
        };
        let shared = Shared {
            inner: sync::Mutex::new(inner),
            changed: tokio::sync::watch::Sender::new(self.initial_revision),
            lag: self.lag,
        };
        Memory {
            shared: sync::Arc::new(shared),
        }
    }
}

impl Default for Memory {
    fn default() -> Self {
        Builder::default().build()
    }
}

impl Memory {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a builder for a service.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the faults in force, with the numbers of lost writes that are left.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Replaces the faults, also for watches that are waiting.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.shared.changed.send_modify(|_| ());
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> store::Revision {
        self.lock().history.revision()
    }

    /// Drops the history, so that a watch from any earlier revision must list again.
    pub fn compact(&self) {
        self.lock().history.compact();
        self.shared.changed.send_modify(|_| ());
    }

    /// Deletes an object like [`store::Store::delete`]; returns whether it existed.
    pub async fn delete_if_present(
        &self,
        key: &str,
        version: store::Version,
    ) -> Result<bool, store::Failure> {
        check_key(key)?;
        self.apply_faults().await?;
        self.write(|history| history.delete(key, version, Instant::now()))
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        // No locked section panics halfway through an update, so the state is consistent.
        let poisoned = sync::PoisonError::into_inner;
        self.shared.inner.lock().unwrap_or_else(poisoned)
    }

    /// Refuses or delays a call according to the faults.
    async fn apply_faults(&self) -> Result<(), store::Failure> {
        self.check_available()?;
        let slow = self.faults().slow.0;
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
            self.check_available()?;
        }
        Ok(())
    }

    fn check_available(&self) -> Result<(), store::Failure> {
        if self.faults().down {
            let retry = Some(unit::Period::from_secs(1));
            return Err(store::Failure::Unavailable { retry });
        }
        Ok(())
    }

    /// Returns the age of the state that a read of `key` returns.
    fn state_age(&self, inner: &Inner, key: &str) -> time::Duration {
        let stale = inner.faults.stale.0;
        match &self.shared.lag {
            Some(lag) if key.starts_with(&lag.prefix) => stale.max(lag.period),
            _ => stale,
        }
    }

    /// Returns the revision whose state a read of `key` returns.
    fn visible_revision(&self, inner: &Inner, key: &str) -> store::Revision {
        let age = self.state_age(inner, key);
        if age.is_zero() {
            return inner.history.revision();
        }
        match Instant::now().checked_sub(age) {
            Some(then) => inner.history.revision_at(then),
            None => inner.history.floor(),
        }
    }

    fn write<T>(
        &self,
        apply: impl FnOnce(&mut history::History) -> Result<T, store::Failure>,
    ) -> Result<T, store::Failure> {
        let mut inner = self.lock();
        if inner.faults.lose_calls > 0 {
            inner.faults.lose_calls -= 1;
            return Err(store::Failure::Unanswered);
        }
        let result = apply(&mut inner.history)?;
        self.shared.changed.send_replace(inner.history.revision());
        if inner.faults.lose_answers > 0 {
            inner.faults.lose_answers -= 1;
            return Err(store::Failure::Unanswered);
        }
        Ok(result)
    }

    /// Returns the changes for a watch; if there are none yet, also the time to poll again, if
    /// known.
    fn poll_changes(&self, prefix: &str, after: store::Revision) -> Result<Poll, store::Failure> {
        let inner = self.lock();
        let visible = self.visible_revision(&inner, prefix);
        let changes = inner.history.changes(prefix, after, visible)?;
        if !changes.events.is_empty() {
            return Ok(Poll::Ready(changes));
        }
        let age = self.state_age(&inner, prefix);
        let next = inner.history.next_change(visible).map(|at| at + age);
        Ok(Poll::Pending(changes, next))
    }
}

/// Result of one look for changes.
enum Poll {
    Ready(store::Changes),
    Pending(store::Changes, Option<Instant>),
}

impl store::Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        check_key(key)?;
        self.apply_faults().await?;
        let inner = self.lock();
        let visible = self.visible_revision(&inner, key);
        Ok(inner.history.get(key, visible))
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        check_key(key)?;
        check_value(value)?;
        self.apply_faults().await?;
        self.write(|history| history.put(key, expect, value, Instant::now()))
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.delete_if_present(key, version).await.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        check_prefix(prefix)?;
        self.apply_faults().await?;
        let inner = self.lock();
        let visible = self.visible_revision(&inner, prefix);
        Ok(inner.history.list(prefix, visible))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        check_prefix(prefix)?;
        self.apply_faults().await?;
        let end = Instant::now() + wait;
        let mut changed = self.shared.changed.subscribe();
        loop {
            self.check_available()?;
            changed.mark_unchanged();
            let (changes, next) = match self.poll_changes(prefix, after)? {
                Poll::Ready(changes) => return Ok(changes),
                Poll::Pending(changes, next) => (changes, next),
            };
            if Instant::now() >= end {
                return Ok(changes);
            }
            let until = next.map_or(end, |at| at.min(end));
            tokio::select! {
                biased;
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }
}

fn check_key(key: &str) -> Result<(), store::Failure> {
    match store::is_key(key) {
        true => Ok(()),
        false => Err(store::Failure::Invalid),
    }
}

fn check_prefix(prefix: &str) -> Result<(), store::Failure> {
    match store::is_prefix(prefix) {
        true => Ok(()),
        false => Err(store::Failure::Invalid),
    }
}

fn check_value(value: &str) -> Result<(), store::Failure> {
    let json = || serde_json::from_str::<de::IgnoredAny>(value).is_ok();
    match value.len() <= store::VALUE_MAX && json() {
        true => Ok(()),
        false => Err(store::Failure::Invalid),
    }
}
