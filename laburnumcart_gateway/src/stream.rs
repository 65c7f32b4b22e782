//! Serves requests whose answer is an event stream.
//!
//! Events are passed on whole and at once. When a target fails midway, a stream that may be resumed
//! goes on at another one, within the same answer, after the last event that was passed on.

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

use laburnumcart::{
    event,
    ingress,
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
    pipeline,
    reply,
    request, //
};

use self::target_stream::{
    Chunk,
    TargetStream, //
};

/// Wait for a first event after which another target is asked, beside the reading of the prompt.
const FIRST_EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Prompt tokens that a loaded engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 20;

/// Pause after which a stream is resumed elsewhere, as a multiple of the longest that is on time.
const GAP_FACTOR: u32 = 3;

/// Least such pause: an engine that reads long prompts between two events may pause this long.
const GAP_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(900);

/// An answer in progress.
struct StreamRun {
    gateway: Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    forwarder: Forwarder,
    inputs: Option<pipeline::Inputs>,
    current: Option<TargetStream>,
    /// Number of the last event that was passed on.
    last_event: Option<u64>,
    /// Events that wait to be passed on.
    buffered: Option<Bytes>,
    _work: stop::Work,
}

/// What the first target has answered.
enum Opening {
    /// A stream, with its first events.
    Stream(Box<response::Parts>),
    /// A failure, passed on as it is.
    Whole(Box<response::Parts>, Bytes),
}

/// Why no target has begun to answer.
enum OpenError {
    /// A send has failed.
    Send(verdict::Refusal),
    /// The inputs could not be made again.
    Inputs(verdict::Refusal),
}

impl From<verdict::Refusal> for OpenError {
    fn from(refusal: verdict::Refusal) -> Self {
        Self::Send(refusal)
    }
}

/// Serves a request.
pub async fn serve(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    inputs: Option<pipeline::Inputs>,
    work: stop::Work,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    let mut run = StreamRun {
        gateway: gateway.clone(),
        forwarder: Forwarder::new(gateway, &request)?,
        last_event: request.call.after,
        request,
        inputs,
        current: None,
        buffered: None,
        _work: work,
    };
    let left = run.request.remaining();
    let view = gateway.view.clone();
    let start = tokio::select! {
        start = tokio::time::timeout(left, run.open_first()) => start,
        () = view.exiting() => return Err(run.unopened_refusal(verdict::Reason::Leaving)),
    };
    let start = match start {
        Ok(start) => start?,
        Err(_) => return Err(run.unopened_refusal(verdict::Reason::DeadlineExceeded)),
    };
    match start {
        Opening::Stream(head) => {
            let seconds = run.request.elapsed().as_secs_f64();
            gateway.metrics.first.observe(seconds);
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
    response
}

type Item = Result<Frame<Bytes>, reply::Truncated>;

/// Returns the next part of a body, and the run unless it has ended.
async fn next_frame(run: Option<StreamRun>) -> Option<(Item, Option<StreamRun>)> {
    let mut run = run?;
    match run.next_events().await {
        Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(run))),
        Ok(None) => None,
        Err(broken) => Some((Err(broken), None)),
    }
}

