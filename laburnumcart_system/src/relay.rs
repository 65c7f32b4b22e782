//! A TCP relay that can stall its connections, for tests of network faults.

use std::{
    io, net,
    sync::{
        self,
        atomic, //
    },
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::tcp,
    sync::watch, //
};

/// Size of the buffer for one read, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Directions in which existing connections hold bytes back; new connections are not affected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stall {
    /// Whether bytes from the client are held back.
    pub to_server: bool,
    /// Whether bytes to the client are held back.
    pub to_client: bool,
}

/// A [`Stall`] and the connections that it applies to: those numbered up to `last`.
#[derive(Clone, Copy, Debug, Default)]
struct StallRule {
    stall: Stall,
    last: u64,
}

/// Number of bytes that a relay has forwarded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bytes {
    /// Bytes from clients to the server.
    pub to_server: u64,
    /// Bytes from the server to clients.
    pub to_client: u64,
}

/// State shared by the tasks of a relay.
#[derive(Debug)]
struct Shared {
    rule: watch::Sender<StallRule>,
    /// Number of connections accepted so far.
    connection_count: atomic::AtomicU64,
    /// Number of tasks that are holding bytes back or writing them.
    held_count: atomic::AtomicUsize,
    /// Bytes forwarded from clients.
    to_server: atomic::AtomicU64,
    /// Bytes forwarded to clients.
    to_client: atomic::AtomicU64,
    /// Text that starts a stall when it is read from the server.
    trigger: sync::Mutex<Option<(Vec<u8>, Stall)>>,
}

/// Relay from one listening address to one destination; it stops accepting when it is dropped.
#[derive(Debug)]
pub struct Relay {
    addr: net::SocketAddr,
    shared: sync::Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Listens on `addr` and forwards to `dest`.
    pub async fn start(addr: net::SocketAddr, dest: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let shared = sync::Arc::new(Shared {
            rule: watch::Sender::new(StallRule::default()),
            connection_count: atomic::AtomicU64::new(0),
            held_count: atomic::AtomicUsize::new(0),
            to_server: atomic::AtomicU64::new(0),
            to_client: atomic::AtomicU64::new(0),
            trigger: sync::Mutex::new(None),
        });
        let task = tokio::spawn(accept_connections(listener, dest, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Returns the address that the relay listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the number of bytes forwarded so far.
    pub fn bytes(&self) -> Bytes {
        Bytes {
            to_server: self.shared.to_server.load(atomic::Ordering::Relaxed),
            to_client: self.shared.to_client.load(atomic::Ordering::Relaxed),
        }
    }

    /// Stalls all existing connections; bytes are held back, not lost.
    pub fn stall(&self, stall: Stall) {
        self.shared.stall(stall);
    }

    /// Stalls all connections that exist when `text` is next read from the server, before forwarding
    /// it.
    pub fn stall_at_text(&self, text: &str, stall: Stall) {
        *self.shared.lock_trigger() = Some((text.into(), stall));
    }

    /// Reports whether a stall is in effect.
    pub fn is_stalled(&self) -> bool {
        self.shared.rule.borrow().stall != Stall::default()
    }

    /// Reports whether bytes are being held back.
    pub fn is_holding_bytes(&self) -> bool {
        self.shared.held_count.load(atomic::Ordering::SeqCst) > 0
    }

    /// Ends the stall, or cancels a pending one, and forwards the held bytes.
    pub fn resume(&self) {
        *self.shared.lock_trigger() = None;
        self.shared.rule.send_replace(StallRule::default());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn stall(&self, stall: Stall) {
        let last = self.connection_count.load(atomic::Ordering::SeqCst);
        self.rule.send_replace(StallRule { stall, last });
    }

    fn lock_trigger(&self) -> sync::MutexGuard<'_, Option<(Vec<u8>, Stall)>> {
        self.trigger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Starts the pending stall if `bytes` contain its text.
    fn stall_on_trigger(&self, bytes: &[u8]) {
        let mut trigger = self.lock_trigger();
        let is_in = |text: &[u8]| bytes.windows(text.len()).any(|part| part == text);
        if let Some((_, stall)) = trigger.take_if(|(text, _)| is_in(text)) {
            self.stall(stall);
        }
    }
}

/// Accepts connections and forwards each of them in both directions.
async fn accept_connections(
    listener: tokio::net::TcpListener,
    dest: net::SocketAddr,
    shared: sync::Arc<Shared>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let number = shared
            .connection_count
            .fetch_add(1, atomic::Ordering::SeqCst)
            + 1;
        let Ok(server) = tokio::net::TcpStream::connect(dest).await else {
            continue;
        };
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let stalls_to_server = move |rule: &StallRule| number <= rule.last && rule.stall.to_server;
        let stalls_to_client = move |rule: &StallRule| number <= rule.last && rule.stall.to_client;
        tokio::spawn(forward(
            client_in,
            server_out,
            shared.clone(),
            false,
            stalls_to_server,
        ));
        tokio::spawn(forward(
            server_in,
            client_out,
            shared.clone(),
            true,
            stalls_to_client,
        ));
    }
}

/// Forwards the bytes of one direction until it is closed or fails.
async fn forward(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    shared: sync::Arc<Shared>,
    to_client: bool,
    is_stalled: impl Fn(&StallRule) -> bool,
) {
    let mut rule = shared.rule.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        let bytes = &buffer[..count];
        if to_client {
            shared.stall_on_trigger(bytes);
        }
        shared.held_count.fetch_add(1, atomic::Ordering::SeqCst);
        let released = rule.wait_for(|rule| !is_stalled(rule)).await.is_ok();
        let sent = released && count > 0 && to.write_all(bytes).await.is_ok();
        shared.held_count.fetch_sub(1, atomic::Ordering::SeqCst);
        if !sent {
            return;
        }
        let forwarded = if to_client {
            &shared.to_client
        } else {
            &shared.to_server
        };
        forwarded.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
}
