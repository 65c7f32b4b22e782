//! Event stream from one target.

use std::time;

use bytes::Bytes;
use derive_more::Display;
use http::StatusCode;
use tokio::time::Instant;

use laburnumcart::sse;

use crate::{
    crashes,
    forward,
    gateway,
    pool,
    view, //
};

/// Next part of a target's stream.
pub(super) enum Chunk {
    /// Complete events, and the number of the last one.
    Events(Bytes, Option<u64>),
    /// End of the stream.
    End,
    /// Failure or timeout of the target.
    Failed(Interruption),
}

/// Least part of a stream's time that was spent waiting for the target, for its pauses to count.
///
/// Behind a caller that reads slowly, the events arrive when they are read.
const WAITED_SHARE_MIN: f64 = 0.9;

/// Why a target's stream ended early.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub(super) enum Interruption {
    /// Nothing came in time; the target may go on.
    Silent,
    /// The time of the request is over.
    Overdue,
    /// The connection broke, or the response violates HTTP.
    Broken,
    /// The stream ended within an event, or an event is malformed.
    Malformed,
}

/// Event stream from one target; dropping it closes the connection, which stops the target.
pub(super) struct TargetStream {
    assignment: gateway::Assignment,
    body: pool::Body,
    lease: pool::Lease,
    run: crashes::run::Run,
    idle: Option<time::Duration>,
    /// Whether the end of the response differs from the end of its connection.
    framed: bool,
    /// Whether the response stayed unread, as the caller took no events.
    was_unread: bool,
    /// When something was last received.
    heard: Instant,
    /// When the first event was received.
    first: Option<Instant>,
    /// Events after the first, and the time that was spent waiting for them.
    events: u32,
    waited: time::Duration,
    /// Part that was received and not taken yet.
    ready: Option<Chunk>,
    splitter: sse::Splitter,
}

impl TargetStream {
    pub(super) fn new(received: forward::TargetResponse) -> Self {
        Self {
            framed: received.response.is_framed(),
            assignment: received.assignment,
            body: received.response.body,
            lease: received.response.lease,
            run: received.run,
            idle: received.head.idle_timeout,
            was_unread: false,
            heard: Instant::now(),
            first: None,
            events: 0,
            waited: time::Duration::ZERO,
            ready: None,
            splitter: sse::Splitter::default(),
        }
    }

    /// Returns the target.
    pub(super) fn target(&self) -> &view::Target {
        &self.assignment.target
    }

    /// Returns the time for which nothing has been received.
    pub(super) fn silence(&self) -> time::Duration {
        self.heard.elapsed()
    }

    /// Waits up to `limit` for complete events after number `last`.
    pub(super) async fn next_chunk(&mut self, limit: time::Duration, last: Option<u64>) -> Chunk {
        // A timeout of zero would pass on events for as long as some are ready.
        if limit.is_zero() {
            return Chunk::Failed(Interruption::Overdue);
        }
        let events = self.read_chunk(last);
        tokio::time::timeout(limit, events)
            .await
            .unwrap_or(Chunk::Failed(Interruption::Silent))
    }

    /// Waits for the next part, which [`TargetStream::next_chunk`] then returns; returns why the stream
    /// has failed, if it has.
    pub(super) async fn listen(&mut self, last: Option<u64>) -> Option<Interruption> {
        let chunk = self.read_chunk(last).await;
        let failure = match &chunk {
            Chunk::Failed(cause) => Some(*cause),
            Chunk::Events(..) | Chunk::End => None,
        };
        self.put_back(chunk);
        failure
    }

    /// Makes the next part be this one, which was received before.
    pub(super) fn put_back(&mut self, chunk: Chunk) {
        self.ready = Some(chunk);
    }

    /// Waits for complete events after number `last`, for any time.
    pub(super) async fn read_chunk(&mut self, last: Option<u64>) -> Chunk {
        if let Some(chunk) = self.ready.take() {
            return chunk;
        }
        loop {
            let asked = Instant::now();
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Chunk::Failed(Interruption::Broken),
                // A stream that ends within an event is truncated, even if its framing is valid.
                None if !self.splitter.is_empty() => {
                    return Chunk::Failed(Interruption::Malformed);
                }
                // Without an end mark, it shows only that the target sent a head.
                None if !self.framed && self.first.is_none() => {
                    return Chunk::Failed(Interruption::Broken);
                }
                None => return Chunk::End,
            };
            self.heard = Instant::now();
            self.run.record_bytes();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let Ok(events) = self.splitter.push(&data) else {
                return Chunk::Failed(Interruption::Malformed);
            };
            let mut number = last;
            let mut bytes = Vec::new();
            if self.first.is_some() {
                self.waited += self.heard - asked;
                self.events += events.len() as u32;
            }
            for event in events {
                // A resumed stream may begin with events that were passed on already.
                if event.id.is_some_and(|id| Some(id) <= number) {
                    continue;
                }
                number = event.id.or(number);
                bytes.extend_from_slice(&event.bytes);
            }
            if !bytes.is_empty() {
                self.first.get_or_insert(self.heard);
                return Chunk::Events(bytes.into(), number);
            }
        }
    }

    /// Records that the target has begun to answer.
    pub(super) fn begin(&mut self) {
        self.assignment.record_first_event();
    }

    /// Returns the mean pause between the events, if the target alone has caused them.
    fn mean_pause(&self) -> Option<time::Duration> {
        let span = self.heard - self.first?;
        let is_own = self.waited >= span.mul_f64(WAITED_SHARE_MIN);
        (is_own && self.events > 0).then(|| span / self.events)
    }

    /// Records that the response stayed unread, as the caller took no events.
    pub(super) fn record_unread(&mut self) {
        self.was_unread = true;
    }

    /// Records a failure of the target and closes its connection.
    ///
    /// A target that aborts a response which its caller does not read has not failed.
    pub(super) fn fail(mut self) {
        if !self.was_unread {
            self.assignment.record_failure();
        }
        self.run.fail();
    }

    /// Records a complete stream and gives its connection back.
    pub(super) fn finish(mut self) {
        if let Some(pause) = self.mean_pause() {
            self.assignment.record_pause(pause);
        }
        self.assignment.record_success();
        self.run.complete(StatusCode::OK);
        self.lease.release(self.idle);
    }
}
