//! TCP relay that can silence its connections in one or both directions.

use std::{
    net,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        tcp, //
    },
    sync::watch,
    time,
};

/// Directions that are silenced.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Silence {
    /// From the entry to the agent.
    pub(crate) up: bool,
    /// From the agent to the entry.
    pub(crate) down: bool,
}

/// Relay in front of one agent.
pub(crate) struct Relay {
    pub(crate) addr: net::SocketAddr,
    open: Arc<Mutex<Vec<watch::Sender<Silence>>>>,
    initial: watch::Sender<Silence>,
    target: watch::Sender<net::SocketAddr>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn start(target: net::SocketAddr) -> Self {
        Self::start_with_delay(target, time::Duration::ZERO).await
    }

    /// Starts a relay to `target` with a delay in each direction.
    pub(crate) async fn start_with_delay(target: net::SocketAddr, delay: time::Duration) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let open = Arc::new(Mutex::new(Vec::new()));
        let initial = watch::Sender::new(Silence::default());
        let target = watch::Sender::new(target);
        let accept = accept(
            listener,
            target.subscribe(),
            open.clone(),
            initial.subscribe(),
            delay,
        );
        tokio::spawn(accept);
        Self {
            addr,
            open,
            initial,
            target,
        }
    }

    /// Silences all open connections; new ones work.
    pub(crate) fn silence(&self, silence: Silence) {
        for connection in self.open.lock().unwrap().iter() {
            connection.send_replace(silence);
        }
    }

    /// Relays new connections to another address, as if the process behind the relay was replaced.
    pub(crate) fn redirect(&self, target: net::SocketAddr) {
        self.target.send_replace(target);
    }

    /// Silences all connections, also new ones, in both directions, as in a network partition.
    pub(crate) fn cut_off(&self) {
        let both = Silence {
            up: true,
            down: true,
        };
        self.initial.send_replace(both);
        self.silence(both);
    }

    /// Waits until `count` connections have been opened in total.
    pub(crate) async fn wait_connections(&self, count: usize) {
        while self.open.lock().unwrap().len() < count {
            time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: watch::Receiver<net::SocketAddr>,
    open: Arc<Mutex<Vec<watch::Sender<Silence>>>>,
    initial: watch::Receiver<Silence>,
    delay: time::Duration,
) {
    while let Ok((near, _)) = listener.accept().await {
        let target = *target.borrow();
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        near.set_nodelay(true).unwrap();
        far.set_nodelay(true).unwrap();
        let (sender, silence) = watch::channel(*initial.borrow());
        open.lock().unwrap().push(sender);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(copy(near_read, far_write, silence.clone(), delay, |s| s.up));
        tokio::spawn(copy(far_read, near_write, silence, delay, |s| s.down));
    }
}

/// Copies one direction; data and end of stream are held back while it is silenced.
async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut silence: watch::Receiver<Silence>,
    delay: time::Duration,
    is_silenced: impl Fn(&Silence) -> bool,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if silence.wait_for(|s| !is_silenced(s)).await.is_err() || read == 0 {
            return;
        }
        time::sleep(delay).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
