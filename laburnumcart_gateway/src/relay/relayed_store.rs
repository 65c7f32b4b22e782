//! Store client that reads watched topics through the readers, or from the store as a reader.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use futures_util::future;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    readers,
    unit, //
};
use laburnumcart_platform::store;

use crate::{
    control,
    dialect,
    relay::{
        Answer,
        FollowReply,
        FollowRequest,
        Peers,
        Topic,
        reads,
        signals, //
    },
    view, //
};

/// Timeout of one request to a reader; its end also confirms that the connection works.
///
/// An unresponsive reader is given up 0.6 s later, in time for a change that another reader reports
/// to take effect within 2 s.
const FOLLOW_WAIT: time::Duration = time::Duration::from_millis(750);

/// Timeout of one request for the members, whose failures also show on their connections.
const MEMBERS_FOLLOW_WAIT: time::Duration = time::Duration::from_secs(5);

/// Maximum age of data from a reader.
///
/// The age starts before the reader's call was sent. Its calls end every 0.75 s, so that its data
/// is up to twice as old. A reader that lost the store is noticed within a second; with the request
/// to the next one, a change arrives within the 2 s after which a leaving target must get no work.
const AGE_MAX: time::Duration = time::Duration::from_millis(1700);

/// Maximum age of the members from a reader, whose calls for them end every 5 s.
const MEMBERS_AGE_MAX: time::Duration = time::Duration::from_millis(11_500);

/// Maximum age of data from a peer that isn't a reader, asked when no reader has fresher data.
///
/// Such peers are asked by a process that the store refuses. Keys are accepted for 4.5 s without
/// confirmation; with older data, the next request would come too late to keep them valid.
const FALLBACK_AGE_MAX: time::Duration = time::Duration::from_millis(2500);

/// Minimum time between two reports of signals, so that a burst from many targets is one report.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Pause between attempts to get target signals after the start.
const SYNC_RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Number of other peers that are asked when no reader has fresh data.
///
/// Even if the store refuses a share of all processes, that share rarely includes every reader and
/// both of these.
const FALLBACK_PEERS: usize = 2;

struct Shared<S, P> {
    store: S,
    own: view::Member,
    view: Arc<view::View>,
    layout: Arc<dyn dialect::StoreLayout>,
    peers: P,
    signals: Arc<signals::Signals>,
    /// Versions of target signals merged from each peer, valid for one incarnation of the peer.
    signal_versions: Mutex<collections::HashMap<id::InstanceName, (id::Incarnation, u64)>>,
    standing: Mutex<readers::Health>,
    reads: Arc<reads::Reads>,
}

/// Store client that asks readers for watched topics and passes all other calls to the store.
pub struct RelayedStore<S, P>(Arc<Shared<S, P>>);

impl<S, P> Clone for RelayedStore<S, P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Result of asking peers for a topic.
enum Fetched {
    Listing(store::Listing),
    Changes(store::Changes),
    Compacted,
    /// This process must read from the store.
    ReadStore,
    /// No peer has fresh data, and this process should not call the store now.
    Unavailable,
}

impl<S: store::Store, P: Peers> RelayedStore<S, P> {
    /// Creates the store client of the process `own`.
    pub fn new(
        sources: control::Sources<S, P>,
        own: view::Member,
        view: Arc<view::View>,
        layout: Arc<dyn dialect::StoreLayout>,
        signals: Arc<signals::Signals>,
        reads: Arc<reads::Reads>,
    ) -> Self {
        Self(Arc::new(Shared {
            store: sources.store,
            peers: sources.peers,
            own,
            view,
            layout,
            signals,
            signal_versions: Mutex::default(),
            standing: Mutex::default(),
            reads,
        }))
    }

