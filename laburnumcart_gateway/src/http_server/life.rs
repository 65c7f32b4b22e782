//! State of a caller's connection, shared by its socket, its requests and its answers.

use std::{
    panic, pin,
    sync::{
        Arc,
        Mutex, //
    },
    task, time,
};

use bytes::Bytes;
use futures_util::FutureExt;
use http::header;
use http_body::{
    Body,
    Frame, //
};
use http_body_util::BodyExt;
use hyper::body::{
    Incoming,
    SizeHint, //
};
use tokio::{
    net,
    time::Instant, //
};

use laburnumcart::{
    connection,
    event, //
};
use laburnumcart_daemon::metrics as registry;

use crate::{
    gateway,
    held,
    metrics,
    reply,
    request,
    view, //
};

use super::socket;

/// Most bytes of a refused request's body that are read.
const REST_MAX: usize = 64 << 10;

/// Number of times that the server is polled for them.
const REST_POLLS: usize = 4;

/// Limits before the configuration is known.
const FIRST_LIMITS: connection::Limits = connection::Limits {
    head: time::Duration::from_secs(10),
    idle: time::Duration::from_secs(60),
};

/// State of one connection.
pub(super) struct Life {
    gateway: Arc<gateway::Gateway>,
    socket: Arc<net::TcpStream>,
    held: held::Connection,
    state: Mutex<State>,
}

struct State {
    connection: connection::Connection,
    /// Identifier of the last request whose head was parsed.
    request: String,
    /// Whether the caller may send further requests after this one.
    is_kept: bool,
    /// Whether the caller has closed its side or the connection has failed.
    has_left: bool,
    is_truncated: bool,
    /// Whether the request is of a version in which a close may end a body.
    ends_by_close: bool,
    has_panicked: bool,
    /// Body that its handler has dropped.
    dropped: Option<Incoming>,
}

impl Life {
    pub(super) fn new(gateway: Arc<gateway::Gateway>, socket: Arc<net::TcpStream>) -> Arc<Self> {
        let limits = limits(&gateway);
        Arc::new(Self {
            held: held::Connection::new(gateway.outbound.pool.held.clone()),
            gateway,
            socket,
            state: Mutex::new(State {
                connection: connection::Connection::new(Instant::now(), limits),
                request: String::new(),
                is_kept: false,
                has_left: false,
                is_truncated: false,
                ends_by_close: false,
                has_panicked: false,
                dropped: None,
            }),
        })
    }

    /// Records that the process stops.
    pub(super) fn stop(&self) {
        view::lock(&self.state).connection.stop();
    }

    /// Returns whether requests follow the last answer, which are refused from now on.
    ///
    /// The server has read `unread` already.
    pub(super) fn refuse_late(&self, unread: &[u8]) -> bool {
        let mut state = view::lock(&self.state);
        let has_late = has_begun(unread) || socket::has_bytes(&self.socket);
        let is_answerable = state.is_kept && !state.has_left;
        has_late && is_answerable && state.connection.refuse(Instant::now())
    }

    /// Returns the limit by which the connection is to be closed.
    pub(super) fn overdue(&self) -> Option<connection::Overdue> {
        let mut state = view::lock(&self.state);
        if self.gateway.view.is_exiting() {
            state.connection.exit();
        }
        let limits = limits(&self.gateway);
        let overdue = state.connection.overdue(Instant::now(), limits)?;
        let may_close = state
            .connection
            .may_close(overdue, socket::has_unread(&self.socket));
        may_close.then_some(overdue)
    }

    /// Returns whether an answer to an overdue head or body may be written.
    pub(super) fn may_answer(&self) -> bool {
        view::lock(&self.state).connection.may_answer()
    }

    /// Returns whether the caller has left.
    pub(super) fn has_left(&self) -> bool {
        view::lock(&self.state).has_left
    }

    /// Waits until the connection is to be closed for the bytes that it holds.
    pub(super) async fn wait_evicted(&self) {
        self.held.wait_evicted().await;
    }

    /// Returns whether a close would pass off a truncated answer as a whole one.
    pub(super) fn must_reset(&self) -> bool {
        let state = view::lock(&self.state);
        state.is_truncated && state.ends_by_close
    }

    /// Logs and counts a panic of a handler.
    fn record_panic(&self) {
        let mut state = view::lock(&self.state);
        state.has_panicked = true;
        self.gateway.metrics.panics.inc();
        event!(Error, "panicked", request = state.request);
    }

