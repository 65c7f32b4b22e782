//! Life of a caller's connection, moved by the bytes that are read from it and written to it.
//!
//! An exchange ends when the last byte of its answer is flushed, not when its handler returns.
//! Limits, a stop and the caller's leaving are decided here; nothing else closes a connection.

use std::time;

use tokio::time::Instant;

/// Time without a request after which a connection is closed while the process stops.
///
/// Callers that send within a moment of their last answer are served, and learn that it was the last one.
pub const QUIET_TIME: time::Duration = time::Duration::from_secs(1);

/// State of a connection.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum State {
    /// Between exchanges, or before the first one.
    Idle,
    /// Part of a request's head has been read.
    Head,
    /// The head is complete, the body is being read.
    Body,
    /// The request is complete or refused, its answer isn't flushed yet.
    Answering,
    /// The last answer, which said so, is flushed.
    Closing,
}

/// Longest times that a caller may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// For the head of a request.
    pub head: time::Duration,
    /// Without a byte, between exchanges or within a body.
    pub idle: time::Duration,
}

impl Limits {
    fn max(self, other: Self) -> Self {
        Self {
            head: self.head.max(other.head),
            idle: self.idle.max(other.idle),
        }
    }
}

/// Limit that a connection has exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overdue {
    /// No request came.
    Idle,
    /// The head isn't complete.
    Head,
    /// The body isn't complete.
    Body,
    /// The process exits before the head or body is complete.
    Exit,
    /// The last answer was written, but the connection is still open.
    Closing,
}

/// Life of one connection.
#[derive(Clone, Debug)]
pub struct Connection {
    state: State,
    /// Start of the state; for an exchange, of its first byte.
    since: Instant,
    /// Last byte that was read.
    last_read: Instant,
    /// Limits in force when the last exchange began, or the connection.
    limits: Limits,
    /// The server may hold bytes that it has not parsed.
    has_early: bool,
    /// The last byte of the answer has been handed to the writer.
    is_taken: bool,
    /// The answer says that it is the last one.
    is_last: bool,
    /// Part of an answer may not be written yet.
    is_unwritten: bool,
    is_stopping: bool,
    is_exiting: bool,
    /// What follows an answer is the next request, not the rest of a body.
    is_framed: bool,
    /// Requests came after the last answer; they are refused.
    is_refusing: bool,
    /// An overdue head or body has had its look at the socket.
    is_looked_at: bool,
}

impl Connection {
    /// Creates a connection on which nothing has been read.
    pub fn new(now: Instant, limits: Limits) -> Self {
        Self {
            state: State::Idle,
            since: now,
            last_read: now,
            limits,
            has_early: false,
            is_taken: false,
            is_last: false,
            is_unwritten: false,
            is_stopping: false,
            is_exiting: false,
            is_framed: false,
            is_refusing: false,
            is_looked_at: false,
        }
    }

    /// Records that bytes have been read.
    pub fn record_read(&mut self, now: Instant) {
        self.last_read = now;
        self.has_early = true;
        if self.state == State::Idle {
            self.enter(State::Head, now);
        }
    }

    /// Records that the server asks for bytes.
    ///
    /// It does so only if the message is incomplete or if it holds no byte of the next one, so that
    /// one that has the whole request and doesn't ask holds the begin of the next request.
    pub fn record_wanted(&mut self) {
        self.has_early = false;
    }

    /// Records that a whole head has been read, under these limits.
    pub fn record_head(&mut self, now: Instant, limits: Limits) {
        if self.state != State::Head {
            self.since = now;
        }
        self.state = State::Body;
        self.last_read = now;
        self.limits = limits;
        self.is_taken = false;
        self.is_looked_at = false;
    }

    /// Records that the body has been read to its end.
    pub fn record_body(&mut self) {
        if self.state == State::Body {
            self.state = State::Answering;
        }
    }

