//! Connections to targets.
//!
//! A connection serves one exchange at a time and is used again only after a whole, well framed
//! answer. Everything else ends it: what a target sends later must not reach another request.

mod connection;

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};
use http::{
    Request,
    response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use prometheus_client::metrics::counter;
use tokio::time::Instant;

use laburnumcart::{
    id,
    verdict, //
};

use crate::view;

use self::connection::Connection;

/// Longest time that an idle connection is kept when the target names none.
const IDLE: time::Duration = time::Duration::from_secs(4);

/// Part of the target's own idle time for which a connection is kept.
///
/// A request that meets the target's close is lost, and one that is not idempotent with it.
const IDLE_SHARE: f64 = 0.7;

/// Longest idle time before a request that must not run twice.
///
/// Some targets drop idle connections without notice and sooner than they say. What is sent next
/// is reset, which proves nothing, so such a request takes a connection that was just in use.
pub const FRESH_IDLE_MAX: time::Duration = time::Duration::from_millis(1500);

/// Longest time in which a connection that has just ended an exchange becomes ready again.
const SETTLE: time::Duration = time::Duration::from_millis(5);

/// Tries of connections that turn out to be closed before anything is sent.
const TRIES: usize = 4;

/// Largest answer that is read as a whole.
const ANSWER_MAX: usize = 8 << 20;

/// An exchange that failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    #[display("not connected")]
    Unreached,
    /// All connections that this process may have are in use.
    #[display("no connection left")]
    Exhausted,
    /// The target has said meanwhile that it takes nothing.
    #[display("target takes nothing")]
    Closed,
    /// The connection failed after the request may have been sent.
    #[display("connection failed")]
    Broken,
    /// The answer is not whole or breaks the protocol.
    #[display("broken answer")]
    Malformed,
    /// No answer came in time.
    #[display("no answer in time")]
    Timeout,
}

impl Failure {
    /// Tells whether the target may have run the request.
    pub fn verdict(self) -> verdict::Verdict {
        match self {
            Self::Unreached | Self::Exhausted | Self::Closed => verdict::Verdict::NotRun,
            Self::Broken | Self::Malformed | Self::Timeout => verdict::Verdict::MayHaveRun,
        }
    }

    /// Returns the reason for the caller.
    pub fn reason(self) -> verdict::Reason {
        match self {
            Self::Unreached => verdict::Reason::NoTarget,
            Self::Exhausted | Self::Closed => verdict::Reason::Overloaded,
            Self::Broken => verdict::Reason::Lost,
            Self::Malformed => verdict::Reason::Corrupt,
            Self::Timeout => verdict::Reason::DeadlineExceeded,
        }
    }
}

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most connections of this process to the target.
    pub max_connections: usize,
    /// Longest idle time of a connection that is used again.
    pub max_idle: time::Duration,
}

/// Head of an answer, and the connection on which its body follows.
#[derive(Debug)]
pub struct Response {
    /// Head.
    pub head: response::Parts,
    /// Body.
    pub body: Incoming,
    /// Connection; dropped before the body's end, it is closed, which cancels the request.
    pub lease: Lease,
}

/// A connection in use; closed when dropped, unless it is given back.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
    /// Whether the connection is not used again.
    last: bool,
}

/// Counters of the pool.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Connections opened.
    pub opened: counter::Counter<u64>,
    /// Exchanges on a connection that had been used before.
    pub reused: counter::Counter<u64>,
}

#[derive(Debug, Default)]
struct Shelf {
    idle: Vec<Connection>,
    open: Arc<()>,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct Pool {
    shelves: Mutex<collections::HashMap<id::TargetLife, Shelf>>,
    /// What was counted.
    pub counters: Counters,
}

impl Pool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future closes the connection, so that the target stops its work.
    pub async fn send(
        self: &Arc<Self>,
        target: &view::Target,
        request: Request<Bytes>,
        bounds: &Bounds,
    ) -> Result<Response, Failure> {
        self.send_if(target, request, bounds, || true).await
    }

