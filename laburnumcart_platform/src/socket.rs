//! Sockets of HTTP clients, with a bound on what is read.
//!
//! hyper skips interim responses, and digits and blanks of chunk sizes, without a bound.

use std::{
    future,
    io,
    pin::Pin,
    task,
    time, //
};

use http::Uri;
use hyper_util::{
    client::legacy::connect,
    rt, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net,
};
use tower::Service;

/// Bytes that a response may have beyond its greatest size: its head and the framing of its body.
const OVERHEAD_MAX: usize = 512 << 10;

/// Connector of an HTTP client.
#[derive(Clone, Debug)]
pub struct Connector {
    inner: connect::HttpConnector,
    max_read: usize,
}

impl Connector {
    /// Creates a connector with the given connect timeout; responses have any size.
    pub fn new(timeout: time::Duration) -> Self {
        let mut inner = connect::HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(timeout));
        Self {
            inner,
            max_read: usize::MAX,
        }
    }

    /// Sets the greatest size of a response in bytes.
    #[must_use]
    pub fn max_response(mut self, size: usize) -> Self {
        self.max_read = size.saturating_add(OVERHEAD_MAX);
        self
    }
}

type Connecting<E> = Pin<Box<dyn future::Future<Output = Result<rt::TokioIo<Socket>, E>> + Send>>;

impl Service<Uri> for Connector {
    type Response = rt::TokioIo<Socket>;
    type Error = <connect::HttpConnector as Service<Uri>>::Error;
    type Future = Connecting<Self::Error>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.inner.call(uri);
        let max_read = self.max_read;
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(rt::TokioIo::new(Socket::new(stream, max_read)))
        })
    }
}

/// Socket that reads a limited number of bytes after each write.
#[derive(Debug)]
pub struct Socket {
    inner: net::TcpStream,
    max_read: usize,
    /// Bytes read since the last write, which belongs to the request.
    read: usize,
}

impl Socket {
    fn new(inner: net::TcpStream, max_read: usize) -> Self {
        Self {
            inner,
            max_read,
            read: 0,
        }
    }

    fn record_read(&mut self, size: usize) -> io::Result<()> {
        self.read = self.read.saturating_add(size);
        match self.read > self.max_read {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "response is too long",
            )),
            false => Ok(()),
        }
    }
}

impl connect::Connection for Socket {
    fn connected(&self) -> connect::Connected {
        self.inner.connected()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        task::ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let size = buf.filled().len() - before;
        task::Poll::Ready(self.record_read(size))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = task::ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.read = 0;
        task::Poll::Ready(Ok(written))
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = task::ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.read = 0;
        task::Poll::Ready(Ok(written))
    }
}
