//! Jobs of a queue, and what announces them.

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use laburnumcart::{
    batch,
    id,
    unit, //
};

use crate::dialect;

/// What a job is to the budget of its service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// The first of its request at the service.
    First,
    /// Another one of its request, whose pieces were not sent before.
    #[default]
    Further,
    /// Its pieces were, or may have been, sent before.
    Repeated,
}

/// A job of another process or of this one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Identity, drawn by the sender.
    pub id: u64,
    /// Attempt of the caller.
    pub attempt: String,
    /// Number of the stage.
    pub stage: u32,
    /// Service that executes it.
    pub service: id::ServiceName,
    /// Number of its pieces.
    pub pieces: u32,
    /// Approximate size of one result.
    pub size: unit::Size,
    /// What each piece works on.
    pub input: dialect::Input,
    /// Time until the results are due.
    pub due: unit::Period,
    /// Time until the results are of no use.
    pub deadline: unit::Period,
    /// Urgency.
    pub rank: batch::Rank,
    /// Data centre where it is best executed.
    pub near: Option<id::DataCentre>,
    /// Bytes that cross between data centres when it is executed in another one.
    pub moved: unit::Size,
    /// Data centres where it may be executed; any without a list.
    pub places: Option<Vec<id::DataCentre>>,
    /// Whether nothing else reads its inputs.
    pub consumes: bool,
    /// Whether a process that is leaving takes it too, as no other does.
    pub last: bool,
    /// Whether its pieces were sent before.
    #[serde(default)]
    pub arrival: Arrival,
}

impl Job {
    /// Returns what the queue is told of it.
    pub(super) fn spec(&self, now: Instant) -> batch::Spec {
        batch::Spec::new(self.pieces, self.size, now + self.due.0)
            .deadline(now + self.deadline.0)
            .rank(self.rank)
            .near(self.near.clone(), self.moved)
            .places(self.places.clone())
    }
}

/// What the owner of a stage's queue is told when a request begins.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity of the job that will come.
    pub id: u64,
    /// Service that will execute it.
    pub service: id::ServiceName,
    /// Number of its pieces.
    pub pieces: u32,
    /// Approximate size of one result.
    pub size: unit::Size,
    /// Time until its results are due.
    pub due: unit::Period,
    /// Time until its results are of no use.
    pub deadline: unit::Period,
    /// Urgency.
    pub rank: batch::Rank,
}

impl Announcement {
    pub(super) fn spec(&self, now: Instant) -> batch::Spec {
        batch::Spec::new(self.pieces, self.size, now + self.due.0)
            .deadline(now + self.deadline.0)
            .rank(self.rank)
    }
}
