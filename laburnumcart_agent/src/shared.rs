//! State shared by the traffic threads and the control thread.

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
    scheduler, //
    settings,
    snapshot,
    target,
};

/// Capacity of the channel to the control thread, in messages.
const CHANNEL_CAPACITY: usize = 1024;

/// Limit on the wait until a peer's facts are published; well below a heartbeat's timeout.
const FACTS_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Limit on the wait until a target failure is diagnosed; one poll of the target takes up to 1 s.
const DIAGNOSIS_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Message from a traffic thread to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Facts of a peer; acknowledged once a snapshot with them is published.
    Facts(facts::Facts, Ack),
    /// Clearances of suspected content that has completed.
    Cleared(Vec<facts::Cleared>),
    /// The target failed an attempt; acknowledged once it is known whether the target crashed.
    Failed(Ack),
}

/// Signals that the control thread has published the effects of a message.
pub type Ack = oneshot::Sender<()>;

/// State shared by all threads.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the agent.
    pub settings: settings::Settings,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
    /// Lanes, attempts and the queue.
    pub scheduler: sync::Mutex<scheduler::Scheduler>,
    /// Control state as last published.
    pub snapshot: ArcSwap<snapshot::Snapshot>,
    /// The bundle in force.
    pub feed: bundle::Feed,
    /// HTTP client of the target.
    pub target: target::Target,
    /// Metrics of the agent.
    pub counters: counters::Counters,
    /// Admits work until a graceful shutdown.
    pub gate: stop::Gate,
    /// Number of target crashes detected so far.
    pub crashes: watch::Sender<u64>,
    /// Whether a graceful shutdown was requested.
    leaving: watch::Sender<bool>,
    messages: mpsc::Sender<Message>,
    /// Version of the facts last sent on each lane.
    sent_facts: sync::Mutex<collections::HashMap<id::Incarnation, facts::Version>>,
}

impl Shared {
    /// Creates the state of an agent and the control thread's end of the message channel.
    pub fn new(
        settings: settings::Settings,
        limits: scheduler::Limits,
        gate: stop::Gate,
        metrics: &metrics::Metrics,
    ) -> (Self, mpsc::Receiver<Message>) {
        let (messages, received) = mpsc::channel(CHANNEL_CAPACITY);
        let shared = Self {
            target: target::Target::new(settings.target.address),
            settings,
            incarnation: id::Incarnation::random(),
            scheduler: sync::Mutex::new(scheduler::Scheduler::new(limits, time::Instant::now())),
            snapshot: ArcSwap::default(),
            feed: bundle::Feed::new(metrics),
            counters: counters::Counters::new(metrics),
            gate,
            crashes: watch::Sender::new(0),
            leaving: watch::Sender::new(false),
            messages,
            sent_facts: sync::Mutex::default(),
        };
        (shared, received)
    }

    /// Locks the scheduler. Poisoning is ignored: a panic is taken to affect only the change that
    /// its thread was making.
    pub fn scheduler(&self) -> sync::MutexGuard<'_, scheduler::Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Reports whether a graceful shutdown was requested, so that new work is refused.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Requests a graceful shutdown; every report announces it from now on.
    pub fn start_drain(&self) {
        self.leaving.send_replace(true);
    }

    /// Waits until a graceful shutdown is requested.
    pub async fn wait_for_drain(&self) {
        // Cannot fail: the sender is a field of `self`.
        let _ = self.leaving.subscribe().wait_for(|leaving| *leaving).await;
    }

    /// Sends a message to the control thread.
    ///
    /// Drops the message if the channel is full: peers send their facts again on the next
    /// connection, and the target is polled periodically anyway.
    pub fn notify_control(&self, message: Message) {
        if self.messages.try_send(message).is_err() {
            self.counters.news_dropped.inc();
        }
    }

    /// Merges the facts of a peer; waits until crash facts are published, up to a time limit.
    ///
    /// An entry sends its facts about a suspect before the call itself. If the call were admitted
    /// first, the target would execute content that has already crashed two others.
    pub async fn merge_facts(&self, facts: facts::Facts, peer: Option<net::SocketAddr>) {
        if let Some(peer) = peer {
            self.feed.record_peer_generation(facts.generation, peer);
        }
        if facts == facts::Facts::default() {
            return;
        }
        let urgent = !facts.crashes.is_empty();
        let (ack, wait) = oneshot::channel();
        self.notify_control(Message::Facts(facts, ack));
        if urgent {
            let _ = time::timeout(FACTS_TIMEOUT, wait).await;
        }
    }

    /// Has the control thread poll the target after a failed attempt, and waits until it is known
    /// whether the target crashed, up to a time limit.
    ///
    /// The sender retries as soon as it learns of the failure. If it learned of it before the crash
    /// fact exists, it would send the content that crashed this target to another one as if it were
    /// harmless.
    pub async fn diagnose_failure(&self) {
        let (ack, wait) = oneshot::channel();
        self.notify_control(Message::Failed(ack));
        let _ = time::timeout(DIAGNOSIS_TIMEOUT, wait).await;
    }

    /// Returns the answer to a heartbeat on `lane`, with the facts not yet sent on that lane.
    pub fn report(&self, lane: Option<id::Incarnation>) -> agent::Report {
        let snapshot = self.snapshot.load();
        let since = self.replace_sent_version(lane, snapshot.facts.version());
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

    /// Makes the next report on a lane carry all facts again: answers on its broken connection may
    /// have been lost.
    pub fn reset_sent_facts(&self, lane: id::Incarnation) {
        self.lock_sent_facts().remove(&lane);
    }

    /// Drops the sent versions of lanes that no longer exist.
    pub fn prune_sent_facts(&self) {
        let scheduler = self.scheduler();
        self.lock_sent_facts()
            .retain(|lane, _| scheduler.lanes.is_known(*lane));
    }

    fn load(&self) -> agent::Load {
        let scheduler = self.scheduler();
        agent::Load {
            running: scheduler.running_count() as u32,
            queued: scheduler.queued_count() as u32,
            limit: scheduler.concurrency_limit(),
            service: scheduler.mean_service_time(),
        }
    }

    fn replace_sent_version(
        &self,
        lane: Option<id::Incarnation>,
        now: facts::Version,
    ) -> facts::Version {
        let Some(lane) = lane else {
            return facts::Version::default();
        };
        self.lock_sent_facts().insert(lane, now).unwrap_or_default()
    }

    fn lock_sent_facts(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<id::Incarnation, facts::Version>> {
        self.sent_facts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
