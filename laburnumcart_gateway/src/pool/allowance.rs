//! Bound on the bytes that a target sends around the body of a response.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic, //
    },
    task, //
};

use bytes::Bytes;
use http_body::{
    Body as _,
    Frame, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{
    self,
    AsyncRead,
    AsyncWrite, //
};

use crate::turns;

/// Bytes that a response may have beyond its body, with those that are read ahead.
const OVERHEAD_MAX: usize = 512 << 10;

/// Bytes of framing that each part of a body may have.
const FRAME_OVERHEAD: usize = 256;

/// Bytes that may still be read for the request in progress.
///
/// hyper skips interim responses, and digits and blanks of chunk sizes, without a bound.
#[derive(Clone, Debug, Default)]
pub(super) struct Allowance(Arc<atomic::AtomicUsize>);

impl Allowance {
    /// Begins a request.
    pub(super) fn begin(&self) {
        self.0.store(OVERHEAD_MAX, atomic::Ordering::Relaxed);
    }

    /// Adds what a received part of the body takes.
    fn record_data(&self, size: usize) {
        self.0
            .fetch_add(size + FRAME_OVERHEAD, atomic::Ordering::Relaxed);
    }

    /// Takes received bytes; fails once they are more than allowed.
    fn take(&self, size: usize) -> std::io::Result<()> {
        let order = atomic::Ordering::Relaxed;
        let taken = self
            .0
            .fetch_update(order, order, |left| left.checked_sub(size));
        match taken {
            Ok(_) => Ok(()),
            Err(_) => Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                "response is too long for its body",
            )),
        }
    }
}

/// Reports whether a request failed because its response exceeded the allowance.
pub(super) fn is_exceeded(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    source.is_some_and(|source| source.kind() == std::io::ErrorKind::InvalidData)
}

/// Body of a response.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    allowance: Allowance,
}

impl Body {
    pub(super) fn new(incoming: Incoming, allowance: Allowance) -> Self {
        Self {
            incoming,
            allowance,
        }
    }

    /// Returns whether the head tells the size.
    pub(super) fn has_size(&self) -> bool {
        self.incoming.size_hint().exact().is_some()
    }

    /// Returns the next part, `None` at the end.
    pub async fn frame(&mut self) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = self.incoming.frame().await;
        if let Some(Ok(frame)) = &frame {
            let size = frame.data_ref().map_or(0, Bytes::len);
            self.allowance.record_data(size);
        }
        frame
    }
}

/// Connection that reads no more than its allowance.
#[derive(Debug)]
pub(super) struct BoundedIo<T> {
    inner: T,
    allowance: Allowance,
    turns: turns::Turns,
}

impl<T> BoundedIo<T> {
    pub(super) fn new(inner: T, allowance: Allowance) -> Self {
        Self {
            inner,
            allowance,
            turns: turns::Turns::default(),
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut io::ReadBuf<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        task::ready!(self.turns.poll_turn(cx));
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let size = buf.filled().len() - before;
        self.turns.record_read(size);
        match read {
            task::Poll::Ready(Ok(())) => task::Poll::Ready(self.allowance.take(size)),
            task::Poll::Ready(Err(error)) => task::Poll::Ready(Err(error)),
            task::Poll::Pending => {
                self.turns.record_wait();
                task::Poll::Pending
            }
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> task::Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
