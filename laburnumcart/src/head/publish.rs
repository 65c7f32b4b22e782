//! One operator's change of the head, as a state machine.
//!
//! The driver asks for the next [`Step`], performs it on the object service and reports what came of
//! it. A step that the service refused is simply performed again.

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

/// What an operator wants to be in force.
#[derive(Clone, Debug)]
pub enum Change {
    /// A signed envelope in its stored form.
    Accept(String),
    /// The bundle of an earlier generation.
    Restore(id::Generation),
}

/// What the driver does next. `V` is the object service's version of an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<V> {
    /// Create the object of the envelope unless it exists.
    Create {
        /// Name of the object.
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
    /// Nothing is left to do.
    Done(Result<Head, PublishError>),
}

/// What came of writing the head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The head had another version.
    Conflict,
    /// No answer came; the write may have taken effect.
    Unknown,
}

/// A change that is not in force.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum PublishError {
    /// Another operator moved the head first.
    #[display("generation {} was accepted by another operator meanwhile", winner.generation)]
    Conflict {
        /// What that operator accepted.
        winner: Accepted,
    },
    /// The operator expected another generation to be in force.
    #[display("generation {found} is accepted, not {expected}")]
    Moved {
        /// What the operator expected.
        expected: id::Generation,
        /// What the head says.
        found: id::Generation,
    },
    /// The head has moved on so far that the change's own generation is no longer listed.
    #[display("unknown whether accepted; generation {now} is accepted by now")]
    Forgotten {
        /// What the head says.
        now: id::Generation,
    },
    /// The generation to restore is not listed in the head.
    #[display("generation {wanted} is not among the last ones")]
    NoSuchGeneration {
        /// What was to be restored.
        wanted: id::Generation,
    },
}

/// Where a change stands.
#[derive(Clone, Debug)]
enum Phase<V> {
    /// The envelope has no object yet.
    Storing,
    /// The head was not read yet.
    Reading,
    /// The head was read; `head` is to follow it.
    Writing { expect: Option<V>, head: Head },
    /// It is open whether the write took effect.
    Settling { expect: Option<V>, head: Head },
    /// Final.
    Done(Result<Head, PublishError>),
}

/// One try to change the head, from the first call to its proven outcome.
#[derive(Clone, Debug)]
pub struct Publish<V> {
    change: Change,
    nonce: id::Nonce,
    base: Option<id::Generation>,
    in_doubt: bool,
    phase: Phase<V>,
}

impl<V: Clone + Eq + fmt::Debug> Publish<V> {
    /// Creates a try with a nonce that no other try has.
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

    /// Lets the change succeed only on top of this generation.
    #[must_use]
    pub fn with_base(mut self, base: id::Generation) -> Self {
        self.base = Some(base);
        self
    }

    /// Returns what to do next.
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

    /// Returns whether a write may have taken effect, or may do so yet, without that being known.
    ///
    /// Finding the head unchanged does not end it, as the write may still be under way.
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

    /// Reports that the envelope's object exists.
    pub fn record_created(&mut self) {
        if matches!(self.phase, Phase::Storing) {
            self.phase = Phase::Reading;
        }
    }

    /// Reports what the head is.
    pub fn record_read(&mut self, found: Option<(V, Head)>) {
        self.phase = match std::mem::replace(&mut self.phase, Phase::Reading) {
            Phase::Reading => self.prepare(found),
            Phase::Settling { expect, head } => self.settle(expect, head, found),
            other => other,
        };
    }

    /// Reports what came of writing the head.
    ///
    /// A conflict is settled by reading as well: it may be the own write, repeated after its answer
    /// was lost, that the service now finds in its way.
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

    /// Works out the head that is to follow the one that was read.
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

    /// Decides by the nonce whether a write in doubt took effect.
    fn settle(&self, expect: Option<V>, head: Head, found: Option<(V, Head)>) -> Phase<V> {
        let own = head.accepted;
        let Some((version, now)) = found else {
            // Nothing there is what the write expected, or else a stale read.
            return Phase::Writing { expect, head };
        };
        // The head is as before: the write did not take effect, or the read is stale. The same
        // conditional write again is safe, as only one of the two can find that version.
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
