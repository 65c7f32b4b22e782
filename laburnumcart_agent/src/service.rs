//! RPC methods of the agent for entries, other agents and operators.

use std::sync;

use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    types, //
};
use laburnumcart::{
    attempts,
    id,
    lanes,
    unit,
    verdict, //
};
use laburnumcart_wire::{
    agent,
    stage, //
};
use tokio::time;

use crate::{
    execute,
    job,
    shared, //
};

/// Longest time that a call waits for progress of an attempt.
const WAIT_MAX: time::Duration = time::Duration::from_secs(1);

/// Most bytes of result text in one answer.
const ANSWER_MAX: usize = 1 << 20;

/// RPC methods over the shared state.
#[derive(Clone, Debug)]
pub struct Service {
    shared: sync::Arc<shared::Shared>,
}

impl Service {
    /// Creates the methods over `shared`.
    pub fn new(shared: sync::Arc<shared::Shared>) -> Self {
        Self { shared }
    }

    /// Admits a call, or returns the job of an attempt that is already known.
    ///
    /// One lock covers the session check and the admission, so that a session cannot be fenced
    /// between them.
    fn admit(&self, call: stage::Call) -> Result<sync::Arc<job::Job>, verdict::Refusal> {
        if call.incarnation != self.shared.incarnation {
            return Err(verdict::Refusal::not_run(verdict::Reason::WrongIncarnation));
        }
        let mut scheduler = self.shared.scheduler();
        if let Some(job) = scheduler.table.data(call.attempt) {
            return Ok(job.clone());
        }
        let leaving = verdict::Refusal::not_run(verdict::Reason::Leaving);
        let guard = self.shared.gate.enter().ok_or(leaving)?;
        let now = time::Instant::now();
        self.check_accepting(&call, now)?;
        let job = scheduler.admit(call, guard, now)?;
        self.shared.counters.admitted.inc();
        Ok(job)
    }

    fn fenced_error(&self, refusal: verdict::Refusal) -> types::ErrorObjectOwned {
        self.shared.counters.fenced.inc();
        error(agent::FENCED, refusal)
    }

    /// Returns a refusal while the agent cannot execute new work.
    fn check_accepting(
        &self,
        call: &stage::Call,
        now: time::Instant,
    ) -> Result<(), verdict::Refusal> {
        let snapshot = self.shared.snapshot.load();
        if self.shared.is_leaving() {
            return Err(verdict::Refusal::not_run(verdict::Reason::Leaving));
        }
        if snapshot.service_kind().is_none() {
            return Err(verdict::Refusal::not_run(verdict::Reason::NoBundle));
        }
        if !snapshot.ready {
            return Err(verdict::Refusal::not_run(verdict::Reason::NoTarget));
        }
        let refusal = snapshot.suspects.refusal(call.fingerprint, now);
        refusal.map_or(Ok(()), Err)
    }

    /// Waits until there are chunks from number `from` on, the attempt has ended or `wait` is over.
    async fn wait_progress(
        &self,
        job: &job::Job,
        from: u32,
        wait: time::Duration,
    ) -> RpcResult<stage::Progress> {
        let until = time::Instant::now() + wait.min(WAIT_MAX);
        loop {
            let changed = job.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let progress = self.read_progress(job.call.attempt, from)?;
            let is_pending = matches!(progress.state, stage::State::Queued | stage::State::Running);
            if !is_pending || !progress.chunks.is_empty() {
                return Ok(progress);
            }
            if time::timeout_at(until, changed).await.is_err() {
                return Ok(progress);
            }
        }
    }

    fn read_progress(&self, id: id::AttemptId, from: u32) -> RpcResult<stage::Progress> {
        match self
            .shared
            .scheduler()
            .table
            .read_chunks(id, from, ANSWER_MAX)
        {
            Some(Ok(view)) => Ok(progress(id, view)),
            Some(Err(position)) => Err(error(agent::INVALID, position)),
            None => Err(error(agent::UNKNOWN, "unknown attempt")),
        }
    }
}

#[async_trait]
impl agent::AgentServer for Service {
    async fn hello(&self, hello: agent::Hello) -> RpcResult<agent::Report> {
        let session = hello.session;
        let now = time::Instant::now();
        let opened = self
            .shared
            .scheduler()
            .lanes
            .open(session.lane, session.number, now);
        opened.map_err(|refusal| self.fenced_error(refusal))?;
        self.shared.merge_facts(hello.facts, hello.peer).await;
        self.shared.reset_sent_facts(session.lane);
        Ok(self.shared.report(Some(session.lane)))
    }