    /// Handles a request.
    pub(super) async fn serve(
        self: Arc<Self>,
        incoming: http::Request<Incoming>,
    ) -> http::Response<AnswerBody> {
        let expects = incoming.headers().contains_key(header::EXPECT);
        {
            let mut state = view::lock(&self.state);
            state.is_kept = is_kept(&incoming);
            state.ends_by_close = incoming.version() != http::Version::HTTP_11;
        }
        let incoming = incoming.map(|body| self.begin_request(body));
        let is_refused = view::lock(&self.state).connection.is_refusing();
        let handled = request::handle(self.gateway.clone(), incoming, is_refused);
        let handled = panic::AssertUnwindSafe(handled).catch_unwind().await;
        let mut response = handled.unwrap_or_else(|_| {
            self.record_panic();
            reply::panic_response()
        });
        match expects {
            // Reading would ask the caller for the body; a body that is kept would keep the
            // connection open.
            true => drop(self.take_unread()),
            false => self.read_rest().await,
        }
        // Its caller must try another process, and would come back here on this connection.
        let is_refusal = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
        if is_refusal && self.gateway.view.is_leaving() {
            self.stop();
        }
        if self.record_answer() {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let size = response.body().size_hint().exact();
        let size = size.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
        if size.is_some() {
            self.held.free_request();
        }
        let room = response.extensions_mut().remove::<Arc<held::Room>>();
        self.held.begin_answer(size, room);
        response.map(|body| AnswerBody {
            inner: body,
            size,
            has_failed: false,
            life: self,
        })
    }

    fn record_answer(&self) -> bool {
        let mut state = view::lock(&self.state);
        let has_unread = || socket::has_unread(&self.socket);
        state.connection.record_answer(has_unread)
    }

    /// Takes a body that its handler has dropped before its end.
    fn take_unread(&self) -> Option<Incoming> {
        let mut state = view::lock(&self.state);
        let dropped = state.dropped.take();
        dropped.filter(|_| state.connection.state() == connection::State::Body)
    }

    /// Reads a body that its handler has dropped, as far as it has arrived.
    ///
    /// A refusal need not be the last answer then.
    async fn read_rest(&self) {
        let Some(mut body) = self.take_unread() else {
            return;
        };
        let mut left = REST_MAX;
        // The server passes on one part of the body each time that it is polled.
        for _ in 0..REST_POLLS {
            while let Some(frame) = body.frame().now_or_never() {
                let read = match frame {
                    Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
                    Some(Err(_)) => return,
                    None => {
                        view::lock(&self.state).connection.record_body();
                        return;
                    }
                };
                left = left.saturating_sub(read);
                if left == 0 {
                    return;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    pub(super) fn record_wanted(&self) {
        view::lock(&self.state).connection.record_wanted();
    }

    pub(super) fn record_read(&self) {
        let mut state = view::lock(&self.state);
        state.connection.record_read(Instant::now());
        drop(state);
        self.held.record_read();
    }

    /// Records that the caller took bytes, or none if `size` is `None`.
    pub(super) fn record_write(&self, size: Option<usize>) {
        match size {
            Some(size) => self.held.record_written(size),
            None => self.held.record_stall(),
        }
    }

    pub(super) fn record_left(&self) {
        view::lock(&self.state).has_left = true;
    }

    pub(super) fn record_flush(&self) {
        let mut state = view::lock(&self.state);
        state.connection.record_flush(Instant::now());
        drop(state);
        self.held.record_flush();
    }

    /// Records that a request has begun, and returns its body.
    fn begin_request(self: &Arc<Self>, body: Incoming) -> RequestBody {
        let mut state = view::lock(&self.state);
        let limits = limits(&self.gateway);
        state.connection.record_head(Instant::now(), limits);
        state.request.clear();
        state.dropped = None;
        if body.is_end_stream() {
            state.connection.record_body();
        }
        drop(state);
        RequestBody {
            inner: Some(body),
            life: self.clone(),
        }
    }

    /// Logs and counts the end of the connection if a request isn't answered as a whole.
    pub(super) fn record_end(&self, cause: Option<metrics::ConnectionEnd>) {
        let state = view::lock(&self.state);
        let has_crossed = cause == Some(metrics::ConnectionEnd::Crossed);
        if !state.connection.is_in_exchange() && !has_crossed {
            return;
        }
        let cause = cause.unwrap_or(
            match (state.has_panicked, state.is_truncated, state.has_left) {
                (true, ..) => metrics::ConnectionEnd::Panicked,
                (_, true, _) => metrics::ConnectionEnd::BodyTruncated,
                (.., true) => metrics::ConnectionEnd::CallerLeft,
                _ => metrics::ConnectionEnd::ServerError,
            },
        );
        let labels = metrics::ConnectionEndLabels {
            cause: registry::Label(cause),
        };
        self.gateway
            .metrics
            .connections_ended
            .get_or_create(&labels)
            .inc();
        let table = self.gateway.view.table.load();
        event!(
            Info,
            "connection-ended",
            // The request that crossed a close is not known.
            request = if has_crossed { "" } else { &state.request },
            state = state.connection.state(),
            age_ms = state.connection.age(Instant::now()).as_millis(),
            cause = cause,
            version = table.as_ref().map_or(0, |t| t.version)
        );
    }
}

/// Returns whether a request leaves its connection open.
fn is_kept<B>(request: &http::Request<B>) -> bool {
    let values = request.headers().get_all(header::CONNECTION);
    let mut options = values
        .iter()
        .flat_map(|v| v.as_bytes().split(|b| *b == b','));
    let says_close = options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"));
    request.version() == http::Version::HTTP_11 && !says_close
}

/// Returns whether bytes are more than empty lines between requests.
pub(super) fn has_begun(unread: &[u8]) -> bool {
    unread.iter().any(|byte| !byte.is_ascii_whitespace())
}

fn limits(gateway: &gateway::Gateway) -> connection::Limits {
    let table = gateway.view.table.load();
    table.as_ref().map_or(FIRST_LIMITS, |t| connection::Limits {
        head: t.limits.head_timeout,
        idle: t.limits.idle_timeout,
    })
}

/// Body of a request, which tells its connection how far it was read.
pub struct RequestBody {
    /// Taken when the body is dropped.
    inner: Option<Incoming>,
    life: Arc<Life>,
}

impl RequestBody {
    /// Sets the identifier under which the end of the connection is logged.
    pub(crate) fn set_request(&self, id: &str) {
        let mut state = view::lock(&self.life.state);
        id.clone_into(&mut state.request);
    }

    /// Waits for room for a part of the body; returns whether there was any in time.
    pub(crate) async fn hold(&self, bytes: usize, patience: time::Duration) -> bool {
        self.life.held.hold_request(bytes, patience).await
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(inner) = &mut self.inner else {
            return task::Poll::Ready(None);
        };
        let polled = pin::Pin::new(&mut *inner).poll_frame(context);
        match &polled {
            task::Poll::Pending => self.life.held.record_stall(),
            task::Poll::Ready(_) => {}
        }
        let Some(inner) = &self.inner else {
            return polled;
        };
        let is_end = match &polled {
            task::Poll::Ready(None) => true,
            task::Poll::Ready(Some(Ok(_))) => inner.is_end_stream(),
            _ => false,
        };
        if is_end {
            view::lock(&self.life.state).connection.record_body();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner
            .as_ref()
            .map_or(SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        view::lock(&self.life.state).dropped = self.inner.take();
    }
}

/// Body of an answer, which tells its connection when the last byte was handed over.
pub(super) struct AnswerBody {
    inner: reply::Body,
    /// Size of an answer that is known as a whole.
    size: Option<usize>,
    has_failed: bool,
    life: Arc<Life>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = reply::Truncated;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, reply::Truncated>>> {
        let inner = &mut self.inner;
        let poll = || pin::Pin::new(inner).poll_frame(context);
        let polled = panic::catch_unwind(panic::AssertUnwindSafe(poll));
        let polled = polled.unwrap_or_else(|_| {
            self.life.record_panic();
            task::Poll::Ready(Some(Err(reply::Truncated)))
        });
        if let task::Poll::Ready(Some(Ok(frame))) = &polled
            && self.size.is_none()
        {
            let size = frame.data_ref().map_or(0, Bytes::len);
            self.life.held.record_handed(size);
        }
        if let task::Poll::Ready(Some(Err(_))) = polled {
            self.has_failed = true;
            view::lock(&self.life.state).is_truncated = true;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        match self.size {
            Some(size) => self.life.held.record_handed(size),
            None => self.life.held.free_request(),
        }
        if !self.has_failed {
            view::lock(&self.life.state).connection.record_taken();
        }
    }
}
