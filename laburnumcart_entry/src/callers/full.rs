//! Answers in one piece.

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

/// Body of an answer in one piece; its request is in flight until the body was written.
///
/// The server drops a body when it has copied the last frame, before it writes it out. A process
/// that counted the request as finished by then could exit in between and cut the answer off. The
/// pause before the end makes the server write first.
#[derive(Debug)]
pub(super) struct FullBody {
    len: usize,
    bytes: Option<Bytes>,
    paused: bool,
    _work: Option<stop::Work>,
}

impl FullBody {
    /// Creates the body.
    pub(super) fn new(text: String, work: Option<stop::Work>) -> Self {
        Self {
            len: text.len(),
            bytes: Some(text.into()),
            paused: false,
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
        if self.paused {
            return task::Poll::Ready(None);
        }
        self.paused = true;
        cx.waker().wake_by_ref();
        task::Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.len as u64)
    }
}
