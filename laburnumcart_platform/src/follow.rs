//! Keeps the objects under a prefix mirrored in a process.

use std::{
    collections,
    sync,
    time, //
};

use futures_util::{
    StreamExt,
    stream, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use laburnumcart::unit;

use crate::{
    backoff,
    store, //
};

/// Objects under the prefix, as last heard of.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Whether the service has been reached at all.
    pub listed: bool,
    /// Revision up to which the objects are complete.
    pub revision: store::Revision,
    /// Objects by key.
    pub objects: collections::BTreeMap<String, sync::Arc<store::Object>>,
    /// Keys whose deletion the last changes told, also of objects that were not known.
    ///
    /// A listing of several pages can lack an object that was deleted after its revision.
    pub deleted: Vec<String>,
}

/// A listing that is older than what is known.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
#[display("stale listing")]
pub struct Stale;

impl Snapshot {
    /// Replaces the objects by those of a listing.
    ///
    /// A stale read would bring back objects that were changed or deleted: an instance that has
    /// left would get work again, or an accepted bundle would revert. Revisions only grow, so an
    /// older listing shows itself by its revision.
    pub fn apply(&mut self, listing: store::Listing) -> Result<(), Stale> {
        if self.listed && listing.revision < self.revision {
            return Err(Stale);
        }
        self.deleted.clear();
        let mut old = std::mem::take(&mut self.objects);
        for object in listing.objects {
            let known = old.remove(&object.key);
            let newer = known.filter(|known| known.version >= object.version);
            let object = newer.unwrap_or_else(|| sync::Arc::new(object));
            self.objects.insert(object.key.clone(), object);
        }
        self.listed = true;
        self.revision = listing.revision;
        Ok(())
    }

    /// Applies changes; returns whether any object differs.
    pub fn update(&mut self, changes: store::Changes) -> bool {
        let mut differs = false;
        self.deleted.clear();
        for event in changes.events {
            differs |= self.apply_event(event);
        }
        self.revision = self.revision.max(changes.revision);
        differs
    }

    fn apply_event(&mut self, event: store::Event) -> bool {
        let known = self.objects.get(&event.key);
        if known.is_some_and(|object| object.version >= event.version) {
            return false;
        }
        let Some(value) = event.value else {
            let known = self.objects.remove(&event.key).is_some();
            self.deleted.push(event.key);
            return known;
        };
        let object = store::Object {
            key: event.key.clone(),
            version: event.version,
            value,
        };
        self.objects.insert(event.key, sync::Arc::new(object));
        true
    }
}

/// Settings of a [`Follower`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time that one watch waits.
    ///
    /// A connection that has gone silent hides changes until the watch times out. The wait and the
    /// client's timeout together stay below the 8 s in which a bundle must be in force.
    pub wait: unit::Period,
    /// Least time between two watches, so that a burst of changes is fetched in few calls.
    pub interval: unit::Period,
    /// The same time while changes go on; it grows to this with each watch that brings some.
    pub longest_interval: unit::Period,
    /// Longest pause while the service is down.
    pub longest_pause: unit::Period,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: unit::Period::from_secs(4),
            interval: unit::Period::from_millis(500),
            longest_interval: unit::Period::from_millis(500),
            longest_pause: unit::Period::from_secs(5),
        }
    }
}

/// Most calls of one follower that wait for an answer at once.
const PROBES: usize = 3;

/// First pause after a failure.
const FIRST: time::Duration = time::Duration::from_millis(100);

/// Wait of a watch from which on it is asked again although it is not late.
///
/// Shorter ones find out by themselves; cut off by each return of another, they would never end.
const LONG: time::Duration = time::Duration::from_secs(2);

/// Tells followers of one service that it has answered again.
///
/// One of them asks often while the service is down, the others seldom. Each call is paid for, and
/// three followers that ask alike pay three times for one thing to know.
#[derive(Clone, Debug)]
pub struct Recovery(watch::Sender<()>);

impl Default for Recovery {
    fn default() -> Self {
        Self(watch::Sender::new(()))
    }
}

