//! Pulling the result of one attempt, across breaks of its connection.
//!
//! Whatever happens to a connection, the agent is asked over the next one what became of the
//! attempt. The new connection's session fences the older ones, so that its answer is final: an
//! attempt that the agent does not know then can never start.

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

/// Longest wait of one call for more of a result.
const WAIT: unit::Period = unit::Period::from_secs(1);

/// Longest wait for a new connection when the attempt may be made elsewhere instead.
const PATIENCE: time::Duration = time::Duration::from_millis(1500);

/// An attempt that can still be given up without a trace.
#[derive(Debug)]
pub struct Ready {
    lane: Arc<links::Lane>,
    connection: Arc<links::Connection>,
    prepared: attempt::Prepared,
}

impl Ready {
    /// Prepares an attempt on the lane's connection; `None` without one.
    pub fn new(lane: &Arc<links::Lane>) -> Option<Self> {
        let connection = lane.connection()?;
        Some(Self {
            lane: lane.clone(),
            prepared: attempt::Prepared::new(connection.incarnation),
            connection,
        })
    }

    /// Returns the identity of the attempt.
    pub fn attempt(&self) -> id::AttemptId {
        self.prepared.id
    }

    /// Returns the life of the agent that the attempt is addressed to.
    pub fn incarnation(&self) -> id::Incarnation {
        self.prepared.incarnation
    }

    /// Returns the target of the agent.
    pub fn target(&self) -> Option<id::TargetName> {
        self.lane.report().map(|seen| seen.report.target.clone())
    }

    /// Returns the address of the agent.
    pub fn addr(&self) -> net::SocketAddr {
        self.lane.addr
    }

    /// Returns the connection that will carry the call.
    pub fn session(&self) -> lane::Session {
        self.connection.session
    }

    /// Marks the attempt as sent; the first step of the pull sends it.
    pub fn send(self, call: stage::Call) -> Result<Pull, attempt::Settled> {
        if self.connection.is_closed() {
            return Err(self.prepared.abandon(verdict::Reason::NoTarget));
        }
        Ok(Pull {
            _held: self.lane.hold(),
            session: self.connection.session.number,
            lane: self.lane,
            connection: self.connection,
            request: call.request,
            sent: self.prepared.mark_sent(),
            joiner: stage::Assembler::default(),
            patient: !call.idempotent,
            call: Some(Box::new(call)),
        })
    }
}

/// An attempt that was sent, with what has come of its result.
#[derive(Debug)]
pub struct Pull {
    lane: Arc<links::Lane>,
    connection: Arc<links::Connection>,
    request: id::RequestId,
    sent: attempt::Sent,
    /// Number of the session that carries the attempt.
    session: u64,
    joiner: stage::Assembler,
    /// Whether certainty is waited for until the deadline, as there can be no second attempt.
    patient: bool,
    call: Option<Box<stage::Call>>,
    _held: links::Held,
}

/// What one step of a pull yields.
#[derive(Debug)]
pub enum Step {
    /// More text, possibly none, and the rest of the pull.
    More(Pull, String),
    /// The whole result.
    Whole(Whole),
    /// A final refusal.
    Refused(attempt::Settled),
}

/// Whole result of an attempt.
#[derive(Debug)]
pub struct Whole {
    /// Text that came with the last step.
    pub tail: String,
    /// Whole text of this attempt.
    pub text: String,
    /// Accounts of the agent.
    pub end: stage::End,
}

/// Why a call got no answer that can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// The connection ended before the answer came.
    Broken,
    /// The call is too large and was not sent.
    Oversized,
    /// The agent answered with an error of the protocol, which proves nothing.
    Rejected,
}

/// Where to cancel an attempt.
#[derive(Clone, Debug)]
pub struct Canceller {
    lane: Arc<links::Lane>,
    attempt: id::AttemptId,
}

impl Canceller {
    /// Cancels the attempt at its agent; the deadline ends it if this is lost.
    pub async fn cancel(self) {
        let Some(connection) = self.lane.connection() else {
            return;
        };
        let cancel = stage::Cancel {
            attempt: self.attempt,
        };
        let _ = ask(&connection, connection.client().cancel(cancel)).await;
    }
}

/// Makes a call that ends with its connection at the latest.
async fn ask<T>(
    connection: &links::Connection,
    call: impl Future<Output = Result<T, client::Error>>,
) -> Result<T, Failure> {
    tokio::select! {
        answer = call => answer.map_err(|error| sort(connection, &error)),
        () = connection.closed() => Err(Failure::Broken),
    }
}

