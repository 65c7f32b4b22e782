//! Slots of a target with a bounded priority queue, and the load that the target reports.

use std::{
    collections,
    sync,
    time, //
};

use derive_more::{
    Display,
    Error, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// Error of a call that finds the queue full.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("queue full")]
pub(super) struct Full;

/// Number of running and queued calls at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) queued: u32,
}

/// Slots and the queue for them.
#[derive(Debug)]
pub(super) struct Slots {
    count: u32,
    queue_limit: u32,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lag: time::Duration,
    running: u32,
    serial: u64,
    waiting: collections::BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
    history: collections::VecDeque<(Instant, Load)>,
}

/// A slot, released on drop.
#[derive(Debug)]
pub(super) struct Permit(Option<sync::Arc<Slots>>);

/// A queue entry, removed on drop.
struct QueueEntry<'a> {
    slots: &'a Slots,
    key: (u8, u64),
}

impl Slots {
    pub(super) fn new(count: u32, queue_limit: u32, lag: time::Duration) -> Self {
        Self {
            count,
            queue_limit,
            state: sync::Mutex::new(State {
                lag,
                ..State::default()
            }),
        }
    }

    /// Sets the age of the reported load.
    pub(super) fn set_lag(&self, lag: time::Duration) {
        self.state.lock().unwrap().lag = lag;
    }

    /// Waits for a slot; calls with a lower `rank` go first.
    pub(super) async fn acquire(self: &sync::Arc<Self>, rank: u8) -> Result<Permit, Full> {
        let (key, receiver) = {
            let mut state = self.state.lock().unwrap();
            if state.running < self.count {
                state.running += 1;
                self.record_load(&mut state);
                return Ok(Permit(Some(self.clone())));
            }
            if state.waiting.len() >= self.queue_limit as usize {
                return Err(Full);
            }
            let (sender, receiver) = oneshot::channel();
            state.serial += 1;
            let key = (rank, state.serial);
            state.waiting.insert(key, sender);
            self.record_load(&mut state);
            (key, receiver)
        };
        let _entry = QueueEntry { slots: self, key };
        receiver.await.map_err(|_| Full)
    }

    /// Returns the current load.
    pub(super) fn load(&self) -> Load {
        current_load(&self.state.lock().unwrap())
    }

    /// Returns the load at the time that lies one lag in the past.
    pub(super) fn lagged_load(&self) -> Load {
        let mut state = self.state.lock().unwrap();
        prune(&mut state);
        match state.history.front() {
            Some((at, load)) if at.elapsed() >= state.lag => *load,
            _ => Load::default(),
        }
    }

    fn release(self: sync::Arc<Self>) {
        loop {
            let next = {
                let mut state = self.state.lock().unwrap();
                let next = state.waiting.pop_first();
                if next.is_none() {
                    state.running -= 1;
                }
                self.record_load(&mut state);
                next
            };
            let Some((_, sender)) = next else { return };
            match sender.send(Permit(Some(self.clone()))) {
                Ok(()) => return,
                // The waiter was dropped, so the slot goes to the next one.
                Err(mut permit) => permit.0 = None,
            }
        }
    }

    fn record_load(&self, state: &mut State) {
        let sample = (Instant::now(), current_load(state));
        state.history.push_back(sample);
        prune(state);
    }
}

fn prune(state: &mut State) {
    let lag = state.lag;
    let old = |sample: Option<&(Instant, Load)>| sample.is_some_and(|(at, _)| at.elapsed() >= lag);
    while old(state.history.get(1)) {
        state.history.pop_front();
    }
}

fn current_load(state: &State) -> Load {
    Load {
        running: state.running,
        queued: state.waiting.len() as u32,
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.slots.state.lock().unwrap();
        if state.waiting.remove(&self.key).is_some() {
            self.slots.record_load(&mut state);
        }
    }
}
