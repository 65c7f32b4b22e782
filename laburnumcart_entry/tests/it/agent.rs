//! A small agent: keeps attempts, sessions and fences as the protocol says.

use std::{
    collections, net,
    sync::{
        Arc,
        Mutex, //
    },
};

use jsonrpsee::core::{
    RpcResult,
    async_trait, //
};
use tokio::sync;

use laburnumcart::{
    facts,
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::{
    agent,
    agent::AgentServer,
    lane,
    peer,
    stage, //
};

use crate::bench;

/// How the target behaves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Pieces of an engine's text; empty for a pool.
    pub(crate) pieces: Vec<String>,
    /// Whether each step of an execution waits for a permit.
    pub(crate) gated: bool,
    /// Number of starts that are refused as not run first.
    pub(crate) refuse: u32,
    /// Number of executions that fail after one piece first.
    pub(crate) crash: u32,
}

#[derive(Debug)]
struct Kept {
    request: id::RequestId,
    chunks: Vec<stage::Chunk>,
    end: Option<Result<stage::End, verdict::Refusal>>,
}

#[derive(Debug, Default)]
struct Inner {
    fences: collections::HashMap<id::Incarnation, u64>,
    kept: collections::HashMap<id::AttemptId, Kept>,
    calls: Vec<stage::Call>,
    cancelled: Vec<id::AttemptId>,
    leaving: bool,
    refuse: u32,
    crash: u32,
}

/// An agent with its target in one.
#[derive(Debug)]
pub(crate) struct Fake {
    target: id::TargetName,
    service: id::ServiceName,
    incarnation: id::Incarnation,
    plan: Plan,
    inner: Mutex<Inner>,
    changed: sync::Notify,
    /// Permits for the steps of executions.
    pub(crate) gate: sync::Semaphore,
}

/// An agent that listens.
pub(crate) struct Running {
    pub(crate) fake: Arc<Fake>,
    pub(crate) addr: net::SocketAddr,
    handle: peer::Handle,
}

impl Running {
    /// Ends the agent, with all its connections.
    pub(crate) async fn kill(self) {
        self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Starts an agent on a free port.
pub(crate) async fn start(service: &str, plan: Plan) -> Running {
    start_at(service, plan, ([127, 0, 0, 1], 0).into()).await
}

/// Starts an agent on a given address.
pub(crate) async fn start_at(service: &str, plan: Plan, addr: net::SocketAddr) -> Running {
    let inner = Inner {
        refuse: plan.refuse,
        crash: plan.crash,
        ..Inner::default()
    };
    let listener = net::TcpListener::bind(addr).unwrap();
    let addr = listener.local_addr().unwrap();
    let fake = Arc::new(Fake {
        target: format!("target-{}", addr.port()).parse().unwrap(),
        service: service.parse().unwrap(),
        incarnation: id::Incarnation::random(),
        plan,
        inner: Mutex::new(inner),
        changed: sync::Notify::new(),
        gate: sync::Semaphore::new(0),
    });
    let secrets = [bench::SECRET.parse().unwrap()];
    let methods = Shared(fake.clone()).into_rpc();
    let handle = peer::serve(listener, &secrets, methods, &peer::Limits::default()).unwrap();
    Running { fake, addr, handle }
}

impl Fake {
    /// Calls whose execution began.
    pub(crate) fn calls(&self) -> Vec<stage::Call> {
        self.inner.lock().unwrap().calls.clone()
    }

    /// Waits until an attempt was cancelled.
    pub(crate) async fn cancelled(&self) {
        self.until(|inner| !inner.cancelled.is_empty()).await;
    }

    /// Refuses new work from now on.
    pub(crate) fn leave(&self) {
        self.inner.lock().unwrap().leaving = true;
    }

    /// Waits until `count` executions have begun.
    pub(crate) async fn called(&self, count: usize) {
        self.until(|inner| inner.calls.len() >= count).await;
    }

    /// Waits until the last execution has made `count` chunks.
    pub(crate) async fn made(&self, count: usize) {
        self.until(|inner| inner.kept.values().any(|k| k.chunks.len() >= count))
            .await;
    }

    async fn until(&self, check: impl Fn(&Inner) -> bool) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if check(&self.inner.lock().unwrap()) {
                return;
            }
            changed.await;
        }
    }

    fn report(&self) -> agent::Report {
        agent::Report {
            target: self.target.clone(),
            service: self.service.clone(),
            data_centre: "dc-1".parse().unwrap(),
            incarnation: self.incarnation,
            leaving: self.inner.lock().unwrap().leaving,
            ready: true,
            load: agent::Load::default(),
            facts: facts::Facts::default(),
        }
    }

    fn is_fenced(&self, session: lane::Session) -> bool {
        let fences = &self.inner.lock().unwrap().fences;
        fences
            .get(&session.lane)
            .is_none_or(|number| session.number < *number)
    }

    /// Decides on a call in one step with its entry into the table.
    fn admit(&self, call: &stage::Call) -> Result<bool, verdict::Reason> {
        if self.is_fenced(call.session) {
            return Err(verdict::Reason::Fenced);
        }
        if call.incarnation != self.incarnation {
            return Err(verdict::Reason::WrongIncarnation);
        }
        let mut inner = self.inner.lock().unwrap();
        if inner.leaving {
            return Err(verdict::Reason::Leaving);
        }
        if inner.refuse > 0 {
            inner.refuse -= 1;
            return Err(verdict::Reason::Overloaded);
        }
        let kept = Kept {
            request: call.request,
            chunks: Vec::new(),
            end: None,
        };
        assert!(inner.kept.insert(call.attempt, kept).is_none());
        inner.calls.push(call.clone());
        let crash = inner.crash > 0;
        inner.crash = inner.crash.saturating_sub(1);
        drop(inner);
        self.changed.notify_waiters();
        Ok(crash)
    }

