//! What an agent knows of the attempts that were sent to it.
//!
//! The table admits each attempt id once, keeps the numbered chunks of its result until they are
//! acknowledged, and keeps the end for a bounded time, so that a sender whose connection broke can
//! resume or learn the verdict over a new one.
//!
//! ```
//! use laburnumcart::{attempts, id};
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let bounds = attempts::Limits {
//!     retention: time::Duration::from_secs(60),
//!     bytes: 1 << 20,
//!     attempts: 1000,
//! };
//! let mut table = attempts::Table::new(bounds);
//! let ticket = attempts::Descriptor {
//!     request: id::RequestId(1),
//!     attempt: id::AttemptId(2),
//!     lane: id::Incarnation(3),
//!     session: 1,
//!     arrived: now,
//!     deadline: now + time::Duration::from_secs(10),
//! };
//! assert!(table.admit(ticket, "data").unwrap());
//! assert!(!table.admit(ticket, "a duplicate never starts").unwrap());
//! assert!(table.mark_running(ticket.attempt, now));
//! table.push(ticket.attempt, "text");
//! table.finish(ticket.attempt, now);
//! let view = table.read_chunks(ticket.attempt, 0, 1 << 20).unwrap().unwrap();
//! assert_eq!(view.chunks.len(), 1);
//! assert!(matches!(view.state, attempts::State::Done(end) if end.count == 1));
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
    /// Place of an attempt in the table.
    struct Key;
}

/// Limits of a table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long an ended attempt that was not acknowledged is kept.
    pub retention: time::Duration,
    /// Bytes of results kept, above which nothing is admitted.
    pub bytes: usize,
    /// Attempts kept, above which nothing is admitted.
    pub attempts: usize,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Waits for a slot at the target.
    Queued,
    /// The target executes it.
    Running,
    /// All of the result exists.
    Done(End),
    /// It failed with a final verdict.
    Refused(verdict::Refusal),
}

/// What a sender sees of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// Request that it belongs to.
    pub request: id::RequestId,
    /// Chunks in order from the number that was asked for.
    pub chunks: Vec<Chunk>,
    /// Where it stands; an end is shown only with the last chunk.
    pub state: State,
}

/// An ended attempt that was forgotten before it was acknowledged and that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expired {
    /// Lane that it came over.
    pub lane: id::Incarnation,
    /// Session of the lane that it came over.
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
    /// Empty only while a transition is made.
    phase: Option<Phase>,
    data: T,
    /// The sender asks no more about it.
    settled: bool,
}

/// Attempts of one agent, each with data of the program around it.
#[derive(Debug)]
pub struct Table<T> {
    limits: Limits,
    entries: SlotMap<Key, Entry<T>>,
    ids: collections::HashMap<id::AttemptId, Key>,
    bytes: usize,
}

impl<T> Table<T> {
    /// Creates an empty table.
    pub fn new(bounds: Limits) -> Self {
        Self {
            limits: bounds,
            entries: SlotMap::with_key(),
            ids: collections::HashMap::new(),
            bytes: 0,
        }
    }

    /// Changes how long ended attempts are kept.
    pub fn set_retention(&mut self, retention: time::Duration) {
        self.limits.retention = retention;
    }

    /// Adds an attempt as queued; returns false for one that is known, which must not start again.
    pub fn admit(&mut self, ticket: Descriptor, data: T) -> Result<bool, verdict::Refusal> {
        if self.ids.contains_key(&ticket.attempt) {
            return Ok(false);
        }
        if self.entries.len() >= self.limits.attempts || self.bytes >= self.limits.bytes {
            return Err(verdict::Refusal::not_run(verdict::Reason::Overloaded));
        }
        let attempt = lifecycle::Attempt::new(ticket);
        let key = self.entries.insert(Entry {
            phase: Some(Phase::Queued(attempt)),
            data,
            settled: false,
        });
        self.ids.insert(ticket.attempt, key);
        Ok(true)
    }

    /// Marks a queued attempt as running; returns false if it is not queued any more.
    pub fn mark_running(&mut self, id: id::AttemptId, now: time::Instant) -> bool {
        self.transition(id, |stage| match stage {
            Phase::Queued(attempt) => (Phase::Running(attempt.mark_running(now)), true),
            other => (other, false),
        })
    }

