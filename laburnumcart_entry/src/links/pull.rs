//! Pulls the result of one attempt from its agent, across reconnects.
//!
//! After a connection failure the agent is queried for the attempt's state over the next
//! connection. The session of that connection fences all older ones, which makes the answer final:
//! an attempt that the agent does not know by then can never start.

use std::{
    net,
    sync::Arc, //
};

use jsonrpsee::{
    core::client,
    types, //
};

use tokio::time;

use laburnumcart::{
    attempt,
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::{
    agent::AgentClient,
    lane,
    stage, //
};

use crate::links;

/// Maximum time that an agent holds a long poll for more of a result.
const LONG_POLL_WAIT: unit::Period = unit::Period::from_secs(1);

/// Maximum wait for a new connection if the attempt may be repeated at another target.
const RECONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// An attempt that is not sent yet.
#[derive(Debug)]
pub struct Prepared {
    lane: Arc<links::Lane>,
    connection: Arc<links::Connection>,
    prepared: attempt::Prepared,
}

impl Prepared {
    /// Prepares an attempt on the lane's connection; returns `None` if there is none.
    pub fn new(lane: &Arc<links::Lane>) -> Option<Self> {
        let connection = lane.connection()?;
        Some(Self {
            lane: lane.clone(),
            prepared: attempt::Prepared::new(connection.incarnation),
            connection,
        })
    }

    /// Returns the ID of the attempt.
    pub fn attempt(&self) -> id::AttemptId {
        self.prepared.id
    }

    /// Returns the incarnation of the agent that the attempt is addressed to.
    pub fn incarnation(&self) -> id::Incarnation {
        self.prepared.incarnation
    }

    /// Returns the name of the agent's target.
    pub fn target(&self) -> Option<id::TargetName> {
        self.lane
            .report()
            .map(|received| received.report.target.clone())
    }

    /// Returns the address of the agent.
    pub fn addr(&self) -> net::SocketAddr {
        self.lane.addr
    }

    /// Returns the session that the call will be sent on.
    pub fn session(&self) -> lane::Session {
        self.connection.session
    }

    /// Marks the attempt as sent; the call itself is sent by the first [`Pull::step`].
    pub fn send(self, call: stage::Call) -> Result<Pull, attempt::Settled> {
        if self.connection.is_closed() {
            return Err(self.prepared.abandon(verdict::Reason::NoTarget));
        }
        Ok(Pull {
            _counted: self.lane.count_attempt(),
            session: self.connection.session.number,
            lane: self.lane,
            connection: self.connection,
            request: call.request,
            sent: self.prepared.mark_sent(),
            assembler: stage::Assembler::default(),
            waits_to_deadline: !call.idempotent,
            call: Some(Box::new(call)),
        })
    }
}

/// An attempt that was sent, with the part of its result received so far.
#[derive(Debug)]
pub struct Pull {
    lane: Arc<links::Lane>,
    connection: Arc<links::Connection>,
    request: id::RequestId,
    sent: attempt::Sent,
    /// Number of the session that the attempt was sent on.
    session: u64,
    assembler: stage::Assembler,
    /// Whether to wait for a new connection without [`RECONNECT_TIMEOUT`], because the attempt must
    /// not be repeated.
    waits_to_deadline: bool,
    call: Option<Box<stage::Call>>,
    _counted: links::CountedAttempt,
}

/// Result of one step of a pull.
#[derive(Debug)]
pub enum Step {
    /// New text, possibly empty; the pull continues.
    More(Pull, String),
    /// The complete result.
    Complete(Completed),
    /// The final refusal.
    Refused(attempt::Settled),
}

/// Complete result of an attempt.
#[derive(Debug)]
pub struct Completed {
    /// Text received in the last step.
    pub tail: String,
    /// Complete text of this attempt.
    pub text: String,
    /// Checksum and resource usage, as sent by the agent.
    pub end: stage::End,
}

/// Reason why a call has no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallError {
    /// The connection ended before the answer.
    Broken,
    /// The call is too large and was not sent.
    Oversized,
    /// The agent answered with a protocol error, which does not prove that the call had no effect.
    Rejected,
}

/// Handle that cancels an attempt.
#[derive(Clone, Debug)]
pub struct Canceller {
    lane: Arc<links::Lane>,
    attempt: id::AttemptId,
}

impl Canceller {
    /// Cancels the attempt at its agent; if the message is lost, the deadline ends the attempt.
    pub async fn cancel(self) {
        let Some(connection) = self.lane.connection() else {
            return;
        };
        let cancel = stage::Cancel {
            attempt: self.attempt,
        };
        let _ = call_until_closed(&connection, connection.client().cancel(cancel)).await;
    }
}

/// Awaits a call, or fails it when the connection closes.
async fn call_until_closed<T>(
    connection: &links::Connection,
    call: impl Future<Output = Result<T, client::Error>>,
) -> Result<T, CallError> {
    tokio::select! {
        answer = call => answer.map_err(|error| classify_error(connection, &error)),
        () = connection.closed() => Err(CallError::Broken),
    }
}

fn classify_error(connection: &links::Connection, error: &client::Error) -> CallError {
    let oversized = types::ErrorCode::OversizedRequest.code();
    match error {
        client::Error::Call(object) if object.code() == oversized => CallError::Oversized,
        // An agent rejects calls of a session that a newer one has fenced.
        client::Error::Call(_) if connection.is_closed() => CallError::Broken,
        client::Error::Call(_) | client::Error::ParseError(_) => CallError::Rejected,
        _ => CallError::Broken,
    }
}

impl Pull {
    /// Returns a handle that cancels the attempt.
    pub fn canceller(&self) -> Canceller {
        Canceller {
            lane: self.lane.clone(),
            attempt: self.sent.id,
        }
    }