    async fn beat(&self, beat: agent::Heartbeat) -> RpcResult<agent::Report> {
        let session = beat.session;
        let now = time::Instant::now();
        let checked = self
            .shared
            .scheduler()
            .lanes
            .check(session.lane, session.number, now);
        checked.map_err(|refusal| self.fenced_error(refusal))?;
        let Some(facts) = beat.facts else {
            return Ok(self.shared.report(Some(session.lane)));
        };
        self.shared.merge_facts(facts, beat.peer).await;
        // The sender decides on a retry by the answer. Facts that were sent in the answer to another
        // heartbeat may not be merged there yet.
        Ok(self.shared.report(None))
    }

    async fn start(&self, call: stage::Call) -> RpcResult<stage::Progress> {
        let (request, attempt) = (call.request, call.attempt);
        match self.admit(call) {
            Ok(job) => {
                execute::start_queued(&self.shared);
                self.wait_progress(&job, 0, WAIT_MAX).await
            }
            Err(refusal) => {
                self.shared.counters.record_refusal(&refusal);
                Ok(stage::Progress {
                    request,
                    attempt,
                    chunks: Vec::new(),
                    state: stage::State::Refused(refusal),
                })
            }
        }
    }

    async fn next(&self, next: stage::Next) -> RpcResult<stage::Progress> {
        let job = {
            let mut scheduler = self.shared.scheduler();
            scheduler.table.acknowledge(next.attempt, next.from);
            scheduler.table.data(next.attempt).cloned()
        };
        let job = job.ok_or_else(|| error(agent::UNKNOWN, "unknown attempt"))?;
        job.acknowledged.notify_one();
        self.wait_progress(&job, next.from, next.wait.0).await
    }

    async fn query(&self, query: stage::Query) -> RpcResult<stage::Progress> {
        let session = query.session;
        let refused = |refusal| stage::Progress {
            // The request of an unknown attempt is unknown too.
            request: id::RequestId(0),
            attempt: query.attempt,
            chunks: Vec::new(),
            state: stage::State::Refused(refusal),
        };
        self.shared.counters.queries.inc();
        if query.incarnation != self.shared.incarnation {
            let reason = verdict::Reason::WrongIncarnation;
            return Ok(refused(verdict::Refusal::may_have_run(reason)));
        }
        if query.sent >= session.number {
            return Err(error(
                agent::INVALID,
                "session of the attempt is not fenced",
            ));
        }
        let mut scheduler = self.shared.scheduler();
        scheduler
            .lanes
            .check(session.lane, session.number, time::Instant::now())
            .map_err(|refusal| self.fenced_error(refusal))?;
        if scheduler.table.data(query.attempt).is_none() {
            return Ok(refused(unknown_refusal(&scheduler.lanes, &query)));
        }
        drop(scheduler);
        self.read_progress(query.attempt, query.from)
    }

    async fn cancel(&self, cancel: stage::Cancel) -> RpcResult<()> {
        self.shared
            .scheduler()
            .cancel(cancel.attempt, time::Instant::now());
        execute::start_queued(&self.shared);
        Ok(())
    }

    async fn bundle(&self, least: id::Generation) -> RpcResult<Option<agent::SignedBundle>> {
        Ok(self.shared.feed.signed_bundle(least))
    }

    async fn drain(&self) -> RpcResult<agent::Report> {
        self.shared.start_drain();
        Ok(self.shared.report(None))
    }
}

/// Returns the refusal for a query about an attempt that is not in the table.
fn unknown_refusal(lanes: &lanes::Lanes, query: &stage::Query) -> verdict::Refusal {
    match lanes.unknown_verdict(query.session.lane, query.sent) {
        verdict::Verdict::NotRun => verdict::Refusal::not_run(verdict::Reason::Lost),
        verdict::Verdict::MayHaveRun => verdict::Refusal::may_have_run(verdict::Reason::Lost),
    }
}

fn error(code: i32, message: impl ToString) -> types::ErrorObjectOwned {
    types::ErrorObject::owned(code, message.to_string(), None::<()>)
}

fn progress(id: id::AttemptId, view: attempts::Progress) -> stage::Progress {
    let chunk = |chunk: attempts::Chunk| stage::Chunk {
        number: chunk.number,
        text: chunk.text.as_ref().into(),
    };
    stage::Progress {
        request: view.request,
        attempt: id,
        chunks: view.chunks.into_iter().map(chunk).collect(),
        state: state(view.state),
    }
}

fn state(state: attempts::State) -> stage::State {
    match state {
        attempts::State::Queued => stage::State::Queued,
        attempts::State::Running => stage::State::Running,
        attempts::State::Refused(refusal) => stage::State::Refused(refusal),
        attempts::State::Done(end) => stage::State::Done(stage::End {
            count: end.count,
            checksum: end.checksum,
            busy: unit::Period(end.busy),
            queued: unit::Period(end.queued),
        }),
    }
}
