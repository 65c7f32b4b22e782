//! State that the threads of an agent share.

use std::{
    collections,
    net,
    sync, //
};

use arc_swap::ArcSwap;
use laburnumcart::{
    facts,
    id, //
};
use laburnumcart_daemon::{
    bundle,
    metrics,
    stop, //
};
use laburnumcart_wire::agent;
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time,
};

use crate::{
    counters,
    settings,
    snapshot,
    target,
    work, //
};

/// News that may wait for the control thread.
const NEWS_MAX: usize = 1024;

/// Longest wait until facts are in force; well below what a heartbeat may take.
const HEARD_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Longest wait until it is known why the target failed; a look at it takes up to a second.
const FAILED_LIMIT: time::Duration = time::Duration::from_millis(1500);

/// What traffic threads tell the control thread.
#[derive(Debug)]
pub enum News {
    /// A peer's facts, and whom to tell once they are in force.
    Facts(facts::Facts, Taken),
    /// Content that was suspected has completed.
    Cleared(Vec<facts::Cleared>),
    /// The target has failed an attempt; tells once it is known whether it crashed.
    Failed(Taken),
}

/// Told when the control thread has published what follows from news.
pub type Taken = oneshot::Sender<()>;

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
    /// The bundle in force.
    pub feed: bundle::Feed,
    /// HTTP client of the target.
    pub target: target::Target,
    /// Counters.
    pub counters: counters::Counters,
    /// Where work enters.
    pub gate: stop::Gate,
    /// Number of crashes of the target that were noticed.
    pub crashes: watch::Sender<u64>,
    /// Whether a stop was asked for.
    leaving: watch::Sender<bool>,
    news: mpsc::Sender<News>,
    /// What each lane has been sent of the facts.
    sent: sync::Mutex<collections::HashMap<id::Incarnation, facts::Version>>,
}

impl Shared {
    /// Creates the state of a starting agent, and what the control thread reads.
    pub fn new(
        settings: settings::Settings,
        limits: work::Limits,
        gate: stop::Gate,
        metrics: &metrics::Metrics,
    ) -> (Self, mpsc::Receiver<News>) {
        let (news, received) = mpsc::channel(NEWS_MAX);
        let shared = Self {
            target: target::Target::new(settings.target.address),
            settings,
            incarnation: id::Incarnation::random(),
            work: sync::Mutex::new(work::Work::new(limits, time::Instant::now())),
            snapshot: ArcSwap::default(),
            feed: bundle::Feed::new(metrics),
            counters: counters::Counters::new(metrics),
            gate,
            crashes: watch::Sender::new(0),
            leaving: watch::Sender::new(false),
            news,
            sent: sync::Mutex::default(),
        };
        (shared, received)
    }

    /// Locks the work; a panic of another holder is taken for the end of its one change.
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

    /// Tells the control thread.
    ///
    /// News that finds the channel full is dropped: facts come again with the next connection, and
    /// the target is looked at periodically.
    pub fn tell(&self, news: News) {
        if self.news.try_send(news).is_err() {
            self.counters.news_dropped.inc();
        }
    }

    /// Takes in the facts of a peer; those of crashes are in force when this returns.
    ///
    /// An entry tells what it knows of a suspect before it sends it. Were the call admitted first,
    /// the target would execute content that has crashed two others.
    pub async fn hear(&self, facts: facts::Facts, peer: Option<net::SocketAddr>) {
        if let Some(peer) = peer {
            self.feed.record_generation(facts.generation, peer);
        }
        if facts == facts::Facts::default() {
            return;
        }
        let urgent = !facts.crashes.is_empty();
        let (taken, wait) = oneshot::channel();
        self.tell(News::Facts(facts, taken));
        if urgent {
            let _ = time::timeout(HEARD_LIMIT, wait).await;
        }
    }

    /// Has the control thread look at the target that failed an attempt, and waits until it is
    /// known whether it crashed.
    ///
    /// The sender repeats the attempt as soon as it is told. Told before the crash is a fact, it
    /// would send the content that crashed the target to the next one as any other.
    pub async fn failed(&self) {
        let (taken, wait) = oneshot::channel();
        self.tell(News::Failed(taken));
        let _ = time::timeout(FAILED_LIMIT, wait).await;
    }

    /// Returns the answer to a heartbeat of `lane`, with the facts that it has not been sent yet.
    pub fn report(&self, lane: Option<id::Incarnation>) -> agent::Report {
        let snapshot = self.snapshot.load();
        let since = self.since(lane, snapshot.facts.version());
        let facts = snapshot.changes(since, time::Instant::now());
        agent::Report {
            target: self.settings.target.name.clone(),
            service: self.settings.target.service.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            ready: snapshot.ready,
            load: self.load(),
            facts,
        }
    }

    /// Forgets what a lane has been sent; the answers of a broken connection may not have arrived.
    pub fn resend(&self, lane: id::Incarnation) {
        self.sent().remove(&lane);
    }

    /// Forgets lanes that are gone.
    pub fn prune(&self) {
        let work = self.work();
        self.sent().retain(|lane, _| work.lanes.is_known(*lane));
    }

    fn load(&self) -> agent::Load {
        let work = self.work();
        agent::Load {
            running: work.running() as u32,
            queued: work.queued() as u32,
            limit: work.limit(),
            service: work.service(),
        }
    }

    fn since(&self, lane: Option<id::Incarnation>, now: facts::Version) -> facts::Version {
        let Some(lane) = lane else {
            return facts::Version::default();
        };
        self.sent().insert(lane, now).unwrap_or_default()
    }

    fn sent(&self) -> sync::MutexGuard<'_, collections::HashMap<id::Incarnation, facts::Version>> {
        self.sent
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
