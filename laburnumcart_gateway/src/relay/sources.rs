//! One call of a source of a topic, and what it says of the source.

use std::{
    sync::Arc,
    time, //
};

use rand::Rng;
use tokio::time::Instant;

use laburnumcart::{
    event,
    readers,
    unit, //
};
use laburnumcart_platform::{
    progress,
    store, //
};

use crate::{
    relay::{
        Answer,
        FollowRequest,
        Peers,
        Topic,
        fetch::{
            Data,
            Outcome,
            Partial,
            Shared, //
        },
        flights::Query,
        packed,
        reads,
        steps::Source, //
    },
    view, //
};

/// Maximum age of data from a reader.
///
/// The age starts before the reader's call was sent. Its calls end every 0.75 s, so that its data
/// is up to twice as old.
const AGE_MAX: time::Duration = time::Duration::from_millis(1700);

/// Maximum age of the members from a reader, whose calls for them end every 5 s.
const MEMBERS_AGE_MAX: time::Duration = time::Duration::from_millis(11_500);

/// Maximum age of data from a peer that isn't a reader, asked when no reader has fresher data.
///
/// Such peers are asked by a process that the store refuses. Keys are accepted for 4.5 s without
/// confirmation; with older data, the next request would come too late to keep them valid.
const FALLBACK_AGE_MAX: time::Duration = time::Duration::from_millis(2500);

/// Time for which such a peer waits for a read of its own.
const FALLBACK_WAIT: time::Duration = time::Duration::from_millis(500);

/// Longest time until the first part of a packed answer is sent.
///
/// Whoever is sent to other sources instead reads more bytes there.
const TURN_WAIT_MAX: time::Duration = time::Duration::from_secs(1);

impl<S: store::Store, P: Peers> Shared<S, P> {
    /// Asks one source.
    pub(super) async fn ask(
        self: Arc<Self>,
        source: Source,
        query: Query,
        progress: progress::Progress,
    ) -> Outcome {
        let Query { topic, after, wait } = query;
        match &source {
            Source::Store => self.read_store(topic, after, wait, &progress).await,
            Source::Peer(member) => {
                let request = follow_request(topic, after, wait);
                self.ask_peer(member, request, &progress).await
            }
            Source::Other(member) => {
                let request = follow_request(topic, after, FALLBACK_WAIT);
                let request = FollowRequest {
                    max_age: request.max_age.max(unit::Period(FALLBACK_AGE_MAX)),
                    wait_fresh: true,
                    ..request
                };
                self.ask_peer(member, request, &progress).await
            }
            Source::Large(member) => {
                let request = FollowRequest {
                    allow_large: true,
                    ..follow_request(topic, after, wait)
                };
                self.ask_peer(member, request, &progress).await
            }
        }
    }

    /// Reads a topic from the store.
    async fn read_store(
        &self,
        topic: Topic,
        after: Option<store::Revision>,
        wait: time::Duration,
        progress: &progress::Progress,
    ) -> Outcome {
        let start = Instant::now();
        let prefix = topic.prefix(&*self.layout);
        let result = match after {
            None => {
                let listing = self.store.list_observed(prefix, progress).await;
                listing.map(Data::Listing)
            }
            Some(after) => {
                let wait = self.watch_wait(wait);
                let changes = self.read_changes(topic, after, wait, progress);
                changes.await.map(Data::Changes)
            }
        };
        match result {
            Ok(data) => {
                self.record_store_answer();
                self.cache.set_relayed(topic, false);
                self.record_source(topic, reads::Source::Store, unit::Period::default());
                Outcome::Data(data)
            }
            // Both are responses of a working store.
            Err(store::Failure::Compacted | store::Failure::Conflict) => {
                self.record_store_answer();
                Outcome::Compacted
            }
            Err(_) => {
                self.record_store_failure(topic, start.elapsed(), progress.bytes());
                Outcome::Nothing
            }
        }
    }

