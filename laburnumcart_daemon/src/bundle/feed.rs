//! Bundle in force and generations known to exist, shared between the threads of a process.

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

/// Maximum number of tracked peers that have announced a higher generation.
const PEERS_MAX: usize = 16;

/// Failed fetches after which a peer is no longer tracked.
const FAILURES_MAX: u32 = 5;

/// A bundle in force.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Generation of the head that accepted it.
    pub generation: id::Generation,
    /// Parsed content.
    pub bundle: bundle::Bundle,
    /// Head and envelope as served to peers.
    pub signed: agent::SignedBundle,
}

/// Shared handle on the bundle in force; clones refer to the same state.
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

/// Monotonic view of the head, and higher generations that are known to exist.
#[derive(Debug, Default)]
struct State {
    view: head::View,
    head_generation: id::Generation,
    peers: collections::HashMap<net::SocketAddr, PeerState>,
}

/// Generation that a peer has announced, and failed fetches from it.
#[derive(Clone, Copy, Debug)]
struct PeerState {
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

    /// Returns the generation in force, or 0 if there is none.
    pub fn generation(&self) -> id::Generation {
        self.lock().view.generation()
    }

    /// Returns a receiver that is notified of each change of the generation in force.
    pub fn changes(&self) -> watch::Receiver<id::Generation> {
        self.0.changes.subscribe()
    }

    /// Returns the number of failures with this reason.
    pub fn failure_count(&self, reason: counters::Failure) -> u64 {
        self.0.counters.failure_count(reason)
    }

    /// Records a generation that a peer has announced.
    pub fn record_peer_generation(&self, generation: id::Generation, peer: net::SocketAddr) {
        let mut state = self.lock();
        if generation <= state.view.generation() {
            return;
        }
        let full = state.peers.len() >= PEERS_MAX;
        if full && !state.peers.contains_key(&peer) {
            return;
        }
        let known = PeerState {
            generation,
            failures: 0,
        };
        let previous = state.peers.insert(peer, known);
        if previous.is_none_or(|previous| previous.generation < generation) {
            self.0.wake.notify_one();
        }
    }

    /// Returns the signed bundle in force if its generation is at least `least`.
    pub fn signed_bundle(&self, least: id::Generation) -> Option<agent::SignedBundle> {
        let snapshot = self.0.current.load();
        let snapshot = snapshot.as_ref()?;
        (snapshot.generation >= least).then(|| snapshot.signed.clone())
    }

    /// Records the generation of a head read from the object service.
    pub(super) fn record_head_generation(&self, generation: id::Generation) {
        let mut state = self.lock();
        if generation > state.head_generation {
            state.head_generation = generation;
            self.0.wake.notify_one();
        }
    }

    /// Returns whether a higher generation than the one in force is known to be accepted.
    pub(super) fn is_behind(&self) -> bool {
        let state = self.lock();
        let now = state.view.generation();
        state.head_generation > now || state.peers.values().any(|known| known.generation > now)
    }

    /// Waits until a higher generation than the one in force is recorded.
    pub(super) async fn wait_newer(&self) {
        self.0.wake.notified().await;
    }

    /// Returns the peers that have announced a higher generation: those with the fewest failed
    /// fetches first, then by descending generation.
    pub(super) fn newer_peers(&self) -> Vec<net::SocketAddr> {
        let state = self.lock();
        let mut peers: Vec<_> = state.peers.iter().collect();
        peers.sort_by_key(|(_, known)| (known.failures, std::cmp::Reverse(known.generation)));
        peers.into_iter().map(|(peer, _)| *peer).collect()
    }

    /// Records a failed fetch from a peer, and drops the peer after [`FAILURES_MAX`] of them.
    pub(super) fn record_peer_failure(&self, peer: net::SocketAddr) {
        let mut state = self.lock();
        if let Some(known) = state.peers.get_mut(&peer) {
            known.failures += 1;
        }
        let keep = |known: &PeerState| known.failures < FAILURES_MAX;
        state.peers.retain(|_, known| keep(known));
    }

    /// Drops the generation announced by a peer.
    pub(super) fn forget_peer(&self, peer: net::SocketAddr) {
        self.lock().peers.remove(&peer);
    }

    pub(super) fn record_failure(&self, reason: counters::Failure) {
        self.0.counters.record_failure(reason);
    }

    /// Puts a snapshot in force if it is newer than the current one; returns whether it was.
    pub(super) fn publish(&self, accepted: head::Accepted, snapshot: Snapshot) -> bool {
        // The lock is held during the swap. Otherwise, with two concurrent sources, the older
        // generation could be stored last and the process would revert to it.
        let mut state = self.lock();
        if !state.view.advance(accepted) {
            return false;
        }
        let generation = accepted.generation;
        state.peers.retain(|_, known| known.generation > generation);
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
