//! Gossip on heartbeats: the facts that processes replicate (crashes of targets, cleared content,
//! processes that are leaving) and the generation of the bundle, the signed configuration in force.

use std::{
    net,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::time;

use laburnumcart::{
    facts,
    id,
    suspects, //
};
use laburnumcart_daemon::bundle;

/// Facts known to this process, shared by its lanes: the connections to agents, on whose heartbeats
/// facts are exchanged.
#[derive(Debug)]
pub struct Gossip {
    state: Mutex<State>,
    feed: bundle::Feed,
}

#[derive(Debug, Default)]
struct State {
    table: facts::Table,
    /// Suspects derived from the table.
    suspects: Arc<suspects::Suspects>,
    /// Version of the table from which the suspects were derived.
    derived: facts::Version,
}

impl Gossip {
    /// Creates an empty table; `feed` holds the bundle in force and fetches newer ones from peers.
    pub fn new(feed: bundle::Feed) -> Self {
        Self {
            state: Mutex::default(),
            feed,
        }
    }

    /// Returns the feed, which holds the bundle in force.
    pub fn feed(&self) -> &bundle::Feed {
        &self.feed
    }

    /// Returns the changes since a version, and the version up to which a peer is current once it
    /// has merged them.
    pub fn changes(&self, since: facts::Version) -> (Option<facts::Facts>, facts::Version) {
        let table = &self.lock().table;
        (table.changes(since, time::Instant::now()), table.version())
    }

    /// Returns all facts.
    pub fn all(&self) -> facts::Facts {
        self.changes(facts::Version::default())
            .0
            .unwrap_or_default()
    }

    /// Merges the facts of a process, which serves its bundle at `peer`.
    pub fn merge(&self, facts: &facts::Facts, peer: net::SocketAddr) {
        if facts.generation > self.feed.generation() {
            self.feed.record_peer_generation(facts.generation, peer);
        }
        // A generation received from a peer is advertised only once its bundle is in force here.
        let others = facts::Facts {
            generation: id::Generation::default(),
            ..facts.clone()
        };
        self.lock().table.merge(&others, time::Instant::now());
    }

    /// Advertises the generation in force here, and drops expired facts.
    pub fn refresh(&self) -> facts::Version {
        let table = &mut self.lock().table;
        table.set_generation(self.feed.generation());
        table.expire(time::Instant::now());
        table.version()
    }

    /// Returns the suspects that follow from all facts known now.
    pub fn suspects(&self) -> Arc<suspects::Suspects> {
        let mut state = self.lock();
        let version = state.table.version();
        if version > state.derived {
            let derived = suspects::Suspects::new(&state.table, time::Instant::now());
            state.suspects = Arc::new(derived);
            state.derived = version;
        }
        state.suspects.clone()
    }

    /// Returns whether an incarnation accepts no new work.
    pub fn is_leaving(&self, incarnation: id::Incarnation) -> bool {
        self.lock()
            .table
            .is_leaving(incarnation, time::Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
