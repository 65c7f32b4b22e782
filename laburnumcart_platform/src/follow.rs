//! Mirrors the objects under a prefix in memory, by a listing and then watches.

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

/// Last known state of the objects under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Whether a listing has been received; `false` until the service answers for the first time.
    pub listed: bool,
    /// Revision up to which the objects are complete.
    pub revision: store::Revision,
    /// Revision of the last listing, which does not tell what was deleted before it.
    pub listed_at: store::Revision,
    /// Objects by key.
    pub objects: collections::BTreeMap<String, sync::Arc<store::Object>>,
    /// Keys deleted by the last update, including keys that were not known here.
    ///
    /// A listing of several pages can lack an object that was deleted after the listing's revision.
    /// The deletion still has to reach others that know the object.
    pub deleted: Vec<String>,
}

/// Error for a listing that is older than the snapshot.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
#[display("stale listing")]
pub struct Stale;

impl Snapshot {
    /// Replaces the objects by those of a listing.
    ///
    /// A listing with a lower revision than the snapshot is rejected. Applying a stale read would
    /// restore objects that have since been changed or deleted: an instance that has left would get
    /// work again, or an accepted bundle would revert.
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
        self.listed_at = listing.revision;
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
    /// Longest time that one watch waits for a change.
    ///
    /// Changes are missed on a silent connection until the watch times out. The wait plus the
    /// client's timeout must be below 8 s, the time within which a bundle must be in force.
    pub wait: unit::Period,
    /// Minimum time between the starts of two watches, so that a burst of changes takes few calls.
    pub interval: unit::Period,
    /// Maximum time between two watches; the interval doubles up to it with each watch that returns
    /// a change.
    pub longest_interval: unit::Period,
    /// Longest backoff while the service is down.
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

/// Maximum number of unanswered calls of one follower.
const CALLS_MAX: usize = 3;

/// First pause after a failure, and the age below which an unanswered call is not repeated.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Wait above which a watch is restarted when another follower sees the service recover.
///
/// Shorter watches notice a silent connection by their own timeout. Restarted at each recovery seen
/// by a follower whose calls keep failing, they would never complete.
const LONG_WATCH: time::Duration = time::Duration::from_secs(2);

/// Signal shared by the followers of one service that it answers again.
///
/// One follower retries often during an outage and the others rarely, because each call counts
/// against the budget and all of them would only learn the same fact.
#[derive(Clone, Debug)]
pub struct Recovery(watch::Sender<()>);

impl Default for Recovery {
    fn default() -> Self {
        Self(watch::Sender::new(()))
    }
}

/// Hooks around the calls of a [`Follower`], to track the age of its snapshot.
pub trait Observer: Send + Sync {
    /// Called before a call is sent.
    fn before_call(&mut self);

    /// Called when the call has succeeded, with the current snapshot, changed or not.
    ///
    /// The snapshot is at most `age` older than the time at which the call was sent.
    fn after_read(&mut self, snapshot: &Snapshot, age: unit::Period);
}

/// Task that keeps a [`Snapshot`] of a prefix up to date.
pub struct Follower<S> {
    store: S,
    prefix: String,
    settings: Settings,
    snapshot: Snapshot,
    sender: watch::Sender<sync::Arc<Snapshot>>,
    backoff: backoff::Backoff,
    /// Whether the next call must be a listing, as the changes since the snapshot are not
    /// available.
    must_list: bool,
    /// Whether the last call failed, so that the next watch must return at once.
    behind: bool,
    observer: Option<Box<dyn Observer>>,
    recovery: Recovery,
    /// Time after which an unanswered call is duplicated while the service is down.
    duplicate_after: Option<time::Duration>,
    /// Current time between two watches.
    interval: time::Duration,
}

/// Successful answer to a call.
enum Answer {
    Listing(store::Listing),
    Changes(store::Changes),
}

/// A completed call.
struct Call {
    answer: Result<Answer, store::Failure>,
    /// Number of duplicates that were sent.
    duplicates: u32,
    /// Whether another follower has seen the service recover meanwhile.
    is_recovered: bool,
}

/// Creates a follower and the receiver of its snapshots. No call is made before
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
        backoff: backoff::Backoff::new(FIRST_PAUSE, settings.longest_pause.0),
        must_list: true,
        behind: false,
        observer: None,
        recovery: Recovery::default(),
        duplicate_after: None,
        interval: settings.interval.0,
    };
    (follower, receiver)
}

impl<S: store::Store> Follower<S> {
    /// Sets the hooks that are called around each call.
    #[must_use]
    pub fn with_observer(mut self, observer: impl Observer + 'static) -> Self {
        self.observer = Some(Box::new(observer));
        self
    }