fn sort(connection: &links::Connection, error: &client::Error) -> Failure {
    let oversized = types::ErrorCode::OversizedRequest.code();
    match error {
        client::Error::Call(object) if object.code() == oversized => Failure::Oversized,
        // An agent refuses calls of a session that a newer one has fenced.
        client::Error::Call(_) if connection.is_closed() => Failure::Broken,
        client::Error::Call(_) | client::Error::ParseError(_) => Failure::Rejected,
        _ => Failure::Broken,
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

    /// Returns the text so far.
    pub fn text(&self) -> &str {
        self.joiner.text()
    }

    /// Sends the call or asks for more; resolves doubt if the connection breaks meanwhile.
    pub async fn step(mut self) -> Step {
        let (answer, first) = match self.call.take() {
            Some(call) => (self.start(*call).await, true),
            None => (self.next().await, false),
        };
        let progress = match answer {
            Ok(progress) => Ok(progress),
            Err(Failure::Broken) => self.resolve().await,
            Err(Failure::Oversized) if first => {
                let refusal = verdict::Refusal::not_run(verdict::Reason::TooLarge);
                return Step::Refused(self.sent.settle_refused(refusal));
            }
            Err(Failure::Oversized | Failure::Rejected) => Err(verdict::Reason::Corrupt),
        };
        match progress {
            Ok(progress) => self.take(progress),
            Err(reason) => Step::Refused(self.sent.settle_lost(reason)),
        }
    }

    async fn start(&self, call: stage::Call) -> Result<stage::Progress, Failure> {
        ask(&self.connection, self.connection.client().start(call)).await
    }

    async fn next(&self) -> Result<stage::Progress, Failure> {
        let next = stage::Next {
            attempt: self.sent.id,
            from: self.joiner.next_number(),
            wait: WAIT,
        };
        ask(&self.connection, self.connection.client().next(next)).await
    }

    /// Asks over newer connections, until one answers, what became of the attempt.
    async fn resolve(&mut self) -> Result<stage::Progress, verdict::Reason> {
        loop {
            let renewed = self.renew(self.connection.session.number + 1);
            self.connection = if self.patient {
                renewed.await?
            } else {
                let limited = time::timeout(PATIENCE, renewed).await;
                limited.map_err(|_| verdict::Reason::Lost)??
            };
            match self.query().await {
                Ok(progress) => return Ok(progress),
                Err(Failure::Broken) => {}
                Err(_) => return Err(verdict::Reason::Corrupt),
            }
        }
    }

    /// Waits for a connection of the same agent's life, with at least the session number.
    async fn renew(&self, least: u64) -> Result<Arc<links::Connection>, verdict::Reason> {
        let mut link = self.lane.link();
        loop {
            match &*link.borrow_and_update() {
                links::Link::Up(c) if c.session.number >= least => {
                    // Another life knows nothing of the attempt; the one that did is gone.
                    let same = c.incarnation == self.sent.incarnation;
                    return if same {
                        Ok(c.clone())
                    } else {
                        Err(verdict::Reason::Lost)
                    };
                }
                links::Link::Down { gone: true } => return Err(verdict::Reason::Lost),
                _ => {}
            }
            if link.changed().await.is_err() {
                return Err(verdict::Reason::Lost);
            }
        }
    }

    async fn query(&self) -> Result<stage::Progress, Failure> {
        let query = stage::Query {
            session: self.connection.session,
            incarnation: self.sent.incarnation,
            sent: self.session,
            attempt: self.sent.id,
            from: self.joiner.next_number(),
        };
        self.lane.doubts.inc();
        let client = self.connection.client();
        let progress = ask(&self.connection, client.query(query)).await?;
        // A question that comes late, over a connection that was replaced meanwhile, is itself
        // refused as fenced. Taken for the attempt's own state this would be a false "not run".
        if is_fenced(&progress) && self.connection.is_closed() {
            return Err(Failure::Broken);
        }
        Ok(progress)
    }

    /// Checks the echo of the identities.
    ///
    /// An answer to another call, taken for ours, would hand one caller's result to another. An
    /// agent that does not know the attempt cannot name its request, so that a refusal, which
    /// carries nothing, need only name the attempt.
    fn is_ours(&self, progress: &stage::Progress) -> bool {
        let refused = matches!(progress.state, stage::State::Refused(_));
        let same = progress.request == self.request || refused && progress.chunks.is_empty();
        same && progress.attempt == self.sent.id
    }

    /// Checks an answer and adds its chunks.
    fn take(mut self, progress: stage::Progress) -> Step {
        if !self.is_ours(&progress) {
            return Step::Refused(self.sent.settle_lost(verdict::Reason::Corrupt));
        }
        let mut tail = String::new();
        for chunk in &progress.chunks {
            match self.joiner.push(chunk) {
                Ok(true) => tail.push_str(&chunk.text),
                Ok(false) => {}
                Err(_) => return Step::Refused(self.sent.settle_lost(verdict::Reason::Corrupt)),
            }
        }
        match progress.state {
            stage::State::Queued | stage::State::Running => Step::More(self, tail),
            stage::State::Refused(refusal) => {
                // The agent keeps the verdict until it hears that it was received, and a stop of
                // the agent would wait for that until its limit.
                tokio::spawn(self.canceller().cancel());
                Step::Refused(self.sent.settle_refused(refusal))
            }
            stage::State::Done(end) if self.joiner.next_number() < end.count => {
                Step::More(self, tail)
            }
            stage::State::Done(end) => match self.joiner.finish(&end) {
                Ok(text) => Step::Whole(Whole { tail, text, end }),
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
