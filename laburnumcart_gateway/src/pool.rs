//! Connection pool for targets.
//!
//! A connection serves one request at a time and is reused only after a complete, well framed
//! response. Otherwise it is closed, so that late bytes can't reach another request.

mod allowance;
mod connection;

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        atomic, //
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
    HeaderMap,
    Request,
    header,
    response, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use prometheus_client::metrics::counter;
use tokio::time::Instant;

use laburnumcart::{
    id,
    verdict, //
};

use crate::{
    held,
    view, //
};

pub use self::allowance::Body;
use self::connection::Connection;

/// Longest idle timeout that a target can state, so that no sum of times overflows.
const IDLE_MAX: time::Duration = time::Duration::from_secs(86_400);

/// Time for which an idle connection is kept if the target doesn't state its idle timeout.
const IDLE_DEFAULT: time::Duration = time::Duration::from_secs(4);

/// Fraction of the target's idle timeout for which a connection is kept.
///
/// A request sent while the target closes the connection is lost, and can't be retried unless it is
/// idempotent.
const IDLE_FRACTION: f64 = 0.7;

/// Maximum idle time of a connection that is reused for a request that must not run twice.
///
/// Some targets drop idle connections silently, before their stated timeout. The next request is
/// then reset, and whether it was executed is unknown. Hence the request uses a connection that was
/// in use just before.
pub const FRESH_IDLE_MAX: time::Duration = time::Duration::from_millis(1500);

/// Timeout for a connection to become ready after its last response.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(5);

/// Number of connections to try when each turns out to be closed before anything is sent.
const ATTEMPTS_MAX: usize = 4;

/// Maximum size in bytes of a response body that is read as a whole.
const BODY_MAX: usize = 8 << 20;

/// Maximum size in bytes of the bodies of requests that one target has not begun to answer.
///
/// A target that reads slowly must not take the memory that requests to other targets need. Four
/// of the largest bodies fit in.
pub const TARGET_HELD_MAX: usize = 16 << 20;

/// Failure of a request to a target.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    #[display("not connected")]
    Unreached,
    /// All connections that this process may open to the target are in use.
    #[display("connection limit reached")]
    Exhausted,
    /// The target has not begun to answer requests with too many bytes.
    #[display("target holds too many bytes")]
    Full,
    /// The target announced that it accepts no requests, while the connection was opened.
    #[display("target accepts no requests")]
    Closed,
    /// The connection failed after the request may have been sent.
    #[display("connection failed")]
    Broken,
    /// The response is incomplete or violates the protocol.
    #[display("malformed response")]
    Malformed,
    /// No response arrived in time.
    #[display("response timed out")]
    Timeout,
}

impl Failure {
    /// Returns the failure of a request of which a part may have been written.
    fn of_sent(error: &hyper::Error) -> Self {
        match error.is_parse() || allowance::is_exceeded(error) {
            true => Self::Malformed,
            false => Self::Broken,
        }
    }

    /// Returns the name in logs.
    ///
    /// After a timeout the target may still read the request; a broken connection it has read, or
    /// never will.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreached => "unreached",
            Self::Exhausted => "exhausted",
            Self::Full => "full",
            Self::Closed => "closed",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Timeout => "timeout",
        }
    }

    /// Returns whether the target may have executed the request.
    pub fn verdict(self) -> verdict::Verdict {
        match self {
            Self::Unreached | Self::Exhausted | Self::Full | Self::Closed => {
                verdict::Verdict::NotRun
            }
            Self::Broken | Self::Malformed | Self::Timeout => verdict::Verdict::MayHaveRun,
        }
    }

    /// Returns the reason that is reported to the caller.
    pub fn reason(self) -> verdict::Reason {
        match self {
            // Another target may have room, and none has been used yet.
            Self::Unreached | Self::Full => verdict::Reason::NoTarget,
            Self::Exhausted | Self::Closed => verdict::Reason::Overloaded,
            Self::Broken => verdict::Reason::Lost,
            Self::Malformed => verdict::Reason::Corrupt,
            Self::Timeout => verdict::Reason::DeadlineExceeded,
        }
    }
}

/// Connection limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of connections from this process to the target.
    pub max_connections: usize,
    /// Maximum idle time of a connection that is reused.
    pub max_idle: time::Duration,
}

/// Head of a response and the connection that delivers its body.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: response::Parts,
    /// Body.
    pub body: Body,
    /// Connection; dropping it before the end of the body cancels the request.
    pub lease: Lease,
}

/// A connection in use, which is closed when dropped unless it was released.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
    /// Whether to close the connection even when it is released.
    close_after: bool,
}

/// Counters of connections.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Opened connections.
    pub opened: counter::Counter<u64>,
    /// Requests on a reused connection.
    pub reused: counter::Counter<u64>,
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<Connection>,
    /// Counts the open connections, idle or in use: each holds a clone.
    open: Arc<()>,
    /// Bytes of bodies of requests that the target has not begun to answer.
    unanswered: Arc<atomic::AtomicUsize>,
}

