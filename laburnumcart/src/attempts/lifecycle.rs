//! Life cycle of an attempt at the agent.
//!
//! The state determines the verdict: a queued attempt can only end as not run, and a running one ends
//! as "may have run" unless the target reports that it did not start.

use tokio::time;

use crate::{
    attempts::chunks,
    id,
    verdict, //
};

/// Identity and time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Descriptor {
    /// Request that it belongs to.
    pub request: id::RequestId,
    /// Identity of the attempt.
    pub attempt: id::AttemptId,
    /// Lane over which it arrived.
    pub lane: id::Incarnation,
    /// Session of the lane over which it arrived.
    pub session: u64,
    /// Time of arrival.
    pub arrived: time::Instant,
    /// Time after which its result is useless.
    pub deadline: time::Instant,
}

/// An attempt in one state of its life cycle.
#[derive(Debug)]
pub struct Attempt<S> {
    /// Identity and time limits.
    pub descriptor: Descriptor,
    /// Data of the state.
    pub state: S,
}

/// State of an attempt that waits for a slot at the target and of which nothing was sent.
#[derive(Debug)]
pub struct Queued;

/// State of an attempt that the target may be executing.
#[derive(Debug)]
pub struct Running {
    /// Time from which on it may have been sent.
    pub started: time::Instant,
    /// Result so far.
    pub chunks: chunks::Chunks,
}

/// State of an attempt whose result is complete.
#[derive(Debug)]
pub struct Done {
    /// End mark.
    pub end: End,
    /// Result without the acknowledged chunks.
    pub chunks: chunks::Chunks,
    /// Time at which it ended.
    pub ended: time::Instant,
}

/// State of an attempt that was refused or failed.
#[derive(Debug)]
pub struct Refused {
    /// Verdict and reason.
    pub refusal: verdict::Refusal,
    /// Time at which it ended.
    pub ended: time::Instant,
}

/// End mark of a result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// Total number of chunks.
    pub count: u32,
    /// Checksum (xxh3) over the text of all chunks in order.
    pub checksum: id::Checksum,
    /// Time spent at the target.
    pub busy: time::Duration,
    /// Time spent in the queue.
    pub queued: time::Duration,
}

impl Attempt<Queued> {
    /// Creates a queued attempt.
    pub fn new(descriptor: Descriptor) -> Self {
        Self {
            descriptor,
            state: Queued,
        }
    }

    /// Marks the attempt as running; must be called before the first byte is sent to the target.
    pub fn mark_running(self, now: time::Instant) -> Attempt<Running> {
        self.with(Running {
            started: now,
            chunks: chunks::Chunks::default(),
        })
    }

    /// Ends an attempt that is still queued, which proves that it did not run.
    pub fn refuse(self, refusal: verdict::Refusal, now: time::Instant) -> Attempt<Refused> {
        self.with(Refused::not_run(refusal, now))
    }
}

impl Attempt<Running> {
    /// Ends the attempt with a complete result.
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

    /// Ends the attempt without a complete result; the target may have executed it.
    pub fn fail(self, reason: verdict::Reason, now: time::Instant) -> Attempt<Refused> {
        self.with(Refused {
            refusal: verdict::Refusal::may_have_run(reason),
            ended: now,
        })
    }

    /// Ends the attempt after the target has reported that it did not start it.
    pub fn refuse_unstarted(
        self,
        refusal: verdict::Refusal,
        now: time::Instant,
    ) -> Attempt<Refused> {
        self.with(Refused::not_run(refusal, now))
    }
}

impl Refused {
    /// Creates the state with the reason and retry delay of `refusal`, and the verdict `NotRun`.
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
