//! What a stand-in target knows, shared by its handlers and its supervisor.

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
    gate,
    ledger,
    orders,
    settings, //
};

/// Calls in an engine's batch for each slot.
const BATCH_FACTOR: u32 = 4;

/// A target as its handlers share it.
pub(super) struct Core {
    pub(super) settings: settings::Settings,
    pub(super) ledger: sync::Mutex<ledger::Ledger>,
    pub(super) behaviour: watch::Sender<behaviour::Behaviour>,
    memory: sync::Mutex<Memory>,
    down: sync::Mutex<Option<time::Duration>>,
    crash: Box<dyn Fn() + Send + Sync>,
}

/// What a crash loses.
pub(super) struct Memory {
    pub(super) boot: u64,
    pub(super) gate: sync::Arc<gate::Gate>,
    pub(super) cache: cache::Cache,
    pub(super) orders: orders::Orders,
    pub(super) calls: collections::HashMap<String, sync::Arc<Notify>>,
}

impl Memory {
    fn new(settings: &settings::Settings) -> Self {
        let slots = match settings.kind {
            bundle::Kind::Engine => settings.slots * BATCH_FACTOR,
            bundle::Kind::Pool => settings.slots,
        };
        let gate = gate::Gate::new(slots, settings.queue_limit, settings.load_lag);
        Self {
            boot: rand::random::<u32>().into(),
            gate: sync::Arc::new(gate),
            cache: cache::Cache::new(settings.cached_prefixes, settings.cache_lag),
            orders: orders::Orders::new(settings.orders == bundle::Orders::Fenced),
            calls: collections::HashMap::new(),
        }
    }
}

impl Core {
    /// Creates the state of a target; `crash` must drop all its connections.
    pub(super) fn new(
        settings: settings::Settings,
        crash: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self {
            memory: sync::Mutex::new(Memory::new(&settings)),
            settings,
            ledger: sync::Mutex::default(),
            behaviour: watch::Sender::default(),
            down: sync::Mutex::default(),
            crash: Box::new(crash),
        }
    }

    /// Returns what a crash loses.
    pub(super) fn memory(&self) -> sync::MutexGuard<'_, Memory> {
        self.memory.lock().unwrap()
    }

    /// Returns the slots of this life of the target.
    pub(super) fn gate(&self) -> sync::Arc<gate::Gate> {
        self.memory().gate.clone()
    }

    /// Crashes the target if the body asks for it.
    pub(super) fn provoke(&self, body: &[u8]) -> bool {
        let text = self.behaviour.borrow().crash_on.clone();
        let provoked = text.is_some_and(|text| contains(body, text.as_bytes()));
        if provoked {
            self.fall();
        }
        provoked
    }

    fn fall(&self) {
        self.ledger.lock().unwrap().crash_running();
        (self.crash)();
    }

    /// Puts a change of the faults into force.
    pub(super) fn behave(&self, change: behaviour::Change) {
        if let Some(lag) = change.load_lag {
            self.gate().set_lag(lag.0);
        }
        let down = change.down;
        self.behaviour
            .send_modify(|behaviour| behaviour.apply(change));
        if let Some(period) = down {
            *self.down.lock().unwrap() = Some(period.0);
            self.fall();
        }
    }

    /// Returns how long the target stays down after a crash; an ordered time counts once.
    pub(super) fn downtime(&self) -> time::Duration {
        let ordered = self.down.lock().unwrap().take();
        ordered.unwrap_or(self.settings.restart_time)
    }

    /// Forgets what a crash loses; no handler of the old life may be left.
    pub(super) fn reboot(&self) {
        *self.memory() = Memory::new(&self.settings);
        if let Some(lag) = self.behaviour.borrow().load_lag {
            self.gate().set_lag(lag.0);
        }
    }

    /// Waits while the target is frozen.
    pub(super) async fn thaw(&self) {
        let mut behaviour = self.behaviour.subscribe();
        let _ = behaviour.wait_for(|b| !b.freeze).await;
    }

    /// Lets a mean time pass, varied by the spread and the faults.
    pub(super) async fn pass(&self, mean: time::Duration) {
        let spread = self.settings.spread;
        let factor = 1.0 + spread * (2.0 * rand::random::<f64>() - 1.0);
        let slow = self.behaviour.borrow().slow;
        tokio::time::sleep(mean.mul_f64(factor * slow)).await;
        self.thaw().await;
    }

    /// Draws whether a call fails.
    pub(super) fn fails(&self) -> bool {
        rand::random::<f64>() < self.behaviour.borrow().fail
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
