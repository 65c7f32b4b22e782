//! Rare facts that travel on heartbeats, and the bundle they speak of.

use std::{
    net,
    sync::{
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
    table: Mutex<facts::Table>,
    feed: bundle::Feed,
}

impl Gossip {
    /// Creates an empty table beside a feed of bundles.
    pub fn new(feed: bundle::Feed) -> Self {
        Self {
            table: Mutex::default(),
            feed,
        }
    }

    /// Returns the feed of bundles.
    pub fn feed(&self) -> &bundle::Feed {
        &self.feed
    }

    /// Returns what changed since a version, and the version it brings a peer to.
    pub fn changes(&self, since: facts::Version) -> (Option<facts::Facts>, facts::Version) {
        let table = self.lock();
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
            self.feed.hear(facts.generation, peer);
        }
        // The own generation is told as the own fact only once its bundle is in force here.
        let others = facts::Facts {
            generation: id::Generation::default(),
            ..facts.clone()
        };
        self.lock().merge(&others, time::Instant::now());
    }

    /// Tells the generation that is in force here, and forgets what has expired.
    pub fn refresh(&self) -> facts::Version {
        let mut table = self.lock();
        table.set_generation(self.feed.generation());
        table.expire(time::Instant::now());
        table.version()
    }

    /// Derives the suspects.
    pub fn suspects(&self) -> suspects::Suspects {
        suspects::Suspects::new(&self.lock(), time::Instant::now())
    }

    /// Reports whether a life accepts no new work.
    pub fn is_leaving(&self, life: id::Incarnation) -> bool {
        self.lock().is_leaving(life, time::Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, facts::Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
