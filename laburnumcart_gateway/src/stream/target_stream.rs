//! One target's part of a stream.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use laburnumcart::sse;

use crate::{
    forward,
    gateway,
    pool, //
};

/// What a target sends next.
pub(super) enum Chunk {
    /// Whole events, and the number of the last one.
    Events(Bytes, Option<u64>),
    /// End of the stream.
    End,
    /// The target failed or fell silent.
    Failed,
}

/// One target's part of a stream; the target is told to stop when it is dropped.
pub(super) struct TargetStream {
    seat: gateway::Seat,
    body: Incoming,
    lease: pool::Lease,
    idle: Option<time::Duration>,
    splitter: sse::Splitter,
}

impl TargetStream {
    pub(super) fn new(opened: forward::TargetResponse) -> Self {
        Self {
            seat: opened.seat,
            body: opened.answer.body,
            lease: opened.answer.lease,
            idle: opened.reply.idle,
            splitter: sse::Splitter::default(),
        }
    }

    /// Waits for whole events after number `last`, at most for `limit`.
    pub(super) async fn next_chunk(&mut self, limit: time::Duration, last: Option<u64>) -> Chunk {
        let events = self.read_chunk(last);
        tokio::time::timeout(limit, events)
            .await
            .unwrap_or(Chunk::Failed)
    }

    async fn read_chunk(&mut self, last: Option<u64>) -> Chunk {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Chunk::Failed,
                // A stream that ends within an event was cut, however well it is framed.
                None if !self.splitter.is_empty() => return Chunk::Failed,
                None => return Chunk::End,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let Ok(events) = self.splitter.push(&data) else {
                return Chunk::Failed;
            };
            let mut number = last;
            let mut bytes = Vec::new();
            for event in events {
                // A target that resumes may begin with events that the caller has.
                if event.id.is_some_and(|id| Some(id) <= number) {
                    continue;
                }
                number = event.id.or(number);
                bytes.extend_from_slice(&event.bytes);
            }
            if !bytes.is_empty() {
                return Chunk::Events(bytes.into(), number);
            }
        }
    }

    /// Records that the target has begun to answer.
    pub(super) fn begin(&mut self) {
        self.seat.begin();
    }

    /// Records a failure of the target.
    pub(super) fn fail(&mut self) {
        self.seat.fail();
    }

    /// Ends a whole stream.
    pub(super) fn finish(mut self) {
        self.seat.succeed();
        self.lease.give_back(self.idle);
    }
}
