//! What this process knows of bundles, shared between its threads.

use std::{
    collections,
    net,
    sync, //
};

use tokio::sync::{
    Notify,
    watch, //
};

use laburnumcart::{
    bundle,
    head,
    id, //
};
use laburnumcart_wire::agent;

use super::counters;
use crate::metrics;

/// Most peers remembered that have shown a higher generation.
const HEARD_MAX: usize = 16;

/// Failed fetches after which a peer's word is forgotten.
const FAILURES_MAX: u32 = 5;

/// A bundle in force.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Generation under which it was accepted.
    pub generation: id::Generation,
    /// Its content.
    pub bundle: bundle::Bundle,
    /// What peers are shown.
    pub shown: agent::SignedBundle,
}

/// The bundle in force; clones share it.
#[derive(Clone, Debug)]
pub struct Feed(sync::Arc<Inner>);

#[derive(Debug)]
struct Inner {
    current: arc_swap::ArcSwapOption<Snapshot>,
    state: sync::Mutex<State>,
    changes: watch::Sender<id::Generation>,
    wake: Notify,
    counters: counters::Counters,
}

/// What only goes up, and what was heard of beyond it.
#[derive(Debug, Default)]
struct State {
    view: head::View,
    wanted: id::Generation,
    heard: collections::HashMap<net::SocketAddr, Heard>,
}

/// A peer's word that it has a generation.
#[derive(Clone, Copy, Debug)]
struct Heard {
    generation: id::Generation,
    failures: u32,
}

impl Feed {
    /// Creates a feed without a bundle and registers its metrics.
    pub fn new(metrics: &metrics::Metrics) -> Self {
        let feed = Self(sync::Arc::new(Inner {
            current: arc_swap::ArcSwapOption::empty(),
            state: sync::Mutex::default(),
            changes: watch::Sender::new(id::Generation(0)),
            wake: Notify::new(),
            counters: counters::Counters::default(),
        }));
        feed.0.counters.register(metrics);
        feed
    }

    /// Returns the bundle in force.
    pub fn current(&self) -> Option<sync::Arc<Snapshot>> {
        self.0.current.load_full()
    }

    /// Returns the generation in force, 0 before the first.
    pub fn generation(&self) -> id::Generation {
        self.lock().view.generation()
    }

    /// Returns a receiver of the generation in force, which sees each change.
    pub fn changes(&self) -> watch::Receiver<id::Generation> {
        self.0.changes.subscribe()
    }

    /// Returns how often a failure was counted.
    pub fn failures(&self, reason: counters::Failure) -> u64 {
        self.0.counters.failures(reason)
    }

    /// Records that a peer advertises a generation.
    pub fn record_generation(&self, generation: id::Generation, peer: net::SocketAddr) {
        let mut state = self.lock();
        if generation <= state.view.generation() {
            return;
        }
        let full = state.heard.len() >= HEARD_MAX;
        if full && !state.heard.contains_key(&peer) {
            return;
        }
        let heard = Heard {
            generation,
            failures: 0,
        };
        let before = state.heard.insert(peer, heard);
        if before.is_none_or(|before| before.generation < generation) {
            self.0.wake.notify_one();
        }
    }

    /// Returns what a peer is shown that asks for at least this generation.
    pub fn show(&self, least: id::Generation) -> Option<agent::SignedBundle> {
        let snapshot = self.0.current.load();
        let snapshot = snapshot.as_ref()?;
        (snapshot.generation >= least).then(|| snapshot.shown.clone())
    }

    /// Takes note that the head has shown a generation.
    pub(super) fn want(&self, generation: id::Generation) {
        let mut state = self.lock();
        if generation > state.wanted {
            state.wanted = generation;
            self.0.wake.notify_one();
        }
    }

    /// Returns whether a generation is known to be accepted that is not in force here.
    pub(super) fn is_behind(&self) -> bool {
        let state = self.lock();
        let now = state.view.generation();
        state.wanted > now || state.heard.values().any(|heard| heard.generation > now)
    }

    /// Waits until a generation was heard of that is not in force here.
    pub(super) async fn woken(&self) {
        self.0.wake.notified().await;
    }

    /// Returns the peers that have shown a higher generation, the highest first.
    pub(super) fn heard(&self) -> Vec<net::SocketAddr> {
        let state = self.lock();
        let mut peers: Vec<_> = state.heard.iter().collect();
        peers.sort_by_key(|(_, heard)| (heard.failures, std::cmp::Reverse(heard.generation)));
        peers.into_iter().map(|(peer, _)| *peer).collect()
    }

    /// Takes note that a peer could not be asked.
    pub(super) fn failed(&self, peer: net::SocketAddr) {
        let mut state = self.lock();
        if let Some(heard) = state.heard.get_mut(&peer) {
            heard.failures += 1;
        }
        let tried = |heard: &Heard| heard.failures < FAILURES_MAX;
        state.heard.retain(|_, heard| tried(heard));
    }

    /// Forgets the word of a peer that has not got what it has shown.
    pub(super) fn forget(&self, peer: net::SocketAddr) {
        self.lock().heard.remove(&peer);
    }

    /// Counts a failure.
    pub(super) fn fail(&self, reason: counters::Failure) {
        self.0.counters.fail(reason);
    }

    /// Puts a snapshot in force if it is newer, and returns whether it was.
    pub(super) fn publish(&self, accepted: head::Accepted, snapshot: Snapshot) -> bool {
        // The lock is held over the swap: of two sources that bring different generations at once,
        // the older could otherwise be swapped in last and the process would go back.
        let mut state = self.lock();
        if !state.view.advance(accepted) {
            return false;
        }
        let generation = accepted.generation;
        state.heard.retain(|_, heard| heard.generation > generation);
        self.0.current.store(Some(sync::Arc::new(snapshot)));
        self.0.counters.set_generation(generation.0);
        self.0.changes.send_replace(generation);
        true
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let lock = self.0.state.lock();
        lock.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
