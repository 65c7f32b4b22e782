//! Rare facts that travel on heartbeats, and the bundle they speak of.

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

/// Facts of this process; shared by its lanes.
#[derive(Debug)]
pub struct Gossip {
    state: Mutex<State>,
    feed: bundle::Feed,
}

#[derive(Debug, Default)]
struct State {
    table: facts::Table,
    /// Suspects, and the state of the table that they were derived from.
    suspects: Arc<suspects::Suspects>,
    derived: facts::Version,
}

impl Gossip {
    /// Creates an empty table beside a feed of bundles.
    pub fn new(feed: bundle::Feed) -> Self {
        Self {
            state: Mutex::default(),
            feed,
        }
    }

    /// Returns the feed of bundles.
    pub fn feed(&self) -> &bundle::Feed {
        &self.feed
    }

    /// Returns what changed since a version, and the version it brings a peer to.
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

    /// Takes in the facts of the process whose bundle is shown at `peer`.
    pub fn merge(&self, facts: &facts::Facts, peer: net::SocketAddr) {
        if facts.generation > self.feed.generation() {
            self.feed.record_peer_generation(facts.generation, peer);
        }
        // The own generation is told as the own fact only once its bundle is in force here.
        let others = facts::Facts {
            generation: id::Generation::default(),
            ..facts.clone()
        };
        self.lock().table.merge(&others, time::Instant::now());
    }

    /// Tells the generation that is in force here, and forgets what has expired.
    pub fn refresh(&self) -> facts::Version {
        let table = &mut self.lock().table;
        table.set_generation(self.feed.generation());
        table.expire(time::Instant::now());
        table.version()
    }

    /// Returns the suspects that follow from all that was heard up to now.
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

    /// Reports whether a life accepts no new work.
    pub fn is_leaving(&self, life: id::Incarnation) -> bool {
        self.lock().table.is_leaving(life, time::Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
