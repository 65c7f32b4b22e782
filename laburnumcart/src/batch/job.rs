//! Jobs: the pieces that one stage of one request needs, and the results of finished pieces.

use std::collections;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::{
    batch::schedule,
    id,
    unit, //
};

slotmap::new_key_type! {
    /// Key of a job in the queue.
    pub struct JobKey;
}

/// Handle of a result that is stored at its target and lost when the target restarts.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{name}")]
pub struct Handle {
    /// Name that the target gave to the result.
    pub name: String,
    /// Start time of the target.
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

/// Outcome of one piece of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The result is stored at the target.
    Stored(Handle),
    /// The time limit passed before the target started the piece.
    Late,
    /// An input no longer exists.
    Gone,
    /// The target had no room for the result.
    NoRoom,
    /// The target failed.
    Failed,
}

/// Urgency of a job; lower ranks go first.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{major}.{minor}")]
pub struct Rank {
    /// Rank of the team, or of the route where teams have none.
    pub major: u8,
    /// Rank of the route among the routes of teams of equal rank.
    pub minor: u8,
}

impl From<u8> for Rank {
    fn from(major: u8) -> Self {
        Self { major, minor: 0 }
    }
}

/// Requirements of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of one result.
    pub size: unit::Size,
    /// Latest time at which the results still let the request meet its objective.
    pub due: Instant,
    /// Time after which the results are useless.
    pub deadline: Instant,
    /// Urgency.
    pub rank: Rank,
    /// Preferred data centre, where the inputs are.
    pub near: Option<id::DataCentre>,
    /// Bytes transferred between data centres if the job is executed in another one.
    pub moved: unit::Size,
    /// Data centres where the job may be executed; `None` allows all.
    pub places: Option<Vec<id::DataCentre>>,
}

impl Spec {
    /// Creates the requirements of a job of the first rank whose deadline is `due`.
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

    /// Sets the time after which the results are useless.
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

    /// Restricts the job to some data centres; `None` allows all.
    #[must_use]
    pub fn places(mut self, places: Option<Vec<id::DataCentre>>) -> Self {
        self.places = places;
        self
    }

    /// Sets the preferred data centre and the bytes that execution in another one transfers.
    #[must_use]
    pub fn near(mut self, near: Option<id::DataCentre>, moved: unit::Size) -> Self {
        self.near = near;
        self.moved = moved;
        self
    }
}

/// One piece of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Job that the piece belongs to.
    pub job: JobKey,
    /// Index within the job.
    pub index: u32,
    /// Approximate size of the result.
    pub size: unit::Size,
}

/// State of a queued job.
#[derive(Clone, Debug)]
pub struct Job {
    pub(super) spec: Spec,
    /// Entry in the schedule of waiting jobs.
    pub(super) entry: schedule::EntryKey,
    /// Pieces that are not in flight and not done.
    pub(super) waiting: collections::VecDeque<u32>,
    /// Results by piece.
    pub(super) results: Vec<Option<Handle>>,
    /// Sends of a piece after which it had to be queued again.
    pub(super) failed_sends: u32,
    /// Whether any piece was ever sent.
    pub(super) sent: bool,
}

impl Job {
    pub(super) fn new(spec: Spec, entry: schedule::EntryKey) -> Self {
        Self {
            entry,
            waiting: (0..spec.pieces).collect(),
            results: vec![None; spec.pieces as usize],
            failed_sends: 0,
            sent: false,
            spec,
        }
    }

    pub(super) fn take_piece(&mut self, key: JobKey) -> Option<Piece> {
        let index = self.waiting.pop_front()?;
        self.sent = true;
        Some(Piece {
            job: key,
            index,
            size: self.spec.size,
        })
    }

    /// Reports whether any piece is in flight or done.
    pub(super) fn is_started(&self) -> bool {
        self.waiting.len() < self.spec.pieces as usize
    }

    pub(super) fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Returns the results that exist, in the order of the pieces.
    pub(super) fn into_results(self) -> Vec<Handle> {
        self.results.into_iter().flatten().collect()
    }
}
