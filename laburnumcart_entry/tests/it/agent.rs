//! Fake agent that implements attempts, sessions and fencing as the protocol demands.

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

use crate::fixture;

/// Behaviour of the fake target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    /// Pieces of an engine's text; empty for a pool.
    pub(crate) pieces: Vec<String>,
    /// Whether each step of an execution waits for a permit.
    pub(crate) gated: bool,
    /// Number of calls that are refused as not run before the first one is accepted.
    pub(crate) refuse: u32,
    /// Number of executions that fail after one piece before the first one succeeds.
    pub(crate) crash: u32,
}

#[derive(Debug)]
struct Attempt {
    request: id::RequestId,
    chunks: Vec<stage::Chunk>,
    end: Option<Result<stage::End, verdict::Refusal>>,
}

#[derive(Debug, Default)]
struct State {
    fences: collections::HashMap<id::Incarnation, u64>,
    attempts: collections::HashMap<id::AttemptId, Attempt>,
    calls: Vec<stage::Call>,
    cancelled: Vec<id::AttemptId>,
    leaving: bool,
    refuse: u32,
    crash: u32,
}

/// An agent and its target.
#[derive(Debug)]
pub(crate) struct Fake {
    target: id::TargetName,
    service: id::ServiceName,
    incarnation: id::Incarnation,
    behaviour: Behaviour,
    state: Mutex<State>,
    changed: sync::Notify,
    /// Permits for the steps of executions.
    pub(crate) gate: sync::Semaphore,
}

/// A fake agent that accepts connections.
pub(crate) struct Running {
    pub(crate) fake: Arc<Fake>,
    pub(crate) addr: net::SocketAddr,
    handle: peer::Handle,
}