    async fn step(&self) {
        if self.plan.gated {
            self.gate.acquire().await.unwrap().forget();
        }
    }

    fn push(&self, attempt: id::AttemptId, text: String) {
        let mut inner = self.inner.lock().unwrap();
        let kept = inner.kept.get_mut(&attempt).unwrap();
        let number = kept.chunks.len() as u32;
        kept.chunks.push(stage::Chunk { number, text });
        drop(inner);
        self.changed.notify_waiters();
    }

    fn end(&self, attempt: id::AttemptId, refusal: Option<verdict::Refusal>) {
        let mut inner = self.inner.lock().unwrap();
        let kept = inner.kept.get_mut(&attempt).unwrap();
        let text: String = kept.chunks.iter().map(|c| c.text.as_str()).collect();
        let end = stage::End {
            count: kept.chunks.len() as u32,
            checksum: stage::checksum(&text),
            busy: unit::Period::from_millis(1),
            queued: unit::Period::from_millis(0),
        };
        kept.end = Some(refusal.map_or(Ok(end), Err));
        drop(inner);
        self.changed.notify_waiters();
    }

    async fn execute(self: Arc<Self>, call: stage::Call, crash: bool) {
        self.step().await;
        let pieces = self.output(&call);
        let count = if crash { 1 } else { pieces.len() };
        for piece in pieces.into_iter().take(count) {
            self.push(call.attempt, piece);
            self.step().await;
        }
        let failed = verdict::Refusal::may_have_run(verdict::Reason::TargetFailed);
        self.end(call.attempt, crash.then_some(failed));
    }

    /// An engine goes on after what was received; a pool echoes its whole call.
    fn output(&self, call: &stage::Call) -> Vec<String> {
        if self.plan.pieces.is_empty() {
            return vec![format!("{{\"{}\": {}}}", call.stage, call.body.get())];
        }
        let received = call.received.as_deref().unwrap_or_default();
        let mut text = String::new();
        let mut rest = Vec::new();
        for piece in &self.plan.pieces {
            if text.len() >= received.len() {
                rest.push(piece.clone());
            }
            text.push_str(piece);
        }
        rest
    }

    fn progress(&self, attempt: id::AttemptId, from: u32) -> Option<stage::Progress> {
        let inner = self.inner.lock().unwrap();
        let kept = inner.kept.get(&attempt)?;
        let state = match kept.end {
            None => stage::State::Running,
            Some(Ok(end)) => stage::State::Done(end),
            Some(Err(refusal)) => stage::State::Refused(refusal),
        };
        Some(stage::Progress {
            request: kept.request,
            attempt,
            chunks: kept.chunks[from as usize..].to_vec(),
            state,
        })
    }

    /// Waits for news, as `start` and `next` do.
    async fn news(&self, attempt: id::AttemptId, from: u32) -> stage::Progress {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let progress = self.progress(attempt, from).unwrap();
            if !progress.chunks.is_empty() || progress.state != stage::State::Running {
                return progress;
            }
            changed.await;
        }
    }
}

fn refused(
    request: id::RequestId,
    attempt: id::AttemptId,
    reason: verdict::Reason,
) -> stage::Progress {
    stage::Progress {
        request,
        attempt,
        chunks: Vec::new(),
        state: stage::State::Refused(verdict::Refusal::not_run(reason)),
    }
}

struct Shared(Arc<Fake>);

#[async_trait]
impl AgentServer for Shared {
    async fn hello(&self, hello: agent::Hello) -> RpcResult<agent::Report> {
        let mut inner = self.0.inner.lock().unwrap();
        let fence = inner.fences.entry(hello.session.lane).or_default();
        *fence = hello.session.number.max(*fence);
        drop(inner);
        Ok(self.0.report())
    }

    async fn beat(&self, _: agent::Heartbeat) -> RpcResult<agent::Report> {
        Ok(self.0.report())
    }

    async fn start(&self, call: stage::Call) -> RpcResult<stage::Progress> {
        let (request, attempt) = (call.request, call.attempt);
        match self.0.admit(&call) {
            Err(reason) => Ok(refused(request, attempt, reason)),
            Ok(crash) => {
                tokio::spawn(self.0.clone().execute(call, crash));
                Ok(self.0.news(attempt, 0).await)
            }
        }
    }

    async fn next(&self, next: stage::Next) -> RpcResult<stage::Progress> {
        let wait = tokio::time::timeout(next.wait.0, self.0.news(next.attempt, next.from)).await;
        Ok(wait.unwrap_or_else(|_| self.0.progress(next.attempt, next.from).unwrap()))
    }

    async fn query(&self, query: stage::Query) -> RpcResult<stage::Progress> {
        let known = self.0.progress(query.attempt, query.from);
        // The real agent keeps no request for an unknown attempt either, and echoes zero.
        let unknown = refused(id::RequestId(0), query.attempt, verdict::Reason::Lost);
        Ok(known.unwrap_or(unknown))
    }

    async fn cancel(&self, cancel: stage::Cancel) -> RpcResult<()> {
        self.0.inner.lock().unwrap().cancelled.push(cancel.attempt);
        self.0.changed.notify_waiters();
        Ok(())
    }

    async fn bundle(&self, _: id::Generation) -> RpcResult<Option<agent::SignedBundle>> {
        Ok(None)
    }

    async fn drain(&self) -> RpcResult<agent::Report> {
        self.0.leave();
        Ok(self.0.report())
    }
}
