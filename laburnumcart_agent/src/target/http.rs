//! HTTP connections to the target.

use std::{
    error,
    io,
    iter,
    net,
    sync,
    time, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        self,
        connect, //
    },
    rt, //
};

/// Greatest size of an answer to a control call, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// Size of the read buffer in bytes, which also limits the head of an answer.
///
/// hyper parses all that it has read before other tasks run, even the timeout of the call. With its
/// usual 400 KB, endless digits of a chunk size held up the thread for seconds.
const READ_BUFFER: usize = 16 << 10;

/// Failure of a call.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    #[display("could not connect to the target")]
    Unreached,
    /// The target's port is closed, so nothing was sent.
    #[display("the target refuses connections")]
    Refused,
    /// The connection failed after the call may have been sent.
    #[display("connection to the target failed")]
    Broken,
    /// No answer came in time.
    #[display("target did not answer in time")]
    Timeout,
    /// The target answered with a status other than success.
    #[display("target answered {_0}")]
    Status(#[error(not(source))] StatusCode),
    /// The answer violates the protocol.
    #[display("malformed answer from the target")]
    Malformed,
}

type Inner = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// Client with connections to one address.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    connector: connect::HttpConnector,
    /// Client that reuses connections.
    pooled: sync::Mutex<Inner>,
    /// Client that opens a connection for each call.
    unpooled: Inner,
}

/// Answer whose body is still to be read.
///
/// The connection is closed when the answer is dropped, unless [`Answer::keep_connection`] is
/// called. The HTTP library itself closes it only in the middle of a body, not after a body that
/// ended without the protocol's end mark. A target that lost track there may also mix up the next
/// answer on the connection, which belongs to another caller.
#[derive(Debug)]
pub struct Answer {
    /// Head and unread body.
    pub response: Response<Incoming>,
    captured: Option<connect::CaptureConnection>,
}

impl Answer {
    /// Returns the connection to the pool, after the answer was read to its end.
    pub fn keep_connection(mut self) {
        self.captured = None;
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if let Some(captured) = &self.captured
            && let Some(connected) = captured.connection_metadata().as_ref()
        {
            connected.poison();
        }
    }
}

impl Client {
    /// Creates a client with the given connect timeout, without connecting yet.
    pub fn new(address: net::SocketAddr, limit: time::Duration) -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limit));
        let unpooled = builder().pool_max_idle_per_host(0).build(connector.clone());
        Self {
            address,
            pooled: sync::Mutex::new(builder().build(connector.clone())),
            unpooled,
            connector,
        }
    }

    /// Closes the idle connections; calls that have begun keep theirs.
    pub fn drop_idle_connections(&self) {
        *self.pooled() = builder().build(self.connector.clone());
    }

    fn pooled(&self) -> sync::MutexGuard<'_, Inner> {
        self.pooled
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// The target may close an idle connection just as it is reused, and then it is unknown whether
    /// the call arrived. With `new_connection` the call gets a connection of its own, which avoids
    /// this for calls that must run at most once.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<Answer, Failure> {
        let captured = connect::capture_connection(&mut request);
        let client = match new_connection {
            true => self.unpooled.clone(),
            false => self.pooled().clone(),
        };
        match client.request(request).await {
            Ok(response) => Ok(Answer {
                response,
                captured: Some(captured),
            }),
            Err(error) if error.is_connect() && is_refused(&error) => Err(Failure::Refused),
            Err(error) if error.is_connect() => Err(Failure::Unreached),
            Err(_) => Err(Failure::Broken),
        }
    }

    /// Returns a POST request with a JSON body.
    pub fn post_request(&self, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
        let mut request = self.get_request(path, body);
        *request.method_mut() = Method::POST;
        let json = header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        request
    }

    /// Posts a JSON body to `path` and returns the body of the answer.
    pub async fn call(
        &self,
        path: &str,
        body: impl Into<Bytes>,
        limit: time::Duration,
    ) -> Result<Bytes, Failure> {
        self.send_and_read(self.post_request(path, body), limit)
            .await
    }

    /// Gets `path` and returns the body of the answer.
    pub async fn get(&self, path: &str, limit: time::Duration) -> Result<Bytes, Failure> {
        self.send_and_read(self.get_request(path, Bytes::new()), limit)
            .await
    }

    async fn send_and_read(
        &self,
        request: Request<Full<Bytes>>,
        limit: time::Duration,
    ) -> Result<Bytes, Failure> {
        let read = async {
            let mut answer = self.send(request, false).await?;
            let status = answer.response.status();
            let body = read_body(&mut answer, ANSWER_MAX).await?;
            answer.keep_connection();
            match status.is_success() {
                true => Ok(body),
                false => Err(Failure::Status(status)),
            }
        };
        tokio::time::timeout(limit, read)
            .await
            .unwrap_or(Err(Failure::Timeout))
    }

    fn get_request(&self, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body.into()));
        let uri = format!("http://{}{path}", self.address);
        // Never fails: a socket address and a constant path form a valid URI.
        *request.uri_mut() = uri.parse().unwrap_or_default();
        request
    }
}

fn builder() -> legacy::Builder {
    let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
    builder.http1_max_buf_size(READ_BUFFER);
    builder
}

/// Reports whether a connection was refused because nothing listens at the address.
fn is_refused(error: &(dyn error::Error + 'static)) -> bool {
    let sources = iter::successors(Some(error), |error| error.source());
    let mut kinds = sources.filter_map(|error| Some(error.downcast_ref::<io::Error>()?.kind()));
    kinds.any(|kind| kind == io::ErrorKind::ConnectionRefused)
}

/// Reads the whole body of an answer, up to `limit` bytes.
pub async fn read_body(answer: &mut Answer, limit: usize) -> Result<Bytes, Failure> {
    let body = Limited::new(answer.response.body_mut(), limit);
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Failure::Broken),
    }
}
