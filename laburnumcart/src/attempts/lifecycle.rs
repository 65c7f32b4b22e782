//! Life cycle of one attempt at the agent that executes it.
//!
//! The verdict of a refusal follows from the state: a queued attempt can only end as "not run", a
//! running one ends as "may have run" unless its target proves the contrary.

use tokio::time;

use crate::{
    attempts::chunks,
    id,
    verdict, //
};

/// Identity and time limit of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Descriptor {
    /// Request that it belongs to.
    pub request: id::RequestId,
    /// This dispatch.
    pub attempt: id::AttemptId,
    /// Lane that it came over.
    pub lane: id::Incarnation,
    /// Session of the lane that it came over.
    pub session: u64,
    /// Time of its arrival.
    pub arrived: time::Instant,
    /// Time after which its result is of no use.
    pub deadline: time::Instant,
}

/// An attempt in one state of its life cycle.
#[derive(Debug)]
pub struct Attempt<S> {
    /// Identity and time limit.
    pub descriptor: Descriptor,
    /// What belongs to the state.
    pub state: S,
}

/// Waits for a slot at the target; no byte has left for it.
#[derive(Debug)]
pub struct Queued;

/// The target executes it, or may do so.
#[derive(Debug)]
pub struct Running {
    /// When its bytes may have left.
    pub started: time::Instant,
    /// Result so far.
    pub chunks: chunks::Chunks,
}

/// All of the result exists.
#[derive(Debug)]
pub struct Done {
    /// End mark.
    pub end: End,
    /// Result, less what was acknowledged.
    pub chunks: chunks::Chunks,
    /// When it ended.
    pub ended: time::Instant,
}

/// It failed with a final verdict.
#[derive(Debug)]
pub struct Refused {
    /// Verdict and cause.
    pub refusal: verdict::Refusal,
    /// When it ended.
    pub ended: time::Instant,
}

/// End mark of a result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// Number of chunks in all.
    pub count: u32,
    /// xxh3 over the text of all chunks in order.
    pub checksum: id::Checksum,
    /// Time that the target spent on it.
    pub busy: time::Duration,
    /// Time that it waited for its target.
    pub queued: time::Duration,
}

impl Attempt<Queued> {
    /// Creates an attempt that has just arrived.
    pub fn new(ticket: Descriptor) -> Self {
        Self {
            descriptor: ticket,
            state: Queued,
        }
    }

    /// Marks the attempt as running; must come before the first byte leaves for the target.
    pub fn mark_running(self, now: time::Instant) -> Attempt<Running> {
        self.with(Running {
            started: now,
            chunks: chunks::Chunks::default(),
        })
    }

    /// Ends an attempt that never left the queue, which proves that it did not run.
    pub fn refuse(self, refusal: verdict::Refusal, now: time::Instant) -> Attempt<Refused> {
        self.with(Refused::not_run(refusal, now))
    }
}

impl Attempt<Running> {
    /// Ends the attempt with its whole result.
    pub fn finish(mut self, now: time::Instant) -> Attempt<Done> {
        let chunks = std::mem::take(&mut self.state.chunks);
        let end = End {
            count: chunks.count(),
            checksum: chunks.checksum(),
            busy: now - self.state.started,
            queued: self.state.started - self.descriptor.arrived,
        };
        self.with(Done {
            end,
            chunks,
            ended: now,
        })
    }

    /// Ends the attempt without a whole result; the target may have executed it.
    pub fn fail(self, reason: verdict::Reason, now: time::Instant) -> Attempt<Refused> {
        self.with(Refused {
            refusal: verdict::Refusal::may_have_run(reason),
            ended: now,
        })
    }

    /// Ends the attempt when the target has proven that it did not start it.
    pub fn refuse_unstarted(
        self,
        refusal: verdict::Refusal,
        now: time::Instant,
    ) -> Attempt<Refused> {
        self.with(Refused::not_run(refusal, now))
    }
}

impl Refused {
    /// Takes cause and retry time of `refusal`; the verdict follows from the state.
    fn not_run(refusal: verdict::Refusal, now: time::Instant) -> Self {
        let verdict = verdict::Verdict::NotRun;
        Self {
            refusal: verdict::Refusal { verdict, ..refusal },
            ended: now,
        }
    }
}

impl<S> Attempt<S> {
    fn with<N>(self, state: N) -> Attempt<N> {
        Attempt {
            descriptor: self.descriptor,
            state,
        }
    }
}
