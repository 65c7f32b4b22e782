//! Execution of admitted attempts on the traffic threads.

use std::sync;

use laburnumcart::{
    unit,
    verdict, //
};
use tokio::time;

use crate::{
    shared,
    target::run,
    work, //
};

/// Bytes of one result that may wait to be acknowledged before its stream is held back.
const PENDING_MAX: usize = 1 << 20;

/// Starts every queued attempt that has a slot.
pub fn pump(shared: &sync::Arc<shared::Shared>) {
    loop {
        let Some(job) = shared.work().next(time::Instant::now()) else {
            return;
        };
        tokio::spawn(execute(shared.clone(), job));
    }
}

/// Executes one attempt to its end.
async fn execute(shared: sync::Arc<shared::Shared>, job: sync::Arc<work::Job>) {
    let outcome = attempt(&shared, &job).await;
    shared.work().end(&job, outcome, time::Instant::now());
    pump(&shared);
}

async fn attempt(shared: &sync::Arc<shared::Shared>, job: &work::Job) -> work::Outcome {
    let Some(kind) = shared.snapshot.load().kind else {
        return work::Outcome::NotRun(verdict::Reason::NoBundle, None);
    };
    let mut crashes = shared.crashes.subscribe();
    let remaining = unit::Period(job.deadline - time::Instant::now());
    let mut sink = Sink { shared, job };
    let reason = tokio::select! {
        biased;
        outcome = shared.target.run(kind, &job.call, remaining, &mut sink) => return outcome,
        _ = crashes.changed() => verdict::Reason::TargetFailed,
        () = job.cancelled.notified() => verdict::Reason::Cancelled,
        () = time::sleep_until(job.deadline) => verdict::Reason::DeadlineExceeded,
    };
    // The connection was dropped with the call; a target that does not notice is told as well.
    tokio::spawn({
        let shared = shared.clone();
        let id = job.call.attempt;
        async move { shared.target.cancel(id).await }
    });
    work::Outcome::MayHaveRun(reason)
}

struct Sink<'a> {
    shared: &'a shared::Shared,
    job: &'a work::Job,
}

impl run::Sink for Sink<'_> {
    async fn push(&mut self, text: &str) {
        let id = self.job.call.attempt;
        while self.shared.work().table.pending(id) >= PENDING_MAX {
            self.job.drained.notified().await;
        }
        self.shared.work().table.push(id, text);
        self.job.changed.notify_waiters();
    }
}