    /// Draws the pauses after failures by a seed, so that a test of the follower repeats.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.backoff = self.backoff.with_seed(seed);
        self
    }

    /// Shares the recovery signal with other followers of the same service.
    #[must_use]
    pub fn share_recovery(mut self, recovery: &Recovery) -> Self {
        self.recovery = recovery.clone();
        self
    }

    /// Duplicates a call that is not answered within this time while the service is down.
    ///
    /// A service that was silent never answers calls sent before its recovery. Without a duplicate,
    /// the recovery is noticed only when such a call times out.
    #[must_use]
    pub fn duplicate_after(mut self, after: unit::Period) -> Self {
        self.duplicate_after = Some(after.0);
        self
    }

    /// Runs until the last receiver is dropped.
    pub async fn run(mut self) {
        let sender = self.sender.clone();
        tokio::select! {
            biased;
            () = sender.closed() => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&mut self) {
        let mut recovery = self.recovery.0.subscribe();
        // Whether the next call is sent because another follower has seen a recovery.
        let mut is_informed = false;
        loop {
            let start = Instant::now();
            if let Some(observer) = &mut self.observer {
                observer.before_call();
            }
            recovery.mark_unchanged();
            let is_watch = !self.must_list;
            let call = self.call_until_recovery(&mut recovery, is_informed).await;
            is_informed = call.is_none();
            let Some(call) = call else {
                continue;
            };
            let was_down = self.is_down();
            let result = self.apply_answer(call.answer);
            if was_down && result.is_ok() {
                self.recovery.0.send_replace(());
            }
            self.set_behind(result.is_err());
            if let (Some(observer), Ok(age)) = (&mut self.observer, &result) {
                observer.after_read(&self.snapshot, *age);
            }
            match result {
                Ok(_) => {
                    self.backoff.reset();
                    if call.duplicates > 0 {
                        // The age counts from the first of the calls, which was sent long ago, so a
                        // watch without a wait follows.
                        self.behind = true;
                        continue;
                    }
                    tokio::time::sleep_until(start + self.interval).await;
                }
                // A working service has answered, so that the listing needs no pause.
                Err(store::Failure::Compacted) if is_watch => {}
                Err(failure) => {
                    if call.is_recovered {
                        self.backoff.reset();
                    }
                    let pause = tokio::time::sleep(self.next_pause(&failure));
                    tokio::select! {
                        biased;
                        () = pause => {}
                        _ = recovery.changed() => is_informed = true,
                    }
                }
            }
        }
    }

    /// Reports whether the service has never answered or the last call failed.
    fn is_down(&self) -> bool {
        self.behind || !self.snapshot.listed
    }

    /// Makes a call; returns `None` if another follower sees the service recover meanwhile.
    ///
    /// A call sent before the recovery may never be answered. That includes a long watch that has
    /// not timed out yet, as its connection can have gone silent together with the other
    /// follower's. A call is not given up within [`FIRST_PAUSE`], because many followers start at
    /// the same time; later only if it may have been sent before the recovery.
    async fn call_until_recovery(
        &self,
        recovery: &mut watch::Receiver<()>,
        is_informed: bool,
    ) -> Option<Call> {
        let end = Instant::now() + FIRST_PAUSE;
        let mut is_recovered = false;
        let is_long = self.settings.wait.0 > LONG_WATCH;
        let may_repeat = !is_informed && (self.behind || is_long);
        let call = self.first_answer();
        tokio::pin!(call);
        loop {
            tokio::select! {
                biased;
                (answer, duplicates) = &mut call => {
                    return Some(Call {
                        answer,
                        duplicates,
                        is_recovered,
                    });
                }
                // Never an error, because this follower owns a sender.
                _ = recovery.changed(), if self.is_down() || is_long => {
                    if Instant::now() >= end {
                        return None;
                    }
                    is_recovered = true;
                }
                () = tokio::time::sleep_until(end), if is_recovered && may_repeat => return None,
            }
        }
    }

    /// Makes a call and, while the service is down, duplicates of it; returns the first answer and
    /// the number of duplicates sent.
    async fn first_answer(&self) -> (Result<Answer, store::Failure>, u32) {
        let Some(delay) = self.duplicate_after.filter(|_| self.is_down()) else {
            return (self.send_call().await, 0);
        };
        let mut calls = stream::FuturesUnordered::new();
        calls.push(self.send_call());
        let mut duplicates = 0;
        let mut next = Instant::now() + delay;
        loop {
            tokio::select! {
                biased;
                Some(answer) = calls.next() => {
                    let answered = matches!(answer, Ok(_) | Err(store::Failure::Compacted));
                    if answered || calls.is_empty() {
                        return (answer, duplicates);
                    }
                }
                () = tokio::time::sleep_until(next), if calls.len() < CALLS_MAX => {
                    calls.push(self.send_call());
                    duplicates += 1;
                    next = Instant::now() + delay;
                }
            }
        }
    }

    async fn send_call(&self) -> Result<Answer, store::Failure> {
        if self.must_list {
            return self.store.list(&self.prefix).await.map(Answer::Listing);
        }
        // The first watch after a failure does not wait: until it is answered, the service counts
        // as down, and everything that needs a fresh snapshot is blocked.
        let wait = match self.behind {
            true => time::Duration::ZERO,
            false => self.settings.wait.0,
        };
        let after = self.snapshot.revision;
        let changes = self.store.watch(&self.prefix, after, wait).await;
        changes.map(Answer::Changes)
    }

    /// Applies an answer to the snapshot; returns the age of the data in it.
    fn apply_answer(
        &mut self,
        answer: Result<Answer, store::Failure>,
    ) -> Result<unit::Period, store::Failure> {
        match answer {
            Ok(Answer::Listing(listing)) => {
                let age = listing.age;
                let applied = self.snapshot.apply(listing);
                applied.map_err(|Stale| store::Failure::Unavailable { retry: None })?;
                self.must_list = false;
                self.publish();
                Ok(age)
            }
            Ok(Answer::Changes(changes)) => {
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
                self.must_list |= failure == store::Failure::Compacted;
                Err(failure)
            }
        }
    }

    fn publish(&self) {
        let snapshot = sync::Arc::new(self.snapshot.clone());
        self.sender.send_replace(snapshot);
    }

    fn next_pause(&mut self, failure: &store::Failure) -> time::Duration {
        let retry = match failure {
            store::Failure::Unavailable { retry: Some(retry) } => retry.0,
            _ => time::Duration::ZERO,
        };
        self.backoff.next(retry.min(self.settings.longest_pause.0))
    }

    fn set_behind(&mut self, behind: bool) {
        if self.behind != behind {
            let state = if behind { "behind" } else { "current" };
            laburnumcart::event!(Info, "mirror", prefix = self.prefix, state = state);
        }
        self.behind = behind;
    }
}
