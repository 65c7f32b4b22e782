//! Bytes that this process holds for callers and targets, bounded in total.
//!
//! Bodies and answers wait for room, see [`laburnumcart::held`].

use std::{
    collections, pin,
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time,
};

use prometheus_client::metrics::{
    counter,
    gauge, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use laburnumcart::{
    event,
    held, //
};

use crate::view;

/// Most bytes of bodies that are held for all callers and targets.
///
/// The least memory of a gateway is 120 MB, of which the process itself takes less than half.
pub const TOTAL_MAX: usize = 48 << 20;

/// Time without progress after which a caller makes room for others, while there are as many
/// connections as there may be.
const STALL_MIN: time::Duration = time::Duration::from_secs(2);

/// Time without progress after which a caller makes room for bodies and answers that wait for it.
///
/// Callers that read or send are stalled for one round trip at most.
const SLOW_MIN: time::Duration = time::Duration::from_millis(250);

/// Interval at which what waits for room is tried again, as callers have become slow meanwhile.
const ROOM_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Most bytes of an answer that are read at a time.
const PART_MAX: usize = 64 << 10;

/// Counters of held bytes.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Bytes of bodies that are held.
    pub bytes: gauge::Gauge<i64>,
    /// Connections of callers that were reset because these, or the connections, were too many.
    pub evicted: counter::Counter<u64>,
    /// Bodies and parts of answers that waited for room.
    pub waited: counter::Counter<u64>,
    /// Bodies that were refused as there was no room.
    pub refused: counter::Counter<u64>,
}

/// Bytes held for all callers and targets.
#[derive(Debug)]
pub struct Held {
    state: Mutex<State>,
    /// Notified when bytes are freed.
    freed: Notify,
    /// Counters of these bytes.
    pub counters: Counters,
}

#[derive(Debug)]
struct State {
    ledger: held::Ledger,
    evictions: collections::BTreeMap<held::ConnectionId, Arc<Notify>>,
}

impl Default for Held {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                ledger: held::Ledger::new(TOTAL_MAX),
                evictions: collections::BTreeMap::new(),
            }),
            freed: Notify::new(),
            counters: Counters::default(),
        }
    }
}

impl Held {
    /// Returns the bytes held in total.
    pub fn total(&self) -> usize {
        view::lock(&self.state).ledger.total()
    }

    /// Closes the connection of the caller that has gone longest without progress, if that is long.
    pub fn make_room(&self) {
        let Some(before) = Instant::now().checked_sub(STALL_MIN) else {
            return;
        };
        let mut state = view::lock(&self.state);
        if let Some(id) = state.ledger.evict_stalled(before) {
            self.evict(&mut state, id);
        }
    }

    /// Tells a connection to close.
    fn evict(&self, state: &mut State, id: held::ConnectionId) {
        self.counters.evicted.inc();
        if let Some(eviction) = state.evictions.remove(&id) {
            eviction.notify_one();
        }
    }

    /// Changes the ledger and closes connections of slow callers while it holds too many bytes.
    fn change<T>(&self, change: impl FnOnce(&mut held::Ledger) -> T) -> T {
        let mut state = view::lock(&self.state);
        let before = state.ledger.total();
        let changed = change(&mut state.ledger);
        if let Some(slow) = slow_since() {
            while let Some(id) = state.ledger.evict(slow) {
                self.evict(&mut state, id);
            }
        }
        let total = state.ledger.total();
        drop(state);
        if total < before {
            self.freed.notify_waiters();
        }
        self.counters
            .bytes
            .set(i64::try_from(total).unwrap_or(i64::MAX));
        changed
    }

    /// Waits until `attempt` finds room, which slow callers make.
    async fn wait_for_room(&self, mut attempt: impl FnMut(&mut held::Ledger) -> bool) {
        if self.change(&mut attempt) {
            return;
        }
        self.counters.waited.inc();
        loop {
            let mut freed = pin::pin!(self.freed.notified());
            freed.as_mut().enable();
            if self.change(&mut attempt) {
                return;
            }
            if !self.evict_slow() {
                // Returns after the interval as well, when callers may have become slow.
                let _ = tokio::time::timeout(ROOM_INTERVAL, freed).await;
            }
        }
    }

