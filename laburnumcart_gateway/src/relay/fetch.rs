//! One read of a topic: the sources that are asked, in which order, and how long each has.
//!
//! A source that is late is not given up: the next one is asked beside it, and the first answer
//! counts. So failures of several sources do not add up their timeouts.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use futures_util::{
    FutureExt,
    StreamExt,
    future,
    stream, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs, //
};
use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    readers,
    unit, //
};
use laburnumcart_platform::{
    progress,
    store, //
};

use crate::{
    control,
    dialect,
    relay::{
        Answer,
        FollowRequest,
        Peers,
        Topic,
        cache,
        reads,
        steps::{
            self,
            Source, //
        }, //
    },
    view, //
};

/// Timeout of one request to a reader; its end also confirms that the connection works.
const FOLLOW_WAIT: time::Duration = time::Duration::from_millis(750);

/// Timeout of one request for the members, whose failures also show on their connections.
const MEMBERS_FOLLOW_WAIT: time::Duration = time::Duration::from_secs(5);

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

/// Time for which a peer that was late is asked after the others.
const LATE_PEER_PENALTY: time::Duration = time::Duration::from_secs(1);

/// Time after a late answer for which sources wait less, as the next one may fall silent too.
const DOUBT_TIME: time::Duration = time::Duration::from_millis(1500);

/// Timeout of a request within that time.
const DOUBT_WAIT: time::Duration = time::Duration::from_millis(350);

/// Time after the wait of a call for which a slow store is waited for if there are few peers.
///
/// Where others are asked, their time is enough for a slow store.
const STORE_TIME_MAX: time::Duration = time::Duration::from_millis(900);

/// Data of a topic, from any source.
#[derive(Debug)]
pub(super) enum Data {
    Listing(store::Listing),
    Changes(store::Changes),
}

/// Result of asking one source.
enum Outcome {
    Data(Data),
    /// The changes since the requested revision are not known.
    Compacted,
    /// The data is to be read from the store, or from this peer if that fails.
    ReadStore(view::Member),
    Nothing,
}

type Call = future::BoxFuture<'static, (Source, Outcome)>;

/// What the followed topics of a process have in common.
pub(super) struct Shared<S, P> {
    pub(super) store: S,
    pub(super) peers: P,
    pub(super) own: view::Member,
    pub(super) view: Arc<view::View>,
    layout: Arc<dyn dialect::StoreLayout>,
    pub(super) cache: Arc<cache::Cache>,
    /// Versions of target signals merged from each peer, valid for one incarnation of the peer.
    pub(super) signal_versions:
        Mutex<collections::HashMap<id::InstanceName, (id::Incarnation, u64)>>,
    health: Mutex<readers::Health>,
    /// Peers that were late, and until when they are asked after others.
    pub(super) late_peers: Mutex<collections::HashMap<id::Incarnation, Instant>>,
    /// Time of the last answer that another source has given in place of a late one.
    last_late: Mutex<Option<Instant>>,
    /// Random numbers for the choice of peers and the times of probes.
    pub(super) rng: Mutex<rngs::StdRng>,
}

impl<S: store::Store, P: Peers> Shared<S, P> {
    pub(super) fn new(
        sources: control::Sources<S, P>,
        own: view::Member,
        view: Arc<view::View>,
        layout: Arc<dyn dialect::StoreLayout>,
        cache: Arc<cache::Cache>,
    ) -> Self {
        // A run of a process draws numbers of its own, and a test of it always the same.
        let rng = rngs::StdRng::seed_from_u64(own.incarnation.0);
        Self {
            store: sources.store,
            peers: sources.peers,
            own,
            view,
            layout,
            cache,
            signal_versions: Mutex::default(),
            health: Mutex::default(),
            late_peers: Mutex::default(),
            last_late: Mutex::default(),
            rng: Mutex::new(rng),
        }
    }

    pub(super) fn topic(&self, prefix: &str) -> Option<Topic> {
        let topics = [
            Topic::Table,
            Topic::Targets,
            Topic::Members,
            Topic::Evacuations,
        ];
        let has_prefix = |topic: &Topic| topic.prefix(&*self.layout) == prefix;
        topics.into_iter().find(has_prefix)
    }

