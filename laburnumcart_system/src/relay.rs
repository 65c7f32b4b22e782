//! A TCP relay between two processes that can fall silent.

use std::{
    io,
    net,
    sync, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::tcp,
    sync::watch, //
};

/// What happens to bytes on the connections that exist now; new ones always work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Silence {
    /// Bytes from the caller are held back.
    pub forth: bool,
    /// Bytes to the caller are held back.
    pub back: bool,
}

/// Bytes that a relay has passed on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bytes {
    /// From callers.
    pub forth: u64,
    /// To callers.
    pub back: u64,
}

/// Counters of [`Bytes`].
#[derive(Debug, Default)]
struct Passed {
    forth: sync::atomic::AtomicU64,
    back: sync::atomic::AtomicU64,
}

/// Which connections a [`Silence`] applies to: those with a number up to `last`.
#[derive(Clone, Copy, Debug, Default)]
struct Rule {
    silence: Silence,
    last: u64,
}

/// Relay with one listening address and one destination.
#[derive(Debug)]
pub struct Relay {
    addr: net::SocketAddr,
    rule: sync::Arc<watch::Sender<Rule>>,
    count: sync::Arc<sync::atomic::AtomicU64>,
    passed: sync::Arc<Passed>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Listens on `addr` and passes on to `dest`.
    pub async fn start(addr: net::SocketAddr, dest: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let rule = sync::Arc::new(watch::Sender::new(Rule::default()));
        let count = sync::Arc::new(sync::atomic::AtomicU64::new(0));
        let passed = sync::Arc::new(Passed::default());
        let accepting = accept(listener, dest, rule.clone(), count.clone(), passed.clone());
        let task = tokio::spawn(accepting);
        Ok(Self {
            addr,
            rule,
            count,
            passed,
            task,
        })
    }

    /// Returns its address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns how many bytes it has passed on.
    pub fn bytes(&self) -> Bytes {
        Bytes {
            forth: self.passed.forth.load(sync::atomic::Ordering::Relaxed),
            back: self.passed.back.load(sync::atomic::Ordering::Relaxed),
        }
    }

    /// Silences all connections that exist now; bytes are held, not lost.
    pub fn silence(&self, silence: Silence) {
        let last = self.count.load(sync::atomic::Ordering::SeqCst);
        self.rule.send_replace(Rule { silence, last });
    }

    /// Lets the held bytes go on.
    pub fn heal(&self) {
        self.rule.send_replace(Rule::default());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    dest: net::SocketAddr,
    rule: sync::Arc<watch::Sender<Rule>>,
    count: sync::Arc<sync::atomic::AtomicU64>,
    passed: sync::Arc<Passed>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let number = count.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1;
        let Ok(far) = tokio::net::TcpStream::connect(dest).await else {
            continue;
        };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let forth = move |rule: &Rule| number <= rule.last && rule.silence.forth;
        let back = move |rule: &Rule| number <= rule.last && rule.silence.back;
        let (sent, received) = (passed.clone(), passed.clone());
        let forth_count = move |bytes| add(&sent.forth, bytes);
        let back_count = move |bytes| add(&received.back, bytes);
        let rules = (rule.subscribe(), rule.subscribe());
        tokio::spawn(pump(near_in, far_out, rules.0, forth, forth_count));
        tokio::spawn(pump(far_in, near_out, rules.1, back, back_count));
    }
}

fn add(counter: &sync::atomic::AtomicU64, bytes: usize) {
    counter.fetch_add(bytes as u64, sync::atomic::Ordering::Relaxed);
}

async fn pump(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut rule: watch::Receiver<Rule>,
    held: impl Fn(&Rule) -> bool,
    passed: impl Fn(usize),
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if rule.wait_for(|rule| !held(rule)).await.is_err() {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        passed(count);
    }
}
