//! Table of the attempts at an agent.
//!
//! The table admits each attempt id once. It keeps the numbered chunks of a result until they are
//! acknowledged and the outcome for a bounded time, so that a sender that lost its connection can
//! resume the result or learn the verdict over a new one.
//!
//! ```
//! use laburnumcart::{attempts, id};
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let limits = attempts::Limits {
//!     retention: time::Duration::from_secs(60),
//!     bytes: 1 << 20,
//!     attempts: 1000,
//! };
//! let mut table = attempts::Table::new(limits);
//! let descriptor = attempts::Descriptor {
//!     request: id::RequestId(1),
//!     attempt: id::AttemptId(2),
//!     lane: id::Incarnation(3),
//!     session: 1,
//!     arrived: now,
//!     deadline: now + time::Duration::from_secs(10),
//! };
//! assert!(table.admit(descriptor, "data").unwrap());
//! assert!(!table.admit(descriptor, "a duplicate never starts").unwrap());
//! assert!(table.mark_running(descriptor.attempt, now));
//! table.push(descriptor.attempt, "text");
//! table.finish(descriptor.attempt, now);
//! let progress = table.read_chunks(descriptor.attempt, 0, 1 << 20).unwrap().unwrap();
//! assert_eq!(progress.chunks.len(), 1);
//! assert!(matches!(progress.state, attempts::State::Done(end) if end.count == 1));
//! ```

pub mod chunks;
pub mod lifecycle;

use std::collections;

use slotmap::{
    SlotMap,
    new_key_type, //
};
use tokio::time;

pub use self::{
    chunks::{
        Chunk,
        PositionError, //
    },
    lifecycle::{
        Descriptor, //
        End,
    },
};
use crate::{
    id,
    verdict, //
};

new_key_type! {
    /// Key of an attempt in the table.
    struct Key;
}

/// Limits on what a table keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which an ended attempt is kept if its sender does not settle it.
    pub retention: time::Duration,
    /// Bytes of stored results from which on no attempt is admitted.
    pub bytes: usize,
    /// Largest number of attempts.
    pub attempts: usize,
}

/// State of an attempt as shown to its sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Waiting for a slot at the target.
    Queued,
    /// Being executed by the target.
    Running,
    /// Ended with a whole result.
    Done(End),
    /// Refused or failed, with the final verdict.
    Refused(verdict::Refusal),
}

/// Progress of an attempt as shown to its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// Request that it belongs to.
    pub request: id::RequestId,
    /// Chunks in order, starting at the requested number.
    pub chunks: Vec<Chunk>,
    /// State; `Done` is reported only together with the last chunk.
    pub state: State,
}

/// An ended attempt that may have run and was dropped before its sender settled it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expired {
    /// Lane over which it arrived.
    pub lane: id::Incarnation,
    /// Session of the lane over which it arrived.
    pub session: u64,
}

#[derive(Debug)]
enum Phase {
    Queued(lifecycle::Attempt<lifecycle::Queued>),
    Running(lifecycle::Attempt<lifecycle::Running>),
    Done(lifecycle::Attempt<lifecycle::Done>),
    Refused(lifecycle::Attempt<lifecycle::Refused>),
}

#[derive(Debug)]
struct Entry<T> {
    /// `None` only during a transition.
    phase: Option<Phase>,
    data: T,
    /// Whether the sender has settled the attempt and will not ask about it again.
    settled: bool,
}

/// Attempts of one agent, each with caller-defined data.
#[derive(Debug)]
pub struct Table<T> {
    limits: Limits,
    entries: SlotMap<Key, Entry<T>>,
    ids: collections::HashMap<id::AttemptId, Key>,
    bytes: usize,
}