/// Bytes of the body of a request that its target has not begun to answer.
struct Unanswered {
    all: Arc<atomic::AtomicUsize>,
    bytes: usize,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// Connections to all targets.
#[derive(Debug, Default)]
pub struct Pool {
    /// Connections by target and its start time; a restarted target has none of the earlier ones.
    targets: Mutex<collections::HashMap<id::TargetLife, TargetConnections>>,
    /// Counters of all targets.
    pub counters: Counters,
    /// Bytes held for callers and targets.
    pub held: Arc<held::Held>,
}

impl Pool {
    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future closes the connection, which cancels the request at the target.
    pub async fn send(
        self: &Arc<Self>,
        target: &view::Target,
        request: Request<Bytes>,
        bounds: &Bounds,
    ) -> Result<Response, Failure> {
        self.send_prepared(target, request, bounds, |_| true).await
    }

    /// Sends a request like [`Pool::send`], prepared by `prepare` once there is a connection; fails
    /// with [`Failure::Closed`] if that returns `false`.
    ///
    /// An overloaded target takes long to accept a connection. It may have asked for a backoff in
    /// its response to another request meanwhile, and the time left has become less.
    pub async fn send_prepared(
        self: &Arc<Self>,
        target: &view::Target,
        request: Request<Bytes>,
        bounds: &Bounds,
        prepare: impl Fn(&mut HeaderMap) -> bool,
    ) -> Result<Response, Failure> {
        let _unanswered = self.hold_body(target, request.body().len())?;
        let mut request = request.map(Full::new);
        for _ in 0..ATTEMPTS_MAX {
            let mut lease = self.acquire(target, bounds).await?;
            if !prepare(request.headers_mut()) {
                lease.release(None);
                return Err(Failure::Closed);
            }
            let connection = lease.connection.as_mut().expect("a new lease has one");
            connection.allowance.begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Response::new(response, lease)),
                // hyper returns the request only if no part of it was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::of_sent(error.error())),
                },
            }
        }
        Err(Failure::Unreached)
    }

    /// Sends a status check over one connection, beyond the connection limit if none is idle.
    ///
    /// Fails with [`Failure::Unreached`] only if no connection can be opened.
    pub async fn probe(
        self: &Arc<Self>,
        target: &view::Target,
        request: Request<Bytes>,
    ) -> Result<Response, Failure> {
        let bounds = Bounds {
            max_connections: usize::MAX,
            max_idle: IDLE_DEFAULT,
        };
        let mut lease = self.acquire(target, &bounds).await?;
        let connection = lease.connection.as_mut().expect("a new lease has one");
        connection.allowance.begin();
        let exchange = connection.sender.try_send_request(request.map(Full::new));
        match exchange.await {
            Ok(response) => Ok(Response::new(response, lease)),
            Err(error) => Err(Failure::of_sent(error.error())),
        }
    }

    /// Reports whether any connection to a target is open.
    pub fn is_connected(&self, target: &id::TargetLife) -> bool {
        let mut targets = view::lock(&self.targets);
        let Some(connections) = targets.get_mut(target) else {
            return false;
        };
        connections.idle.retain(|c| !c.sender.is_closed());
        Arc::strong_count(&connections.open) > 1
    }

    /// Closes expired idle connections and removes targets without any connection.
    pub fn sweep(&self, now: Instant) {
        view::lock(&self.targets).retain(|_, connections| {
            connections
                .idle
                .retain(|c| c.idle_until > now && !c.sender.is_closed());
            Arc::strong_count(&connections.open) > 1
                || Arc::strong_count(&connections.unanswered) > 1
        });
    }

    async fn acquire(
        self: &Arc<Self>,
        target: &view::Target,
        bounds: &Bounds,
    ) -> Result<Lease, Failure> {
        while let Some(mut connection) = self.take_idle(target, bounds.max_idle) {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                self.counters.reused.inc();
                return Ok(self.new_lease(connection));
            }
        }
        let open = self.reserve(target, bounds.max_connections)?;
        let connection = connection::open(target, open).await?;
        self.counters.opened.inc();
        Ok(self.new_lease(connection))
    }

    fn new_lease(self: &Arc<Self>, connection: Connection) -> Lease {
        Lease {
            pool: self.clone(),
            connection: Some(connection),
            close_after: false,
        }
    }

    /// Takes the most recently used idle connection.
    fn take_idle(&self, target: &view::Target, max_idle: time::Duration) -> Option<Connection> {
        let mut targets = view::lock(&self.targets);
        let connections = targets.get_mut(&target.key())?;
        let now = Instant::now();
        connections
            .idle
            .retain(|c| c.idle_until > now && !c.sender.is_closed());
        let last = connections.idle.last()?;
        if now.duration_since(last.last_used) > max_idle {
            return None;
        }
        connections.idle.pop()
    }

    /// Counts the body of a request, up to [`TARGET_HELD_MAX`] for a target.
    fn hold_body(&self, target: &view::Target, bytes: usize) -> Result<Unanswered, Failure> {
        let mut targets = view::lock(&self.targets);
        let all = targets.entry(target.key()).or_default().unanswered.clone();
        let before = all.fetch_add(bytes, atomic::Ordering::Relaxed);
        let unanswered = Unanswered { all, bytes };
        match before > 0 && before + bytes > TARGET_HELD_MAX {
            true => Err(Failure::Full),
            false => Ok(unanswered),
        }
    }

    /// Counts one more connection, up to `limit`; the target may reset any beyond it.
    fn reserve(&self, target: &view::Target, limit: usize) -> Result<Arc<()>, Failure> {
        let mut targets = view::lock(&self.targets);
        let connections = targets.entry(target.key()).or_default();
        if Arc::strong_count(&connections.open) > limit.max(1) && !connections.idle.is_empty() {
            connections.idle.remove(0);
        }
        match Arc::strong_count(&connections.open) > limit.max(1) {
            true => Err(Failure::Exhausted),
            false => Ok(connections.open.clone()),
        }
    }
}

