//! Watches the head in the object service and installs the bundles that it names.

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

/// State shared by the loops over the object service and over the peers.
pub(super) struct Follower {
    pub(super) feed: feed::Feed,
    pub(super) options: options::Options,
    /// Whether the last call of the object service failed.
    down: AtomicBool,
    /// Whether a rejected bundle was logged since the last one came into force.
    reported: AtomicBool,
}

/// A head whose bundle is not in force yet.
struct Pending {
    text: String,
    accepted: head::Accepted,
    /// Number of times that its bundle was rejected.
    rejections: u32,
}

impl Follower {
    /// Creates a follower that regards the object service as up.
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

    /// Lists and then watches the head; never returns.
    pub(super) async fn follow(&self, store: &impl store::Store) {
        loop {
            match self.call(store.list(head::KEY)).await {
                Ok(listing) => self.watch(store, listing).await,
                Err(_) => self.back_off(0).await,
            }
        }
    }

    /// Watches from the revision of a listing until the service has compacted its history.
    async fn watch(&self, store: &impl store::Store, listing: store::Listing) {
        let mut after = listing.revision;
        let objects = listing.objects.into_iter();
        let texts = objects
            .filter(|object| object.key == head::KEY)
            .map(|object| object.value);
        let mut pending = self.newest_head(texts, None);
        loop {
            if let Some(head) = pending.take() {
                pending = self.fetch_bundle(store, head).await;
            }
            let wait = match &pending {
                Some(_) => self.options.timing.retry_pause,
                None => self.options.timing.watch_wait,
            };
            let changes = store.watch(head::KEY, after, wait.0);
            let limit = wait.0 + self.options.timing.call_timeout.0;
            let answer = time::timeout(limit, changes).await;
            let answer = answer.unwrap_or(Err(store::Failure::Unanswered));
            self.record_outcome(&answer);
            match answer {
                Ok(changes) => {
                    // A stale answer must not move the watch back to changes already seen.
                    after = after.max(changes.revision);
                    let events = changes.events.into_iter();
                    let events = events.filter(|event| event.key == head::KEY);
                    pending = self.newest_head(events.filter_map(|event| event.value), pending);
                }
                Err(store::Failure::Compacted) => return,
                Err(_) => self.back_off(0).await,
            }
        }
    }

    /// Returns the newest of the given heads and the pending one, if newer than the one in force.
    fn newest_head(
        &self,
        texts: impl Iterator<Item = String>,
        pending: Option<Pending>,
    ) -> Option<Pending> {
        let mut newest = pending;
        for text in texts {
            let Ok(head) = head::Head::parse(&text) else {
                self.record_rejection(Failure::Head, "malformed");
                continue;
            };
            let generation = head.accepted.generation;
            self.feed.record_head_generation(generation);
            if newest
                .as_ref()
                .is_none_or(|n| n.accepted.generation < generation)
            {
                newest = Some(Pending {
                    text,
                    accepted: head.accepted,
                    rejections: 0,
                });
            }
        }
        newest.filter(|head| head.accepted.generation > self.feed.generation())
    }

    /// Fetches the bundle of a head and installs it; returns the head if this must be retried.
    async fn fetch_bundle(&self, store: &impl store::Store, mut head: Pending) -> Option<Pending> {
        if head.accepted.generation <= self.feed.generation() {
            return None;
        }
        let key = head::object_key(head.accepted.digest);
        match self.call(store.get(&key)).await {
            Ok(Some(object)) => {
                if self.install(&head.text, &object.value, "store") {
                    return None;
                }
                // A rejected bundle stays invalid unless the read was corrupted, hence the growing
                // backoff.
                head.rejections += 1;
                self.back_off(head.rejections).await;
            }
            Ok(None) => self.feed.record_failure(Failure::Store),
            Err(_) => self.back_off(0).await,
        }
        Some(head)
    }

    /// Verifies a bundle and puts it in force; returns whether it or a newer one is in force.
    pub(super) fn install(&self, head: &str, envelope: &str, source: &str) -> bool {
        match self.verify(head, envelope) {
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
                self.record_rejection(reason, &cause);
                false
            }
        }
    }

    /// Checks the head, the signatures and the content of a bundle.
    fn verify(
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
        let signed = agent::SignedBundle {
            generation: head.accepted.generation,
            head: raw(text).map_err(malformed)?,
            envelope: raw(envelope).map_err(malformed)?,
        };
        let snapshot = feed::Snapshot {
            generation: head.accepted.generation,
            bundle,
            signed,
        };
        Ok((head.accepted, snapshot))
    }

    /// Counts a rejected bundle, and logs it if it is the first since a bundle came into force.
    pub(super) fn record_rejection(&self, reason: Failure, cause: &str) {
        self.feed.record_failure(reason);
        if !self.reported.swap(true, Ordering::Relaxed) {
            event!(Warn, "bundle-refused", reason = reason, cause = cause);
        }
    }

    /// Runs a call of the object service with the call timeout.
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, store::Failure>>,
    ) -> Result<T, store::Failure> {
        let answer = time::timeout(self.options.timing.call_timeout.0, call).await;
        let answer = answer.unwrap_or(Err(store::Failure::Unanswered));
        self.record_outcome(&answer);
        answer
    }

    /// Updates whether the object service is down, and logs each change.
    fn record_outcome<T>(&self, answer: &Result<T, store::Failure>) {
        let down = !matches!(answer, Ok(_) | Err(store::Failure::Compacted));
        if down {
            self.feed.record_failure(Failure::Store);
        }
        if self.down.swap(down, Ordering::Relaxed) != down {
            let state = if down { "down" } else { "up" };
            event!(Info, "bundle-store", state = state);
        }
    }

    /// Waits before a retry, with exponential backoff and jitter.
    async fn back_off(&self, retries: u32) {
        let factor = f64::from(1 << retries.min(6));
        // Without jitter, the whole fleet would retry at the same moment.
        let jitter = rand::rng().random_range(0.5..1.5);
        time::sleep(self.options.timing.retry_pause.0.mul_f64(factor * jitter)).await;
    }
}
