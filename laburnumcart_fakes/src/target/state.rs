//! State of a fake target, shared by its handlers and its supervisor.

use std::{
    collections,
    sync,
    time, //
};

use laburnumcart::bundle;
use tokio::sync::{
    Notify,
    watch, //
};

use crate::target::{
    behaviour,
    cache,
    ledger,
    orders,
    settings,
    slots, //
};

/// Maximum batch size of an engine per slot.
const BATCH_FACTOR: u32 = 4;

/// State of a target, with the settings and records that outlive a crash.
pub(super) struct State {
    pub(super) settings: settings::Settings,
    pub(super) ledger: sync::Mutex<ledger::Ledger>,
    pub(super) behaviour: watch::Sender<behaviour::Behaviour>,
    memory: sync::Mutex<Memory>,
    down: sync::Mutex<Option<time::Duration>>,
    close_all: Box<dyn Fn() + Send + Sync>,
}

/// State that a crash loses.
pub(super) struct Memory {
    pub(super) incarnation: u64,
    pub(super) slots: sync::Arc<slots::Slots>,
    pub(super) cache: cache::Cache,
    pub(super) orders: orders::Orders,
    pub(super) calls: collections::HashMap<String, sync::Arc<Notify>>,
}

impl Memory {
    fn new(settings: &settings::Settings) -> Self {
        let count = match settings.kind {
            bundle::Kind::Engine => settings.slots * BATCH_FACTOR,
            bundle::Kind::Pool => settings.slots,
        };
        let slots = slots::Slots::new(count, settings.queue_limit, settings.load_lag);
        Self {
            incarnation: rand::random::<u32>().into(),
            slots: sync::Arc::new(slots),
            cache: cache::Cache::new(settings.cached_prefixes, settings.cache_lag),
            orders: orders::Orders::new(settings.order_fencing == bundle::Orders::Fenced),
            calls: collections::HashMap::new(),
        }
    }
}

impl State {
    /// Creates the state of a target; `close_all` must close all its connections.
    pub(super) fn new(
        settings: settings::Settings,
        close_all: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self {
            memory: sync::Mutex::new(Memory::new(&settings)),
            settings,
            ledger: sync::Mutex::default(),
            behaviour: watch::Sender::default(),
            down: sync::Mutex::default(),
            close_all: Box::new(close_all),
        }
    }

    /// Locks the state that a crash loses.
    pub(super) fn memory(&self) -> sync::MutexGuard<'_, Memory> {
        self.memory.lock().unwrap()
    }

    /// Returns the slots of the current incarnation.
    pub(super) fn slots(&self) -> sync::Arc<slots::Slots> {
        self.memory().slots.clone()
    }

    /// Crashes the target if the body contains the poison text; returns whether it did.
    pub(super) fn crash_if_poison(&self, body: &[u8]) -> bool {
        let text = self.behaviour.borrow().crash_on.clone();
        let is_poison = text.is_some_and(|text| contains(body, text.as_bytes()));
        if is_poison {
            self.crash();
        }
        is_poison
    }

    fn crash(&self) {
        self.ledger.lock().unwrap().crash_running();
        (self.close_all)();
    }

    /// Applies a change of the faults.
    pub(super) fn apply_change(&self, change: behaviour::Change) {
        if let Some(lag) = change.load_lag {
            self.slots().set_lag(lag.0);
        }
        let down = change.down;
        self.behaviour
            .send_modify(|behaviour| behaviour.apply(change));
        if let Some(period) = down {
            *self.down.lock().unwrap() = Some(period.0);
            self.crash();
        }
    }

    /// Returns the downtime after a crash, and forgets a downtime that a change requested.
    pub(super) fn take_downtime(&self) -> time::Duration {
        let requested = self.down.lock().unwrap().take();
        requested.unwrap_or(self.settings.restart_time)
    }

    /// Clears the state that a crash loses; no handler of the last incarnation may still run.
    pub(super) fn clear_memory(&self) {
        *self.memory() = Memory::new(&self.settings);
        if let Some(lag) = self.behaviour.borrow().load_lag {
            self.slots().set_lag(lag.0);
        }
    }

    /// Waits while the target is frozen.
    pub(super) async fn wait_unfrozen(&self) {
        let mut behaviour = self.behaviour.subscribe();
        let _ = behaviour.wait_for(|b| !b.freeze).await;
    }

    /// Sleeps for a mean time, varied by the spread and the faults.
    pub(super) async fn simulate_work(&self, mean: time::Duration) {
        let spread = self.settings.spread;
        let factor = 1.0 + spread * (2.0 * rand::random::<f64>() - 1.0);
        let slow = self.behaviour.borrow().slow;
        tokio::time::sleep(mean.mul_f64(factor * slow)).await;
        self.wait_unfrozen().await;
    }

    /// Returns whether a call fails, at random by the configured share.
    pub(super) fn draw_failure(&self) -> bool {
        rand::random::<f64>() < self.behaviour.borrow().fail
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
