//! Answers as a stream of server-sent events.

use std::{
    convert,
    pin,
    task, //
};

use serde::Serialize;
use xitca_web::{
    body::{
        Body,
        Frame, //
    },
    bytes::Bytes,
};

use laburnumcart::{
    id,
    verdict, //
};
use laburnumcart_daemon::stop;

use crate::{
    callers::problem,
    driver, //
};

/// A piece of the last stage's text.
#[derive(Serialize)]
struct Chunk<'a> {
    text: &'a str,
}

/// Body of a streamed answer; ends with `event: end` or `event: error`.
///
/// Its request is in flight until the last event was written, as with an answer in one piece.
pub(super) struct Events {
    request: id::RequestId,
    driven: Option<driver::Execution>,
    /// Ends when the caller has gone.
    gone: pin::Pin<Box<dyn Future<Output = ()>>>,
    work: Option<stop::Work>,
    paused: bool,
}

impl Events {
    /// Creates the stream of a request that runs.
    pub(super) fn new(
        request: id::RequestId,
        driven: driver::Execution,
        gone: impl Future<Output = ()> + 'static,
    ) -> Self {
        Self {
            request,
            driven: Some(driven),
            gone: Box::pin(gone),
            work: None,
            paused: false,
        }
    }

    /// Writes one event; the end closes the stream.
    fn write(&mut self, event: Option<driver::Event>) -> Bytes {
        let outcome = match event {
            Some(driver::Event::Piece(text)) => {
                let chunk = serde_json::to_string(&Chunk { text: &text });
                return frame("chunk", &chunk.unwrap_or_default());
            }
            Some(driver::Event::End(outcome, work)) => {
                self.work = Some(work);
                outcome
            }
            None => Err(verdict::Refusal::may_have_run(verdict::Reason::Lost)),
        };
        self.driven = None;
        match outcome {
            Ok(body) => frame("end", &body),
            Err(refusal) => {
                let problem = problem::Problem::new(refusal, Some(self.request));
                frame("error", &problem.text())
            }
        }
    }
}

/// Writes an event.
///
/// A line break in JSON text stands between its parts only, as strings escape it; left in place it
/// would end the event early.
fn frame(event: &str, data: &str) -> Bytes {
    let data = data.replace(['\n', '\r'], " ");
    format!("event: {event}\ndata: {data}\n\n").into()
}

impl Body for Events {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, convert::Infallible>>> {
        if self.gone.as_mut().poll(cx).is_ready() {
            // Dropping the events tells the driver.
            self.driven = None;
        }
        let Some(driven) = self.driven.as_mut() else {
            if self.paused {
                return task::Poll::Ready(None);
            }
            self.paused = true;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        };
        let event = task::ready!(driven.events.poll_recv(cx));
        let bytes = self.write(event);
        task::Poll::Ready(Some(Ok(Frame::Data(bytes))))
    }
}
