//! Response bodies that are sent in one piece.

use std::{
    convert,
    pin,
    task, //
};

use xitca_web::{
    body::{
        Body,
        Frame,
        SizeHint, //
    },
    bytes::Bytes,
};

use laburnumcart_daemon::stop;

/// Body that keeps its request in flight until it was written to the connection.
///
/// The server drops a body once its last frame is buffered, before the buffer is written. If the
/// request counted as finished then, the process could exit before the write and truncate the
/// response. The body therefore yields once before its end, which makes the server write first.
#[derive(Debug)]
pub(super) struct FullBody {
    len: usize,
    bytes: Option<Bytes>,
    has_yielded: bool,
    _work: Option<stop::Work>,
}

impl FullBody {
    /// Creates a body with the request's token of work in flight.
    pub(super) fn new(text: String, work: Option<stop::Work>) -> Self {
        Self {
            len: text.len(),
            bytes: Some(text.into()),
            has_yielded: false,
            _work: work,
        }
    }
}

impl Body for FullBody {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, convert::Infallible>>> {
        if let Some(bytes) = self.bytes.take() {
            return task::Poll::Ready(Some(Ok(Frame::Data(bytes))));
        }
        if self.has_yielded {
            return task::Poll::Ready(None);
        }
        self.has_yielded = true;
        cx.waker().wake_by_ref();
        task::Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.len as u64)
    }
}
