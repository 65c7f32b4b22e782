//! Execution of admitted attempts on the traffic threads.

use std::sync;

use laburnumcart::{
    bundle,
    unit,
    verdict, //
};
use laburnumcart_daemon::traces;
use tokio::time;
use tracing::Instrument;

use crate::{
    counters,
    job,
    shared,
    target::run, //
};

/// Bytes of one result that may wait to be acknowledged before its stream is held back.
const PENDING_MAX: usize = 1 << 20;

/// Starts every queued attempt that has a slot.
pub fn pump(shared: &sync::Arc<shared::Shared>) {
    loop {
        let mut work = shared.work();
        // Loaded before the lock, they could be from before another suspect was started.
        let suspects = shared.snapshot.load().suspects.clone();
        let next = work.next(&suspects, time::Instant::now());
        drop(work);
        let Some(job) = next else {
            return;
        };
        tokio::spawn(execute(shared.clone(), job));
    }
}

/// Executes one attempt to its end.
async fn execute(shared: sync::Arc<shared::Shared>, job: sync::Arc<job::Job>) {
    let call = &job.call;
    let came = call.traceparent.as_ref().and_then(|text| text.parse().ok());
    let span = tracing::info_span!(
        "execution",
        otel.kind = "server",
        request = %call.request,
        attempt = %call.attempt,
        team = %call.team,
        pipeline = %call.pipeline,
        stage = %call.stage,
    );
    traces::set_parent(&span, came.as_ref());
    let begun = time::Instant::now();
    let outcome = attempt(&shared, &job, came).instrument(span).await;
    let now = time::Instant::now();
    spend(&shared, &job, outcome, now - begun);
    shared.work().end(&job, outcome, now);
    if let job::Outcome::MayHaveRun(reason @ verdict::Reason::TargetFailed) = outcome {
        shared.failed().await;
        shared.work().fail(&job, reason, time::Instant::now());
    }
    report(&shared, &job, outcome, now);
    pump(&shared);
}

/// Counts the time that the target spent; what it refused cost it nothing.
fn spend(shared: &shared::Shared, job: &job::Job, outcome: job::Outcome, busy: time::Duration) {
    let spent = match outcome {
        job::Outcome::Whole => counters::Spent::Whole,
        job::Outcome::MayHaveRun(_) => counters::Spent::Wasted,
        job::Outcome::NotRun(..) => return,
    };
    shared.counters.spend(&job.call.stage, spent, busy);
}

/// Counts an outcome and tells the control thread what concerns it.
fn report(shared: &shared::Shared, job: &job::Job, outcome: job::Outcome, now: time::Instant) {
    let refusal = match outcome {
        job::Outcome::Whole => {
            shared.counters.done.inc();
            let suspects = &shared.snapshot.load().suspects;
            let cleared = suspects.clearances(job.call.fingerprint, now);
            if !cleared.is_empty() {
                shared.tell(shared::News::Cleared(cleared));
            }
            return;
        }
        job::Outcome::NotRun(reason, _) => verdict::Refusal::not_run(reason),
        job::Outcome::MayHaveRun(reason) => verdict::Refusal::may_have_run(reason),
    };
    shared.counters.refuse(&refusal);
}

async fn attempt(
    shared: &sync::Arc<shared::Shared>,
    job: &job::Job,
    came: Option<traces::Traceparent>,
) -> job::Outcome {
    let Some(kind) = shared.snapshot.load().kind() else {
        return job::Outcome::NotRun(verdict::Reason::NoBundle, None);
    };
    let mut crashes = shared.crashes.subscribe();
    let target = shared.settings.target.name.as_str();
    let span = tracing::info_span!("target", otel.kind = "client", target = target);
    let hop = run::Hop {
        remaining: unit::Period(job.deadline - time::Instant::now()),
        parent: traces::outgoing_parent(&span, came.as_ref()),
    };
    let mut sink = Sink {
        shared,
        job,
        streams: kind == bundle::Kind::Engine,
    };
    let run = shared.target.run(kind, &job.call, &hop, &mut sink);
    let reason = tokio::select! {
        biased;
        outcome = run.instrument(span) => return outcome,
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
    job::Outcome::MayHaveRun(reason)
}

struct Sink<'a> {
    shared: &'a shared::Shared,
    job: &'a job::Job,
    /// Whether each part is worth an answer of its own.
    streams: bool,
}

impl run::Sink for Sink<'_> {
    async fn push(&mut self, text: &str) {
        let id = self.job.call.attempt;
        while self.shared.work().table.unacknowledged_bytes(id) >= PENDING_MAX {
            self.job.changed.notify_waiters();
            self.job.drained.notified().await;
        }
        self.shared.work().table.push(id, text);
        // The end of a pool's result follows at once. Told of the part before, its reader would
        // come a second time for the end alone.
        if self.streams {
            self.job.changed.notify_waiters();
        }
    }
}
