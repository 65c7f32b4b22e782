//! Requests that are answered with an event stream.
//!
//! Complete events are passed on as they arrive. When a target fails during a resumable stream, the
//! stream is resumed at another one, within the same response, after the last event that was passed
//! on.

mod switch;
mod target_stream;

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use futures_util::stream;
use http::{
    Response,
    response, //
};
use http_body::Frame;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use tokio::time::Instant;

use laburnumcart::{
    event,
    ingress,
    origin,
    retry,
    verdict, //
};
use laburnumcart_daemon::stop;

use crate::{
    admission,
    budgets,
    forward::{
        self,
        Forwarder, //
    },
    gateway,
    held,
    pipeline,
    reply,
    request,
    view, //
};

use self::target_stream::{
    Chunk,
    Interruption,
    TargetStream, //
};

/// Timeout of the first event, without the prefill of the prompt, after which another target is
/// tried.
const FIRST_EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Prompt tokens that a loaded engine prefills in a millisecond.
const TOKENS_PER_MS: u64 = 20;

/// Gap between events after which a stream is resumed at another target, as a multiple of the
/// route's target gap.
const GAP_FACTOR: u32 = 3;

/// Least such gap; an engine may pause this long while it prefills long prompts.
const GAP_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(900);

/// Time after which a caller that takes no events is held to read slowly.
///
/// Targets abort responses that stay unread for some seconds.
const UNREAD_MIN: time::Duration = time::Duration::from_secs(1);

/// State of a stream that is passed on to the caller.
struct StreamRun {
    gateway: Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    forwarder: Forwarder,
    inputs: Option<pipeline::Inputs>,
    current: Option<TargetStream>,
    /// Number of the last event that was passed on.
    last_event: Option<u64>,
    /// Events that were received and not passed on yet.
    buffered: Option<Bytes>,
    /// When events were last passed on.
    passed_on: Option<Instant>,
    _work: stop::Work,
}

/// First part of a target's response.
enum Opening {
    /// Head of a stream whose first events have been received.
    Stream(Box<response::Parts>),
    /// Complete response: an error, or a stream without events.
    Whole(Box<response::Parts>, Bytes),
}

/// Failure to open a stream.
enum OpenError {
    /// An attempt failed.
    Send(verdict::Refusal),
    /// The stages could not be run again.
    Inputs(verdict::Refusal),
}

impl From<verdict::Refusal> for OpenError {
    fn from(refusal: verdict::Refusal) -> Self {
        Self::Send(refusal)
    }
}

/// Serves a request with an event stream; `origin` is that of a stream that its caller takes up.
pub async fn serve(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    origin: Option<origin::Origin>,
    inputs: Option<pipeline::Inputs>,
    work: stop::Work,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    let mut run = StreamRun {
        gateway: gateway.clone(),
        forwarder: Forwarder::new(gateway, &request, origin)?,
        last_event: request.call.last_event,
        request,
        inputs,
        current: None,
        buffered: None,
        passed_on: None,
        _work: work,
    };
    let remaining = run.request.remaining();
    let view = gateway.view.clone();
    let opening = tokio::select! {
        opening = tokio::time::timeout(remaining, run.open_first()) => opening,
        () = view.wait_for_exit() => return Err(run.unopened_refusal(verdict::Reason::Leaving)),
    };
    let opening = match opening {
        Ok(opening) => opening?,
        Err(_) => return Err(run.unopened_refusal(verdict::Reason::DeadlineExceeded)),
    };
    match opening {
        Opening::Stream(head) => {
            let seconds = run.request.elapsed().as_secs_f64();
            gateway.metrics.first_byte.observe(seconds);
            let events = stream::unfold(Some(run), next_frame);
            let body = BodyExt::boxed_unsync(StreamBody::new(events));
            Ok(build_response(&head, body))
        }
        Opening::Whole(head, body) => Ok(build_response(&head, reply::full_body(body))),
    }
}

fn build_response(head: &response::Parts, body: reply::Body) -> Response<reply::Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::end_to_end_headers(&head.headers);
    if let Some(room) = head.extensions.get::<Arc<held::Room>>() {
        response.extensions_mut().insert(room.clone());
    }
    response
}

type Item = Result<Frame<Bytes>, reply::Truncated>;

/// Returns the next frame of a body, and the state unless the body has ended.
async fn next_frame(run: Option<StreamRun>) -> Option<(Item, Option<StreamRun>)> {
    let mut run = run?;
    match run.next_events().await {
        Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(run))),
        Ok(None) => None,
        Err(error) => {
            // The server drops what it has not written yet when the body fails. It writes whenever
            // the body is pending, so that the head and all earlier events have left by then.
            tokio::task::yield_now().await;
            Some((Err(error), None))
        }
    }
}

