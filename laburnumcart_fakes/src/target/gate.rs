//! Slots of a target with a bounded queue in the order of priority, and the load that it reports.

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

/// The queue is full.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("queue full")]
pub(super) struct Full;

/// Load at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) queued: u32,
}

/// Slots and queue.
#[derive(Debug)]
pub(super) struct Gate {
    slots: u32,
    limit: u32,
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

/// A slot, given back on drop.
#[derive(Debug)]
pub(super) struct Permit(Option<sync::Arc<Gate>>);

/// A place in the queue, given up on drop.
struct Place<'a> {
    gate: &'a Gate,
    key: (u8, u64),
}

impl Gate {
    pub(super) fn new(slots: u32, limit: u32, lag: time::Duration) -> Self {
        Self {
            slots,
            limit,
            state: sync::Mutex::new(State {
                lag,
                ..State::default()
            }),
        }
    }

    /// Changes the age of the load that is reported.
    pub(super) fn set_lag(&self, lag: time::Duration) {
        self.state.lock().unwrap().lag = lag;
    }

    /// Waits for a slot; lower `rank` goes first.
    pub(super) async fn enter(self: &sync::Arc<Self>, rank: u8) -> Result<Permit, Full> {
        let (key, receiver) = {
            let mut state = self.state.lock().unwrap();
            if state.running < self.slots {
                state.running += 1;
                self.note(&mut state);
                return Ok(Permit(Some(self.clone())));
            }
            if state.waiting.len() >= self.limit as usize {
                return Err(Full);
            }
            let (sender, receiver) = oneshot::channel();
            state.serial += 1;
            let key = (rank, state.serial);
            state.waiting.insert(key, sender);
            self.note(&mut state);
            (key, receiver)
        };
        let _place = Place { gate: self, key };
        receiver.await.map_err(|_| Full)
    }

    /// Returns the load now.
    pub(super) fn load(&self) -> Load {
        load(&self.state.lock().unwrap())
    }

    /// Returns the load as it was one lag ago.
    pub(super) fn lagging(&self) -> Load {
        let mut state = self.state.lock().unwrap();
        prune(&mut state);
        match state.history.front() {
            Some((at, load)) if at.elapsed() >= state.lag => *load,
            _ => Load::default(),
        }
    }

    fn leave(self: sync::Arc<Self>) {
        loop {
            let next = {
                let mut state = self.state.lock().unwrap();
                let next = state.waiting.pop_first();
                if next.is_none() {
                    state.running -= 1;
                }
                self.note(&mut state);
                next
            };
            let Some((_, sender)) = next else { return };
            match sender.send(Permit(Some(self.clone()))) {
                Ok(()) => return,
                // The waiter has gone: the slot goes to the next one.
                Err(mut permit) => permit.0 = None,
            }
        }
    }

    fn note(&self, state: &mut State) {
        let sample = (Instant::now(), load(state));
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

fn load(state: &State) -> Load {
    Load {
        running: state.running,
        queued: state.waiting.len() as u32,
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(gate) = self.0.take() {
            gate.leave();
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock().unwrap();
        if state.waiting.remove(&self.key).is_some() {
            self.gate.note(&mut state);
        }
    }
}
