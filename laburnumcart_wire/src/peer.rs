//! Connections between the processes of the system.
//!
//! A connection is a WebSocket without TLS that carries JSON-RPC. The client authenticates with a
//! shared secret of the fleet in the request that opens the connection.

mod accept;
mod auth;
mod bound;
mod stream;

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

/// Client end of a connection to a peer.
///
/// A call larger than [`Limits::message`] fails without being sent and affects no other call.
pub type Client = client::Client<Bounded<ws_client::RpcService>>;

/// Limits of a connection, the same at both ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    connect: unit::Period,
    request: unit::Period,
    message: unit::Size,
    concurrent: u32,
    connections: u32,
    opening: u32,
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
            opening: 256,
            idle: unit::Period::from_secs(30),
        }
    }
}

impl Limits {
    /// Sets the timeout for opening a connection.
    #[must_use]
    pub fn connect(mut self, period: unit::Period) -> Self {
        self.connect = period;
        self
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn request(mut self, period: unit::Period) -> Self {
        self.request = period;
        self
    }

    /// Sets the maximum size of a message in either direction.
    #[must_use]
    pub fn message(mut self, size: unit::Size) -> Self {
        self.message = size;
        self
    }

    /// Sets the maximum number of concurrent calls of a connection.
    #[must_use]
    pub fn concurrent(mut self, calls: u32) -> Self {
        self.concurrent = calls;
        self
    }

    /// Sets the maximum number of connections of a server.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the maximum number of connections that a server lets callers open at the same time.
    ///
    /// A further one takes the place of the oldest, as a caller that works needs little time.
    #[must_use]
    pub fn opening(mut self, connections: u32) -> Self {
        self.opening = connections;
        self
    }

    /// Sets the time without a message after which a server closes a connection.
    #[must_use]
    pub fn idle(mut self, period: unit::Period) -> Self {
        self.idle = period;
        self
    }

    fn message_bytes(&self) -> u32 {
        self.message.0.try_into().unwrap_or(u32::MAX)
    }
}

/// Error when opening a connection.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// The peer rejected the secret.
    #[display("the peer refused the secret")]
    Unauthorized,
    /// The peer did not answer within the timeout.
    #[display("no answer within {_0}")]
    Timeout(#[error(not(source))] unit::Period),
    /// The peer is unreachable or does not speak the protocol.
    #[display("{_0}")]
    Failed(client::Error),
}

/// Opens a connection to the peer at `addr`.
///
/// WebSocket pings are disabled: the heartbeat of the protocol detects silent connections, and
/// carries facts as well.
pub async fn connect(
    addr: net::SocketAddr,
    secret: &secret::Secret,
    limits: &Limits,
) -> Result<Client, ConnectError> {
    let mut headers = header::HeaderMap::new();
    headers.insert(header::AUTHORIZATION, auth::credentials(secret));
    // The transport closes the connection when a message exceeds its limit, which leaves the
    // outcome of all other calls unknown. `Bounded` checks the size first, so the limit of the
    // transport is set higher.
    let transport_limit = limits.message_bytes().saturating_add(bound::ENVELOPE);
    let bounded = bound::Bound::new(limits.message_bytes() as usize);
    let connecting = ws_client::WsClientBuilder::new()
        .set_headers(headers)
        .connection_timeout(limits.connect.0)
        .request_timeout(limits.request.0)
        .max_request_size(transport_limit)
        .max_response_size(transport_limit)
        .max_concurrent_requests(limits.concurrent as usize)
        .set_tcp_no_delay(true)
        .disable_ws_ping()
        .set_rpc_middleware(middleware::RpcServiceBuilder::new().layer(bounded))
        .build(format!("ws://{addr}/"));
    // The builder has a timeout for each step only. This one covers all steps, for a peer that
    // accepts the connection and then stays silent.
    match tokio::time::timeout(limits.connect.0, connecting).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(error)) if auth::is_refusal(&error) => Err(ConnectError::Unauthorized),
        Ok(Err(error)) => Err(ConnectError::Failed(error)),
        Err(_) => Err(ConnectError::Timeout(limits.connect)),
    }
}

/// Returns whether the peer may have executed a call that ended with this error.
///
/// Methods return refusals as values. A protocol error proves that the call was not executed only
/// if the server rejected the call before it reached a method.
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

/// Server for connections of peers that know one of the secrets.
pub struct Server {
    secrets: Vec<secret::Secret>,
    limits: Limits,
    on_refused: sync::Arc<dyn Fn() + Send + Sync>,
}

impl Server {
    /// Creates a server; during a rotation several secrets are valid.
    pub fn new(secrets: &[secret::Secret]) -> Self {
        Self {
            secrets: secrets.to_vec(),
            limits: Limits::default(),
            on_refused: sync::Arc::new(|| ()),
        }
    }

    /// Sets the limits of the connections.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets a hook that is called for each request without a valid secret, such as a counter.
    #[must_use]
    pub fn on_refused(mut self, hook: impl Fn() + Send + Sync + 'static) -> Self {
        self.on_refused = sync::Arc::new(hook);
        self
    }

    /// Serves `methods` on `listener` in the current runtime until the handle stops the server.
    pub fn serve(
        self,
        listener: net::TcpListener,
        methods: impl Into<server::Methods>,
    ) -> io::Result<Handle> {
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let auth = auth::Auth::new(self.secrets, self.on_refused);
        let builder = server::Server::builder()
            .set_config(server_config(&self.limits))
            .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
            .to_service_builder();
        let (stop, running) = server::stop_channel();
        let acceptor = accept::Acceptor {
            listener: tokio::net::TcpListener::from_std(listener)?,
            builder,
            methods: methods.into(),
            stop,
            limits: self.limits,
        };
        tokio::spawn(acceptor.run());
        Ok(Handle { addr, running })
    }
}

fn server_config(limits: &Limits) -> server::ServerConfig {
    let ping = server::PingConfig::new()
        .ping_interval(limits.idle.0 / 3)
        .inactive_limit(limits.idle.0);
    server::ServerConfig::builder()
        .ws_only()
        .max_request_body_size(limits.message_bytes().saturating_add(bound::ENVELOPE))
        .max_response_body_size(limits.message_bytes())
        .max_connections(limits.connections)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(server::BatchRequestConfig::Disabled)
        .set_message_buffer_capacity(limits.concurrent)
        .enable_ws_ping(ping)
        .build()
}

/// Serves `methods` on `listener` to peers that know one of `secrets`.
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
    /// Returns the address that the server listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops accepting connections, and closes each open one after its calls in flight are
    /// answered.
    pub fn stop(&self) {
        // An error means that the server has already stopped.
        let _ = self.running.stop();
    }

    /// Waits until every connection is closed.
    pub async fn stopped(self) {
        self.running.stopped().await;
    }
}
