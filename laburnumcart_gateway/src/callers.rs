//! HTTP for callers.
//!
//! A caller that leaves ends its request at once: the server drops the request's future, and with
//! it the jobs and the connections to targets.

mod watched;

use std::{
    sync::Arc,
    time, //
};

use hyper::{
    server::conn::http1,
    service, //
};
use hyper_util::rt;
use tokio::{
    net,
    sync::{
        Semaphore,
        watch, //
    },
    time::Instant,
};

use laburnumcart::event;

use crate::{
    gateway,
    request, //
};

use self::watched::{
    Activity,
    Watched, //
};

/// Descriptors that are kept for files, targets and peers.
const RESERVED: u32 = 1200;

/// Fewest connections of callers.
const CONNECTIONS_MIN: u32 = 256;

/// Pause between two looks at a connection's time.
const CHECK: time::Duration = time::Duration::from_millis(500);

/// Largest head of a request in bytes, unless the configuration says otherwise.
const HEAD_MAX: usize = 16 << 10;

/// Least that the library's buffer must hold.
const BUFFER_MIN: usize = 8 << 10;

/// What a connection is told when the process stops.
pub type Closing = watch::Receiver<bool>;

/// Accepts callers' connections until the process ends.
pub async fn serve(gateway: Arc<gateway::Gateway>, listener: net::TcpListener, closing: Closing) {
    let most = gateway.settings.descriptors.saturating_sub(RESERVED);
    let places = Arc::new(Semaphore::new(most.max(CONNECTIONS_MIN) as usize));
    loop {
        // The semaphore is never closed.
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = connection(gateway.clone(), stream, closing.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            Err(error) => {
                event!(Warn, "accept-failed", error = error);
                tokio::time::sleep(CHECK).await;
            }
        }
    }
}

/// Serves one connection.
async fn connection(gateway: Arc<gateway::Gateway>, stream: net::TcpStream, mut closing: Closing) {
    if let Err(error) = stream.set_nodelay(true) {
        event!(Debug, "socket-option", error = error);
    }
    let activity = Arc::new(Activity::new(Instant::now()));
    let table = gateway.view.table.load_full();
    let head_max = table.map_or(HEAD_MAX, |t| t.limits.max_head);
    let io = rt::TokioIo::new(Watched::new(stream, activity.clone()));
    let (shared, seen) = (gateway.clone(), activity.clone());
    let service = service::service_fn(move |incoming| {
        let (gateway, busy) = (shared.clone(), seen.begin());
        async move {
            let response = request::handle(gateway, incoming).await;
            drop(busy);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let is_closing = *closing.borrow();
    let serving = http1::Builder::new()
        .half_close(false)
        // A connection that comes while the process stops is served once.
        .keep_alive(!is_closing)
        .max_buf_size(head_max.max(BUFFER_MIN))
        .timer(rt::TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(io, service);
    tokio::pin!(serving);
    let mut check = tokio::time::interval(CHECK);
    let mut told = is_closing;
    loop {
        tokio::select! {
            // An error is the caller's or the target's break, which was logged where it happened.
            _ = serving.as_mut() => return,
            _ = closing.changed(), if !told => {
                told = true;
                serving.as_mut().graceful_shutdown();
            }
            _ = check.tick() => match overdue(&gateway, &activity) {
                Overdue::No => {}
                Overdue::Idle => serving.as_mut().graceful_shutdown(),
                Overdue::Head => return,
            },
        }
    }
}

/// Which of a connection's times is over.
enum Overdue {
    No,
    Idle,
    Head,
}

fn overdue(gateway: &gateway::Gateway, activity: &Activity) -> Overdue {
    let Some(table) = gateway.view.table.load_full() else {
        return Overdue::No;
    };
    let now = Instant::now();
    if activity.reading(now) > table.limits.head_timeout {
        // A caller that sends its head byte by byte would keep a place for ever.
        return Overdue::Head;
    }
    match activity.idle(now) > table.limits.idle_timeout {
        true => Overdue::Idle,
        false => Overdue::No,
    }
}
