//! Execution of admitted attempts at the target, on the traffic threads.

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

/// Unacknowledged bytes of one result above which reading from the target pauses.
const UNACKNOWLEDGED_MAX: usize = 1 << 20;

/// Starts queued attempts while there are free slots.
pub fn start_queued(shared: &sync::Arc<shared::Shared>) {
    loop {
        let mut scheduler = shared.scheduler();
        // Loaded under the lock: an earlier snapshot could predate the start of another suspect.
        let suspects = shared.snapshot.load().suspects.clone();
        let next = scheduler.start_next(&suspects, time::Instant::now());
        drop(scheduler);
        let Some(job) = next else {
            return;
        };
        tokio::spawn(execute(shared.clone(), job));
    }
}

/// Executes one attempt and records its outcome.
async fn execute(shared: sync::Arc<shared::Shared>, job: sync::Arc<job::Job>) {
    let call = &job.call;
    let caller_span = call.traceparent.as_ref().and_then(|text| text.parse().ok());
    let span = tracing::info_span!(
        "execution",
        otel.kind = "server",
        request = %call.request,
        attempt = %call.attempt,
        team = %call.team,
        pipeline = %call.pipeline,
        stage = %call.stage,
    );
    traces::set_parent(&span, caller_span.as_ref());
    let started = time::Instant::now();
    let (outcome, rest) = run_on_target(&shared, &job, caller_span)
        .instrument(span)
        .await;
    let now = time::Instant::now();
    record_busy_time(&shared, &job, outcome, now - started);
    {
        let mut scheduler = shared.scheduler();
        if let Some(text) = rest {
            scheduler.table.push(job.call.attempt, &text);
        }
        scheduler.record_outcome(&job, outcome, now);
    }
    if let job::Outcome::MayHaveRun(reason @ verdict::Reason::TargetFailed) = outcome {
        shared.diagnose_failure().await;
        shared
            .scheduler()
            .record_failure(&job, reason, time::Instant::now());
    }
    record_outcome(&shared, &job, outcome, now);
    start_queued(&shared);
}

/// Adds the time that the target spent on an attempt to the metrics; a refused attempt costs none.
fn record_busy_time(
    shared: &shared::Shared,
    job: &job::Job,
    outcome: job::Outcome,
    busy: time::Duration,
) {
    let spent = match outcome {
        job::Outcome::Completed => counters::Spent::Whole,
        job::Outcome::MayHaveRun(_) => counters::Spent::Wasted,
        job::Outcome::NotRun(..) => return,
    };
    shared
        .counters
        .record_busy_time(&job.call.stage, spent, busy);
}

/// Counts an outcome, and reports cleared suspects to the control thread.
fn record_outcome(
    shared: &shared::Shared,
    job: &job::Job,
    outcome: job::Outcome,
    now: time::Instant,
) {
    let refusal = match outcome {
        job::Outcome::Completed => {
            shared.counters.done.inc();
            let suspects = &shared.snapshot.load().suspects;
            let cleared = suspects.clearances(job.call.fingerprint, now);
            if !cleared.is_empty() {
                shared.notify_control(shared::Message::Cleared(cleared));
            }
            return;
        }
        job::Outcome::NotRun(reason, _) => verdict::Refusal::not_run(reason),
        job::Outcome::MayHaveRun(reason) => verdict::Refusal::may_have_run(reason),
    };
    shared.counters.record_refusal(&refusal);
}

/// Runs an attempt at the target; returns its outcome and the part of its result that was kept back.
async fn run_on_target(
    shared: &sync::Arc<shared::Shared>,
    job: &job::Job,
    caller_span: Option<traces::Traceparent>,
) -> (job::Outcome, Option<String>) {
    let Some(kind) = shared.snapshot.load().service_kind() else {
        return (job::Outcome::NotRun(verdict::Reason::NoBundle, None), None);
    };
    let mut crashes = shared.crashes.subscribe();
    let target = shared.settings.target.name.as_str();
    let span = tracing::info_span!("target", otel.kind = "client", target = target);
    let hop = run::Hop {
        remaining: unit::Period(job.deadline - time::Instant::now()),
        parent: traces::outgoing_parent(&span, caller_span.as_ref()),
    };
    let mut sink = Sink {
        shared,
        job,
        streams: kind == bundle::Kind::Engine,
        rest: None,
    };
    let run = shared.target.run_stage(kind, &job.call, &hop, &mut sink);
    let reason = tokio::select! {
        biased;
        outcome = run.instrument(span) => return (outcome, sink.rest),
        _ = crashes.changed() => verdict::Reason::TargetFailed,
        () = job.cancelled.notified() => verdict::Reason::Cancelled,
        () = time::sleep_until(job.deadline) => verdict::Reason::DeadlineExceeded,
    };
    // Dropping the call closes its connection; the explicit cancel is for targets that ignore this.
    tokio::spawn({
        let shared = shared.clone();
        let id = job.call.attempt;
        async move { shared.target.cancel(id).await }
    });
    (job::Outcome::MayHaveRun(reason), None)
}

struct Sink<'a> {
    shared: &'a shared::Shared,
    job: &'a job::Job,
    /// Whether readers are woken for each part rather than only at the end.
    streams: bool,
    /// Last part of a pool's output.
    ///
    /// It appears together with the end: whoever reads it alone needs another call for the end and
    /// thereby acknowledges it, so that a second reader of the attempt finds it gone.
    rest: Option<String>,
}

impl Sink<'_> {
    async fn store(&self, text: &str) {
        let id = self.job.call.attempt;
        while self.shared.scheduler().table.unacknowledged_bytes(id) >= UNACKNOWLEDGED_MAX {
            self.job.changed.notify_waiters();
            self.job.acknowledged.notified().await;
        }
        self.shared.scheduler().table.push(id, text);
    }
}

impl run::Sink for Sink<'_> {
    async fn push(&mut self, text: &str) {
        if self.streams {
            self.store(text).await;
            self.job.changed.notify_waiters();
        } else if let Some(before) = self.rest.replace(text.into()) {
            self.store(&before).await;
        }
    }
}