    /// Appends a chunk to the result of a running attempt.
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

    /// Ends a running attempt with its whole result.
    pub fn finish(&mut self, id: id::AttemptId, now: time::Instant) -> bool {
        self.end(id, |stage| match stage {
            Phase::Running(attempt) => (Phase::Done(attempt.finish(now)), true),
            other => (other, false),
        })
    }

    /// Ends a running attempt that its target may have executed.
    pub fn fail(&mut self, id: id::AttemptId, reason: verdict::Reason, now: time::Instant) -> bool {
        self.end(id, |stage| match stage {
            Phase::Running(attempt) => (Phase::Refused(attempt.fail(reason, now)), true),
            other => (other, false),
        })
    }

    /// Ends an attempt that provably did not run: a queued one, or one that its target refused.
    ///
    /// A running attempt is only ended with `proof`, the target's own word that it did not start.
    pub fn refuse(
        &mut self,
        id: id::AttemptId,
        refusal: verdict::Refusal,
        proof: bool,
        now: time::Instant,
    ) -> bool {
        self.end(id, |stage| match stage {
            Phase::Queued(attempt) => (Phase::Refused(attempt.refuse(refusal, now)), true),
            Phase::Running(attempt) if proof => {
                (Phase::Refused(attempt.refuse_unstarted(refusal, now)), true)
            }
            other => (other, false),
        })
    }

    /// Drops the chunks before `from`.
    ///
    /// The attempt itself is kept even when that was all of its result: the sender asks for the next
    /// chunk before it has seen the end mark, and would find the attempt gone instead of done.
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

    /// Forgets an attempt that its sender has settled, now or when it ends.
    pub fn forget(&mut self, id: id::AttemptId) {
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        entry.settled = true;
        if matches!(entry.phase, Some(Phase::Done(_) | Phase::Refused(_))) {
            self.remove(id);
        }
    }

    /// Forgets ended attempts after their retention time; returns those that may have run.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Expired> {
        let retention = self.limits.retention;
        let due = |entry: &Entry<T>| match &entry.phase {
            Some(Phase::Done(attempt)) => now - attempt.state.ended >= retention,
            Some(Phase::Refused(attempt)) => now - attempt.state.ended >= retention,
            _ => false,
        };
        let ids: Vec<id::AttemptId> = self
            .ids
            .iter()
            .filter(|(_, key)| due(&self.entries[**key]))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.remove_expired(id))
            .collect()
    }

    /// Returns what the sender may see from chunk `from` on, in at most `limit` bytes of text.
    ///
    /// Returns `None` for an attempt that is not in the table.
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
        let read = match chunks.map(|chunks| chunks.read(from, limit)) {
            Some(Err(position)) => return Some(Err(position)),
            Some(Ok(read)) => read,
            None => Vec::new(),
        };
        let state = match state {
            // An end shown before its last chunk would look like a broken result.
            State::Done(end) if from + (read.len() as u32) < end.count => State::Running,
            other => other,
        };
        Some(Ok(Progress {
            request,
            chunks: read,
            state,
        }))
    }

    /// Returns the data of an attempt.
    pub fn data(&self, id: id::AttemptId) -> Option<&T> {
        self.get(id).map(|entry| &entry.data)
    }

    /// Returns the identity and time limit of an attempt.
    pub fn descriptor(&self, id: id::AttemptId) -> Option<Descriptor> {
        self.get(id)?.phase.as_ref().map(Phase::descriptor)
    }

    /// Returns when a running attempt began.
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

    /// Returns the bytes of its result that wait to be acknowledged.
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

    /// Returns the bytes of results kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of attempts kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no attempt is kept.
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
        let Some(stage) = entry.phase.take() else {
            return false;
        };
        let (stage, changed) = next(stage);
        entry.phase = Some(stage);
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
        let stage = self.remove(id)?;
        let ticket = stage.descriptor();
        let harmless = |refused: &lifecycle::Attempt<lifecycle::Refused>| {
            refused.state.refusal.verdict == verdict::Verdict::NotRun
        };
        match stage {
            Phase::Refused(refused) if harmless(&refused) => None,
            _ => Some(Expired {
                lane: ticket.lane,
                session: ticket.session,
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
