//! What a caller's connection is doing, as told by its bytes and its requests.

use std::{
    io, pin,
    sync::{
        Arc,
        Mutex, //
    },
    task, time,
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    time::Instant,
};

use crate::view;

#[derive(Debug)]
struct State {
    /// Requests in progress.
    busy: usize,
    /// End of the last request, or the start of the connection.
    since: Instant,
    /// First byte after that.
    first: Option<Instant>,
}

/// Times of a connection.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
}

/// A request in progress, until it is dropped.
pub(super) struct Busy(Arc<Activity>);

impl Activity {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(State {
                busy: 0,
                since: now,
                first: None,
            }),
        }
    }

    pub(super) fn begin(self: &Arc<Self>) -> Busy {
        let mut state = view::lock(&self.state);
        state.busy += 1;
        state.first = None;
        drop(state);
        Busy(self.clone())
    }

    /// Returns for how long a head has been arriving.
    pub(super) fn reading(&self, now: Instant) -> time::Duration {
        let state = view::lock(&self.state);
        let first = state.first.filter(|_| state.busy == 0);
        first.map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns for how long nothing has come.
    pub(super) fn idle(&self, now: Instant) -> time::Duration {
        let state = view::lock(&self.state);
        match state.busy == 0 && state.first.is_none() {
            true => now.saturating_duration_since(state.since),
            false => time::Duration::ZERO,
        }
    }

    fn received(&self) {
        let mut state = view::lock(&self.state);
        if state.busy == 0 {
            state.first.get_or_insert_with(Instant::now);
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let mut state = view::lock(&self.0.state);
        state.busy -= 1;
        state.since = Instant::now();
    }
}

/// A connection that tells its [`Activity`] of what comes in.
pub(super) struct Watched<T> {
    inner: T,
    activity: Arc<Activity>,
}

impl<T> Watched<T> {
    pub(super) fn new(inner: T, activity: Arc<Activity>) -> Self {
        Self { inner, activity }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.received();
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }
}