    /// Gets target signals from peers at the start, retrying until one answers.
    ///
    /// A process that reads the store itself asks its peers for nothing else.
    pub async fn sync_target_signals(&self) {
        let mut changes = self.0.view.subscribe();
        while !self.0.pull_signals().await {
            // At the first attempt the members are not known yet. One that knows which contents crash
            // targets may be about to stop.
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(SYNC_RETRY_PAUSE) => {}
            }
        }
    }

    /// Reports target signals received by this process to the readers, until the process ends.
    pub async fn publish_target_signals(&self) {
        let mut version = self.0.signals.subscribe();
        let mut reported = version.borrow().local;
        loop {
            // The sender is dropped only with these signals.
            if let Ok(version) = version.wait_for(|version| version.local > reported).await {
                reported = version.local;
            }
            let signals = self.0.signals.recent();
            let completed = self.0.signals.recent_completions();
            let (readers, _) = self.0.select_peers();
            let is_own = |member: &view::Member| member.instance == self.0.own.instance;
            let reports = readers.iter().filter(|r| !is_own(r));
            let reports = reports.map(|reader| {
                let (signals, completed) = (signals.clone(), completed.clone());
                self.0.peers.report(reader, signals, completed)
            });
            future::join_all(reports).await;
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }
}

impl<S: store::Store, P: Peers> Shared<S, P> {
    fn topic(&self, prefix: &str) -> Option<Topic> {
        let topics = [
            Topic::Table,
            Topic::Targets,
            Topic::Members,
            Topic::Evacuations,
        ];
        let has_prefix = |topic: &Topic| topic.prefix(&*self.layout) == prefix;
        topics.into_iter().find(has_prefix)
    }

    /// Asks peers for a topic, unless this process should read the store itself.
    async fn fetch(
        &self,
        topic: Topic,
        after: Option<store::Revision>,
        wait: time::Duration,
    ) -> Fetched {
        let (readers, others) = self.select_peers();
        let is_own = |member: &view::Member| member.instance == self.own.instance;
        let is_reader = readers.is_empty() || readers.iter().any(is_own);
        if is_reader && self.standing().can_call_first(Instant::now()) {
            return Fetched::ReadStore;
        }
        let readers: Vec<_> = readers.into_iter().filter(|r| !is_own(r)).collect();
        let mut request = follow_request(topic, after, wait);
        if let Some(fetched) = self.fetch_from_any(&readers, &request).await {
            return fetched;
        }
        if !is_reader && self.standing().can_call(Instant::now()) {
            return Fetched::ReadStore;
        }
        // The store may refuse the readers alone. Others that follow them are as far behind as this
        // process; to ask them first takes as long as a change may take to arrive. One topic is
        // enough to probe whether the store is available.
        let can_probe = !is_reader && topic == Topic::Table;
        if can_probe && self.standing().can_probe(rand::random(), Instant::now()) {
            return Fetched::ReadStore;
        }
        request.max_age = request.max_age.max(unit::Period(FALLBACK_AGE_MAX));
        if let Some(fetched) = self.fetch_from_any(&others, &request).await {
            return fetched;
        }
        if is_reader {
            return Fetched::ReadStore;
        }
        request.wait_fresh = true;
        let first = readers.get(..1).unwrap_or_default();
        self.fetch_from_any(first, &request)
            .await
            .unwrap_or(Fetched::Unavailable)
    }

    /// Asks peers one after the other until one has fresh data.
    async fn fetch_from_any(
        &self,
        members: &[view::Member],
        request: &FollowRequest,
    ) -> Option<Fetched> {
        for member in members {
            if let Some(fetched) = self.fetch_from(member, request).await {
                return Some(fetched);
            }
        }
        None
    }

    fn standing(&self) -> readers::Health {
        *view::lock(&self.standing)
    }

