//! Admitted attempt, and the outcomes of its execution.

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

/// Admitted attempt, shared by its executor and its readers.
#[derive(Debug)]
pub struct Job {
    /// The call as received.
    pub call: stage::Call,
    /// Time after which the result is of no use.
    pub deadline: time::Instant,
    /// Key of its team in the queue.
    pub team: fair::TeamKey,
    /// Cost that the queue charged for it: expected time at the target, in milliseconds.
    pub cost_ms: u32,
    /// Signals a new chunk or the end.
    pub changed: Notify,
    /// Signals that the reader acknowledged chunks.
    pub acknowledged: Notify,
    /// Signals that the sender cancelled the attempt.
    pub cancelled: Notify,
    /// Delays a graceful shutdown until the result is settled.
    _guard: stop::Work,
}

impl Job {
    /// Creates an attempt that delays a graceful shutdown while it holds `guard`.
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

/// Outcome of the execution of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The complete result is in the table.
    Completed,
    /// The target proved that it did not start the attempt.
    NotRun(verdict::Reason, Option<unit::Period>),
    /// The target may have executed the attempt.
    MayHaveRun(verdict::Reason),
}