    /// Reads a topic from the first source that answers.
    ///
    /// Fails with [`store::Failure::Unavailable`] if none does.
    pub(super) async fn read(
        self: &Arc<Self>,
        topic: Topic,
        after: Option<store::Revision>,
        wait: time::Duration,
    ) -> Result<Data, store::Failure> {
        let start = Instant::now();
        let wait = wait.min(self.follow_wait(topic, start));
        let mut steps = self.steps(topic);
        let mut calls = stream::FuturesUnordered::<Call>::new();
        let mut pending: Vec<Source> = Vec::new();
        // Sources that have had their time.
        let mut late: Vec<Source> = Vec::new();
        let mut due = start;
        let mut has_news = false;
        loop {
            tokio::select! {
                biased;
                Some((source, outcome)) = calls.next() => {
                    pending.retain(|other| *other != source);
                    late.retain(|other| *other != source);
                    match outcome {
                        Outcome::Data(data) => {
                            self.leave_late(topic, late, calls);
                            return Ok(data);
                        }
                        Outcome::Compacted => return Err(store::Failure::Compacted),
                        Outcome::ReadStore(member) => {
                            steps.ask_large(member, self.health().is_failing());
                            has_news = true;
                            due = Instant::now();
                        }
                        Outcome::Nothing if pending.is_empty() => due = Instant::now(),
                        Outcome::Nothing => {}
                    }
                }
                () = tokio::time::sleep_until(due) => {
                    let is_late = !pending.is_empty() || !late.is_empty();
                    if pending.contains(&Source::Store) {
                        self.cache.set_relayed(topic, true);
                        steps.repeat_store();
                    }
                    late.append(&mut pending);
                    let Some(step) = steps.next() else {
                        let end = start + wait + STORE_TIME_MAX;
                        let can_wait = !steps.has_others() && late.contains(&Source::Store);
                        if can_wait && Instant::now() < end {
                            due = end;
                            continue;
                        }
                        self.leave_late(topic, late, calls);
                        return Err(store::Failure::Unavailable { retry: None });
                    };
                    let left = wait.saturating_sub(start.elapsed());
                    let left = match is_late || has_news {
                        true => time::Duration::ZERO,
                        false => left,
                    };
                    due = Instant::now() + step.patience(left, is_late, steps.is_empty());
                    for source in step.sources {
                        pending.push(source.clone());
                        calls.push(self.clone().ask(source, topic, after, left).boxed());
                    }
                }
            }
        }
    }

    /// Returns the longest wait of a request for a topic.
    fn follow_wait(&self, topic: Topic, now: Instant) -> time::Duration {
        let last_late = *view::lock(&self.last_late);
        let is_in_doubt = last_late.is_some_and(|at| now < at + DOUBT_TIME);
        match topic {
            Topic::Members => MEMBERS_FOLLOW_WAIT,
            _ if is_in_doubt => DOUBT_WAIT,
            Topic::Table | Topic::Targets | Topic::Evacuations => FOLLOW_WAIT,
        }
    }

    /// Returns the sources in the order in which they are asked.
    fn steps(&self, topic: Topic) -> steps::Steps {
        let candidates = self.candidates();
        let (health, now) = (self.health(), Instant::now());
        let can_probe = match topic {
            Topic::Table => {
                let jitter = view::lock(&self.rng).random();
                health.can_probe(candidates.members, jitter, now)
            }
            // One topic is enough to find out whether the store is available again.
            _ => !health.is_failing(),
        };
        match candidates.is_reader {
            true => steps::of_reader(candidates, health.can_call_first(now)),
            false => steps::of_follower(candidates, can_probe),
        }
    }