    /// Returns the readers, including this process if it is one, and other peers to ask.
    fn select_peers(&self) -> (Vec<view::Member>, Vec<view::Member>) {
        let members = self.view.members.load();
        let up: Vec<_> = members
            .iter()
            .filter(|m| m.instance == self.own.instance || self.peers.is_up(m))
            .collect();
        let candidates = up.iter().map(|m| readers::Member {
            name: &m.instance,
            data_centre: &m.data_centre,
            cores: m.cores,
        });
        let mut chosen = readers::choose(candidates);
        readers::sort_by_proximity(&mut chosen, &self.own.instance, &self.own.data_centre);
        let find = |reader: &readers::Member<'_>| up.iter().find(|m| m.instance == *reader.name);
        let readers: Vec<view::Member> = chosen
            .iter()
            .filter_map(find)
            .map(|m| (*m).clone())
            .collect();
        let rest: Vec<_> = up
            .iter()
            .filter(|m| m.instance != self.own.instance && !readers.contains(m))
            .collect();
        let others = rest.choose_multiple(&mut rand::rng(), FALLBACK_PEERS);
        (readers, others.map(|m| (**m).clone()).collect())
    }

    /// Asks one peer and returns `None` if it has no fresh data.
    async fn fetch_from(&self, member: &view::Member, request: &FollowRequest) -> Option<Fetched> {
        let (start, topic) = (Instant::now(), request.topic);
        let source = reads::Source::Peer(member.instance.clone());
        let fetched = self.call_peer(member, request).await;
        let failure = match &fetched {
            Ok(Fetched::ReadStore) => Some(reads::Failure::TooLarge),
            Ok(_) => None,
            Err(failure) => Some(*failure),
        };
        if let Some(failure) = failure {
            let took = start.elapsed();
            self.reads.record_failure(topic, source, failure, took);
        }
        fetched.ok()
    }

    async fn call_peer(
        &self,
        member: &view::Member,
        request: &FollowRequest,
    ) -> Result<Fetched, reads::Failure> {
        const UNANSWERED: reads::Failure = reads::Failure::Unanswered;
        let wants_signals = request.topic == Topic::Targets && !request.wait_fresh;
        let mut request = FollowRequest {
            signals: wants_signals.then(|| self.merged_version(member)),
            ..request.clone()
        };
        let reply = self.peers.follow(member, request.clone()).await;
        let FollowReply {
            mut answer,
            signals,
        } = reply.ok_or(UNANSWERED)?;
        self.merge_signals(member, signals.as_ref());
        if answer == Answer::TooLarge && self.standing().is_failing() {
            request.allow_large = true;
            request.signals = None;
            let reply = self.peers.follow(member, request.clone()).await;
            answer = reply.ok_or(UNANSWERED)?.answer;
        }
        let (age, fetched) = match answer {
            Answer::Listing(listing) => (listing.age, Fetched::Listing(listing)),
            Answer::Changes(changes) => (changes.age, Fetched::Changes(changes)),
            Answer::Compacted => return Ok(Fetched::Compacted),
            Answer::TooLarge => return Ok(Fetched::ReadStore),
            Answer::Stale => return Err(reads::Failure::Stale),
        };
        let source = reads::Source::Peer(member.instance.clone());
        self.record_source(request.topic, source, age);
        Ok(fetched)
    }

    /// Gets target signals from all selected peers and returns whether one has answered.
    async fn pull_signals(&self) -> bool {
        let (readers, others) = self.select_peers();
        let peers = readers.iter().chain(&others);
        let peers = peers.filter(|member| member.instance != self.own.instance);
        let replies = peers.map(|member| async move {
            let request = FollowRequest {
                signals: Some(self.merged_version(member)),
                ..follow_request(Topic::Targets, None, time::Duration::ZERO)
            };
            let reply = self.peers.follow(member, request).await;
            self.merge_signals(member, reply.as_ref().and_then(|r| r.signals.as_ref()));
            reply.is_some()
        });
        let answered = future::join_all(replies).await;
        answered.into_iter().any(|answered| answered)
    }

    /// Merges target signals from a peer.
    fn merge_signals(&self, member: &view::Member, update: Option<&signals::SignalUpdate>) {
        if let Some(update) = update {
            self.signals.merge(&update.signals);
            self.signals.merge_completions(&update.completed);
            let merged = (member.incarnation, update.version);
            view::lock(&self.signal_versions).insert(member.instance.clone(), merged);
        }
    }

