//! Loop that sends load and unload orders to the target, as the state machine decides.

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

/// Timeout of a call to the object service.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// State machine of the orders, with the clients that carry out its steps.
struct OrderLoop<S> {
    shared: sync::Arc<shared::Shared>,
    store: sync::Arc<S>,
    key: String,
    orders: orders::Reconciler,
    order_timeout: time::Duration,
    is_reported: bool,
}

/// Sends orders for as long as the process runs.
pub(super) async fn run<S: store::Store>(
    shared: sync::Arc<shared::Shared>,
    store: sync::Arc<S>,
    mut states: watch::Receiver<Option<target::State>>,
) {
    let mut generations = shared.feed.changes();
    let mut order_loop = OrderLoop {
        key: term::key(&shared.settings.target.name),
        shared,
        store,
        orders: orders::Reconciler::new(),
        order_timeout: time::Duration::ZERO,
        is_reported: false,
    };
    loop {
        tokio::select! {
            _ = generations.changed() => order_loop.apply_bundle(),
            _ = states.changed() => order_loop.set_state(states.borrow_and_update().as_ref()),
        }
        order_loop.run_steps().await;
    }
}

impl<S: store::Store> OrderLoop<S> {
    /// Sets the models that the current bundle wants at the target.
    fn apply_bundle(&mut self) {
        let Some(current) = self.shared.feed.current() else {
            return;
        };
        let name = &self.shared.settings.target.service;
        match current.bundle.services.get(name) {
            Some(service) => {
                self.order_timeout = service.order_limit.0;
                let models = service.models.iter().cloned();
                self.orders
                    .set_wanted(service.orders, models, self.order_timeout);
            }
            None => self
                .orders
                .set_wanted(bundle::Orders::None, [], self.order_timeout),
        }
    }

    fn set_state(&mut self, state: Option<&target::State>) {
        match state {
            Some(state) => self.orders.set_loaded(state.models.iter().cloned()),
            None => self.orders.set_unknown(),
        }
    }

    /// Carries out the steps of the state machine until it has to wait.
    async fn run_steps(&mut self) {
        if self.orders.term().is_none() && !self.orders.is_superseded() {
            self.acquire_term().await;
        }
        loop {
            match self.orders.step(time::Instant::now()) {
                orders::Step::Idle | orders::Step::Wait(_) => break,
                orders::Step::Confirm if self.confirm_term().await => (),
                orders::Step::Confirm => break,
                orders::Step::Send(order) => self.send_order(&order).await,
            }
        }
        if self.orders.is_superseded() && !self.is_reported {
            self.is_reported = true;
            event!(
                Warn,
                "superseded",
                target = self.shared.settings.target.name
            );
        }
    }

    /// Acquires the term. Without the object service the agent still serves, but sends no orders.
    async fn acquire_term(&mut self) {
        let acquired = term::acquire(&*self.store, &self.key, self.shared.incarnation);
        // A write that timed out may have taken effect; the next try finds its result.
        if let Ok(Ok(term)) = time::timeout(CALL_TIMEOUT, acquired).await {
            self.orders.acquire_term(term, time::Instant::now());
            event!(Info, "term", term = term);
        }
    }

    /// Confirms the term with the object service; returns whether the service answered.
    async fn confirm_term(&mut self) -> bool {
        // Read before the call: the answer may describe the state at its start.
        let now = time::Instant::now();
        let read = time::timeout(CALL_TIMEOUT, term::read(&*self.store, &self.key)).await;
        let Ok(Ok(found)) = read else {
            return false;
        };
        let ours = |holder: &term::Holder| holder.incarnation == self.shared.incarnation;
        let holder = found.map(|(holder, _)| holder).filter(ours);
        let term = holder.map_or(id::Term(0), |holder| holder.term);
        self.orders.confirm_term(term, now);
        true
    }

    async fn send_order(&mut self, order: &orders::Order) {
        let result = self
            .shared
            .target
            .send_order(order, self.order_timeout)
            .await;
        self.shared.counters.orders.inc();
        match result {
            Ok(()) => event!(Info, "order", sequence = order.number.sequence),
            Err(failure) => event!(Warn, "order-failed", cause = failure),
        }
        self.orders.record_completed();
    }
}