impl<T> Table<T> {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            ids: collections::HashMap::new(),
            bytes: 0,
        }
    }

    /// Sets the time for which ended attempts are kept.
    pub fn set_retention(&mut self, retention: time::Duration) {
        self.limits.retention = retention;
    }

    /// Adds a queued attempt; returns false for a known one, which must not start again.
    pub fn admit(&mut self, descriptor: Descriptor, data: T) -> Result<bool, verdict::Refusal> {
        if self.ids.contains_key(&descriptor.attempt) {
            return Ok(false);
        }
        if self.entries.len() >= self.limits.attempts || self.bytes >= self.limits.bytes {
            return Err(verdict::Refusal::not_run(verdict::Reason::Overloaded));
        }
        let attempt = lifecycle::Attempt::new(descriptor);
        let key = self.entries.insert(Entry {
            phase: Some(Phase::Queued(attempt)),
            data,
            settled: false,
        });
        self.ids.insert(descriptor.attempt, key);
        Ok(true)
    }

    /// Marks a queued attempt as running; returns false if it is no longer queued.
    pub fn mark_running(&mut self, id: id::AttemptId, now: time::Instant) -> bool {
        self.transition(id, |phase| match phase {
            Phase::Queued(attempt) => (Phase::Running(attempt.mark_running(now)), true),
            other => (other, false),
        })
    }

    /// Appends a chunk to the result of a running attempt; returns false if it is not running.
    pub fn push(&mut self, id: id::AttemptId, text: &str) -> bool {
        let Some(entry) = self.get_mut(id) else {
            return false;
        };
        let Some(Phase::Running(attempt)) = &mut entry.phase else {
            return false;
        };
        attempt.state.chunks.push(text);
        self.bytes += text.len();
        true
    }

    /// Ends a running attempt whose result is complete; returns false if it is not running.
    pub fn finish(&mut self, id: id::AttemptId, now: time::Instant) -> bool {
        self.end(id, |phase| match phase {
            Phase::Running(attempt) => (Phase::Done(attempt.finish(now)), true),
            other => (other, false),
        })
    }

    /// Ends a running attempt as failed; the target may have executed it.
    pub fn fail(&mut self, id: id::AttemptId, reason: verdict::Reason, now: time::Instant) -> bool {
        self.end(id, |phase| match phase {
            Phase::Running(attempt) => (Phase::Refused(attempt.fail(reason, now)), true),
            other => (other, false),
        })
    }

    /// Ends an attempt as proven not to have run.
    ///
    /// A running attempt is only ended if `unstarted` is set, that is, if the target itself has
    /// reported that it did not start the attempt.
    pub fn refuse(
        &mut self,
        id: id::AttemptId,
        refusal: verdict::Refusal,
        unstarted: bool,
        now: time::Instant,
    ) -> bool {
        self.end(id, |phase| match phase {
            Phase::Queued(attempt) => (Phase::Refused(attempt.refuse(refusal, now)), true),
            Phase::Running(attempt) if unstarted => {
                (Phase::Refused(attempt.refuse_unstarted(refusal, now)), true)
            }
            other => (other, false),
        })
    }

    /// Drops the chunks before `from`.
    ///
    /// The attempt is kept even if no chunk is left: its sender acknowledges the last chunk before
    /// it has seen the end mark, and must still find the attempt done.
    pub fn acknowledge(&mut self, id: id::AttemptId, from: u32) {
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        let chunks = match &mut entry.phase {
            Some(Phase::Running(attempt)) => &mut attempt.state.chunks,
            Some(Phase::Done(attempt)) => &mut attempt.state.chunks,
            _ => return,
        };
        let before = chunks.bytes();
        chunks.acknowledge(from);
        let freed = before - chunks.bytes();
        self.bytes -= freed;
    }

    /// Drops an attempt that its sender has settled, at once or as soon as it ends.
    pub fn forget(&mut self, id: id::AttemptId) {
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        entry.settled = true;
        if matches!(entry.phase, Some(Phase::Done(_) | Phase::Refused(_))) {
            self.remove(id);
        }
    }

    /// Drops ended attempts past their retention time; returns those that may have run.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Expired> {
        let retention = self.limits.retention;
        let has_expired = |entry: &Entry<T>| match &entry.phase {
            Some(Phase::Done(attempt)) => now - attempt.state.ended >= retention,
            Some(Phase::Refused(attempt)) => now - attempt.state.ended >= retention,
            _ => false,
        };
        let ids: Vec<id::AttemptId> = self
            .ids
            .iter()
            .filter(|(_, key)| has_expired(&self.entries[**key]))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.remove_expired(id))
            .collect()
    }

    /// Returns the progress of an attempt with the chunks from number `from` on.
    ///
    /// The chunks hold at most `limit` bytes of text, or are a single larger one. Returns `None`
    /// for an attempt that is not in the table.
    pub fn read_chunks(
        &self,
        id: id::AttemptId,
        from: u32,
        limit: usize,
    ) -> Option<Result<Progress, PositionError>> {
        let entry = self.get(id)?;
        let (request, chunks, state) = match entry.phase.as_ref()? {
            Phase::Queued(attempt) => (attempt.descriptor.request, None, State::Queued),
            Phase::Running(attempt) => {
                let chunks = Some(&attempt.state.chunks);
                (attempt.descriptor.request, chunks, State::Running)
            }
            Phase::Done(attempt) => {
                let chunks = Some(&attempt.state.chunks);
                (
                    attempt.descriptor.request,
                    chunks,
                    State::Done(attempt.state.end),
                )
            }
            Phase::Refused(attempt) => {
                let state = State::Refused(attempt.state.refusal);
                (attempt.descriptor.request, None, state)
            }
        };
        let chunks = match chunks.map(|chunks| chunks.read(from, limit)) {
            Some(Err(error)) => return Some(Err(error)),
            Some(Ok(chunks)) => chunks,
            None => Vec::new(),
        };
        let state = match state {
            // The sender would take an end before the last chunk for an incomplete result.
            State::Done(end) if from + (chunks.len() as u32) < end.count => State::Running,
            other => other,
        };
        Some(Ok(Progress {
            request,
            chunks,
            state,
        }))
    }

    /// Returns the caller-defined data of an attempt.
    pub fn data(&self, id: id::AttemptId) -> Option<&T> {
        self.get(id).map(|entry| &entry.data)
    }

    /// Returns the descriptor of an attempt.
    pub fn descriptor(&self, id: id::AttemptId) -> Option<Descriptor> {
        self.get(id)?.phase.as_ref().map(Phase::descriptor)
    }

    /// Returns the time at which a running attempt was started.
    pub fn started_at(&self, id: id::AttemptId) -> Option<time::Instant> {
        match self.get(id)?.phase.as_ref()? {
            Phase::Running(attempt) => Some(attempt.state.started),
            _ => None,
        }
    }

    /// Returns the number of chunks of a running attempt so far.
    pub fn chunk_count(&self, id: id::AttemptId) -> u32 {
        match self.get(id).and_then(|entry| entry.phase.as_ref()) {
            Some(Phase::Running(attempt)) => attempt.state.chunks.count(),
            _ => 0,
        }
    }

    /// Returns the bytes of a running attempt's result that are not acknowledged.
    pub fn unacknowledged_bytes(&self, id: id::AttemptId) -> usize {
        match self.get(id).and_then(|entry| entry.phase.as_ref()) {
            Some(Phase::Running(attempt)) => attempt.state.chunks.bytes(),
            _ => 0,
        }
    }

    /// Returns the running attempts with their data.
    pub fn running(&self) -> impl Iterator<Item = (id::AttemptId, &T)> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.phase {
                Some(Phase::Running(attempt)) => Some((attempt.descriptor.attempt, &entry.data)),
                _ => None,
            })
    }

    /// Returns the queued attempts with their data.
    pub fn queued(&self) -> impl Iterator<Item = (id::AttemptId, &T)> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.phase {
                Some(Phase::Queued(attempt)) => Some((attempt.descriptor.attempt, &entry.data)),
                _ => None,
            })
    }

    /// Returns the bytes of all stored results.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of attempts in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn get(&self, id: id::AttemptId) -> Option<&Entry<T>> {
        self.ids.get(&id).map(|key| &self.entries[*key])
    }

    fn get_mut(&mut self, id: id::AttemptId) -> Option<&mut Entry<T>> {
        let key = self.ids.get(&id)?;
        self.entries.get_mut(*key)
    }

    fn transition(&mut self, id: id::AttemptId, next: impl FnOnce(Phase) -> (Phase, bool)) -> bool {
        let Some(entry) = self.get_mut(id) else {
            return false;
        };
        let Some(phase) = entry.phase.take() else {
            return false;
        };
        let (phase, changed) = next(phase);
        entry.phase = Some(phase);
        changed
    }

    fn end(&mut self, id: id::AttemptId, next: impl FnOnce(Phase) -> (Phase, bool)) -> bool {
        let before = self.kept_bytes(id);
        let changed = self.transition(id, next);
        self.bytes -= before - self.kept_bytes(id);
        if changed && self.get(id).is_some_and(|entry| entry.settled) {
            self.remove(id);
        }
        changed
    }

    fn kept_bytes(&self, id: id::AttemptId) -> usize {
        match self.get(id).and_then(|entry| entry.phase.as_ref()) {
            Some(Phase::Running(attempt)) => attempt.state.chunks.bytes(),
            Some(Phase::Done(attempt)) => attempt.state.chunks.bytes(),
            _ => 0,
        }
    }

    fn remove(&mut self, id: id::AttemptId) -> Option<Phase> {
        self.bytes -= self.kept_bytes(id);
        let key = self.ids.remove(&id)?;
        self.entries.remove(key)?.phase
    }

    fn remove_expired(&mut self, id: id::AttemptId) -> Option<Expired> {
        let phase = self.remove(id)?;
        let descriptor = phase.descriptor();
        let is_not_run = |refused: &lifecycle::Attempt<lifecycle::Refused>| {
            refused.state.refusal.verdict == verdict::Verdict::NotRun
        };
        match phase {
            Phase::Refused(refused) if is_not_run(&refused) => None,
            _ => Some(Expired {
                lane: descriptor.lane,
                session: descriptor.session,
            }),
        }
    }
}

impl Phase {
    fn descriptor(&self) -> Descriptor {
        match self {
            Self::Queued(attempt) => attempt.descriptor,
            Self::Running(attempt) => attempt.descriptor,
            Self::Done(attempt) => attempt.descriptor,
            Self::Refused(attempt) => attempt.descriptor,
        }
    }
}
