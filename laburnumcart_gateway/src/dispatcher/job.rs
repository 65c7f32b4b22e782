//! Jobs of a queue and their announcements, as they are sent between processes.

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

/// Kind of arrival of a request at a service by a job.
///
/// A first arrival adds to the retry budget of the service, a repeated one is charged to it, and a
/// further one does neither.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// The first job of its request at the service.
    First,
    /// A further job of its request, whose pieces were not sent before.
    #[default]
    Further,
    /// A job whose pieces were, or may have been, sent before.
    Repeated,
}

/// Pieces of one stage of a request, submitted to the queue owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Random identifier, chosen by the sender.
    pub id: u64,
    /// Identifier of the caller's attempt.
    pub attempt: String,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Service that executes the pieces.
    pub service: id::ServiceName,
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of one result.
    pub size: unit::Size,
    /// Input of each piece.
    pub input: dialect::Input,
    /// Time left in which the results count as on time.
    pub due: unit::Period,
    /// Time left after which the results are useless.
    pub deadline: unit::Period,
    /// Rank in the queue.
    pub rank: batch::Rank,
    /// Preferred data centre.
    pub near: Option<id::DataCentre>,
    /// Bytes that are sent between data centres if the job is executed in another one.
    pub moved: unit::Size,
    /// Data centres where the job may be executed; `None` allows all.
    pub places: Option<Vec<id::DataCentre>>,
    /// Whether this job is the only reader of its inputs, which are freed once it has read them.
    pub consumes: bool,
    /// Whether this is the last resort: all processes that are not leaving were tried, so that
    /// the receiver accepts the job even while it is leaving.
    pub last: bool,
    /// Kind of arrival, which decides how the job counts in the retry budget.
    #[serde(default)]
    pub arrival: Arrival,
    /// Fingerprint of the content of the stage, by which crashes of targets are attributed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<id::Fingerprint>,
}

impl Job {
    /// Converts the job to a specification for the queue, with times relative to `now`.
    pub(super) fn spec(&self, now: Instant) -> batch::Spec {
        batch::Spec::new(self.pieces, self.size, now + self.due.0)
            .deadline(now + self.deadline.0)
            .rank(self.rank)
            .near(self.near.clone(), self.moved)
            .places(self.places.clone())
    }
}

/// Announcement of a later job to the queue owner, sent when a request begins.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// Identifier of the job.
    pub id: u64,
    /// Service that will execute the pieces.
    pub service: id::ServiceName,
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of one result.
    pub size: unit::Size,
    /// Time left in which the results count as on time.
    pub due: unit::Period,
    /// Time left after which the results are useless.
    pub deadline: unit::Period,
    /// Rank in the queue.
    pub rank: batch::Rank,
}

impl Announcement {
    pub(super) fn spec(&self, now: Instant) -> batch::Spec {
        batch::Spec::new(self.pieces, self.size, now + self.due.0)
            .deadline(now + self.deadline.0)
            .rank(self.rank)
    }
}