    /// Reads the changes of a topic from the store.
    ///
    /// A watch costs nothing if a large object has not changed, but returns each version since. If
    /// it has several, the object is listed instead.
    async fn read_changes(
        &self,
        topic: Topic,
        after: store::Revision,
        wait: time::Duration,
        progress: &progress::Progress,
    ) -> Result<store::Changes, store::Failure> {
        let prefix = topic.prefix(&*self.layout);
        let Some(known) = self.cache.large_size(topic) else {
            return self
                .store
                .watch_observed(prefix, after, wait, progress)
                .await;
        };
        tokio::select! {
            biased;
            changes = self.store.watch_observed(prefix, after, wait, progress) => return changes,
            () = progress.exceeds(known + known / 2) => {}
        }
        let listing = self.store.list_observed(prefix, progress).await;
        listing.map(changes_of)
    }

    /// Returns the timeout of a watch of the store itself.
    ///
    /// Zero unless the store has answered lately, as only a response shows that it is available.
    fn watch_wait(&self, wait: time::Duration) -> time::Duration {
        match self.health().can_wait(Instant::now()) {
            true => wait,
            false => time::Duration::ZERO,
        }
    }

    pub(super) fn health(&self) -> readers::Health {
        *view::lock(&self.health)
    }

    fn record_store_answer(&self) {
        let mut health = view::lock(&self.health);
        let was_failing = health.is_failing();
        health.record_success(Instant::now());
        drop(health);
        if was_failing {
            event!(Info, "store", state = "answering");
        }
    }

    pub(super) fn record_store_failure(&self, topic: Topic, took: time::Duration, received: usize) {
        let (source, failure) = (reads::Source::Store, reads::Failure::Unanswered);
        let received = unit::Size(received as u64);
        let reads = &self.cache.reads;
        reads.record_failure(topic, source, failure, took, received);
        self.cache.set_relayed(topic, true);
        let mut health = view::lock(&self.health);
        let was_failing = health.is_failing();
        health.record_failure(Instant::now());
        drop(health);
        if !was_failing {
            event!(Info, "store", state = "failing");
        }
    }

    /// Records what supplied a topic and logs a change.
    fn record_source(&self, topic: Topic, source: reads::Source, age: unit::Period) {
        let reads = &self.cache.reads;
        if reads.record_answer(topic, source.clone(), age) {
            event!(
                Info,
                "told-by",
                topic = topic,
                source = source,
                age_ms = age.as_millis()
            );
        }
    }

    /// Asks one peer.
    async fn ask_peer(
        &self,
        member: &view::Member,
        request: FollowRequest,
        progress: &progress::Progress,
    ) -> Outcome {
        let (start, topic) = (Instant::now(), request.topic);
        let source = reads::Source::Peer(member.instance.clone());
        let (is_fallback, max_age) = (request.wait_fresh, request.max_age);
        let accept = packed::Accept {
            transfer: packed::TransferId(view::lock(&self.rng).random()),
            base: request.after.and_then(|_| self.cache.only_version(topic)),
        };
        let request = FollowRequest {
            signals: (topic == Topic::Targets && !is_fallback && !request.allow_large)
                .then(|| self.merged_version(member)),
            accept: Some(accept),
            ..request
        };
        let reply = self.peers.follow(member, request).await;
        let answer = reply.map(|reply| {
            self.merge_signals(member, reply.signals.as_ref());
            reply.answer
        });
        let answer = match answer {
            Some(Answer::Packed(packed)) => {
                self.unpack(member, topic, accept.transfer, packed, progress)
                    .await
            }
            answer => answer,
        };
        let (age, data) = match answer {
            Some(Answer::Listing(listing)) => (listing.age, Data::Listing(listing)),
            Some(Answer::Changes(changes)) => (changes.age, Data::Changes(changes)),
            Some(Answer::Compacted) => return Outcome::Compacted,
            Some(Answer::TooLarge) => {
                self.record_failure(topic, source, reads::Failure::TooLarge, start, progress);
                return Outcome::ReadStore(member.clone());
            }
            Some(Answer::Stale) => {
                self.record_failure(topic, source, reads::Failure::Stale, start, progress);
                return Outcome::Nothing;
            }
            Some(Answer::Packed(_)) | None => {
                self.record_failure(topic, source, reads::Failure::Unanswered, start, progress);
                return Outcome::Nothing;
            }
        };
        if !is_fallback && age <= max_age {
            view::lock(&self.health).record_relayed(start);
        }
        self.cache.set_relayed(topic, true);
        self.record_source(topic, source, age);
        Outcome::Data(data)
    }