    /// Returns the text received so far.
    pub fn text(&self) -> &str {
        self.assembler.text()
    }

    /// Sends the call or fetches more of the result; queries the attempt's state if the connection
    /// fails.
    pub async fn step(mut self) -> Step {
        let (answer, first) = match self.call.take() {
            Some(call) => (self.send_call(*call).await, true),
            None => (self.fetch_more().await, false),
        };
        let progress = match answer {
            Ok(progress) => Ok(progress),
            Err(CallError::Broken) => self.resolve_outcome().await,
            Err(CallError::Oversized) if first => {
                let refusal = verdict::Refusal::not_run(verdict::Reason::TooLarge);
                return Step::Refused(self.sent.settle_refused(refusal));
            }
            Err(CallError::Oversized | CallError::Rejected) => Err(verdict::Reason::Corrupt),
        };
        match progress {
            Ok(progress) => self.apply_progress(progress),
            Err(reason) => Step::Refused(self.sent.settle_lost(reason)),
        }
    }

    async fn send_call(&self, call: stage::Call) -> Result<stage::Progress, CallError> {
        call_until_closed(&self.connection, self.connection.client().start(call)).await
    }

    async fn fetch_more(&self) -> Result<stage::Progress, CallError> {
        let next = stage::Next {
            attempt: self.sent.id,
            from: self.assembler.next_number(),
            wait: LONG_POLL_WAIT,
        };
        call_until_closed(&self.connection, self.connection.client().next(next)).await
    }

    /// Queries the attempt's state over newer connections until one answers.
    async fn resolve_outcome(&mut self) -> Result<stage::Progress, verdict::Reason> {
        loop {
            let renewed = self.wait_for_session(self.connection.session.number + 1);
            self.connection = if self.waits_to_deadline {
                renewed.await?
            } else {
                let limited = time::timeout(RECONNECT_TIMEOUT, renewed).await;
                limited.map_err(|_| verdict::Reason::Lost)??
            };
            match self.query_attempt().await {
                Ok(progress) => return Ok(progress),
                Err(CallError::Broken) => {}
                Err(_) => return Err(verdict::Reason::Corrupt),
            }
        }
    }

    /// Waits for a connection to the same incarnation with at least the session number `least`.
    async fn wait_for_session(
        &self,
        least: u64,
    ) -> Result<Arc<links::Connection>, verdict::Reason> {
        let mut link = self.lane.subscribe();
        loop {
            match &*link.borrow_and_update() {
                links::Link::Up(c) if c.session.number >= least => {
                    // A new incarnation does not know the attempt, and the old one has ended.
                    let same = c.incarnation == self.sent.incarnation;
                    return if same {
                        Ok(c.clone())
                    } else {
                        Err(verdict::Reason::Lost)
                    };
                }
                links::Link::Down { refused: true } => return Err(verdict::Reason::Lost),
                _ => {}
            }
            if link.changed().await.is_err() {
                return Err(verdict::Reason::Lost);
            }
        }
    }

    async fn query_attempt(&self) -> Result<stage::Progress, CallError> {
        let query = stage::Query {
            session: self.connection.session,
            incarnation: self.sent.incarnation,
            sent: self.session,
            attempt: self.sent.id,
            from: self.assembler.next_number(),
        };
        self.lane.outcome_queries.inc();
        let client = self.connection.client();
        let progress = call_until_closed(&self.connection, client.query(query)).await?;
        // If this connection was replaced meanwhile, the agent refuses the query itself as fenced.
        // Read as the state of the attempt, that would be a false "not run".
        if is_fenced(&progress) && self.connection.is_closed() {
            return Err(CallError::Broken);
        }
        Ok(progress)
    }

    /// Returns whether an answer carries the IDs of this request and attempt.
    ///
    /// Without this check a misdirected answer would give one caller's result to another. An agent
    /// that does not know the attempt cannot know its request, so that for a refusal without
    /// chunks the attempt ID suffices.
    fn matches_attempt(&self, progress: &stage::Progress) -> bool {
        let refused = matches!(progress.state, stage::State::Refused(_));
        let same = progress.request == self.request || refused && progress.chunks.is_empty();
        same && progress.attempt == self.sent.id
    }

    /// Verifies an answer and adds its chunks to the result.
    fn apply_progress(mut self, progress: stage::Progress) -> Step {
        if !self.matches_attempt(&progress) {
            return Step::Refused(self.sent.settle_lost(verdict::Reason::Corrupt));
        }
        let mut tail = String::new();
        for chunk in &progress.chunks {
            match self.assembler.push(chunk) {
                Ok(true) => tail.push_str(&chunk.text),
                Ok(false) => {}
                Err(_) => return Step::Refused(self.sent.settle_lost(verdict::Reason::Corrupt)),
            }
        }
        match progress.state {
            stage::State::Queued | stage::State::Running => Step::More(self, tail),
            stage::State::Refused(refusal) => {
                // Acknowledges the refusal. The agent keeps it until then, which would delay a
                // graceful shutdown of the agent up to its limit.
                tokio::spawn(self.canceller().cancel());
                Step::Refused(self.sent.settle_refused(refusal))
            }
            stage::State::Done(end) if self.assembler.next_number() < end.count => {
                Step::More(self, tail)
            }
            stage::State::Done(end) => match self.assembler.finish(&end) {
                Ok(text) => Step::Complete(Completed { tail, text, end }),
                Err(_) => Step::Refused(self.sent.settle_lost(verdict::Reason::Corrupt)),
            },
        }
    }
}

fn is_fenced(progress: &stage::Progress) -> bool {
    match &progress.state {
        stage::State::Refused(refusal) => refusal.reason == verdict::Reason::Fenced,
        _ => false,
    }
}