impl Lease {
    /// Returns the connection to the pool after a complete response.
    ///
    /// `idle_timeout` is the one that the target stated.
    pub fn release(mut self, idle_timeout: Option<time::Duration>) {
        let Some(mut connection) = self.connection.take().filter(|_| !self.close_after) else {
            return;
        };
        let now = Instant::now();
        let kept = idle_timeout.map_or(IDLE_DEFAULT, |timeout| {
            timeout.min(IDLE_MAX).mul_f64(IDLE_FRACTION)
        });
        connection.last_used = now;
        connection.idle_until = now + kept;
        let mut targets = view::lock(&self.pool.targets);
        if let Some(connections) = targets.get_mut(&connection.target) {
            connections.idle.push(connection);
        }
    }
}

impl Response {
    fn new(response: http::Response<Incoming>, lease: Lease) -> Self {
        let (head, body) = response.into_parts();
        let connection = lease.connection.as_ref();
        let allowance = connection.map(|c| c.allowance.clone()).unwrap_or_default();
        let body = Body::new(body, allowance);
        Self { head, body, lease }
    }

    /// Makes the connection close after this response.
    #[must_use]
    pub fn close_after(mut self) -> Self {
        self.lease.close_after = true;
        self
    }

    /// Returns the size of the body if the head tells it.
    pub fn size(&self) -> Option<usize> {
        let size = self.head.headers.get(header::CONTENT_LENGTH)?;
        size.to_str().ok()?.parse().ok()
    }

    /// Returns whether the end of the body differs from the end of the connection.
    pub fn is_framed(&self) -> bool {
        let mut codings = self.head.headers.get_all(header::TRANSFER_ENCODING).iter();
        let last = codings.next_back().and_then(|line| line.to_str().ok());
        let last = last.and_then(|line| line.rsplit(',').next());
        let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        is_chunked || self.body.has_size()
    }

    /// Reads the whole body and returns the connection to the pool.
    pub async fn read_all(
        self,
        idle_timeout: Option<time::Duration>,
    ) -> Result<(response::Parts, Bytes), Failure> {
        self.read_observed(idle_timeout, time::Duration::MAX, |_| ())
            .await
    }

    /// Reads the whole body like [`Response::read_all`], as long as it arrives.
    ///
    /// Without room the rest waits in the connection, which slows the target down. The room is held
    /// by the head.
    ///
    /// Fails with [`Failure::Timeout`] if nothing arrives for `silence`; `on_data` is called with
    /// the number of bytes that have arrived.
    pub async fn read_observed(
        mut self,
        idle_timeout: Option<time::Duration>,
        silence: time::Duration,
        on_data: impl Fn(usize),
    ) -> Result<(response::Parts, Bytes), Failure> {
        let mut reading = held::Reading::new(self.lease.pool.held.clone(), self.size());
        // A buffer that grows would take twice the size of the body.
        let mut bytes = BytesMut::with_capacity(self.size().unwrap_or_default().min(BODY_MAX));
        loop {
            reading.wait_for_room().await;
            let frame = tokio::time::timeout(silence, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| Failure::Timeout)? else {
                break;
            };
            let frame = frame.map_err(|_| Failure::Malformed)?;
            if let Ok(data) = frame.into_data() {
                on_data(data.len());
                reading.hold(data.len());
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > BODY_MAX {
                return Err(Failure::Malformed);
            }
        }
        self.lease.release(idle_timeout);
        self.head.extensions.insert(reading.finish());
        Ok((self.head, bytes.freeze()))
    }
}