    /// Returns the version of a peer's signals that was merged last.
    fn merged_version(&self, member: &view::Member) -> u64 {
        let merged = view::lock(&self.signal_versions)
            .get(&member.instance)
            .copied();
        let merged = merged.filter(|(incarnation, _)| *incarnation == member.incarnation);
        merged.map_or(0, |(_, version)| version)
    }

    /// Records what supplied a topic and logs a change.
    fn record_source(&self, topic: Topic, source: reads::Source, age: unit::Period) {
        if self.reads.record_answer(topic, source.clone(), age) {
            event!(
                Info,
                "told-by",
                topic = topic,
                source = source,
                age_ms = age.as_millis()
            );
        }
    }

    /// Records the outcome of a call to the store.
    fn record_result<T>(
        &self,
        topic: Option<Topic>,
        result: &Result<T, store::Failure>,
        took: time::Duration,
    ) {
        let now = Instant::now();
        let mut standing = view::lock(&self.standing);
        let was_failing = standing.is_failing();
        match result {
            // Both errors are responses of a working store.
            Ok(_) | Err(store::Failure::Compacted | store::Failure::Conflict) => {
                standing.record_success(now);
            }
            Err(_) => standing.record_failure(now),
        }
        let is_failing = standing.is_failing();
        drop(standing);
        if was_failing != is_failing {
            let state = if is_failing { "failing" } else { "answering" };
            event!(Info, "store", state = state);
        }
        let Some(topic) = topic else {
            return;
        };
        match result {
            Ok(_) => self.record_source(topic, reads::Source::Store, unit::Period::default()),
            Err(_) => self.reads.record_failure(
                topic,
                reads::Source::Store,
                reads::Failure::Unanswered,
                took,
            ),
        }
    }

    /// Returns the timeout of a watch of the store itself.
    ///
    /// Zero after a failure, as only a response shows that the store is available again.
    fn watch_wait(&self, wait: time::Duration) -> time::Duration {
        match self.standing().is_failing() {
            true => time::Duration::ZERO,
            false => wait,
        }
    }
}

/// Returns a request for a peer.
fn follow_request(
    topic: Topic,
    after: Option<store::Revision>,
    wait: time::Duration,
) -> FollowRequest {
    let (longest, max_age) = match topic {
        Topic::Members => (MEMBERS_FOLLOW_WAIT, MEMBERS_AGE_MAX),
        Topic::Table | Topic::Targets | Topic::Evacuations => (FOLLOW_WAIT, AGE_MAX),
    };
    FollowRequest {
        topic,
        after,
        wait: unit::Period(wait.min(longest)),
        max_age: unit::Period(max_age),
        wait_fresh: false,
        allow_large: false,
        signals: None,
    }
}

fn unavailable() -> store::Failure {
    store::Failure::Unavailable { retry: None }
}

impl<S: store::Store, P: Peers> store::Store for RelayedStore<S, P> {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.0.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.0.store.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.0.store.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        let topic = self.0.topic(prefix);
        if let Some(topic) = topic {
            match self.0.fetch(topic, None, time::Duration::ZERO).await {
                Fetched::Listing(listing) => return Ok(listing),
                Fetched::Unavailable => return Err(unavailable()),
                Fetched::Changes(_) | Fetched::Compacted | Fetched::ReadStore => {}
            }
        }
        let start = Instant::now();
        let result = self.0.store.list(prefix).await;
        self.0.record_result(topic, &result, start.elapsed());
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        let topic = self.0.topic(prefix);
        if let Some(topic) = topic {
            match self.0.fetch(topic, Some(after), wait).await {
                Fetched::Changes(changes) => return Ok(changes),
                Fetched::Compacted => return Err(store::Failure::Compacted),
                Fetched::Unavailable => return Err(unavailable()),
                Fetched::Listing(_) | Fetched::ReadStore => {}
            }
        }
        let wait = self.0.watch_wait(wait);
        let start = Instant::now();
        let result = self.0.store.watch(prefix, after, wait).await;
        self.0.record_result(topic, &result, start.elapsed());
        result
    }
}
