//! Follows the head in the object service.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

use rand::Rng;
use tokio::time;

use laburnumcart::{
    bundle,
    head, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::agent;
use serde_json::value;

use crate::event;

use super::{
    counters::Failure,
    feed,
    options, //
};

/// State that the loops over the object service and over the peers share.
pub(super) struct Follower {
    pub(super) feed: feed::Feed,
    pub(super) options: options::Options,
    /// Whether the last call of the object service failed.
    down: AtomicBool,
    /// Whether a refused bundle was logged since the last one that was taken in.
    reported: AtomicBool,
}

/// A head that was read and whose bundle is not in force yet.
struct Pending {
    text: String,
    accepted: head::Accepted,
    /// Consecutive refusals of its bundle.
    refusals: u32,
}

impl Follower {
    /// Creates a follower that has not called the object service.
    pub(super) fn new(feed: feed::Feed, options: options::Options) -> Self {
        Self {
            feed,
            options,
            down: AtomicBool::new(false),
            reported: AtomicBool::new(false),
        }
    }

    /// Returns whether the last call of the object service failed.
    pub(super) fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Follows the head; never returns.
    pub(super) async fn follow(&self, store: &impl store::Store) {
        loop {
            match self.call(store.list(head::KEY)).await {
                Ok(listing) => self.watch(store, listing).await,
                Err(_) => self.pause(0).await,
            }
        }
    }

    /// Watches from a listing on, until the history no longer reaches back.
    async fn watch(&self, store: &impl store::Store, listing: store::Listing) {
        let mut after = listing.revision;
        let objects = listing.objects.into_iter();
        let texts = objects
            .filter(|object| object.key == head::KEY)
            .map(|object| object.value);
        let mut pending = self.newest(texts, None);
        loop {
            if let Some(head) = pending.take() {
                pending = self.take_in(store, head).await;
            }
            let wait = match &pending {
                Some(_) => self.options.timing.retry,
                None => self.options.timing.wait,
            };
            let changes = store.watch(head::KEY, after, wait.0);
            let limit = wait.0 + self.options.timing.call.0;
            let answer = time::timeout(limit, changes).await;
            let answer = answer.unwrap_or(Err(store::Failure::Unanswered));
            self.note(&answer);
            match answer {
                Ok(changes) => {
                    // A stale answer must not lead to the same changes being waited for again.
                    after = after.max(changes.revision);
                    let events = changes.events.into_iter();
                    let events = events.filter(|event| event.key == head::KEY);
                    pending = self.newest(events.filter_map(|event| event.value), pending);
                }
                Err(store::Failure::Compacted) => return,
                Err(_) => self.pause(0).await,
            }
        }
    }

    /// Picks the newest of some heads and the pending one, if it is newer than what is in force.
    fn newest(
        &self,
        texts: impl Iterator<Item = String>,
        pending: Option<Pending>,
    ) -> Option<Pending> {
        let mut newest = pending;
        for text in texts {
            let Ok(head) = head::Head::parse(&text) else {
                self.refuse(Failure::Head, "malformed");
                continue;
            };
            let generation = head.accepted.generation;
            self.feed.want(generation);
            if newest
                .as_ref()
                .is_none_or(|n| n.accepted.generation < generation)
            {
                newest = Some(Pending {
                    text,
                    accepted: head.accepted,
                    refusals: 0,
                });
            }
        }
        newest.filter(|head| head.accepted.generation > self.feed.generation())
    }

    /// Fetches a head's bundle and puts it in force; returns the head if that has to be repeated.
    async fn take_in(&self, store: &impl store::Store, mut head: Pending) -> Option<Pending> {
        if head.accepted.generation <= self.feed.generation() {
            return None;
        }
        let key = head::object_key(head.accepted.digest);
        match self.call(store.get(&key)).await {
            Ok(Some(object)) => {
                if self.install(&head.text, &object.value, "store") {
                    return None;
                }
                // What is refused once is refused again, unless the read was damaged.
                head.refusals += 1;
                self.pause(head.refusals).await;
            }
            Ok(None) => self.feed.fail(Failure::Store),
            Err(_) => self.pause(0).await,
        }
        Some(head)
    }

    /// Verifies and validates a bundle and puts it in force; returns whether it or a newer one is.
    pub(super) fn install(&self, head: &str, envelope: &str, source: &str) -> bool {
        match self.open(head, envelope) {
            Ok((accepted, snapshot)) => {
                if self.feed.publish(accepted, snapshot) {
                    self.reported.store(false, Ordering::Relaxed);
                    event!(
                        Info,
                        "bundle-in-force",
                        generation = accepted.generation,
                        digest = accepted.digest,
                        source = source
                    );
                }
                true
            }
            Err((reason, cause)) => {
                self.refuse(reason, &cause);
                false
            }
        }
    }

    fn open(
        &self,
        text: &str,
        envelope: &str,
    ) -> Result<(head::Accepted, feed::Snapshot), (Failure, String)> {
        let fail = |reason| move |cause: String| (reason, cause);
        let head = head::Head::parse(text).map_err(|e| fail(Failure::Head)(e.to_string()))?;
        let digest = Some(head.accepted.digest);
        let verified = self.options.trust.verify(envelope, digest);
        let verified = verified.map_err(|e| fail(Failure::Signature)(e.to_string()))?;
        let bundle = bundle::check::parse(verified.bundle());
        let bundle = bundle.map_err(|e| fail(Failure::Content)(e.to_string()))?;
        let raw = |text: &str| value::RawValue::from_string(text.into());
        let malformed = |e: serde_json::Error| fail(Failure::Head)(e.to_string());
        let shown = agent::SignedBundle {
            generation: head.accepted.generation,
            head: raw(text).map_err(malformed)?,
            envelope: raw(envelope).map_err(malformed)?,
        };
        let snapshot = feed::Snapshot {
            generation: head.accepted.generation,
            bundle,
            shown,
        };
        Ok((head.accepted, snapshot))
    }

    /// Counts a refused bundle, and logs the first of a row.
    pub(super) fn refuse(&self, reason: Failure, cause: &str) {
        self.feed.fail(reason);
        if !self.reported.swap(true, Ordering::Relaxed) {
            event!(Warn, "bundle-refused", reason = reason, cause = cause);
        }
    }

    /// Makes a call of the object service within its time.
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, store::Failure>>,
    ) -> Result<T, store::Failure> {
        let answer = time::timeout(self.options.timing.call.0, call).await;
        let answer = answer.unwrap_or(Err(store::Failure::Unanswered));
        self.note(&answer);
        answer
    }

    /// Takes note of whether the object service answers.
    fn note<T>(&self, answer: &Result<T, store::Failure>) {
        let down = !matches!(answer, Ok(_) | Err(store::Failure::Compacted));
        if down {
            self.feed.fail(Failure::Store);
        }
        if self.down.swap(down, Ordering::Relaxed) != down {
            let state = if down { "down" } else { "up" };
            event!(Info, "bundle-store", state = state);
        }
    }

    /// Waits before a repetition, longer each time.
    async fn pause(&self, repetitions: u32) {
        let factor = f64::from(1 << repetitions.min(6));
        // Without the random part, a whole fleet would come back at the same moment.
        let part = rand::rng().random_range(0.5..1.5);
        time::sleep(self.options.timing.retry.0.mul_f64(factor * part)).await;
    }
}
