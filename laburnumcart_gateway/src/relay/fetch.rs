//! What the followed topics of a process have in common: where they are read, and what is known of
//! the sources.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use futures_util::FutureExt;
use rand::{
    Rng,
    SeedableRng,
    rngs, //
};
use tokio::time::Instant;

use laburnumcart::{
    id,
    readers, //
};
use laburnumcart_platform::store;

use crate::{
    control,
    dialect,
    relay::{
        Peers,
        Topic,
        cache,
        candidates::Candidates,
        flights::{
            Flight,
            Flights,
            Query, //
        },
        packed,
        reading,
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

/// Time for which a peer that was late is asked after the others.
const LATE_PEER_PENALTY: time::Duration = time::Duration::from_secs(1);

/// Time after a late answer for which sources wait less, as the next one may fall silent too.
const DOUBT_TIME: time::Duration = time::Duration::from_millis(1500);

/// Timeout of a request within that time, and of one for a large object.
const DOUBT_WAIT: time::Duration = time::Duration::from_millis(350);

/// Data of a topic, from any source.
#[derive(Clone, Debug)]
pub(super) enum Data {
    Listing(store::Listing),
    Changes(store::Changes),
}

impl Data {
    /// Adds the time by which the call was sent before the read began.
    pub(super) fn add_age(&mut self, earlier: time::Duration) {
        let age = match self {
            Self::Listing(listing) => &mut listing.age,
            Self::Changes(changes) => &mut changes.age,
        };
        age.0 += earlier;
    }
}

/// Result of asking one source.
#[derive(Clone)]
pub(super) enum Outcome {
    Data(Data),
    /// The changes since the requested revision are not known.
    Compacted,
    /// The data is to be read from the store, or from this peer if that fails.
    ReadStore(view::Member),
    Nothing,
}

/// What the followed topics of a process have in common.
pub(super) struct Shared<S, P> {
    pub(super) store: S,
    pub(super) peers: P,
    pub(super) own: view::Member,
    pub(super) view: Arc<view::View>,
    pub(super) layout: Arc<dyn dialect::StoreLayout>,
    pub(super) cache: Arc<cache::Cache>,
    /// Versions of target signals merged from each peer, valid for one incarnation of the peer.
    pub(super) signal_versions:
        Mutex<collections::HashMap<id::InstanceName, (id::Incarnation, u64)>>,
    pub(super) health: Mutex<readers::Health>,
    /// Peers that were late, and until when they are asked after others.
    pub(super) late_peers: Mutex<collections::HashMap<id::Incarnation, Instant>>,
    /// Time of the last answer that another source has given in place of a late one.
    last_late: Mutex<Option<Instant>>,
    /// Random numbers for the choice of peers and the times of probes.
    pub(super) rng: Mutex<rngs::StdRng>,
    pub(super) flights: Flights,
    /// Parts of a packed answer whose transfer broke off.
    pub(super) partial: Mutex<collections::HashMap<Topic, Partial>>,
}

/// Parts of a packed answer that have arrived.
pub(super) struct Partial {
    pub(super) checksum: packed::Checksum,
    pub(super) bytes: Vec<u8>,
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
            flights: Flights::default(),
            partial: Mutex::default(),
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
        let wait = wait.min(self.follow_wait(topic, Instant::now()));
        reading::Reading::new(self, Query { topic, after, wait })
            .run()
            .await
    }

    /// Starts a call of one source, unless an earlier read has made it; also tells whether it is
    /// new.
    pub(super) fn start(self: &Arc<Self>, source: Source, query: Query) -> (Flight, bool) {
        let (shared, asked) = (self.clone(), source.clone());
        let call = |progress| async move { shared.ask(asked, query, progress).await }.boxed();
        let now = self.cache.clock.now();
        self.flights.start(source, query, now, call)
    }

    /// Returns the longest wait of a request for a topic.
    ///
    /// It is shorter where less time is left for another source.
    pub(super) fn follow_wait(&self, topic: Topic, now: Instant) -> time::Duration {
        let last_late = *view::lock(&self.last_late);
        let is_in_doubt = last_late.is_some_and(|at| now < at + DOUBT_TIME);
        match topic {
            Topic::Members => MEMBERS_FOLLOW_WAIT,
            _ if is_in_doubt || self.cache.large_size(topic).is_some() => DOUBT_WAIT,
            Topic::Table | Topic::Targets | Topic::Evacuations => FOLLOW_WAIT,
        }
    }

    /// Returns the sources in the order in which they are asked.
    pub(super) fn steps(&self, topic: Topic, candidates: Candidates) -> steps::Steps {
        let (health, now) = (self.health(), Instant::now());
        // Calls of all topics count, so that two topics that are behind probe no more often than one.
        let jitter = view::lock(&self.rng).random();
        let can_probe = match topic {
            Topic::Table | Topic::Targets => health.can_probe(candidates.members, jitter, now),
            Topic::Members | Topic::Evacuations => !health.is_failing(),
        };
        match candidates.is_reader {
            true => steps::of_reader(candidates, health.can_call_first(now)),
            false => steps::of_follower(candidates, can_probe),
        }
    }

    /// Records the sources that another one has answered before.
    pub(super) fn record_late(&self, topic: Topic, late: &[Flight]) {
        if late.is_empty() {
            return;
        }
        let now = Instant::now();
        *view::lock(&self.last_late) = Some(now);
        let until = now + LATE_PEER_PENALTY;
        for flight in late {
            match &flight.source {
                Source::Store if flight.is_arriving() => {}
                Source::Store => self.record_store_failure(topic, time::Duration::ZERO, 0),
                Source::Peer(member) | Source::Other(member) | Source::Large(member) => {
                    view::lock(&self.late_peers).insert(member.incarnation, until);
                }
            }
        }
    }
}
