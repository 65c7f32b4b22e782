//! A job: the pieces that one stage of one request needs.

use std::collections;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::{
    batch::turns,
    id,
    unit, //
};

slotmap::new_key_type! {
    /// A job in the queue.
    pub struct JobKey;
}

/// A result, which lies at the target that made it and is gone with that life of the target.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{name}")]
pub struct Handle {
    /// Name of the result, as its target gave it.
    pub name: String,
    /// Life of the target.
    pub life: id::Life,
}

impl Handle {
    /// Creates the handle of a result.
    pub fn new(name: impl Into<String>, life: id::Life) -> Self {
        Self {
            name: name.into(),
            life,
        }
    }
}

/// What came of one piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its result lies at the target.
    Stored(Handle),
    /// Its time was over before its turn came.
    Late,
    /// One of its inputs no longer exists.
    Gone,
    /// The target had no room for the result.
    NoRoom,
    /// The target failed.
    Failed,
}

/// Urgency of a job.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{major}.{minor}")]
pub struct Rank {
    /// Rank of its team, or of its route where teams have none; 0 goes first.
    pub major: u8,
    /// Rank of its route among those of equal teams; 0 goes first.
    pub minor: u8,
}

impl From<u8> for Rank {
    fn from(major: u8) -> Self {
        Self { major, minor: 0 }
    }
}

/// What a job needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Number of its pieces.
    pub pieces: u32,
    /// Approximate size of one result.
    pub size: unit::Size,
    /// Latest moment at which its results let the request be on time.
    pub due: Instant,
    /// Moment after which its results are of no use.
    pub deadline: Instant,
    /// Urgency.
    pub rank: Rank,
    /// Data centre where it is best executed.
    pub near: Option<id::DataCentre>,
    /// Bytes that cross between data centres when it is executed in another one.
    pub moved: unit::Size,
    /// Data centres where it may be executed; any without a list.
    pub places: Option<Vec<id::DataCentre>>,
}

impl Spec {
    /// Creates a job of the first rank that is of no use after it is due.
    pub fn new(pieces: u32, size: unit::Size, due: Instant) -> Self {
        Self {
            pieces,
            size,
            due,
            deadline: due,
            rank: Rank::default(),
            near: None,
            moved: unit::Size(0),
            places: None,
        }
    }

    /// Sets the moment after which results are of no use.
    #[must_use]
    pub fn deadline(mut self, deadline: Instant) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the urgency.
    #[must_use]
    pub fn rank(mut self, rank: impl Into<Rank>) -> Self {
        self.rank = rank.into();
        self
    }

    /// Confines it to some data centres.
    #[must_use]
    pub fn places(mut self, places: Option<Vec<id::DataCentre>>) -> Self {
        self.places = places;
        self
    }

    /// Sets where it is best executed, and what crosses between data centres elsewhere.
    #[must_use]
    pub fn near(mut self, near: Option<id::DataCentre>, moved: unit::Size) -> Self {
        self.near = near;
        self.moved = moved;
        self
    }
}

/// A piece that a call takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Job that it belongs to.
    pub job: JobKey,
    /// Its number in the job.
    pub index: u32,
    /// Approximate size of its result.
    pub size: unit::Size,
}

/// A job and how far it is.
#[derive(Clone, Debug)]
pub struct Job {
    pub(super) spec: Spec,
    /// Its turn among those that wait.
    pub(super) turn: turns::TurnKey,
    /// Pieces in no call.
    pub(super) waiting: collections::VecDeque<u32>,
    /// Results by piece.
    pub(super) done: Vec<Option<Handle>>,
    /// Pieces that were sent in vain.
    pub(super) tries: u32,
    /// Whether a call has taken any of its pieces.
    pub(super) sent: bool,
}

impl Job {
    pub(super) fn new(spec: Spec, turn: turns::TurnKey) -> Self {
        Self {
            turn,
            waiting: (0..spec.pieces).collect(),
            done: vec![None; spec.pieces as usize],
            tries: 0,
            sent: false,
            spec,
        }
    }

    pub(super) fn take(&mut self, key: JobKey) -> Option<Piece> {
        let index = self.waiting.pop_front()?;
        self.sent = true;
        Some(Piece {
            job: key,
            index,
            size: self.spec.size,
        })
    }

    /// Reports whether any of its pieces is in a call or done.
    pub(super) fn is_started(&self) -> bool {
        self.waiting.len() < self.spec.pieces as usize
    }

    pub(super) fn is_done(&self) -> bool {
        self.done.iter().all(Option::is_some)
    }

    pub(super) fn made(self) -> Vec<Handle> {
        self.done.into_iter().flatten().collect()
    }
}
