//! Orders to the target, as the state machine asks for them.

use std::sync;

use laburnumcart::{
    bundle,
    id,
    orders, //
};
use laburnumcart_daemon::event;
use laburnumcart_platform::store;
use tokio::{
    sync::watch,
    time, //
};

use super::term;
use crate::{
    shared,
    target, //
};

/// Longest call of the object service.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Orders of this agent, with what they need.
struct Ordering<S> {
    shared: sync::Arc<shared::Shared>,
    store: sync::Arc<S>,
    key: String,
    orders: orders::Reconciler,
    limit: time::Duration,
    reported: bool,
}

/// Gives orders for as long as the process lives.
pub(super) async fn run<S: store::Store>(
    shared: sync::Arc<shared::Shared>,
    store: sync::Arc<S>,
    mut states: watch::Receiver<Option<target::State>>,
) {
    let mut generations = shared.feed.changes();
    let mut ordering = Ordering {
        key: term::key(&shared.settings.target.name),
        shared,
        store,
        orders: orders::Reconciler::new(),
        limit: time::Duration::ZERO,
        reported: false,
    };
    loop {
        tokio::select! {
            _ = generations.changed() => ordering.adopt(),
            _ = states.changed() => ordering.observe(states.borrow_and_update().as_ref()),
        }
        ordering.order().await;
    }
}

impl<S: store::Store> Ordering<S> {
    /// Takes over what the bundle in force wants of the target.
    fn adopt(&mut self) {
        let Some(current) = self.shared.feed.current() else {
            return;
        };
        let name = &self.shared.settings.target.service;
        match current.bundle.services.get(name) {
            Some(service) => {
                self.limit = service.order_limit.0;
                let models = service.models.iter().cloned();
                self.orders.set_wanted(service.orders, models, self.limit);
            }
            None => self.orders.set_wanted(bundle::Orders::None, [], self.limit),
        }
    }

    fn observe(&mut self, state: Option<&target::State>) {
        match state {
            Some(state) => self.orders.set_loaded(state.models.iter().cloned()),
            None => self.orders.set_unknown(),
        }
    }

    /// Takes the steps that the state machine asks for, until it has to wait.
    async fn order(&mut self) {
        if self.orders.term().is_none() && !self.orders.is_superseded() {
            self.acquire().await;
        }
        loop {
            match self.orders.step(time::Instant::now()) {
                orders::Step::Idle | orders::Step::Wait(_) => break,
                orders::Step::Confirm if self.confirm().await => (),
                orders::Step::Confirm => break,
                orders::Step::Send(order) => self.give(&order).await,
            }
        }
        if self.orders.is_superseded() && !self.reported {
            self.reported = true;
            event!(
                Warn,
                "superseded",
                target = self.shared.settings.target.name
            );
        }
    }

    /// Takes the term; without the object service the agent serves on but gives no orders.
    async fn acquire(&mut self) {
        let taken = term::acquire(&*self.store, &self.key, self.shared.incarnation);
        // Dropped in the middle, the write may have taken effect; the next try finds that out.
        if let Ok(Ok(term)) = time::timeout(CALL_LIMIT, taken).await {
            self.orders.acquire_term(term, time::Instant::now());
            event!(Info, "term", term = term);
        }
    }

    /// Reads the term; returns whether the object service has answered.
    async fn confirm(&mut self) -> bool {
        // The answer holds for the moment of the call at the earliest.
        let now = time::Instant::now();
        let read = time::timeout(CALL_LIMIT, term::read(&*self.store, &self.key)).await;
        let Ok(Ok(found)) = read else {
            return false;
        };
        let ours = |holder: &term::Holder| holder.incarnation == self.shared.incarnation;
        let holder = found.map(|(holder, _)| holder).filter(ours);
        let term = holder.map_or(id::Term(0), |holder| holder.term);
        self.orders.confirm_term(term, now);
        true
    }

    async fn give(&mut self, order: &orders::Order) {
        let taken = self.shared.target.order(order, self.limit).await;
        self.shared.counters.orders.inc();
        match taken {
            Ok(()) => event!(Info, "order", sequence = order.number.sequence),
            Err(failure) => event!(Warn, "order-failed", cause = failure),
        }
        self.orders.record_completed();
    }
}
