//! HTTP server for callers.
//!
//! When a caller disconnects, the server drops the request's future, which cancels its jobs and
//! closes its connections to targets.

mod life;
mod socket;

use std::{
    convert,
    future,
    io,
    sync::Arc,
    time, //
};

use bytes::Bytes;
use hyper::{
    server::conn::http1,
    service, //
};
use hyper_util::rt;
use tokio::{
    net,
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        watch, //
    },
};

use laburnumcart::{
    connection,
    event, //
};

use crate::{
    gateway,
    metrics,
    reply, //
};

pub use self::life::RequestBody;

/// File descriptors reserved for files and for connections to targets and peers.
const RESERVED_DESCRIPTORS: u32 = 1200;

/// Minimum number of callers' connections, however few descriptors there are.
const CONNECTIONS_MIN: u32 = 256;

/// Interval of the timeout checks of a connection, and pause after a failed accept.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Interval at which room is made while there are as many connections as there may be.
const ROOM_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Interval of these checks while the process stops.
const STOP_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maximum size of a request head in bytes before the configuration is known.
const HEAD_MAX: usize = 16 << 10;

/// Minimum buffer size that hyper accepts.
const BUFFER_MIN: usize = 8 << 10;

/// Signals connections to close, when the process stops.
pub type Closing = watch::Receiver<bool>;

/// Accepts callers' connections until the process is about to exit.
pub async fn serve(gateway: Arc<gateway::Gateway>, listener: net::TcpListener, closing: Closing) {
    let limit = gateway
        .settings
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS);
    let permits = Arc::new(Semaphore::new(limit.max(CONNECTIONS_MIN) as usize));
    tokio::select! {
        () = accept(&gateway, &listener, &permits, &closing) => {}
        () = gateway.view.wait_for_exit() => {}
    }
    if let Err(error) = accept_waiting(&gateway, listener, &permits, &closing) {
        event!(Warn, "accept-failed", error = error);
    }
}

