//! Callers' connections: their number is bounded, and a caller's going away is noticed.
//!
//! The HTTP server reads nothing while a request runs, so that it learns only from a failed write
//! that the caller has gone. Each connection is therefore watched through a second descriptor.

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

/// Most connections of callers that are open at once; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 4096;

/// Connections that are open, by the caller's address.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections(sync::Arc<sync::Mutex<Open>>);

type Open = collections::HashMap<net::SocketAddr, watch::Receiver<()>>;

impl Connections {
    /// Waits until the caller has closed its side; an address that is not known has done so.
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

    /// Enters a connection into the table; the sender tells by its end that the caller has gone.
    fn enter(&self, addr: net::SocketAddr) -> watch::Sender<()> {
        let (sender, receiver) = watch::channel(());
        self.lock().insert(addr, receiver);
        sender
    }

    /// Removes a connection when its caller closes it.
    async fn follow(self, stream: TcpStream, addr: net::SocketAddr, sender: watch::Sender<()>) {
        closed(&stream).await;
        let mut open = self.lock();
        // The caller may have opened the next connection from the same port already.
        let own = sender.subscribe();
        if open
            .get(&addr)
            .is_some_and(|known| known.same_channel(&own))
        {
            open.remove(&addr);
        }
    }
}

/// Waits until the other side has closed, without reading.
async fn closed(stream: &TcpStream) {
    loop {
        match stream.ready(tokio::io::Interest::READABLE).await {
            Ok(ready) if ready.is_read_closed() => return,
            Ok(_) => {}
            Err(_) => return,
        }
        // The data is the server's to read; forgetting that it is there makes the next wait end
        // with the next change only. A close is never forgotten.
        let unread = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = stream.try_io(tokio::io::Interest::READABLE, unread);
    }
}

/// A listener that is not yet bound to the server's runtime.
#[derive(Debug)]
pub(super) struct ListenerConfig {
    /// Socket that listens.
    pub(super) listener: net::TcpListener,
    /// Table that new connections enter.
    pub(super) connections: Connections,
    /// Runtime of the watches.
    pub(super) runtime: runtime::Handle,
}

/// A listener at work.
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
        let twin = {
            let _runtime = self.runtime.enter();
            TcpStream::from_std(stream.try_clone()?)?
        };
        // Entered before the first request can be read, else its caller would count as gone.
        let sender = self.connections.enter(addr);
        let follow = self.connections.clone().follow(twin, addr, sender);
        self.runtime.spawn(async move {
            follow.await;
            drop(permit);
        });
        Ok(Stream::Tcp(stream, addr))
    }
}