    /// Does the same if `is_open` says so once there is a connection.
    ///
    /// To open one takes long at a target in need, which may have told another request meanwhile to
    /// stay away.
    pub async fn send_if(
        self: &Arc<Self>,
        target: &view::Target,
        request: Request<Bytes>,
        bounds: &Bounds,
        is_open: impl Fn() -> bool,
    ) -> Result<Response, Failure> {
        let mut request = request.map(Full::new);
        for _ in 0..TRIES {
            let mut lease = self.lease(target, bounds).await?;
            if !is_open() {
                lease.release(None);
                return Err(Failure::Closed);
            }
            let connection = lease.connection.as_mut().expect("a new lease has one");
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    return Ok(Response { head, body, lease });
                }
                // The library hands a request back only when none of it was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None if error.error().is_parse() => return Err(Failure::Malformed),
                    None => return Err(Failure::Broken),
                },
            }
        }
        Err(Failure::Unreached)
    }

    /// Closes idle connections whose time is over, and forgets targets without any connection.
    pub fn sweep(&self, now: Instant) {
        view::lock(&self.shelves).retain(|_, shelf| {
            shelf
                .idle
                .retain(|c| c.until > now && !c.sender.is_closed());
            Arc::strong_count(&shelf.open) > 1
        });
    }

    async fn lease(
        self: &Arc<Self>,
        target: &view::Target,
        bounds: &Bounds,
    ) -> Result<Lease, Failure> {
        while let Some(mut connection) = self.idle(target, bounds.max_idle) {
            let ready = tokio::time::timeout(SETTLE, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                self.counters.reused.inc();
                return Ok(self.hold(connection));
            }
        }
        let open = self.open(target, bounds.max_connections)?;
        let connection = connection::open(target, open).await?;
        self.counters.opened.inc();
        Ok(self.hold(connection))
    }

    fn hold(self: &Arc<Self>, connection: Connection) -> Lease {
        Lease {
            pool: self.clone(),
            connection: Some(connection),
            last: false,
        }
    }

    /// Takes the idle connection that was used last.
    fn idle(&self, target: &view::Target, most: time::Duration) -> Option<Connection> {
        let mut shelves = view::lock(&self.shelves);
        let shelf = shelves.get_mut(&target.key())?;
        let now = Instant::now();
        shelf
            .idle
            .retain(|c| c.until > now && !c.sender.is_closed());
        let last = shelf.idle.last()?;
        if now.duration_since(last.used) > most {
            return None;
        }
        shelf.idle.pop()
    }

    /// Counts one more connection to a target, which resets those beyond its bound.
    fn open(&self, target: &view::Target, most: usize) -> Result<Arc<()>, Failure> {
        let mut shelves = view::lock(&self.shelves);
        let shelf = shelves.entry(target.key()).or_default();
        if Arc::strong_count(&shelf.open) > most.max(1) && !shelf.idle.is_empty() {
            shelf.idle.remove(0);
        }
        match Arc::strong_count(&shelf.open) > most.max(1) {
            true => Err(Failure::Exhausted),
            false => Ok(shelf.open.clone()),
        }
    }
}

impl Lease {
    /// Gives the connection back after a whole answer; `idle` is the target's own idle time.
    pub fn release(mut self, idle: Option<time::Duration>) {
        let Some(mut connection) = self.connection.take().filter(|_| !self.last) else {
            return;
        };
        let now = Instant::now();
        let kept = idle.map_or(IDLE, |idle| idle.mul_f64(IDLE_SHARE));
        connection.used = now;
        connection.until = now + kept;
        let mut shelves = view::lock(&self.pool.shelves);
        if let Some(shelf) = shelves.get_mut(&connection.target) {
            shelf.idle.push(connection);
        }
    }
}

impl Response {
    /// Sees to it that the connection is closed after this answer.
    #[must_use]
    pub fn close_after(mut self) -> Self {
        self.lease.last = true;
        self
    }

    /// Reads the whole body and gives the connection back.
    pub async fn read_all(
        mut self,
        idle: Option<time::Duration>,
    ) -> Result<(response::Parts, Bytes), Failure> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| Failure::Malformed)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > ANSWER_MAX {
                return Err(Failure::Malformed);
            }
        }
        self.lease.release(idle);
        Ok((self.head, bytes.freeze()))
    }
}