impl StreamRun {
    /// Sends the request to targets until one begins to answer.
    async fn open_first(&mut self) -> Result<Opening, verdict::Refusal> {
        loop {
            let failure = match self.open_next(self.first_event_timeout()).await {
                Ok(Opening::Whole(head, _)) if self.can_retry(&head) => {
                    verdict::Refusal::may_have_run(verdict::Reason::TargetFailed)
                }
                Ok(opening) => return Ok(opening),
                Err(OpenError::Inputs(refusal)) => {
                    return Err(self.forwarder.merge_verdict(refusal));
                }
                Err(OpenError::Send(refusal)) => refusal,
            };
            let decision = self
                .forwarder
                .decide_retry(failure, budgets::RepeatKind::Request);
            if let retry::Decision::GiveUp(refusal) = decision {
                return Err(refusal);
            }
        }
    }

    /// Sends the request to the next target and waits for its first events.
    async fn open_next(&mut self, limit: time::Duration) -> Result<Opening, OpenError> {
        let after = self
            .last_event
            .filter(|_| self.last_event != self.request.call.last_event);
        let kind = match after {
            Some(_) => budgets::RepeatKind::Stream,
            None => budgets::RepeatKind::Request,
        };
        if self.inputs.is_none() && !self.request.route.stages.is_empty() {
            let results = pipeline::rerun_stages(&self.gateway, &self.request).await;
            self.inputs = Some(results.map_err(OpenError::Inputs)?);
        }
        let response = self
            .forwarder
            .send_next(self.inputs.as_ref(), after, limit)
            .await;
        let mut received = response.map_err(|failure| match failure {
            forward::Failure::InputsGone => {
                self.inputs = None;
                verdict::Refusal::not_run(verdict::Reason::TargetFailed)
            }
            forward::Failure::Refused(refusal) => refusal,
        })?;
        if !received.response.head.status.is_success() {
            received.assignment.record_failure();
            let whole = received.response.read_all(received.head.idle_timeout);
            let corrupt = verdict::Refusal::may_have_run(verdict::Reason::Corrupt);
            let whole = self.forwarder.await_granted(whole, limit, kind).await;
            let Some(Ok((head, body))) = whole else {
                received.run.fail();
                return Err(corrupt.into());
            };
            received.run.complete(head.status);
            return Ok(Opening::Whole(Box::new(head), body));
        }
        let head = Box::new(received.response.head.clone());
        let mut target_stream = TargetStream::new(received);
        let chunk = target_stream.read_chunk(self.last_event);
        let chunk = self.forwarder.await_granted(chunk, limit, kind).await;
        match chunk.unwrap_or(Chunk::Failed(Interruption::Silent)) {
            Chunk::Events(bytes, last) => {
                target_stream.begin();
                self.fix_origin(target_stream.target());
                self.buffered = Some(bytes);
                self.last_event = last;
                self.current = Some(target_stream);
                // The target has read the inputs before its first event; freeing them makes room.
                self.inputs = None;
                Ok(Opening::Stream(head))
            }
            // A target with no event after the last one that was passed on ends the stream.
            Chunk::End if after.is_some() => {
                target_stream.put_back(Chunk::End);
                self.current = Some(target_stream);
                Ok(Opening::Stream(head))
            }
            Chunk::End => {
                target_stream.finish();
                Ok(Opening::Whole(head, Bytes::new()))
            }
            Chunk::Failed(cause) => {
                record_interruption(&self.request, &target_stream, cause, self.last_event);
                target_stream.fail();
                Err(verdict::Refusal::may_have_run(verdict::Reason::Lost).into())
            }
        }
    }

    /// Fixes the origin of a new stream by the target of its first event.
    fn fix_origin(&mut self, target: &view::Target) {
        if let Some(origin) = self.forwarder.origin() {
            if self.request.call.last_event == self.last_event {
                self.gateway.origins.record_went_on(origin);
            }
            return;
        }
        let origin = target.origin();
        if self.request.route.retry == ingress::RetryPolicy::Resume {
            self.gateway.origins.begin(&self.request, origin.clone());
        }
        self.forwarder.set_origin(origin);
    }

