//! Socket whose peer must read.

use std::{
    io,
    pin::Pin,
    task,
    time, //
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net,
    time::Sleep, //
};

/// Socket that fails once a write has waited for too long.
///
/// The RPC library looks for silent peers between its writes only. It would wait in a write for as
/// long as a peer reads nothing, and meanwhile take calls whose answers it can't send.
#[derive(Debug)]
pub(super) struct Stream {
    inner: net::TcpStream,
    timeout: time::Duration,
    /// End of the wait of the current write.
    deadline: Option<Pin<Box<Sleep>>>,
    /// Whether a write has reached its deadline.
    is_stuck: bool,
}

impl Stream {
    pub(super) fn new(inner: net::TcpStream, timeout: time::Duration) -> Self {
        Self {
            inner,
            timeout,
            deadline: None,
            is_stuck: false,
        }
    }

    /// Writes, or fails if the peer has read nothing until the deadline.
    fn poll_write_with(
        &mut self,
        cx: &mut task::Context<'_>,
        write: impl FnOnce(
            Pin<&mut net::TcpStream>,
            &mut task::Context<'_>,
        ) -> task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if self.is_stuck {
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = write(Pin::new(&mut self.inner), cx);
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let timeout = self.timeout;
        let deadline = self
            .deadline
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        task::ready!(deadline.as_mut().poll(cx));
        self.is_stuck = true;
        task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.is_stuck {
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(cx, |inner, cx| inner.poll_write(cx, buf))
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
        self.poll_write_with(cx, |inner, cx| inner.poll_write_vectored(cx, bufs))
    }
}