async fn accept(
    gateway: &Arc<gateway::Gateway>,
    listener: &net::TcpListener,
    permits: &Arc<Semaphore>,
    closing: &Closing,
) {
    loop {
        let Some(permit) = wait_for_room(gateway, permits).await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(gateway, stream, permit, closing),
            Err(error) => {
                event!(Warn, "accept-failed", error = error);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Waits for room for one more connection, and makes it if callers that read slowly take it up.
async fn wait_for_room(
    gateway: &gateway::Gateway,
    permits: &Arc<Semaphore>,
) -> Option<OwnedSemaphorePermit> {
    loop {
        let room = permits.clone().acquire_owned();
        match tokio::time::timeout(ROOM_INTERVAL, room).await {
            // It fails only on a closed semaphore, and this one is never closed.
            Ok(permit) => return permit.ok(),
            Err(_) => gateway.outbound.pool.held.make_room(),
        }
    }
}

/// Accepts the connections that wait, and closes the port.
///
/// The exit would reset them, whatever their callers have sent.
fn accept_waiting(
    gateway: &Arc<gateway::Gateway>,
    listener: net::TcpListener,
    permits: &Arc<Semaphore>,
    closing: &Closing,
) -> io::Result<()> {
    // The runtime may not have noticed them yet, so the socket itself is asked.
    let listener = listener.into_std()?;
    while let Ok(permit) = permits.clone().try_acquire_owned() {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        spawn_connection(gateway, net::TcpStream::from_std(stream)?, permit, closing);
    }
    Ok(())
}

fn spawn_connection(
    gateway: &Arc<gateway::Gateway>,
    stream: net::TcpStream,
    permit: OwnedSemaphorePermit,
    closing: &Closing,
) {
    let connection = serve_connection(gateway.clone(), stream, closing.clone());
    tokio::spawn(async move {
        connection.await;
        drop(permit);
    });
}

/// Returns the interval of checks.
///
/// Those that were missed while the process stood still must not follow at once, before what waits in
/// the socket is read.
fn check_interval(period: time::Duration) -> tokio::time::Interval {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    interval
}

/// End of serving a connection.
struct Ended {
    cause: Option<metrics::ConnectionEnd>,
    overdue: Option<connection::Overdue>,
    /// Bytes that were read and not parsed.
    unread: Bytes,
}

/// Serves one connection until it ends.
async fn serve_connection(
    gateway: Arc<gateway::Gateway>,
    stream: net::TcpStream,
    mut closing: Closing,
) {
    if let Err(error) = socket::set_options(&stream) {
        event!(Debug, "socket-option", error = error);
    }
    let socket = Arc::new(stream);
    let life = life::Life::new(gateway.clone(), socket.clone());
    let table = gateway.view.table.load_full();
    let head_max = table.map_or(HEAD_MAX, |t| t.limits.max_head);
    let mut unread = Bytes::new();
    let ended = loop {
        let io = socket::CallerStream::new(socket.clone(), life.clone(), unread);
        let ended = serve_requests(io, life.clone(), head_max, &mut closing).await;
        let is_evicted = ended.cause == Some(metrics::ConnectionEnd::Evicted);
        if is_evicted || !life.refuse_late(&ended.unread) {
            break ended;
        }
        unread = ended.unread;
    };
    life.record_end(ended.cause);
    if life.has_left() {
        return;
    }
    if ended.cause == Some(metrics::ConnectionEnd::Evicted) || life.must_reset() {
        socket::reset(&socket);
        return;
    }
    let answer = match ended.overdue {
        Some(connection::Overdue::Head | connection::Overdue::Body) => {
            Some(reply::timeout_message())
        }
        Some(connection::Overdue::Exit) => Some(reply::exit_message()),
        Some(connection::Overdue::Idle) if life::has_begun(&ended.unread) => {
            Some(reply::timeout_message())
        }
        Some(connection::Overdue::Idle | connection::Overdue::Closing) | None => None,
    };
    if let Some(answer) = answer
        && life.may_answer()
    {
        socket::write_last(&socket, &answer);
    }
    let has_read = socket::close(&socket).await;
    if has_read && ended.overdue == Some(connection::Overdue::Idle) {
        life.record_end(Some(metrics::ConnectionEnd::Crossed));
    }
}

/// Serves requests until the last answer, an error or a limit.
async fn serve_requests(
    io: socket::CallerStream,
    life: Arc<life::Life>,
    head_max: usize,
    closing: &mut Closing,
) -> Ended {
    let current = life.clone();
    let service = service::service_fn(move |incoming| {
        let answer = current.clone().serve(incoming);
        Box::pin(async move { Ok::<_, convert::Infallible>(answer.await) })
    });
    let mut serving = http1::Builder::new()
        .half_close(false)
        .max_buf_size(head_max.max(BUFFER_MIN))
        .timer(rt::TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(rt::TokioIo::new(io), service);
    let mut check = check_interval(CHECK_INTERVAL);
    let mut is_stopping = *closing.borrow();
    if is_stopping {
        life.stop();
    }
    let (cause, overdue) = loop {
        tokio::select! {
            biased;
            result = future::poll_fn(|context| serving.poll_without_shutdown(context)) => {
                let is_malformed = result.is_err_and(|error| error.is_parse());
                break (is_malformed.then_some(metrics::ConnectionEnd::Malformed), None);
            }
            () = life.wait_evicted() => {
                break (Some(metrics::ConnectionEnd::Evicted), None);
            }
            _ = closing.changed(), if !is_stopping => {
                is_stopping = true;
                life.stop();
                check = check_interval(STOP_INTERVAL);
            }
            _ = check.tick() => match life.overdue() {
                None => {}
                Some(overdue @ (connection::Overdue::Idle | connection::Overdue::Closing)) => {
                    break (None, Some(overdue));
                }
                Some(connection::Overdue::Exit) => {
                    let cause = metrics::ConnectionEnd::Exiting;
                    break (Some(cause), Some(connection::Overdue::Exit));
                }
                Some(overdue) => {
                    break (Some(metrics::ConnectionEnd::RequestTimeout), Some(overdue));
                }
            },
        }
    };
    // This drops the request, which cancels all work for it.
    let unread = serving.into_parts().read_buf;
    Ended {
        cause,
        overdue,
        unread,
    }
}
