//! An admitted attempt and how it can end.

use laburnumcart::{
    fair,
    unit,
    verdict, //
};
use laburnumcart_daemon::stop;
use laburnumcart_wire::stage;
use tokio::{
    sync::Notify,
    time, //
};

/// An admitted attempt as its executor and its readers share it.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: stage::Call,
    /// Time after which the result is of no use.
    pub deadline: time::Instant,
    /// Its team in the queue.
    pub team: fair::TeamKey,
    /// What the queue charged for it, in milliseconds at the target.
    pub cost_ms: u32,
    /// Signals a new chunk or the end.
    pub changed: Notify,
    /// Signals that chunks were acknowledged.
    pub acknowledged: Notify,
    /// Signals that the sender gave the attempt up.
    pub cancelled: Notify,
    /// Holds up a graceful shutdown until the result is settled.
    _guard: stop::Work,
}

impl Job {
    /// Creates an attempt that holds up a graceful shutdown by `guard`.
    pub fn new(
        call: stage::Call,
        deadline: time::Instant,
        team: fair::TeamKey,
        cost: u32,
        guard: stop::Work,
    ) -> Self {
        Self {
            call,
            deadline,
            team,
            cost_ms: cost,
            changed: Notify::new(),
            acknowledged: Notify::new(),
            cancelled: Notify::new(),
            _guard: guard,
        }
    }
}

/// How the execution of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The whole result is in the table.
    Completed,
    /// The target proved that it did not start the attempt.
    NotRun(verdict::Reason, Option<unit::Period>),
    /// The target may have executed the attempt.
    MayHaveRun(verdict::Reason),
}
