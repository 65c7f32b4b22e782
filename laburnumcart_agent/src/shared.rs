//! State that the threads of an agent share.

use std::sync;

use arc_swap::ArcSwap;
use laburnumcart::id;
use laburnumcart_daemon::stop;
use laburnumcart_wire::agent;
use tokio::sync::watch;

use crate::{
    settings,
    snapshot,
    target,
    work, //
};

/// State that all threads reach.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: settings::Settings,
    /// Life of this process.
    pub incarnation: id::Incarnation,
    /// Lanes, attempts and queue.
    pub work: sync::Mutex<work::Work>,
    /// Control state.
    pub snapshot: ArcSwap<snapshot::Snapshot>,
    /// HTTP client of the target.
    pub target: target::Target,
    /// Where work enters.
    pub gate: stop::Gate,
    /// Whether a stop was asked for.
    leaving: watch::Sender<bool>,
    /// Number of crashes of the target that were noticed.
    pub crashes: watch::Sender<u64>,
}

impl Shared {
    /// Creates the state of a starting agent.
    pub fn new(settings: settings::Settings, limits: work::Limits, gate: stop::Gate) -> Self {
        Self {
            target: target::Target::new(settings.target.address),
            settings,
            incarnation: id::Incarnation::random(),
            work: sync::Mutex::new(work::Work::new(limits)),
            snapshot: ArcSwap::default(),
            gate,
            leaving: watch::Sender::new(false),
            crashes: watch::Sender::new(0),
        }
    }

    /// Locks the work; a panic of another holder leaves it in a valid state, as each of its
    /// methods completes its change before it can panic.
    pub fn work(&self) -> sync::MutexGuard<'_, work::Work> {
        self.work
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Reports whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Asks for a graceful shutdown; every report says so from now on.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Waits until a graceful shutdown is asked for.
    pub async fn left(&self) {
        // The sender is a field of this, so that it cannot be gone.
        let _ = self.leaving.subscribe().wait_for(|leaving| *leaving).await;
    }

    /// Returns the answer to a heartbeat.
    pub fn report(&self) -> agent::Report {
        let snapshot = self.snapshot.load();
        let work = self.work();
        let load = agent::Load {
            running: work.running() as u32,
            queued: work.queued() as u32,
            limit: work.slots() as u32,
            service: work.service(),
        };
        agent::Report {
            target: self.settings.target.name.clone(),
            service: self.settings.target.service.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            ready: snapshot.ready,
            load,
            facts: snapshot.facts.clone(),
        }
    }
}
