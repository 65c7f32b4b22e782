//! Acceptance of connections up to the WebSocket handshake.
//!
//! The server of the RPC library bounds neither the number of connections without a request nor the
//! time of any request but the first.

use std::{
    collections,
    io,
    time, //
};

use http::Request;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service, //
};
use hyper_util::rt;
use jsonrpsee::server;
use tokio::{
    net,
    task, //
};
use tower::{
    Service,
    layer::util, //
};

use super::{
    Limits,
    auth,
    stream, //
};

/// Maximum size of a request's head in bytes.
const HEAD_SIZE_MAX: usize = 16 << 10;

/// Pause after an error of the listener, such as a lack of file descriptors, which would recur at
/// once.
const ERROR_PAUSE: time::Duration = time::Duration::from_millis(50);

type HttpMiddleware = util::Stack<auth::Auth, util::Identity>;
type Builder = server::TowerServiceBuilder<util::Identity, HttpMiddleware>;
type RpcService = server::TowerService<util::Identity, HttpMiddleware>;

/// Accepts connections and serves the request that opens each of them.
pub(super) struct Acceptor {
    pub(super) listener: net::TcpListener,
    pub(super) builder: Builder,
    pub(super) methods: server::Methods,
    pub(super) stop: server::StopHandle,
    pub(super) limits: Limits,
}

impl Acceptor {
    /// Accepts connections until the server is stopped.
    pub(super) async fn run(self) {
        let mut opening = Opening::new(self.limits.opening as usize);
        let stopped = self.stop.clone().shutdown();
        tokio::pin!(stopped);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = &mut stopped => return,
            };
            match accepted {
                Ok((stream, _)) => opening.start(self.open(stream)),
                Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
            }
        }
    }

    /// Serves a connection until its WebSocket handshake is complete, within the time for it.
    ///
    /// An open connection is served by a task of the RPC library, without this limit.
    fn open(&self, stream: net::TcpStream) -> impl Future<Output = ()> + use<> {
        let service = self
            .builder
            .clone()
            .build(self.methods.clone(), self.stop.clone());
        let stop = self.stop.clone();
        let timeout = self.limits.connect.0;
        let idle = self.limits.idle.0;
        async move {
            // Without it the connection is only slower.
            let _ = stream.set_nodelay(true);
            let stream = stream::Stream::new(stream, idle);
            // The caller sees any error as a closed connection.
            let _ = tokio::time::timeout(timeout, handshake(stream, service, stop)).await;
        }
    }
}

async fn handshake(
    stream: stream::Stream,
    service: RpcService,
    stop: server::StopHandle,
) -> hyper::Result<()> {
    let service = service::service_fn(move |request: Request<Incoming>| {
        let response = service.clone().call(request.map(server::HttpBody::new));
        async { response.await.map_err(io::Error::other) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(HEAD_SIZE_MAX)
        .serve_connection(rt::TokioIo::new(stream), service)
        .with_upgrades();
    tokio::pin!(connection);
    tokio::select! {
        result = &mut connection => return result,
        () = stop.shutdown() => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

/// Connections that are being opened, the oldest first.
struct Opening {
    max: usize,
    tasks: collections::VecDeque<task::AbortHandle>,
}

impl Opening {
    fn new(max: usize) -> Self {
        Self {
            max: max.max(1),
            tasks: collections::VecDeque::new(),
        }
    }

    /// Starts to open a connection, in place of the oldest if there are too many.
    fn start(&mut self, opening: impl Future<Output = ()> + Send + 'static) {
        self.tasks.retain(|task| !task.is_finished());
        if self.tasks.len() >= self.max
            && let Some(oldest) = self.tasks.pop_front()
        {
            oldest.abort();
        }
        self.tasks.push_back(tokio::spawn(opening).abort_handle());
    }
}
