//! The control thread: bundle, facts, health of the target, term and orders.

mod ordering;
mod term;
mod watching;

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

/// Time between two looks at the target.
const POLL: time::Duration = time::Duration::from_millis(250);

/// Control state, owned by the control thread.
pub(crate) struct Control {
    shared: sync::Arc<shared::Shared>,
    news: mpsc::Receiver<shared::News>,
    facts: facts::Table,
    watching: watching::Watching,
    /// State of the target for the orders, `None` while it is not known.
    states: watch::Sender<Option<target::State>>,
    next: snapshot::Snapshot,
    /// Failed attempts, the oldest ones, of which it is known now why they failed.
    explained: usize,
    /// Who waits until it is known whether the target crashed.
    doubtful: Vec<shared::Taken>,
    /// Who waits for the next publication.
    taken: Vec<shared::Taken>,
}

/// Runs the control loops; never returns.
pub(crate) async fn run<S: store::Store>(
    shared: sync::Arc<shared::Shared>,
    news: mpsc::Receiver<shared::News>,
    store: S,
    options: Option<bundle::Options>,
) {
    let store = sync::Arc::new(store);
    let control = Control {
        shared: shared.clone(),
        news,
        facts: facts::Table::default(),
        watching: watching::Watching::default(),
        states: watch::Sender::new(None),
        next: snapshot::Snapshot::default(),
        explained: 0,
        doubtful: Vec::new(),
        taken: Vec::new(),
    };
    let secret = shared.settings.fleet.secret().cloned();
    let states = control.states.subscribe();
    // An order can take seconds, in which the target must still be looked at.
    tokio::join!(
        control.run(),
        ordering::run(shared.clone(), store.clone(), states),
        follow(shared, store, secret, options),
    );
}

/// Follows the bundle in force.
async fn follow<S: store::Store>(
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
        let mut ticks = time::interval(POLL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                news = self.news.recv() => self.take(news).await,
                _ = generations.changed() => self.adopt(),
                _ = ticks.tick() => self.look().await,
            }
            self.publish();
        }
    }

    async fn take(&mut self, news: Option<shared::News>) {
        let now = time::Instant::now();
        match news {
            Some(shared::News::Facts(facts, taken)) => {
                self.facts.merge(&facts, now);
                self.taken.push(taken);
            }
            Some(shared::News::Cleared(all)) => {
                for cleared in all {
                    self.facts.add_cleared(&cleared, now);
                }
            }
            Some(shared::News::Failed(taken)) => {
                self.doubtful.push(taken);
                self.look().await;
            }
            None => (),
        }
    }

    /// Takes over the bundle in force.
    fn adopt(&mut self) {
        let Some(current) = self.shared.feed.current() else {
            return;
        };
        let bundle = &current.bundle;
        let service = bundle.services.get(&self.shared.settings.target.service);
        self.shared.work().configure(bundle);
        self.watching.quarantine = bundle.limits.quarantine;
        self.next.service = service.cloned().map(sync::Arc::new);
        self.next.generation = current.generation;
        event!(Info, "bundle", generation = current.generation);
    }

    /// Looks at the target and at the facts.
    async fn look(&mut self) {
        self.watch().await;
        let now = time::Instant::now();
        self.facts.expire(now);
        if self.shared.is_leaving() {
            self.facts.set_leaving(self.shared.incarnation, now);
        }
        self.shared.prune();
    }

    fn publish(&mut self) {
        let now = time::Instant::now();
        if self.next.facts.version() != self.facts.version() {
            self.next.facts = self.facts.clone();
            self.next.suspects = sync::Arc::new(suspects::Suspects::new(&self.facts, now));
        }
        self.next.ready = self.watching.is_ready();
        self.shared
            .snapshot
            .store(sync::Arc::new(self.next.clone()));
        // Not before the crash is in force: a suspect that was held would start meanwhile.
        let explained = std::mem::take(&mut self.explained);
        self.shared.work().explain(explained);
        if !self.shared.work().is_doubtful() {
            self.taken.append(&mut self.doubtful);
        }
        for taken in self.taken.drain(..) {
            // Nobody waits any more if it took too long.
            let _ = taken.send(());
        }
    }

    fn add_crash(&mut self, suspects: Vec<id::Fingerprint>) {
        let now = time::Instant::now();
        let crash = suspects::crash_fact(suspects, self.watching.quarantine);
        self.facts.add_crash(&crash, now);
    }
}