impl StreamRun {
    /// Brings the request to a target that begins to answer.
    async fn open_first(&mut self) -> Result<Opening, verdict::Refusal> {
        loop {
            let failure = match self.open_next(self.first_event_timeout()).await {
                Ok(Opening::Whole(head, _)) if self.can_retry(&head) => {
                    verdict::Refusal::may_have_run(verdict::Reason::TargetFailed)
                }
                Ok(start) => return Ok(start),
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

    /// Sends the request to one target and waits for its first events.
    async fn open_next(&mut self, limit: time::Duration) -> Result<Opening, OpenError> {
        let after = self
            .last_event
            .filter(|_| self.last_event != self.request.call.after);
        if self.inputs.is_none() && !self.request.route.stages.is_empty() {
            let made = pipeline::rerun_stages(&self.gateway, &self.request).await;
            self.inputs = Some(made.map_err(OpenError::Inputs)?);
        }
        let opened = self
            .forwarder
            .send_next(self.inputs.as_ref(), after, limit)
            .await;
        let mut opened = opened.map_err(|failure| match failure {
            forward::Failure::InputsGone => {
                self.inputs = None;
                verdict::Refusal::not_run(verdict::Reason::TargetFailed)
            }
            forward::Failure::Refused(refusal) => refusal,
        })?;
        if !opened.answer.head.status.is_success() {
            opened.seat.fail();
            let whole = opened.answer.whole(opened.reply.idle).await;
            let corrupt = verdict::Refusal::may_have_run(verdict::Reason::Corrupt);
            let (head, body) = whole.map_err(|_| corrupt)?;
            return Ok(Opening::Whole(Box::new(head), body));
        }
        let head = Box::new(opened.answer.head.clone());
        let mut source = TargetStream::new(opened);
        match source.next_chunk(limit, self.last_event).await {
            Chunk::Events(bytes, last) => {
                source.begin();
                self.buffered = Some(bytes);
                self.last_event = last;
                self.current = Some(source);
                // The target has read its inputs with the prompt; they only take room now.
                self.inputs = None;
                Ok(Opening::Stream(head))
            }
            Chunk::End => {
                source.finish();
                Ok(Opening::Whole(head, Bytes::new()))
            }
            Chunk::Failed => {
                source.fail();
                self.forwarder.record_target_failure();
                Err(verdict::Refusal::may_have_run(verdict::Reason::Lost).into())
            }
        }
    }

    /// Returns the next events, `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, reply::Truncated> {
        loop {
            if let Some(bytes) = self.buffered.take() {
                return Ok(Some(bytes));
            }
            let Some(source) = &mut self.current else {
                return Err(reply::Truncated);
            };
            let limit = gap_timeout(&self.request, &self.forwarder);
            match source.next_chunk(limit, self.last_event).await {
                Chunk::Events(bytes, last) => {
                    self.last_event = last;
                    return Ok(Some(bytes));
                }
                Chunk::End => {
                    self.finish();
                    return Ok(None);
                }
                Chunk::Failed => self.resume().await?,
            }
        }
    }

    /// Goes on at another target after the last event that was passed on.
    async fn resume(&mut self) -> Result<(), reply::Truncated> {
        if let Some(mut source) = self.current.take() {
            source.fail();
        }
        self.forwarder.record_target_failure();
        let mut failure = verdict::Refusal::may_have_run(verdict::Reason::Lost);
        loop {
            // Without a number there is no place to go on from.
            if !self.can_resume() || self.last_event.is_none() {
                return Err(self.record_broken(failure.reason));
            }
            let decision = self
                .forwarder
                .decide_retry(failure, budgets::RepeatKind::Stream);
            if let retry::Decision::GiveUp(refusal) = decision {
                return Err(self.record_broken(refusal.reason));
            }
            let limit = self.first_event_timeout();
            let opened =
                tokio::time::timeout(self.request.remaining(), self.open_next(limit)).await;
            match opened {
                Ok(Ok(Opening::Stream(_))) => {
                    self.gateway.metrics.resumed.inc();
                    event!(
                        Info,
                        "resumed",
                        request = self.request.call.attempt,
                        after = self.last_event.unwrap_or(0)
                    );
                    return Ok(());
                }
                Ok(Ok(Opening::Whole(..))) => failure.reason = verdict::Reason::TargetFailed,
                Ok(Err(OpenError::Send(refusal))) => failure = refusal,
                Ok(Err(OpenError::Inputs(refusal))) => {
                    return Err(self.record_broken(refusal.reason));
                }
                Err(_) => return Err(self.record_broken(verdict::Reason::DeadlineExceeded)),
            }
        }
    }

    fn can_resume(&self) -> bool {
        self.request.route.repeat == ingress::Repeat::Resume && self.forwarder.can_retry()
    }

    fn can_retry(&self, head: &response::Parts) -> bool {
        head.status.is_server_error() && self.can_resume() && self.forwarder.has_untried_target()
    }

    fn first_event_timeout(&self) -> time::Duration {
        let left = self.request.remaining();
        let resumable = self.request.route.repeat == ingress::Repeat::Resume;
        if !resumable || !self.forwarder.has_spare_attempt() {
            return left;
        }
        let tokens = self.request.call.prompt.as_ref().map_or(0, |p| p.input);
        let reading = time::Duration::from_millis(tokens / TOKENS_PER_MS);
        left.min(FIRST_EVENT_TIMEOUT + reading)
    }

    fn finish(&mut self) {
        if let Some(source) = self.current.take() {
            source.finish();
        }
        self.gateway.metrics.answered.inc();
        event!(
            Info,
            "answered",
            request = self.request.call.attempt,
            last = self.last_event.unwrap_or(0),
            taken_ms = self.request.elapsed().as_millis()
        );
    }

    fn record_broken(&self, reason: verdict::Reason) -> reply::Truncated {
        self.gateway.metrics.broken.inc();
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

    /// Returns the answer for a request that no target has begun to answer in time.
    fn unopened_refusal(&self, reason: verdict::Reason) -> verdict::Refusal {
        verdict::Refusal {
            verdict: self.forwarder.verdict(),
            reason,
            retry: None,
        }
    }
}

/// Returns how long the next event of a stream is waited for.
fn gap_timeout(request: &admission::Request, forwarder: &Forwarder) -> time::Duration {
    let left = request.remaining();
    let resumable = request.route.repeat == ingress::Repeat::Resume && forwarder.can_retry();
    match request.route.gap.filter(|_| resumable) {
        Some(gap) => left.min((gap * GAP_FACTOR).max(GAP_TIMEOUT_MIN)),
        None => left,
    }
}