    /// Returns the next events, or `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, reply::Truncated> {
        let unread = self.passed_on.map_or(time::Duration::ZERO, |t| t.elapsed());
        if let Some(target_stream) = self.current.as_mut().filter(|_| unread > UNREAD_MIN) {
            target_stream.record_unread();
        }
        let events = self.receive_events().await;
        self.passed_on = Some(Instant::now());
        events
    }

    async fn receive_events(&mut self) -> Result<Option<Bytes>, reply::Truncated> {
        let mut limit = gap_timeout(&self.request, &self.forwarder);
        loop {
            if let Some(bytes) = self.buffered.take() {
                return Ok(Some(bytes));
            }
            let Some(target_stream) = &mut self.current else {
                return Err(reply::Truncated);
            };
            limit = limit.min(self.request.remaining());
            match target_stream.next_chunk(limit, self.last_event).await {
                Chunk::Events(bytes, last) => {
                    self.last_event = last;
                    return Ok(Some(bytes));
                }
                Chunk::End => {
                    self.finish();
                    return Ok(None);
                }
                Chunk::Failed(Interruption::Silent) if !self.request.remaining().is_zero() => {
                    limit = self.try_switch().await?;
                }
                Chunk::Failed(cause) => {
                    self.give_up_current(cause);
                    self.resume(verdict::Refusal::may_have_run(verdict::Reason::Lost))
                        .await?;
                }
            }
        }
    }

    /// Ends the target's stream, which closes its connection.
    fn give_up_current(&mut self, cause: Interruption) {
        if let Some(target_stream) = self.current.take() {
            record_interruption(&self.request, &target_stream, cause, self.last_event);
            target_stream.fail();
        }
    }

    /// Resumes the stream at another target after the last event that was passed on.
    async fn resume(&mut self, mut failure: verdict::Refusal) -> Result<(), reply::Truncated> {
        loop {
            // Without an event number there is no position to resume from.
            if !self.can_resume() || self.last_event.is_none() {
                return Err(self.record_broken(failure.reason));
            }
            let decision = self
                .forwarder
                .decide_retry(failure, budgets::RepeatKind::Stream);
            if let retry::Decision::GiveUp(refusal) = decision {
                return Err(self.record_broken(refusal.reason));
            }
            match self.open_next_in_time().await {
                Ok(()) => return Ok(()),
                Err(OpenError::Send(refusal)) => failure = refusal,
                Err(OpenError::Inputs(refusal)) => {
                    return Err(self.record_broken(refusal.reason));
                }
            }
        }
    }

    /// Opens the stream at the next target before the deadline.
    async fn open_next_in_time(&mut self) -> Result<(), OpenError> {
        let limit = self.first_event_timeout();
        let opening = tokio::time::timeout(self.request.remaining(), self.open_next(limit)).await;
        let refusal = verdict::Refusal::may_have_run;
        match opening {
            Ok(Ok(Opening::Stream(_))) => {
                self.record_resumed();
                Ok(())
            }
            Ok(Ok(Opening::Whole(..))) => Err(refusal(verdict::Reason::TargetFailed).into()),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(refusal(verdict::Reason::DeadlineExceeded).into()),
        }
    }

    fn record_resumed(&self) {
        self.gateway.metrics.streams_resumed.inc();
        event!(
            Info,
            "resumed",
            request = self.request.call.attempt,
            version = self
                .forwarder
                .origin()
                .map_or("unknown", |o| o.version_label()),
            after = self.last_event.unwrap_or(0)
        );
    }

    fn can_resume(&self) -> bool {
        self.request.route.retry == ingress::RetryPolicy::Resume && self.forwarder.can_retry()
    }

    fn can_retry(&self, head: &response::Parts) -> bool {
        head.status.is_server_error() && self.can_resume() && self.forwarder.has_untried_target()
    }

    fn first_event_timeout(&self) -> time::Duration {
        let remaining = self.request.remaining();
        let is_resumable = self.request.route.retry == ingress::RetryPolicy::Resume;
        if !is_resumable || !self.forwarder.has_spare_attempt() {
            return remaining;
        }
        let tokens = self.request.call.prompt.as_ref().map_or(0, |p| p.input);
        let prefill = time::Duration::from_millis(tokens / TOKENS_PER_MS);
        remaining.min(FIRST_EVENT_TIMEOUT + prefill)
    }

    fn finish(&mut self) {
        if let Some(target_stream) = self.current.take() {
            target_stream.finish();
        }
        self.gateway.metrics.answered.inc();
        self.gateway.origins.complete(&self.request);
        let elapsed = self.request.elapsed();
        self.gateway.durations.record(&self.request.route, elapsed);
        event!(
            Info,
            "answered",
            request = self.request.call.attempt,
            last = self.last_event.unwrap_or(0),
            taken_ms = self.request.elapsed().as_millis()
        );
    }

    fn record_broken(&self, reason: verdict::Reason) -> reply::Truncated {
        self.gateway.metrics.streams_broken.inc();
        event!(
            Info,
            "stream-broken",
            request = self.request.call.attempt,
            reason = reason,
            last = self.last_event.unwrap_or(0),
            taken_ms = self.request.elapsed().as_millis()
        );
        reply::Truncated
    }

    /// Returns the refusal of a request that no target has begun to answer.
    fn unopened_refusal(&self, reason: verdict::Reason) -> verdict::Refusal {
        verdict::Refusal {
            verdict: self.forwarder.verdict(),
            reason,
            retry: None,
        }
    }
}

/// Logs why the stream of a target is given up after event `last`.
fn record_interruption(
    request: &admission::Request,
    target_stream: &TargetStream,
    cause: Interruption,
    last: Option<u64>,
) {
    event!(
        Info,
        "stream-interrupted",
        request = request.call.attempt,
        target = target_stream.target().name,
        cause = cause,
        silent_ms = target_stream.silence().as_millis(),
        last = last.unwrap_or(0)
    );
}

/// Returns the timeout of the next event.
fn gap_timeout(request: &admission::Request, forwarder: &Forwarder) -> time::Duration {
    let remaining = request.remaining();
    let is_resumable = request.route.retry == ingress::RetryPolicy::Resume && forwarder.can_retry();
    match request.route.max_gap.filter(|_| is_resumable) {
        Some(gap) => remaining.min((gap * GAP_FACTOR).max(GAP_TIMEOUT_MIN)),
        None => remaining,
    }
}