    /// Closes the connection of the slowest caller that holds much, if there is a slow one.
    fn evict_slow(&self) -> bool {
        let mut state = view::lock(&self.state);
        let slow = slow_since().and_then(|since| state.ledger.evict_large(since));
        if let Some(id) = slow {
            self.evict(&mut state, id);
        }
        slow.is_some()
    }
}

/// Returns the time since which slow callers have made no progress.
fn slow_since() -> Option<Instant> {
    Instant::now().checked_sub(SLOW_MIN)
}

/// Bytes held for the connection of a caller.
#[derive(Debug)]
pub(crate) struct Connection {
    held: Arc<Held>,
    id: held::ConnectionId,
    eviction: Arc<Notify>,
    parts: Mutex<Parts>,
}

#[derive(Debug, Default)]
struct Parts {
    /// Bytes of the body of the request.
    request: usize,
    /// Bytes that were handed to the writer, and are not known to be written.
    handed: usize,
    /// Whether the answer is handed over piece by piece.
    is_stream: bool,
}

impl Connection {
    pub(crate) fn new(held: Arc<Held>) -> Self {
        let eviction: Arc<Notify> = Arc::default();
        let id = {
            let mut state = view::lock(&held.state);
            let id = state.ledger.open(Instant::now());
            state.evictions.insert(id, eviction.clone());
            id
        };
        Self {
            held,
            id,
            eviction,
            parts: Mutex::default(),
        }
    }

    /// Waits until the connection is to be closed for the bytes that it holds.
    pub(crate) async fn wait_evicted(&self) {
        self.eviction.notified().await;
    }

    /// Waits for room for a part of the request's body; returns whether there was any in time.
    pub(crate) async fn hold_request(&self, bytes: usize, patience: time::Duration) -> bool {
        let room = self
            .held
            .wait_for_room(|ledger| ledger.try_hold(self.id, bytes));
        let has_room = tokio::time::timeout(patience, room).await.is_ok();
        match has_room {
            true => view::lock(&self.parts).request += bytes,
            false => {
                self.held.counters.refused.inc();
                event!(
                    Info,
                    "room-refused",
                    bytes = bytes,
                    held = self.held.total(),
                    waited_ms = patience.as_millis()
                );
            }
        }
        has_room
    }

    /// Removes the request's body, which is not sent to a target any more.
    pub(crate) fn free_request(&self) {
        let bytes = std::mem::take(&mut view::lock(&self.parts).request);
        self.free(bytes);
    }

    /// Begins an answer, of which `bytes` are held already, in `room` if they come from a target.
    pub(crate) fn begin_answer(&self, bytes: Option<usize>, room: Option<Arc<Room>>) {
        view::lock(&self.parts).is_stream = bytes.is_none();
        if let Some(bytes) = bytes {
            // At once, or the room would be given to others between.
            self.held.change(|ledger| {
                if let Some(room) = &room {
                    room.free(ledger);
                }
                ledger.hold(self.id, bytes);
            });
        }
    }

    /// Records that a part of an answer was handed to the writer.
    pub(crate) fn record_handed(&self, bytes: usize) {
        let is_stream = {
            let mut parts = view::lock(&self.parts);
            parts.handed += bytes;
            parts.is_stream
        };
        if is_stream {
            self.held.change(|ledger| ledger.hold(self.id, bytes));
        }
    }

    /// Records that bytes were written to the socket.
    pub(crate) fn record_written(&self, bytes: usize) {
        let freed = {
            let mut parts = view::lock(&self.parts);
            // The writer keeps an answer that is known as a whole until its last byte is written.
            let freed = match parts.is_stream {
                true => bytes.min(parts.handed),
                false => 0,
            };
            parts.handed -= freed;
            freed
        };
        let now = Instant::now();
        self.held.change(|ledger| {
            ledger.free(self.id, freed);
            ledger.record_progress(self.id, now);
        });
    }

