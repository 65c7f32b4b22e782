//! Response bodies that are streams of server-sent events.

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

/// Data of a `chunk` event: a piece of the last stage's text.
#[derive(Serialize)]
struct Chunk<'a> {
    text: &'a str,
}

/// Body of a streamed response, which ends with `event: end` or `event: error`.
///
/// Its request counts as in flight until the last event was written, as with `FullBody`.
pub(super) struct EventStream {
    request: id::RequestId,
    driven: Option<driver::Execution>,
    /// Completes when the caller has disconnected.
    disconnected: pin::Pin<Box<dyn Future<Output = ()>>>,
    /// Guard that keeps the request in flight until the body is dropped; set with the last event.
    work: Option<stop::Work>,
    /// Whether the body was pending once before its end, so that the server writes the last event
    /// before it drops the body.
    has_yielded: bool,
}

impl EventStream {
    /// Creates the stream of a running request.
    pub(super) fn new(
        request: id::RequestId,
        driven: driver::Execution,
        disconnected: impl Future<Output = ()> + 'static,
    ) -> Self {
        Self {
            request,
            driven: Some(driven),
            disconnected: Box::pin(disconnected),
            work: None,
            has_yielded: false,
        }
    }

    /// Encodes one event; the last one closes the stream.
    fn encode(&mut self, event: Option<driver::Event>) -> Bytes {
        let outcome = match event {
            Some(driver::Event::Piece(text)) => {
                let chunk = serde_json::to_string(&Chunk { text: &text });
                return encode_event("chunk", &chunk.unwrap_or_default());
            }
            Some(driver::Event::End(outcome, work)) => {
                self.work = Some(work);
                outcome
            }
            None => Err(verdict::Refusal::may_have_run(verdict::Reason::Lost)),
        };
        self.driven = None;
        match outcome {
            Ok(body) => encode_event("end", &body),
            Err(refusal) => {
                let problem = problem::Problem::new(refusal, Some(self.request));
                encode_event("error", &problem.to_json())
            }
        }
    }
}

/// Encodes a server-sent event.
///
/// A line break in the data would end the event early. In JSON text it is insignificant whitespace,
/// as strings escape it, and is replaced by a space.
fn encode_event(event: &str, data: &str) -> Bytes {
    let data = data.replace(['\n', '\r'], " ");
    format!("event: {event}\ndata: {data}\n\n").into()
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, convert::Infallible>>> {
        if self.disconnected.as_mut().poll(cx).is_ready() {
            // Dropping the event receiver cancels the driver.
            self.driven = None;
        }
        let Some(driven) = self.driven.as_mut() else {
            if self.has_yielded {
                return task::Poll::Ready(None);
            }
            self.has_yielded = true;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        };
        let event = task::ready!(driven.events.poll_recv(cx));
        let bytes = self.encode(event);
        task::Poll::Ready(Some(Ok(Frame::Data(bytes))))
    }
}