    /// Requests the parts of a packed answer that are missing and unpacks it.
    async fn unpack(
        &self,
        member: &view::Member,
        topic: Topic,
        transfer: packed::TransferId,
        packed: packed::Packed,
        progress: &progress::Progress,
    ) -> Option<Answer> {
        let (size, checksum) = (packed.size, packed.checksum);
        let mut bytes = self.take_partial(topic, &packed);
        progress.record(packed.first.0.len());
        let turn_end = Instant::now() + TURN_WAIT_MAX;
        while bytes.len() < size {
            let request = packed::PartRequest {
                topic,
                transfer,
                checksum,
                offset: bytes.len(),
            };
            let part = self.peers.part(member, request).await;
            let has_turn = |part: &packed::Data| !part.0.is_empty() || Instant::now() < turn_end;
            let Some(part) = part.filter(has_turn) else {
                let partial = Partial { checksum, bytes };
                view::lock(&self.partial).insert(topic, partial);
                return None;
            };
            progress.record(part.0.len());
            bytes.extend(part.0);
        }
        let base = packed.base.map(|base| self.cache.find_version(topic, base));
        let base = match base {
            Some(None) => {
                event!(Warn, "base-missing", topic = topic, peer = member.instance);
                return None;
            }
            Some(Some(base)) => Some(base),
            None => None,
        };
        match packed::unpack(&bytes, checksum, base.as_deref()) {
            Ok(events) => Some(packed.into_answer(events)),
            Err(error) => {
                event!(
                    Error,
                    "answer-not-unpacked",
                    topic = topic,
                    peer = member.instance,
                    error = error
                );
                None
            }
        }
    }

    /// Returns what is known of a packed answer: its first part, or more from another transfer.
    fn take_partial(&self, topic: Topic, packed: &packed::Packed) -> Vec<u8> {
        let partial = view::lock(&self.partial).remove(&topic);
        let known = partial.filter(|p| p.checksum == packed.checksum);
        let known = known.map_or_else(Vec::new, |partial| partial.bytes);
        match known.len() > packed.first.0.len() {
            true => known,
            false => packed.first.0.clone(),
        }
    }

    fn record_failure(
        &self,
        topic: Topic,
        source: reads::Source,
        failure: reads::Failure,
        start: Instant,
        progress: &progress::Progress,
    ) {
        let received = unit::Size(progress.bytes() as u64);
        let reads = &self.cache.reads;
        reads.record_failure(topic, source, failure, start.elapsed(), received);
    }
}

/// Returns the objects of a listing as changes.
fn changes_of(listing: store::Listing) -> store::Changes {
    let objects = listing.objects.into_iter();
    let events = objects.map(|object| store::Event {
        key: object.key,
        version: object.version,
        value: Some(object.value),
    });
    store::Changes {
        revision: listing.revision,
        age: listing.age,
        events: events.collect(),
    }
}

/// Returns a request for a peer.
pub(super) fn follow_request(
    topic: Topic,
    after: Option<store::Revision>,
    wait: time::Duration,
) -> FollowRequest {
    let max_age = match topic {
        Topic::Members => MEMBERS_AGE_MAX,
        Topic::Table | Topic::Targets | Topic::Evacuations => AGE_MAX,
    };
    FollowRequest {
        topic,
        after,
        wait: unit::Period(wait),
        max_age: unit::Period(max_age),
        wait_fresh: false,
        allow_large: false,
        signals: None,
        accept: None,
    }
}