    /// Records that the head of the answer is about to be written, and returns whether it must say
    /// that it is the last answer.
    ///
    /// The rest of a body that was not read must not be taken for a request. A stopping process
    /// answers what waits in the socket as well.
    pub fn record_answer(&mut self, has_unread: impl FnOnce() -> bool) -> bool {
        let is_unread = self.state == State::Body;
        self.is_unwritten = true;
        self.state = State::Answering;
        self.is_framed = !is_unread;
        self.is_last = is_unread || self.is_stopping && !self.has_early && !has_unread();
        self.is_last
    }

    /// Records that the last byte of the answer has been handed to the writer.
    pub fn record_taken(&mut self) {
        self.is_taken = true;
        self.is_unwritten = true;
    }

    /// Records that everything that was handed to the writer is written.
    pub fn record_flush(&mut self, now: Instant) {
        self.is_unwritten = false;
        if self.state != State::Answering || !std::mem::take(&mut self.is_taken) {
            return;
        }
        match (self.is_last, self.has_early) {
            (true, _) => self.enter(State::Closing, now),
            (_, true) => self.enter(State::Head, now),
            _ => self.enter(State::Idle, now),
        }
    }

    /// Records that bytes follow the last answer, and returns whether they are requests to refuse.
    ///
    /// Their caller may have sent them before it learned that the answer is the last one.
    pub fn refuse(&mut self, now: Instant) -> bool {
        if self.state != State::Closing || !self.is_framed {
            return false;
        }
        self.enter(State::Head, now);
        self.is_refusing = true;
        true
    }

    /// Returns whether requests are refused, as the last answer is out.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing
    }

    /// Records that the process stops: further answers are the last ones of their connections.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Records that the process is about to exit: what isn't received as a whole is refused.
    ///
    /// Otherwise half a request would end with the process, without an answer.
    pub fn exit(&mut self) {
        self.is_exiting = true;
    }

    /// Returns the limit that the connection has exceeded.
    ///
    /// A limit that has become shorter applies from the next exchange on.
    pub fn overdue(&self, now: Instant, limits: Limits) -> Option<Overdue> {
        let limits = self.limits.max(limits);
        let idle = match self.is_stopping {
            true => limits.idle.min(QUIET_TIME),
            false => limits.idle,
        };
        let (start, limit, overdue) = match self.state {
            State::Idle => (self.since, idle, Overdue::Idle),
            State::Head => (self.since, limits.head, Overdue::Head),
            State::Body => (self.last_read, limits.idle, Overdue::Body),
            State::Closing => (self.since, QUIET_TIME, Overdue::Closing),
            State::Answering => return None,
        };
        if now.saturating_duration_since(start) > limit {
            return Some(overdue);
        }
        let at_exit = match self.state {
            State::Head | State::Body => Overdue::Exit,
            _ => overdue,
        };
        self.is_exiting.then_some(at_exit)
    }

    /// Decides whether an overdue connection is closed, by a look at its socket.
    ///
    /// After the process stood still, what was sent in time waits there. A head or body has one
    /// such look, or a caller that sends byte by byte would hold the connection forever.
    pub fn may_close(&mut self, overdue: Overdue, has_unread: bool) -> bool {
        match overdue {
            Overdue::Idle => !has_unread,
            // What still comes is the rest of a body that was not read.
            Overdue::Closing => true,
            Overdue::Head | Overdue::Body | Overdue::Exit => {
                std::mem::replace(&mut self.is_looked_at, true) || !has_unread
            }
        }
    }

    /// Returns whether an answer to an overdue head or body may be written.
    ///
    /// The answer to the request before it may not be written as a whole.
    pub fn may_answer(&self) -> bool {
        !self.is_unwritten
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether a request has begun and isn't answered as a whole.
    pub fn is_in_exchange(&self) -> bool {
        !matches!(self.state, State::Idle | State::Closing)
    }

    /// Returns the time since the state, or the exchange, began.
    pub fn age(&self, now: Instant) -> time::Duration {
        now.saturating_duration_since(self.since)
    }

    fn enter(&mut self, state: State, now: Instant) {
        self.state = state;
        self.since = now;
        self.is_looked_at = false;
    }
}
