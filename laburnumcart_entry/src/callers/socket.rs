//! Listener that limits the number of connections and detects disconnected callers.
//!
//! The HTTP server does not read while a request runs, so it would notice a disconnect only by a
//! failed write. Each connection is therefore watched through a duplicate file descriptor.

use std::{
    collections,
    io,
    net,
    sync, //
};

use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime,
    sync::watch,
};
use xitca_io::net::Stream;
use xitca_server::net::{
    IntoListener,
    Listen, //
};

/// Maximum number of open connections; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 4096;

/// Open connections by the caller's address.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections(sync::Arc<sync::Mutex<Open>>);

type Open = collections::HashMap<net::SocketAddr, watch::Receiver<()>>;

impl Connections {
    /// Waits until the caller has closed its side; an unknown address counts as closed.
    pub(super) fn wait_closed(
        &self,
        addr: net::SocketAddr,
    ) -> impl Future<Output = ()> + Send + 'static {
        let open = self.lock().get(&addr).cloned();
        async move {
            if let Some(mut open) = open {
                while open.changed().await.is_ok() {}
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Open> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Adds a connection; dropping the sender signals that the caller has disconnected.
    fn insert(&self, addr: net::SocketAddr) -> watch::Sender<()> {
        let (sender, receiver) = watch::channel(());
        self.lock().insert(addr, receiver);
        sender
    }

    /// Removes a connection when its caller closes it.
    async fn remove_when_closed(
        self,
        stream: TcpStream,
        addr: net::SocketAddr,
        sender: watch::Sender<()>,
    ) {
        wait_read_closed(&stream).await;
        let mut open = self.lock();
        // The caller may have reused the port for a new connection.
        let own = sender.subscribe();
        if open
            .get(&addr)
            .is_some_and(|known| known.same_channel(&own))
        {
            open.remove(&addr);
        }
    }
}

/// Waits until the peer has closed its side, without reading.
async fn wait_read_closed(stream: &TcpStream) {
    loop {
        match stream.ready(tokio::io::Interest::READABLE).await {
            Ok(ready) if ready.is_read_closed() => return,
            Ok(_) => {}
            Err(_) => return,
        }
        // The server reads the data. Clearing the readiness makes the next wait block until the
        // next change; a close stays visible.
        let clear_ready = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = stream.try_io(tokio::io::Interest::READABLE, clear_ready);
    }
}

/// Listener that is not registered with the server's runtime yet.
#[derive(Debug)]
pub(super) struct ListenerConfig {
    /// Listening socket.
    pub(super) listener: net::TcpListener,
    /// Table to which accepted connections are added.
    pub(super) connections: Connections,
    /// Runtime on which connections are watched.
    pub(super) runtime: runtime::Handle,
}

/// Listener on the server's runtime.
#[derive(Debug)]
pub(super) struct Listener {
    listener: TcpListener,
    connections: Connections,
    runtime: runtime::Handle,
    permits: sync::Arc<tokio::sync::Semaphore>,
}

impl IntoListener for ListenerConfig {
    type Listener = Listener;

    fn into_listener(self) -> io::Result<Listener> {
        self.listener.set_nonblocking(true)?;
        Ok(Listener {
            listener: TcpListener::from_std(self.listener)?,
            connections: self.connections,
            runtime: self.runtime,
            permits: sync::Arc::new(tokio::sync::Semaphore::new(CONNECTIONS_MAX)),
        })
    }
}

impl Listen for Listener {
    async fn accept(&self) -> io::Result<Stream> {
        let permit = self.permits.clone().acquire_owned().await;
        let permit = permit.map_err(io::Error::other)?;
        let (stream, addr) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let duplicate = {
            let _runtime = self.runtime.enter();
            TcpStream::from_std(stream.try_clone()?)?
        };
        // Added before the first request can be read, as an unknown caller counts as disconnected.
        let sender = self.connections.insert(addr);
        let removal = self
            .connections
            .clone()
            .remove_when_closed(duplicate, addr, sender);
        self.runtime.spawn(async move {
            removal.await;
            drop(permit);
        });
        Ok(Stream::Tcp(stream, addr))
    }
}
