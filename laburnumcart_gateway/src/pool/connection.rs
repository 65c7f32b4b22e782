//! HTTP/1 connection to a target.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::{
    net,
    task,
    time::Instant, //
};

use laburnumcart::id;

use crate::{
    pool::{
        Failure,
        allowance::{
            Allowance,
            BoundedIo, //
        }, //
    },
    view, //
};

/// Timeout for opening a connection, which takes a few milliseconds within a region.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Time for which sent bytes may stay unacknowledged before the connection is closed.
///
/// Without a limit, a connection to a target that lost power or network would hang. Several
/// retransmissions fit in, so that single lost packets don't close the connection.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Idle time before the first keepalive probe, and the pause between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum size in bytes of a response's head, and of what is read ahead.
const HEAD_MAX: usize = 64 << 10;

/// A connection and the task that drives it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) target: id::TargetLife,
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    /// What may be read for the request in progress.
    pub(super) allowance: Allowance,
    /// End of the last response.
    pub(super) last_used: Instant,
    /// Time after which the connection is not reused.
    pub(super) idle_until: Instant,
    task: task::AbortHandle,
    /// Counts the connection as open.
    _open: Arc<()>,
}

impl Drop for Connection {
    /// Closes the socket immediately. Otherwise the task would run on until the end of the target's
    /// response.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection, counted by `open`.
pub(super) async fn open(target: &view::Target, open: Arc<()>) -> Result<Connection, Failure> {
    let connecting = net::TcpStream::connect(target.addr);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connected
        .ok()
        .and_then(Result::ok)
        .ok_or(Failure::Unreached)?;
    if let Err(error) = set_socket_options(&stream) {
        laburnumcart::event!(Warn, "socket-option", target = target.addr, error = error);
    }
    let allowance = Allowance::default();
    let stream = rt::TokioIo::new(BoundedIo::new(stream, allowance.clone()));
    let handshake = http1::Builder::new()
        .max_buf_size(HEAD_MAX)
        .handshake(stream)
        .await;
    let (sender, connection) = handshake.map_err(|_| Failure::Unreached)?;
    // An error is reported to the request on the connection as well.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    let now = Instant::now();
    Ok(Connection {
        target: target.key(),
        sender,
        allowance,
        last_used: now,
        idle_until: now,
        task: task.abort_handle(),
        _open: open,
    })
}

/// Sets the socket options that detect a dead connection.
pub(crate) fn set_socket_options(stream: &net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
