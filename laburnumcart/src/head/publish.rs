//! State machine of one operator's change of the head.
//!
//! The driver gets the next [`Step`], performs it on the object service and records its outcome. A
//! step that the service refused can be performed again.

use std::fmt;

use derive_more::{
    Display,
    Error, //
};

use super::{
    Accepted,
    Head, //
};
use crate::{
    id,
    signing, //
};

/// Change of the bundle in force.
#[derive(Clone, Debug)]
pub enum Change {
    /// Accepts a signed envelope, in its stored form.
    Accept(String),
    /// Restores the bundle of an earlier generation.
    Restore(id::Generation),
}

/// Next step of the driver. `V` is the object service's type of object versions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<V> {
    /// Create the envelope's object unless it exists.
    Create {
        /// Digest that names the object.
        digest: signing::Digest,
        /// Envelope.
        value: String,
    },
    /// Read the head.
    Read,
    /// Write the head if it has the expected version, or is absent.
    Write {
        /// Version that was read.
        expect: Option<V>,
        /// New value.
        value: String,
    },
    /// The change has ended.
    Done(Result<Head, PublishError>),
}

/// Outcome of writing the head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The head had another version.
    Conflict,
    /// No response arrived; the write may have taken effect.
    Unknown,
}

/// Reason for which a change is not known to be in force.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum PublishError {
    /// Another operator changed the head first.
    #[display("generation {} was accepted by another operator meanwhile", winner.generation)]
    Conflict {
        /// Generation that the other operator accepted.
        winner: Accepted,
    },
    /// The head has another generation than the operator expected.
    #[display("generation {found} is accepted, not {expected}")]
    Moved {
        /// Generation that the operator expected.
        expected: id::Generation,
        /// Generation of the head.
        found: id::Generation,
    },
    /// So many changes followed that the change's own generation is no longer listed.
    #[display("unknown whether the change was accepted; generation {now} is accepted now")]
    Forgotten {
        /// Generation of the head.
        now: id::Generation,
    },
    /// The generation to restore is not listed in the head.
    #[display("generation {wanted} is not listed in the head")]
    NoSuchGeneration {
        /// Generation to restore.
        wanted: id::Generation,
    },
}

/// Phase of a change.
#[derive(Clone, Debug)]
enum Phase<V> {
    /// The envelope's object has to be created.
    Storing,
    /// The head has to be read.
    Reading,
    /// `head` has to be written over version `expect`.
    Writing { expect: Option<V>, head: Head },
    /// The head has to be read to find out whether the write took effect.
    Settling { expect: Option<V>, head: Head },
    /// The outcome is final.
    Done(Result<Head, PublishError>),
}

/// One attempt to change the head, from its first call to a proven outcome.
#[derive(Clone, Debug)]
pub struct Publish<V> {
    change: Change,
    nonce: id::Nonce,
    base: Option<id::Generation>,
    in_doubt: bool,
    phase: Phase<V>,
}

impl<V: Clone + Eq + fmt::Debug> Publish<V> {
    /// Creates an attempt; its nonce must differ from that of any other.
    pub fn new(change: Change, nonce: id::Nonce) -> Self {
        let phase = match change {
            Change::Accept(_) => Phase::Storing,
            Change::Restore(_) => Phase::Reading,
        };
        Self {
            change,
            nonce,
            base: None,
            in_doubt: false,
            phase,
        }
    }

    /// Requires that the change replaces this generation.
    #[must_use]
    pub fn with_base(mut self, base: id::Generation) -> Self {
        self.base = Some(base);
        self
    }

    /// Returns the next step.
    pub fn step(&self) -> Step<V> {
        match &self.phase {
            Phase::Storing => self.create_step(),
            Phase::Reading | Phase::Settling { .. } => Step::Read,
            Phase::Writing { expect, head } => Step::Write {
                expect: expect.clone(),
                value: head.to_text(),
            },
            Phase::Done(outcome) => Step::Done(outcome.clone()),
        }
    }

    /// Reports whether it is unknown if a write took effect or still will.
    ///
    /// Reading an unchanged head does not resolve the doubt, as the write may still be in flight.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt && !matches!(self.phase, Phase::Done(_))
    }

    fn create_step(&self) -> Step<V> {
        match &self.change {
            Change::Accept(value) => Step::Create {
                digest: signing::Digest::of(value.as_bytes()),
                value: value.clone(),
            },
            Change::Restore(_) => Step::Read,
        }
    }

    /// Records that the envelope's object exists.
    pub fn record_created(&mut self) {
        if matches!(self.phase, Phase::Storing) {
            self.phase = Phase::Reading;
        }
    }

    /// Records the version and value of the head, `None` if there is no head.
    pub fn record_read(&mut self, found: Option<(V, Head)>) {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Reading) {
            Phase::Reading => self.prepare(found),
            Phase::Settling { expect, head } => self.settle(expect, head, found),
            other => other,
        };
    }

    /// Records the outcome of writing the head.
    ///
    /// A conflict is settled by reading as well: it may be caused by this change's own earlier
    /// write, if that was repeated after a lost response.
    pub fn record_write(&mut self, outcome: WriteOutcome) {
        self.in_doubt |= outcome == WriteOutcome::Unknown;
        self.phase = match std::mem::replace(&mut self.phase, Phase::Reading) {
            Phase::Writing { head, .. } if outcome == WriteOutcome::Applied => {
                Phase::Done(Ok(head))
            }
            Phase::Writing { expect, head } => Phase::Settling { expect, head },
            other => other,
        };
    }

    /// Computes the head that follows the one that was read.
    fn prepare(&self, found: Option<(V, Head)>) -> Phase<V> {
        let (expect, base) = found.unzip();
        let now = base
            .as_ref()
            .map_or(id::Generation(0), |h| h.accepted.generation);
        if let Some(expected) = self.base.filter(|expected| *expected != now) {
            return Phase::Done(Err(PublishError::Moved {
                expected,
                found: now,
            }));
        }
        let digest = match &self.change {
            Change::Accept(value) => Some(signing::Digest::of(value.as_bytes())),
            Change::Restore(wanted) => base.as_ref().and_then(|head| {
                let mut listed = head.history();
                listed.find(|a| a.generation == *wanted).map(|a| a.digest)
            }),
        };
        match (digest, &self.change) {
            (Some(digest), _) => Phase::Writing {
                expect,
                head: Head::after(base.as_ref(), digest, self.nonce),
            },
            (None, Change::Restore(wanted)) => {
                Phase::Done(Err(PublishError::NoSuchGeneration { wanted: *wanted }))
            }
            (None, Change::Accept(_)) => Phase::Reading,
        }
    }

    /// Determines by the nonce whether a write in doubt took effect.
    fn settle(&self, expect: Option<V>, head: Head, found: Option<(V, Head)>) -> Phase<V> {
        let own = head.accepted;
        let Some((version, now)) = found else {
            // The head is absent as the write expected, or the read is stale.
            return Phase::Writing { expect, head };
        };
        // The head is unchanged: the write did not take effect, or the read is stale. Repeating the
        // conditional write is safe, as only one of the two can find that version.
        if expect.as_ref() == Some(&version) {
            return Phase::Writing { expect, head };
        }
        if now.accepted.generation < own.generation {
            return Phase::Settling { expect, head };
        }
        let listed = now.history().find(|a| a.generation == own.generation);
        Phase::Done(match listed {
            Some(listed) if listed.nonce == own.nonce => Ok(head),
            Some(winner) => Err(PublishError::Conflict { winner: *winner }),
            None => Err(PublishError::Forgotten {
                now: now.accepted.generation,
            }),
        })
    }
}
