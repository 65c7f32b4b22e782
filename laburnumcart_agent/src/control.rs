//! Control thread: bundle, facts, health checks of the target, term and orders.

mod health;
mod order_loop;
mod term;

use std::sync;

use laburnumcart::{
    facts,
    id,
    suspects, //
};
use laburnumcart_daemon::{
    bundle,
    event, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::secret;
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time, //
};

use crate::{
    shared,
    snapshot,
    target, //
};

/// Time between two health checks of the target.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Control state, owned by the control thread.
pub(crate) struct Control {
    shared: sync::Arc<shared::Shared>,
    messages: mpsc::Receiver<shared::Message>,
    facts: facts::Table,
    health: health::Health,
    /// State of the target for the order loop; `None` while it is unknown.
    target_states: watch::Sender<Option<target::State>>,
    next_snapshot: snapshot::Snapshot,
    /// Number of failures, oldest first, to mark as explained after the next publication.
    explained: usize,
    /// Acknowledged once it is known whether the target crashed.
    diagnosis_acks: Vec<shared::Ack>,
    /// Acknowledged after the next publication.
    acks: Vec<shared::Ack>,
}

/// Runs the control loops; never returns.
pub(crate) async fn run<S: store::Store>(
    shared: sync::Arc<shared::Shared>,
    messages: mpsc::Receiver<shared::Message>,
    store: S,
    options: Option<bundle::Options>,
) {
    let store = sync::Arc::new(store);
    let control = Control {
        shared: shared.clone(),
        messages,
        facts: facts::Table::default(),
        health: health::Health::default(),
        target_states: watch::Sender::new(None),
        next_snapshot: snapshot::Snapshot::default(),
        explained: 0,
        diagnosis_acks: Vec::new(),
        acks: Vec::new(),
    };
    let secret = shared.settings.fleet.secret().cloned();
    let states = control.target_states.subscribe();
    // Concurrent: an order can take seconds, during which the target must still be polled.
    tokio::join!(
        control.run(),
        order_loop::run(shared.clone(), store.clone(), states),
        follow_bundles(shared, store, secret, options),
    );
}

/// Keeps the feed at the current bundle.
async fn follow_bundles<S: store::Store>(
    shared: sync::Arc<shared::Shared>,
    store: sync::Arc<S>,
    secret: Option<secret::Secret>,
    options: Option<bundle::Options>,
) {
    if let (Some(secret), Some(options)) = (secret, options) {
        let peers = bundle::RpcPeers::new(secret);
        bundle::run(shared.feed.clone(), store, peers, options).await;
    }
}

impl Control {
    async fn run(mut self) {
        let mut generations = self.shared.feed.changes();
        let mut ticks = time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.messages.recv() => self.handle_message(message).await,
                _ = generations.changed() => self.apply_bundle(),
                _ = ticks.tick() => self.poll_target().await,
            }
            self.publish();
        }
    }

    async fn handle_message(&mut self, message: Option<shared::Message>) {
        let now = time::Instant::now();
        match message {
            Some(shared::Message::Facts(facts, ack)) => {
                self.facts.merge(&facts, now);
                self.acks.push(ack);
            }
            Some(shared::Message::Cleared(all)) => {
                for cleared in all {
                    self.facts.add_cleared(&cleared, now);
                }
            }
            Some(shared::Message::Failed(ack)) => {
                self.diagnosis_acks.push(ack);
                self.poll_target().await;
            }
            None => (),
        }
    }

    /// Applies the current bundle.
    fn apply_bundle(&mut self) {
        let Some(current) = self.shared.feed.current() else {
            return;
        };
        let bundle = &current.bundle;
        let service = bundle.services.get(&self.shared.settings.target.service);
        self.shared.scheduler().configure(bundle);
        self.health.quarantine = bundle.limits.quarantine;
        self.next_snapshot.service = service.cloned().map(sync::Arc::new);
        self.next_snapshot.generation = current.generation;
        event!(Info, "bundle", generation = current.generation);
    }

    /// Checks the target's health, and expires facts and sent versions.
    async fn poll_target(&mut self) {
        self.check_health().await;
        let now = time::Instant::now();
        self.facts.expire(now);
        if self.shared.is_leaving() {
            self.facts.set_leaving(self.shared.incarnation, now);
        }
        self.shared.prune_sent_facts();
    }

    fn publish(&mut self) {
        let now = time::Instant::now();
        if self.next_snapshot.facts.version() != self.facts.version() {
            self.next_snapshot.facts = self.facts.clone();
            self.next_snapshot.suspects = sync::Arc::new(suspects::Suspects::new(&self.facts, now));
        }
        self.next_snapshot.ready = self.health.is_ready();
        self.shared
            .snapshot
            .store(sync::Arc::new(self.next_snapshot.clone()));
        // After the crash is published: a held suspect could otherwise start in between.
        let explained = std::mem::take(&mut self.explained);
        self.shared.scheduler().mark_explained(explained);
        if !self.shared.scheduler().has_unexplained() {
            self.acks.append(&mut self.diagnosis_acks);
        }
        for ack in self.acks.drain(..) {
            // Fails if the waiting thread has timed out.
            let _ = ack.send(());
        }
    }

    fn add_crash(&mut self, suspects: Vec<id::Fingerprint>) {
        let now = time::Instant::now();
        let crash = suspects::crash_fact(suspects, self.health.quarantine);
        self.facts.add_crash(&crash, now);
    }
}
