//! One connection to a target.

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
    pool::Failure,
    view, //
};

/// Longest time to open a connection; within a region that takes a few milliseconds.
const CONNECT: time::Duration = time::Duration::from_millis(600);

/// Time after which unacknowledged bytes end a connection.
///
/// A target that lost power or was cut off does not answer, and without a bound the connection
/// would hang. Several retransmissions fit in, so that lost packets alone do not end it.
const UNACKED: time::Duration = time::Duration::from_millis(2500);

/// Silence after which a connection is probed, and the pause between probes.
const PROBE: time::Duration = time::Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// A connection and the task that drives it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) target: id::TargetLife,
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    /// End of the last exchange.
    pub(super) used: Instant,
    /// Moment after which it is not used again.
    pub(super) until: Instant,
    task: task::AbortHandle,
    /// Counts it as open.
    _open: Arc<()>,
}

impl Drop for Connection {
    /// Closes the socket at once; a connection that only lost its owner would be driven on until
    /// the target's answer has ended.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection.
pub(super) async fn open(target: &view::Target, open: Arc<()>) -> Result<Connection, Failure> {
    let connecting = net::TcpStream::connect(target.addr);
    let connected = tokio::time::timeout(CONNECT, connecting).await;
    let stream = connected
        .ok()
        .and_then(Result::ok)
        .ok_or(Failure::Unreached)?;
    if let Err(error) = tune(&stream) {
        laburnumcart::event!(Warn, "socket-option", target = target.addr, error = error);
    }
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| Failure::Unreached)?;
    // Its error is told to the exchange that it ends.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    let now = Instant::now();
    Ok(Connection {
        target: target.key(),
        sender,
        used: now,
        until: now,
        task: task.abort_handle(),
        _open: open,
    })
}

/// Sets what tells a silent connection from a slow one.
pub(crate) fn tune(stream: &net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