impl Running {
    /// Stops the agent and closes its connections.
    pub(crate) async fn kill(self) {
        self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Starts an agent on a free port.
pub(crate) async fn start(service: &str, behaviour: Behaviour) -> Running {
    start_at(service, behaviour, ([127, 0, 0, 1], 0).into()).await
}

/// Starts an agent on a given address.
pub(crate) async fn start_at(
    service: &str,
    behaviour: Behaviour,
    addr: net::SocketAddr,
) -> Running {
    let state = State {
        refuse: behaviour.refuse,
        crash: behaviour.crash,
        ..State::default()
    };
    let listener = net::TcpListener::bind(addr).unwrap();
    let addr = listener.local_addr().unwrap();
    let fake = Arc::new(Fake {
        target: format!("target-{}", addr.port()).parse().unwrap(),
        service: service.parse().unwrap(),
        incarnation: id::Incarnation::random(),
        behaviour,
        state: Mutex::new(state),
        changed: sync::Notify::new(),
        gate: sync::Semaphore::new(0),
    });
    let secrets = [fixture::SECRET.parse().unwrap()];
    let methods = Rpc(fake.clone()).into_rpc();
    let handle = peer::serve(listener, &secrets, methods, &peer::Limits::default()).unwrap();
    Running { fake, addr, handle }
}

impl Fake {
    /// Returns the calls whose execution has started.
    pub(crate) fn calls(&self) -> Vec<stage::Call> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Waits until an attempt was cancelled.
    pub(crate) async fn wait_cancelled(&self) {
        self.wait_until(|state| !state.cancelled.is_empty()).await;
    }

    /// Refuses new work from now on.
    pub(crate) fn leave(&self) {
        self.state.lock().unwrap().leaving = true;
    }

    /// Waits until `count` executions have started.
    pub(crate) async fn wait_started(&self, count: usize) {
        self.wait_until(|state| state.calls.len() >= count).await;
    }

    /// Waits until an execution has produced `count` chunks.
    pub(crate) async fn wait_chunks(&self, count: usize) {
        self.wait_until(|state| state.attempts.values().any(|k| k.chunks.len() >= count))
            .await;
    }

    async fn wait_until(&self, check: impl Fn(&State) -> bool) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if check(&self.state.lock().unwrap()) {
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
            leaving: self.state.lock().unwrap().leaving,
            ready: true,
            load: agent::Load::default(),
            facts: facts::Facts::default(),
        }
    }

    fn is_fenced(&self, session: lane::Session) -> bool {
        let fences = &self.state.lock().unwrap().fences;
        fences
            .get(&session.lane)
            .is_none_or(|number| session.number < *number)
    }

    /// Checks a call and registers its attempt; returns whether its execution will fail.
    fn admit(&self, call: &stage::Call) -> Result<bool, verdict::Reason> {
        if self.is_fenced(call.session) {
            return Err(verdict::Reason::Fenced);
        }
        if call.incarnation != self.incarnation {
            return Err(verdict::Reason::WrongIncarnation);
        }
        let mut state = self.state.lock().unwrap();
        if state.leaving {
            return Err(verdict::Reason::Leaving);
        }
        if state.refuse > 0 {
            state.refuse -= 1;
            return Err(verdict::Reason::Overloaded);
        }
        let record = Attempt {
            request: call.request,
            chunks: Vec::new(),
            end: None,
        };
        assert!(state.attempts.insert(call.attempt, record).is_none());
        state.calls.push(call.clone());
        let crash = state.crash > 0;
        state.crash = state.crash.saturating_sub(1);
        drop(state);
        self.changed.notify_waiters();
        Ok(crash)
    }

    async fn wait_for_permit(&self) {
        if self.behaviour.gated {
            self.gate.acquire().await.unwrap().forget();
        }
    }

    fn push_chunk(&self, attempt: id::AttemptId, text: String) {
        let mut state = self.state.lock().unwrap();
        let record = state.attempts.get_mut(&attempt).unwrap();
        let number = record.chunks.len() as u32;
        record.chunks.push(stage::Chunk { number, text });
        drop(state);
        self.changed.notify_waiters();
    }

    fn finish_attempt(&self, attempt: id::AttemptId, refusal: Option<verdict::Refusal>) {
        let mut state = self.state.lock().unwrap();
        let record = state.attempts.get_mut(&attempt).unwrap();
        let text: String = record.chunks.iter().map(|c| c.text.as_str()).collect();
        let end = stage::End {
            count: record.chunks.len() as u32,
            checksum: stage::checksum(&text),
            busy: unit::Period::from_millis(1),
            queued: unit::Period::from_millis(0),
        };
        record.end = Some(refusal.map_or(Ok(end), Err));
        drop(state);
        self.changed.notify_waiters();
    }

    async fn execute(self: Arc<Self>, call: stage::Call, crash: bool) {
        self.wait_for_permit().await;
        let pieces = self.output(&call);
        let count = if crash { 1 } else { pieces.len() };
        for piece in pieces.into_iter().take(count) {
            self.push_chunk(call.attempt, piece);
            self.wait_for_permit().await;
        }
        let failed = verdict::Refusal::may_have_run(verdict::Reason::TargetFailed);
        self.finish_attempt(call.attempt, crash.then_some(failed));
    }

    /// Returns the pieces of a call: an engine resumes after the received text, a pool echoes its
    /// input.
    fn output(&self, call: &stage::Call) -> Vec<String> {
        if self.behaviour.pieces.is_empty() {
            return vec![format!("{{\"{}\": {}}}", call.stage, call.body.get())];
        }
        let received = call.received.as_deref().unwrap_or_default();
        let mut text = String::new();
        let mut rest = Vec::new();
        for piece in &self.behaviour.pieces {
            if text.len() >= received.len() {
                rest.push(piece.clone());
            }
            text.push_str(piece);
        }
        rest
    }

    fn progress(&self, attempt: id::AttemptId, from: u32) -> Option<stage::Progress> {
        let state = self.state.lock().unwrap();
        let record = state.attempts.get(&attempt)?;
        let state = match record.end {
            None => stage::State::Running,
            Some(Ok(end)) => stage::State::Done(end),
            Some(Err(refusal)) => stage::State::Refused(refusal),
        };
        Some(stage::Progress {
            request: record.request,
            attempt,
            chunks: record.chunks[from as usize..].to_vec(),
            state,
        })
    }

    /// Waits for new chunks or the end of the attempt.
    async fn wait_for_progress(&self, attempt: id::AttemptId, from: u32) -> stage::Progress {
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

fn refusal(
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

struct Rpc(Arc<Fake>);

#[async_trait]
impl AgentServer for Rpc {
    async fn hello(&self, hello: agent::Hello) -> RpcResult<agent::Report> {
        let mut state = self.0.state.lock().unwrap();
        let fence = state.fences.entry(hello.session.lane).or_default();
        *fence = hello.session.number.max(*fence);
        drop(state);
        Ok(self.0.report())
    }

    async fn beat(&self, _: agent::Heartbeat) -> RpcResult<agent::Report> {
        Ok(self.0.report())
    }

    async fn start(&self, call: stage::Call) -> RpcResult<stage::Progress> {
        let (request, attempt) = (call.request, call.attempt);
        match self.0.admit(&call) {
            Err(reason) => Ok(refusal(request, attempt, reason)),
            Ok(crash) => {
                tokio::spawn(self.0.clone().execute(call, crash));
                Ok(self.0.wait_for_progress(attempt, 0).await)
            }
        }
    }

    async fn next(&self, next: stage::Next) -> RpcResult<stage::Progress> {
        let wait = tokio::time::timeout(
            next.wait.0,
            self.0.wait_for_progress(next.attempt, next.from),
        )
        .await;
        Ok(wait.unwrap_or_else(|_| self.0.progress(next.attempt, next.from).unwrap()))
    }

    async fn query(&self, query: stage::Query) -> RpcResult<stage::Progress> {
        let known = self.0.progress(query.attempt, query.from);
        // Like the real agent, which does not know the request of an unknown attempt and sends zero.
        let unknown = refusal(id::RequestId(0), query.attempt, verdict::Reason::Lost);
        Ok(known.unwrap_or(unknown))
    }

    async fn cancel(&self, cancel: stage::Cancel) -> RpcResult<()> {
        self.0.state.lock().unwrap().cancelled.push(cancel.attempt);
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
