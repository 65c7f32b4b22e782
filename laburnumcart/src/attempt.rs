//! Life cycle of an attempt as seen by its sender.

use crate::{
    id,
    verdict, //
};

/// An attempt of which nothing has been sent yet.
#[derive(Debug)]
pub struct Prepared {
    /// Identity of the attempt.
    pub id: id::AttemptId,
    /// Incarnation of the agent that it is addressed to.
    pub incarnation: id::Incarnation,
}

/// An attempt that may have reached its target.
#[derive(Debug)]
pub struct Sent {
    /// Identity of the attempt.
    pub id: id::AttemptId,
    /// Incarnation of the agent that it is addressed to.
    pub incarnation: id::Incarnation,
}

/// An attempt whose outcome is final.
#[derive(Debug)]
pub struct Settled {
    /// Identity of the attempt.
    pub id: id::AttemptId,
    /// `None` if the attempt executed and its whole result was received.
    pub refusal: Option<verdict::Refusal>,
}

impl Prepared {
    /// Creates an attempt for the given incarnation of an agent.
    pub fn new(incarnation: id::Incarnation) -> Self {
        Self {
            id: id::AttemptId::random(),
            incarnation,
        }
    }

    /// Settles the attempt before anything was sent, which proves that it did not execute.
    pub fn abandon(self, reason: verdict::Reason) -> Settled {
        Settled {
            id: self.id,
            refusal: Some(verdict::Refusal::not_run(reason)),
        }
    }

    /// Marks the attempt as sent; must be called before the first byte is sent.
    ///
    /// If it were called later, an attempt that was already sent could be reported as not run, and
    /// a non-idempotent request could execute twice.
    pub fn mark_sent(self) -> Sent {
        Sent {
            id: self.id,
            incarnation: self.incarnation,
        }
    }
}

impl Sent {
    /// Settles the attempt with the agent's refusal, whose verdict the agent has proven.
    pub fn settle_refused(self, refusal: verdict::Refusal) -> Settled {
        Settled {
            id: self.id,
            refusal: Some(refusal),
        }
    }

    /// Settles the attempt after its whole result was received.
    pub fn settle_done(self) -> Settled {
        Settled {
            id: self.id,
            refusal: None,
        }
    }

    /// Settles the attempt without a whole result; it may have executed.
    pub fn settle_lost(self, reason: verdict::Reason) -> Settled {
        self.settle_refused(verdict::Refusal::may_have_run(reason))
    }
}