    /// Lets late calls of peers end by themselves, so that silent connections are noticed.
    fn leave_late(
        self: &Arc<Self>,
        topic: Topic,
        late: Vec<Source>,
        calls: stream::FuturesUnordered<Call>,
    ) {
        if late.is_empty() {
            return;
        }
        let now = Instant::now();
        *view::lock(&self.last_late) = Some(now);
        let until = now + LATE_PEER_PENALTY;
        for source in late {
            match source {
                Source::Store => self.record_store_failure(topic, time::Duration::ZERO, 0),
                Source::Peer(member) | Source::Other(member) | Source::Large(member) => {
                    view::lock(&self.late_peers).insert(member.incarnation, until);
                }
            }
        }
        tokio::spawn(calls.for_each(|_| future::ready(())));
    }

    /// Asks one source.
    async fn ask(
        self: Arc<Self>,
        source: Source,
        topic: Topic,
        after: Option<store::Revision>,
        wait: time::Duration,
    ) -> (Source, Outcome) {
        let outcome = match &source {
            Source::Store => self.read_store(topic, after, wait).await,
            Source::Peer(member) => {
                let request = follow_request(topic, after, wait);
                self.ask_peer(member, request).await
            }
            Source::Other(member) => {
                let request = follow_request(topic, after, FALLBACK_WAIT);
                let request = FollowRequest {
                    max_age: request.max_age.max(unit::Period(FALLBACK_AGE_MAX)),
                    wait_fresh: true,
                    ..request
                };
                self.ask_peer(member, request).await
            }
            Source::Large(member) => {
                let request = FollowRequest {
                    allow_large: true,
                    ..follow_request(topic, after, wait)
                };
                self.ask_peer(member, request).await
            }
        };
        (source, outcome)
    }

    /// Reads a topic from the store.
    async fn read_store(
        &self,
        topic: Topic,
        after: Option<store::Revision>,
        wait: time::Duration,
    ) -> Outcome {
        let (start, progress) = (Instant::now(), progress::Progress::default());
        let prefix = topic.prefix(&*self.layout);
        let result = match after {
            None => {
                let listing = self.store.list_observed(prefix, &progress);
                listing.await.map(Data::Listing)
            }
            Some(after) => {
                let wait = self.watch_wait(wait);
                let changes = self.store.watch_observed(prefix, after, wait, &progress);
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

    /// Returns the timeout of a watch of the store itself.
    ///
    /// Zero unless the store has answered lately, as only a response shows that it is available.
    fn watch_wait(&self, wait: time::Duration) -> time::Duration {
        match self.health().can_wait(Instant::now()) {
            true => wait,
            false => time::Duration::ZERO,
        }
    }

    fn health(&self) -> readers::Health {
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

    fn record_store_failure(&self, topic: Topic, took: time::Duration, received: usize) {
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
    async fn ask_peer(&self, member: &view::Member, request: FollowRequest) -> Outcome {
        let (start, topic) = (Instant::now(), request.topic);
        let source = reads::Source::Peer(member.instance.clone());
        let (is_fallback, max_age) = (request.wait_fresh, request.max_age);
        let request = FollowRequest {
            signals: (topic == Topic::Targets && !is_fallback && !request.allow_large)
                .then(|| self.merged_version(member)),
            ..request
        };
        let reply = self.peers.follow(member, request).await;
        let answer = reply.map(|reply| {
            self.merge_signals(member, reply.signals.as_ref());
            reply.answer
        });
        let (age, data) = match answer {
            Some(Answer::Listing(listing)) => (listing.age, Data::Listing(listing)),
            Some(Answer::Changes(changes)) => (changes.age, Data::Changes(changes)),
            Some(Answer::Compacted) => return Outcome::Compacted,
            Some(Answer::TooLarge) => {
                self.record_failure(topic, source, reads::Failure::TooLarge, start);
                return Outcome::ReadStore(member.clone());
            }
            Some(Answer::Stale) => {
                self.record_failure(topic, source, reads::Failure::Stale, start);
                return Outcome::Nothing;
            }
            None => {
                self.record_failure(topic, source, reads::Failure::Unanswered, start);
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

    fn record_failure(
        &self,
        topic: Topic,
        source: reads::Source,
        failure: reads::Failure,
        start: Instant,
    ) {
        let reads = &self.cache.reads;
        let received = unit::Size::default();
        reads.record_failure(topic, source, failure, start.elapsed(), received);
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
    }
}
