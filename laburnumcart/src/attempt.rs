//! Life cycle of one dispatch of a stage, as seen by its sender.

use crate::{
    id,
    verdict, //
};

/// An attempt of which no byte has left the process.
#[derive(Debug)]
pub struct Prepared {
    /// Identity of the attempt.
    pub id: id::AttemptId,
    /// Life of the agent that it is addressed to.
    pub incarnation: id::Incarnation,
}

/// An attempt that may have reached its target.
#[derive(Debug)]
pub struct Sent {
    /// Identity of the attempt.
    pub id: id::AttemptId,
    /// Life of the agent that it is addressed to.
    pub incarnation: id::Incarnation,
}

/// An attempt whose result or verdict is final.
#[derive(Debug)]
pub struct Settled {
    /// Identity of the attempt.
    pub id: id::AttemptId,
    /// `None` when the attempt has executed and its whole result was received.
    pub refusal: Option<verdict::Refusal>,
}

impl Prepared {
    /// Creates an attempt for the given life of an agent.
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self {
            id: id::AttemptId::random(),
            incarnation,
        }
    }

    /// Gives up before anything was sent, which proves that the attempt did not execute.
    pub fn abandon(self, reason: verdict::Reason) -> Settled {
        Settled {
            id: self.id,
            refusal: Some(verdict::Refusal::not_run(reason)),
        }
    }

    /// Marks the attempt as sent; must come before the first byte leaves.
    ///
    /// An attempt that is marked late could be reported "not run" after its bytes have left, and
    /// a non-idempotent request would run twice.
    pub fn mark_sent(self) -> Sent {
        Sent {
            id: self.id,
            incarnation: self.incarnation,
        }
    }
}

impl Sent {
    /// Settles with a refusal in which the agent itself proves its verdict.
    pub fn settle_refused(self, refusal: verdict::Refusal) -> Settled {
        Settled {
            id: self.id,
            refusal: Some(refusal),
        }
    }

    /// Settles with the whole result.
    pub fn settle_done(self) -> Settled {
        Settled {
            id: self.id,
            refusal: None,
        }
    }

    /// Settles without an answer; the attempt may have executed.
    pub fn settle_lost(self, reason: verdict::Reason) -> Settled {
        self.settle_refused(verdict::Refusal::may_have_run(reason))
    }
}
