//! Connections between the system's own processes.
//!
//! A connection is a WebSocket without TLS that carries JSON-RPC. Each process proves with its first
//! request that it knows a secret of the fleet.

mod auth;
mod bound;

use std::{
    io,
    net,
    sync, //
};

use derive_more::{
    Display,
    Error, //
};
use http::header;
use jsonrpsee::{
    core::{
        client,
        middleware, //
    },
    server,
    types,
    ws_client, //
};

use laburnumcart::{
    unit,
    verdict, //
};

use crate::secret;

pub use self::bound::Bounded;

/// A connection to a peer.
///
/// A call that is larger than [`Limits::message`] fails alone and without being sent.
pub type Client = client::Client<Bounded<ws_client::RpcService>>;

/// Bounds of a connection, the same at both ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    connect: unit::Period,
    request: unit::Period,
    message: unit::Size,
    concurrent: u32,
    connections: u32,
    idle: unit::Period,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: unit::Period::from_secs(1),
            request: unit::Period::from_secs(15),
            message: unit::Size(8 << 20),
            concurrent: 1024,
            connections: 2048,
            idle: unit::Period::from_secs(30),
        }
    }
}

impl Limits {
    /// Sets the longest time to open a connection.
    #[must_use]
    pub fn connect(mut self, period: unit::Period) -> Self {
        self.connect = period;
        self
    }

    /// Sets the longest time that a call waits for its answer.
    #[must_use]
    pub fn request(mut self, period: unit::Period) -> Self {
        self.request = period;
        self
    }

    /// Sets the largest message in bytes, both ways.
    #[must_use]
    pub fn message(mut self, size: unit::Size) -> Self {
        self.message = size;
        self
    }

    /// Sets how many calls one connection carries at once.
    #[must_use]
    pub fn concurrent(mut self, calls: u32) -> Self {
        self.concurrent = calls;
        self
    }

    /// Sets how many connections a server holds.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets after which silence a server closes a connection.
    #[must_use]
    pub fn idle(mut self, period: unit::Period) -> Self {
        self.idle = period;
        self
    }

    fn bytes(&self) -> u32 {
        self.message.0.try_into().unwrap_or(u32::MAX)
    }
}

/// Why a connection was not opened.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// The peer does not accept the secret.
    #[display("the peer refused the secret")]
    Unauthorized,
    /// The peer did not answer in time.
    #[display("no answer within {_0}")]
    Timeout(#[error(not(source))] unit::Period),
    /// The peer is not reachable or does not speak the protocol.
    #[display("{_0}")]
    Failed(client::Error),
}

/// Opens a connection to the peer at `addr`.
///
/// The WebSocket's own ping is off: the protocol's heartbeat tells a silent connection from a live
/// one, and carries facts with it.
pub async fn connect(
    addr: net::SocketAddr,
    secret: &secret::Secret,
    limits: &Limits,
) -> Result<Client, ConnectError> {
    let mut headers = header::HeaderMap::new();
    headers.insert(header::AUTHORIZATION, auth::credentials(secret));
    // The transport refuses a message over its limit by closing the connection, and doubt falls
    // on all its other calls. `Bounded` refuses earlier, so the transport gets room to spare.
    let room = limits.bytes().saturating_add(bound::ENVELOPE);
    let bounded = bound::Bound::new(limits.bytes() as usize);
    let building = ws_client::WsClientBuilder::new()
        .set_headers(headers)
        .connection_timeout(limits.connect.0)
        .request_timeout(limits.request.0)
        .max_request_size(room)
        .max_response_size(room)
        .max_concurrent_requests(limits.concurrent as usize)
        .set_tcp_no_delay(true)
        .disable_ws_ping()
        .set_rpc_middleware(middleware::RpcServiceBuilder::new().layer(bounded))
        .build(format!("ws://{addr}/"));
    // The builder bounds each step; a peer that accepts and then stays silent needs one bound
    // over all of them.
    match tokio::time::timeout(limits.connect.0, building).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(error)) if auth::is_refusal(&error) => Err(ConnectError::Unauthorized),
        Ok(Err(error)) => Err(ConnectError::Failed(error)),
        Err(_) => Err(ConnectError::Timeout(limits.connect)),
    }
}

/// Tells from a call's error whether the peer may have executed the call.
///
/// Methods answer refusals by value. An error of the protocol itself is a proof of "not run" only
/// where the call was turned away before it reached a method.
pub fn verdict(error: &client::Error) -> verdict::Verdict {
    use types::ErrorCode::{
        InvalidParams,
        InvalidRequest,
        MethodNotFound,
        OversizedRequest,
        ParseError, //
    };

    let client::Error::Call(object) = error else {
        return verdict::Verdict::MayHaveRun;
    };
    match object.code().into() {
        ParseError | InvalidRequest | MethodNotFound | InvalidParams | OversizedRequest => {
            verdict::Verdict::NotRun
        }
        _ => verdict::Verdict::MayHaveRun,
    }
}

/// Accepts connections of peers that know one of the secrets.
pub struct Server {
    secrets: Vec<secret::Secret>,
    limits: Limits,
    refused: sync::Arc<dyn Fn() + Send + Sync>,
}

impl Server {
    /// Creates a server; several secrets are valid at once while they are rotated.
    pub fn new(secrets: &[secret::Secret]) -> Self {
        Self {
            secrets: secrets.to_vec(),
            limits: Limits::default(),
            refused: sync::Arc::new(|| ()),
        }
    }

    /// Sets the bounds.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets what is called for each request without a valid secret, for a counter.
    #[must_use]
    pub fn on_refused(mut self, hook: impl Fn() + Send + Sync + 'static) -> Self {
        self.refused = sync::Arc::new(hook);
        self
    }

    /// Serves `methods` on `listener` from the current runtime until the handle stops it.
    pub fn serve(
        self,
        listener: net::TcpListener,
        methods: impl Into<server::Methods>,
    ) -> io::Result<Handle> {
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let auth = auth::Auth::new(self.secrets, self.refused);
        let running = server::Server::builder()
            .set_config(config(&self.limits))
            .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
            .build_from_tcp(listener)?
            .start(methods);
        Ok(Handle { addr, running })
    }
}

fn config(limits: &Limits) -> server::ServerConfig {
    let silence = server::PingConfig::new()
        .ping_interval(limits.idle.0 / 3)
        .inactive_limit(limits.idle.0);
    server::ServerConfig::builder()
        .ws_only()
        .max_request_body_size(limits.bytes().saturating_add(bound::ENVELOPE))
        .max_response_body_size(limits.bytes())
        .max_connections(limits.connections)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(server::BatchRequestConfig::Disabled)
        .set_message_buffer_capacity(limits.concurrent)
        .set_tcp_no_delay(true)
        .enable_ws_ping(silence)
        .build()
}

/// Serves `methods` on `listener` for peers that know one of `secrets`.
pub fn serve(
    listener: net::TcpListener,
    secrets: &[secret::Secret],
    methods: impl Into<server::Methods>,
    limits: &Limits,
) -> io::Result<Handle> {
    Server::new(secrets)
        .limits(*limits)
        .serve(listener, methods)
}

/// A running server; dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    addr: net::SocketAddr,
    running: server::ServerHandle,
}

impl Handle {
    /// Returns the address that it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Accepts no more connections, and closes each one when its running calls have been answered.
    pub fn stop(&self) {
        // An error says that it has stopped already.
        let _ = self.running.stop();
    }

    /// Waits until every connection is closed.
    pub async fn stopped(self) {
        self.running.stopped().await;
    }
}