/// Hears of each read of a [`Follower`], so that it can tell how old its knowledge is.
pub trait Observer: Send + Sync {
    /// A call is about to be sent.
    fn before_call(&mut self);

    /// The call has succeeded; `snapshot` is what is known now, changed or not.
    ///
    /// It holds for a moment that is `age` before the call was sent, or later.
    fn after_read(&mut self, snapshot: &Snapshot, age: unit::Period);
}

/// Follows a prefix by a listing and watches.
pub struct Follower<S> {
    store: S,
    prefix: String,
    settings: Settings,
    snapshot: Snapshot,
    sender: watch::Sender<sync::Arc<Snapshot>>,
    pause: backoff::Backoff,
    /// Whether the changes since the snapshot are out of reach.
    lost: bool,
    /// Whether the last call failed.
    behind: bool,
    observer: Option<Box<dyn Observer>>,
    returns: Recovery,
    /// Time after which another call is sent beside one that is not answered.
    probe: Option<time::Duration>,
    /// Least time to the next watch.
    interval: time::Duration,
}

/// Answer to a call.
enum Told {
    Listing(store::Listing),
    Changes(store::Changes),
}

/// Creates a follower and the receiver of its snapshots; nothing is called before
/// [`Follower::run`].
pub fn follower<S: store::Store>(
    store: S,
    prefix: impl Into<String>,
    settings: Settings,
) -> (Follower<S>, watch::Receiver<sync::Arc<Snapshot>>) {
    let (sender, receiver) = watch::channel(sync::Arc::default());
    let follower = Follower {
        store,
        prefix: prefix.into(),
        settings,
        snapshot: Snapshot::default(),
        sender,
        pause: backoff::Backoff::new(FIRST, settings.longest_pause.0),
        lost: true,
        behind: false,
        observer: None,
        returns: Recovery::default(),
        probe: None,
        interval: settings.interval.0,
    };
    (follower, receiver)
}

impl<S: store::Store> Follower<S> {
    /// Sets who hears of each read.
    #[must_use]
    pub fn observe(mut self, observer: impl Observer + 'static) -> Self {
        self.observer = Some(Box::new(observer));
        self
    }

    /// Shares the news that the service answers again with other followers.
    #[must_use]
    pub fn share_recovery(mut self, returns: &Recovery) -> Self {
        self.returns = returns.clone();
        self
    }

    /// Sends another call after this time beside one that is not answered, while the service is down.
    ///
    /// A service that was silent answers no call from before its return, and each of these hides
    /// that return until its timeout.
    #[must_use]
    pub fn duplicate_after(mut self, after: unit::Period) -> Self {
        self.probe = Some(after.0);
        self
    }