    /// Records that all that was handed to the writer is written.
    pub(crate) fn record_flush(&self) {
        let bytes = std::mem::take(&mut view::lock(&self.parts).handed);
        self.free(bytes);
    }

    /// Records that bytes were read from the socket.
    pub(crate) fn record_read(&self) {
        let now = Instant::now();
        let mut state = view::lock(&self.held.state);
        state.ledger.record_progress(self.id, now);
    }

    /// Records that the process waits for the caller to read, or to send the rest of a body.
    pub(crate) fn record_stall(&self) {
        view::lock(&self.held.state).ledger.record_stall(self.id);
    }

    fn free(&self, bytes: usize) {
        if bytes > 0 {
            self.held.change(|ledger| ledger.free(self.id, bytes));
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        view::lock(&self.held.state).evictions.remove(&self.id);
        self.held.change(|ledger| ledger.close(self.id));
    }
}

/// Bytes of a response that is being read as a whole.
#[derive(Debug)]
pub(crate) struct Reading {
    held: Arc<Held>,
    /// Size of the body, if it is known.
    size: Option<usize>,
    /// Bytes that have been read.
    bytes: usize,
    /// Room for the next part.
    room: usize,
    answer: held::Answer,
}

impl Reading {
    pub(crate) fn new(held: Arc<Held>, size: Option<usize>) -> Self {
        let answer = match size {
            Some(size) if size <= held::SMALL_MAX => held::Answer::Small,
            Some(_) => held::Answer::Large(held.change(held::Ledger::begin_reading)),
            None => held::Answer::Unsized,
        };
        Self {
            held,
            size,
            bytes: 0,
            room: 0,
            answer,
        }
    }

    /// Waits until there is room for the next part.
    pub(crate) async fn wait_for_room(&mut self) {
        let left = self.size.map(|size| size.saturating_sub(self.bytes));
        let part = left.map_or(PART_MAX, |left| left.min(PART_MAX));
        let wanted = part.saturating_sub(self.room);
        if wanted == 0 {
            return;
        }
        if self.answer == held::Answer::Unsized && self.bytes + part > held::SMALL_MAX {
            let place = self.held.change(held::Ledger::begin_reading);
            self.answer = held::Answer::Large(place);
        }
        let answer = self.answer;
        let room = |ledger: &mut held::Ledger| ledger.try_hold_shared(answer, wanted);
        self.held.wait_for_room(room).await;
        self.room += wanted;
    }

    /// Adds bytes that have been read, for which there is room.
    pub(crate) fn hold(&mut self, bytes: usize) {
        let beyond = bytes.saturating_sub(self.room);
        self.room -= bytes.min(self.room);
        self.bytes += bytes;
        if beyond > 0 {
            self.held.change(|ledger| ledger.hold_shared(beyond));
        }
    }

    /// Ends the reading; what was read is held until the room is dropped.
    pub(crate) fn finish(mut self) -> Arc<Room> {
        Arc::new(Room {
            held: self.held.clone(),
            bytes: atomic::AtomicUsize::new(std::mem::take(&mut self.bytes)),
        })
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.held.change(|ledger| {
            ledger.free_shared(self.bytes + self.room);
            if let held::Answer::Large(place) = self.answer {
                ledger.end_reading(place);
            }
        });
    }
}

/// Room of a response that was read as a whole, until its caller's connection takes it over.
#[derive(Debug)]
pub(crate) struct Room {
    held: Arc<Held>,
    bytes: atomic::AtomicUsize,
}

impl Room {
    /// Frees the bytes, once.
    fn free(&self, ledger: &mut held::Ledger) {
        ledger.free_shared(self.bytes.swap(0, atomic::Ordering::Relaxed));
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.held.change(|ledger| self.free(ledger));
    }
}
