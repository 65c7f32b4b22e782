//! A TCP relay between two processes that can fall silent.

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

/// Bytes that one step of a relay passes on.
const STEP: usize = 16 * 1024;

/// What happens to bytes on the connections that exist now; new ones always work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stall {
    /// Bytes from the caller are held back.
    pub to_server: bool,
    /// Bytes to the caller are held back.
    pub to_client: bool,
}

/// Which connections a [`Stall`] applies to: those with a number up to `last`.
#[derive(Clone, Copy, Debug, Default)]
struct Rule {
    silence: Stall,
    last: u64,
}

/// Bytes that a relay has passed on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bytes {
    /// From callers.
    pub to_server: u64,
    /// To callers.
    pub to_client: u64,
}

/// What the relay's tasks share.
#[derive(Debug)]
struct Shared {
    rule: watch::Sender<Rule>,
    count: atomic::AtomicU64,
    /// Directions of connections that hold bytes back.
    held: atomic::AtomicUsize,
    /// Bytes passed on from callers.
    to_server: atomic::AtomicU64,
    /// Bytes passed on to callers.
    to_client: atomic::AtomicU64,
    /// Text that begins a silence when it is on its way to a caller.
    trigger: sync::Mutex<Option<(Vec<u8>, Stall)>>,
}

/// Relay with one listening address and one destination.
#[derive(Debug)]
pub struct Relay {
    addr: net::SocketAddr,
    shared: sync::Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Listens on `addr` and passes on to `dest`.
    pub async fn start(addr: net::SocketAddr, dest: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let shared = sync::Arc::new(Shared {
            rule: watch::Sender::new(Rule::default()),
            count: atomic::AtomicU64::new(0),
            held: atomic::AtomicUsize::new(0),
            to_server: atomic::AtomicU64::new(0),
            to_client: atomic::AtomicU64::new(0),
            trigger: sync::Mutex::new(None),
        });
        let task = tokio::spawn(accept(listener, dest, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Returns its address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns how many bytes it has passed on.
    pub fn bytes(&self) -> Bytes {
        Bytes {
            to_server: self.shared.to_server.load(atomic::Ordering::Relaxed),
            to_client: self.shared.to_client.load(atomic::Ordering::Relaxed),
        }
    }

    /// Silences all connections that exist now; bytes are held, not lost.
    pub fn stall(&self, silence: Stall) {
        self.shared.stall(silence);
    }

    /// Silences all connections that exist when `text` is next on its way to a caller, before it
    /// passes.
    pub fn stall_at_text(&self, text: &str, silence: Stall) {
        *self.shared.trigger() = Some((text.into(), silence));
    }

    /// Reports whether a silence has begun and was not ended.
    pub fn is_stalled(&self) -> bool {
        self.shared.rule.borrow().silence != Stall::default()
    }

    /// Reports whether bytes are held back.
    pub fn is_holding_bytes(&self) -> bool {
        self.shared.held.load(atomic::Ordering::SeqCst) > 0
    }

    /// Lets the held bytes go on.
    pub fn resume(&self) {
        *self.shared.trigger() = None;
        self.shared.rule.send_replace(Rule::default());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn stall(&self, silence: Stall) {
        let last = self.count.load(atomic::Ordering::SeqCst);
        self.rule.send_replace(Rule { silence, last });
    }

    fn trigger(&self) -> sync::MutexGuard<'_, Option<(Vec<u8>, Stall)>> {
        self.trigger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Begins the silence that waits for a text which `bytes` hold.
    fn look(&self, bytes: &[u8]) {
        let mut trigger = self.trigger();
        let is_in = |text: &[u8]| bytes.windows(text.len()).any(|part| part == text);
        if let Some((_, silence)) = trigger.take_if(|(text, _)| is_in(text)) {
            self.stall(silence);
        }
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    dest: net::SocketAddr,
    shared: sync::Arc<Shared>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let number = shared.count.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let Ok(far) = tokio::net::TcpStream::connect(dest).await else {
            continue;
        };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let forth = move |rule: &Rule| number <= rule.last && rule.silence.to_server;
        let back = move |rule: &Rule| number <= rule.last && rule.silence.to_client;
        tokio::spawn(pump(near_in, far_out, shared.clone(), false, forth));
        tokio::spawn(pump(far_in, near_out, shared.clone(), true, back));
    }
}

async fn pump(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    shared: sync::Arc<Shared>,
    looks: bool,
    holds: impl Fn(&Rule) -> bool,
) {
    let mut rule = shared.rule.subscribe();
    let mut buffer = vec![0; STEP];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        let bytes = &buffer[..count];
        if looks {
            shared.look(bytes);
        }
        shared.held.fetch_add(1, atomic::Ordering::SeqCst);
        let free = rule.wait_for(|rule| !holds(rule)).await.is_ok();
        let sent = free && count > 0 && to.write_all(bytes).await.is_ok();
        shared.held.fetch_sub(1, atomic::Ordering::SeqCst);
        if !sent {
            return;
        }
        let passed = if looks {
            &shared.to_client
        } else {
            &shared.to_server
        };
        passed.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
}