    /// Follows until the last receiver is gone.
    pub async fn run(mut self) {
        let sender = self.sender.clone();
        tokio::select! {
            () = sender.closed() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&mut self) {
        let mut returns = self.returns.0.subscribe();
        loop {
            let start = Instant::now();
            if let Some(observer) = &mut self.observer {
                observer.before_call();
            }
            returns.mark_unchanged();
            let Some((told, number)) = self.ask_until(&mut returns).await else {
                continue;
            };
            let was_down = self.is_down();
            let result = self.take(told);
            if was_down && result.is_ok() {
                self.returns.0.send_replace(());
            }
            self.report(result.is_err());
            if let (Some(observer), Ok(age)) = (&mut self.observer, &result) {
                observer.after_read(&self.snapshot, *age);
            }
            match result {
                Ok(_) => {
                    self.pause.reset();
                    if number > 0 {
                        // The age counts from the first call, which was long ago.
                        self.behind = true;
                        continue;
                    }
                    tokio::time::sleep_until(start + self.interval).await;
                }
                Err(failure) => {
                    let pause = tokio::time::sleep(self.wait(&failure));
                    tokio::select! {
                        () = pause => {}
                        _ = returns.changed() => {}
                    }
                }
            }
        }
    }

    /// Reports whether the service has not answered yet, or not lately.
    fn is_down(&self) -> bool {
        self.behind || !self.snapshot.listed
    }

    /// Asks, unless another follower is answered while this one's call is out.
    ///
    /// Sent before the return of the service, the call may never be answered, also a long watch that
    /// is not late yet: its connection can have fallen silent with the other's. One that was sent
    /// just now is let be: many followers start in one moment.
    async fn ask_until(
        &self,
        returns: &mut watch::Receiver<()>,
    ) -> Option<(Result<Told, store::Failure>, u32)> {
        let end = Instant::now() + FIRST;
        let is_long = self.settings.wait.0 > LONG;
        let asked = self.ask();
        tokio::pin!(asked);
        loop {
            tokio::select! {
                asked = &mut asked => return Some(asked),
                // The sender lives as long as this follower.
                _ = returns.changed(), if self.is_down() || is_long => {
                    if Instant::now() >= end {
                        return None;
                    }
                }
            }
        }
    }

    /// Returns the first answer to a call or to those that are sent after it, and the number of
    /// these.
    async fn ask(&self) -> (Result<Told, store::Failure>, u32) {
        let Some(probe) = self.probe.filter(|_| self.is_down()) else {
            return (self.call().await, 0);
        };
        let mut calls = stream::FuturesUnordered::new();
        calls.push(self.call());
        let mut number = 0;
        let mut next = Instant::now() + probe;
        loop {
            tokio::select! {
                Some(told) = calls.next() => {
                    let answered = matches!(told, Ok(_) | Err(store::Failure::Compacted));
                    if answered || calls.is_empty() {
                        return (told, number);
                    }
                }
                () = tokio::time::sleep_until(next), if calls.len() < PROBES => {
                    calls.push(self.call());
                    number += 1;
                    next = Instant::now() + probe;
                }
            }
        }
    }

    /// Makes one call.
    async fn call(&self) -> Result<Told, store::Failure> {
        if self.lost {
            return self.store.list(&self.prefix).await.map(Told::Listing);
        }
        // After a failure the first watch does not wait: only its answer tells that the service is
        // back, and what depends on fresh knowledge would stand still for as long.
        let wait = match self.behind {
            true => time::Duration::ZERO,
            false => self.settings.wait.0,
        };
        let after = self.snapshot.revision;
        let changes = self.store.watch(&self.prefix, after, wait).await;
        changes.map(Told::Changes)
    }

    /// Takes in an answer; returns the age of what it tells.
    fn take(&mut self, told: Result<Told, store::Failure>) -> Result<unit::Period, store::Failure> {
        match told {
            Ok(Told::Listing(listing)) => {
                let age = listing.age;
                let applied = self.snapshot.apply(listing);
                applied.map_err(|Stale| store::Failure::Unavailable { retry: None })?;
                self.lost = false;
                self.publish();
                Ok(age)
            }
            Ok(Told::Changes(changes)) => {
                let age = changes.age;
                let differs = self.snapshot.update(changes);
                if differs {
                    self.publish();
                }
                self.interval = match differs {
                    true => (self.interval * 2).min(self.settings.longest_interval.0),
                    false => self.settings.interval.0,
                };
                Ok(age)
            }
            Err(failure) => {
                self.lost |= failure == store::Failure::Compacted;
                Err(failure)
            }
        }
    }

    fn publish(&self) {
        let snapshot = sync::Arc::new(self.snapshot.clone());
        self.sender.send_replace(snapshot);
    }

    fn wait(&mut self, failure: &store::Failure) -> time::Duration {
        let retry = match failure {
            store::Failure::Unavailable { retry: Some(retry) } => retry.0,
            _ => time::Duration::ZERO,
        };
        self.pause.next(retry.min(self.settings.longest_pause.0))
    }

    fn report(&mut self, behind: bool) {
        if self.behind != behind {
            let state = if behind { "behind" } else { "current" };
            laburnumcart::event!(Info, "mirror", prefix = self.prefix, state = state);
        }
        self.behind = behind;
    }
}
