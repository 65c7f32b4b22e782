//! Socket of a caller's connection, and its close.

use std::{
    io,
    pin,
    sync::Arc,
    task,
    time, //
};

use bytes::Bytes;
use socket2::SockRef;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net,
};

use laburnumcart::event;

use crate::turns;

use super::life;

/// Time for which a connection is read after its sending side was closed.
///
/// Closing it with unread bytes would reset it, and the caller could lose the last answer.
const LINGER_TIME: time::Duration = time::Duration::from_millis(500);

/// Size of the buffer for bytes that are dropped.
const DROP_SIZE: usize = 2048;

/// Most bytes of one read.
///
/// hyper parses them before other tasks run, and its buffer grows to the size of the largest head.
const READ_MAX: usize = 16 << 10;

/// Most bytes of answers that the system keeps for a caller beyond those under way.
///
/// Without a limit, it keeps up to 4 MB for each caller that does not read, which also count as
/// memory of the process.
const UNSENT_MAX: u32 = 128 << 10;

/// Stream that records in a [`life::Life`] what is read and written.
pub(super) struct CallerStream {
    inner: Arc<net::TcpStream>,
    life: Arc<life::Life>,
    /// Bytes that an earlier server has read and not parsed.
    unread: Bytes,
    turns: turns::Turns,
}

impl CallerStream {
    pub(super) fn new(inner: Arc<net::TcpStream>, life: Arc<life::Life>, unread: Bytes) -> Self {
        Self {
            inner,
            life,
            unread,
            turns: turns::Turns::default(),
        }
    }

    fn record_write(&self, written: &task::Poll<io::Result<usize>>) {
        match written {
            task::Poll::Ready(Ok(size)) => self.life.record_write(Some(*size)),
            task::Poll::Ready(Err(_)) => self.life.record_left(),
            task::Poll::Pending => self.life.record_write(None),
        }
    }
}

/// Repeats an operation on a socket until it doesn't fail for lack of readiness.
fn poll_ready<T>(
    mut ready: impl FnMut() -> task::Poll<io::Result<()>>,
    mut act: impl FnMut() -> io::Result<T>,
) -> task::Poll<io::Result<T>> {
    loop {
        std::task::ready!(ready())?;
        match act() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return task::Poll::Ready(result),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.life.record_wanted();
        let size_max = buffer.remaining().min(READ_MAX);
        if !self.unread.is_empty() {
            let size = self.unread.len().min(size_max);
            buffer.put_slice(&self.unread.split_to(size));
            self.life.record_read();
            return task::Poll::Ready(Ok(()));
        }
        std::task::ready!(self.turns.poll_turn(context));
        let socket = &self.inner;
        let target = buffer.initialize_unfilled_to(size_max);
        let polled = poll_ready(
            || socket.poll_read_ready(context),
            || socket.try_read(target),
        );
        let task::Poll::Ready(read) = polled else {
            self.turns.record_wait();
            return task::Poll::Pending;
        };
        match read {
            Ok(0) | Err(_) => self.life.record_left(),
            Ok(_) => self.life.record_read(),
        }
        let size = read?;
        self.turns.record_read(size);
        buffer.advance(size);
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let socket = &self.inner;
        let polled = poll_ready(
            || socket.poll_write_ready(context),
            || socket.try_write(bytes),
        );
        self.record_write(&polled);
        polled
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.life.record_flush();
        task::Poll::Ready(Ok(()))
    }

    /// Does nothing; [`close`] does it.
    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let socket = &self.inner;
        let polled = poll_ready(
            || socket.poll_write_ready(context),
            || socket.try_write_vectored(slices),
        );
        self.record_write(&polled);
        polled
    }
}

/// Returns whether bytes of the caller, or its close, wait in the socket.
///
/// The runtime may not have noticed them yet, so the socket itself is asked.
pub(super) fn has_unread(socket: &net::TcpStream) -> bool {
    !peek(socket).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether bytes of the caller wait in the socket.
pub(super) fn has_bytes(socket: &net::TcpStream) -> bool {
    peek(socket).is_ok_and(|count| count > 0)
}

fn peek(socket: &net::TcpStream) -> io::Result<usize> {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    SockRef::from(socket).peek(&mut byte)
}

/// Sets the options of a caller's socket.
pub(super) fn set_options(socket: &net::TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_notsent_lowat(UNSENT_MAX)
}

/// Makes the close of a socket a reset, which drops what the caller has not read.
pub(super) fn reset(socket: &net::TcpStream) {
    if let Err(error) = SockRef::from(socket).set_linger(Some(time::Duration::ZERO)) {
        event!(Debug, "socket-close", error = error);
    }
}

/// Writes a last answer as far as the socket takes it at once; it is short.
pub(super) fn write_last(socket: &net::TcpStream, answer: &[u8]) {
    match socket.try_write(answer) {
        Ok(written) if written == answer.len() => {}
        Ok(_) => event!(Debug, "last-answer", outcome = "incomplete"),
        Err(error) => event!(Debug, "last-answer", outcome = error),
    }
}

/// Closes the sending side, reads until the caller closes its side or a limit has passed, and
/// returns whether bytes came.
pub(super) async fn close(socket: &net::TcpStream) -> bool {
    if let Err(error) = SockRef::from(socket).shutdown(std::net::Shutdown::Write) {
        event!(Debug, "socket-close", error = error);
        return false;
    }
    let mut has_read = false;
    let read = async {
        let mut dropped = [0; DROP_SIZE];
        while socket.readable().await.is_ok() {
            match socket.try_read(&mut dropped) {
                Ok(0) => return,
                Ok(_) => {
                    has_read = true;
                    // A caller that goes on sending must hold up neither others nor the limit.
                    tokio::task::yield_now().await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    if tokio::time::timeout(LINGER_TIME, read).await.is_err() {
        event!(Debug, "socket-close", error = "the caller keeps it open");
    }
    has_read
}
