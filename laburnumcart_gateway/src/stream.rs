//! Serves requests whose answer is an event stream.
//!
//! Events are passed on whole and at once. When a target fails midway, a stream that may be resumed
//! goes on at another one, within the same answer, after the last event that was passed on.

mod source;

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
        Sends, //
    },
    gateway,
    pipeline,
    reply,
    request, //
};

use self::source::{
    Chunk,
    Source, //
};

/// Wait for a first event after which another target is asked, beside the reading of the prompt.
const FIRST: time::Duration = time::Duration::from_millis(1500);

/// Prompt tokens that a loaded engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 20;

/// Pause after which a stream is resumed elsewhere, as a multiple of the longest that is on time.
const GAPS: u32 = 3;

/// Least such pause: an engine that reads long prompts between two events may pause this long.
const GAP_MIN: time::Duration = time::Duration::from_millis(900);

/// An answer in progress.
struct Run {
    gateway: Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    sends: Sends,
    inputs: Option<pipeline::Inputs>,
    source: Option<Source>,
    /// Number of the last event that was passed on.
    last: Option<u64>,
    /// Events that wait to be passed on.
    ready: Option<Bytes>,
    _work: stop::Work,
}

/// What the first target has answered.
enum Start {
    /// A stream, with its first events.
    Stream(Box<response::Parts>),
    /// A failure, passed on as it is.
    Whole(Box<response::Parts>, Bytes),
}

/// Why no target has begun to answer.
enum Unopened {
    /// A send has failed.
    Sent(verdict::Refusal),
    /// The inputs could not be made again.
    Inputs(verdict::Refusal),
}

impl From<verdict::Refusal> for Unopened {
    fn from(refusal: verdict::Refusal) -> Self {
        Self::Sent(refusal)
    }
}

/// Serves a request.
pub async fn serve(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    inputs: Option<pipeline::Inputs>,
    work: stop::Work,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    let mut run = Run {
        gateway: gateway.clone(),
        sends: Sends::new(gateway, &request)?,
        last: request.call.after,
        request,
        inputs,
        source: None,
        ready: None,
        _work: work,
    };
    let left = run.request.left();
    let view = gateway.view.clone();
    let start = tokio::select! {
        start = tokio::time::timeout(left, run.start()) => start,
        () = view.exiting() => return Err(run.ended(verdict::Reason::Leaving)),
    };
    let start = match start {
        Ok(start) => start?,
        Err(_) => return Err(run.ended(verdict::Reason::DeadlineExceeded)),
    };
    match start {
        Start::Stream(head) => {
            let seconds = run.request.elapsed().as_secs_f64();
            gateway.metrics.first.observe(seconds);
            let events = stream::unfold(Some(run), step);
            let body = BodyExt::boxed_unsync(StreamBody::new(events));
            Ok(response(&head, body))
        }
        Start::Whole(head, body) => Ok(response(&head, reply::whole(body))),
    }
}

fn response(head: &response::Parts, body: reply::Body) -> Response<reply::Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::end_to_end(&head.headers);
    response
}

type Item = Result<Frame<Bytes>, reply::Broken>;

/// Returns the next part of a body, and the run unless it has ended.
async fn step(run: Option<Run>) -> Option<(Item, Option<Run>)> {
    let mut run = run?;
    match run.next().await {
        Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(run))),
        Ok(None) => None,
        Err(broken) => Some((Err(broken), None)),
    }
}

impl Run {
    /// Brings the request to a target that begins to answer.
    async fn start(&mut self) -> Result<Start, verdict::Refusal> {
        loop {
            let failure = match self.open(self.limit_first()).await {
                Ok(Start::Whole(head, _)) if self.is_retried(&head) => {
                    verdict::Refusal::may_have_run(verdict::Reason::TargetFailed)
                }
                Ok(start) => return Ok(start),
                Err(Unopened::Inputs(refusal)) => return Err(self.sends.refuse(refusal)),
                Err(Unopened::Sent(refusal)) => refusal,
            };
            let decision = self.sends.decide(failure, budgets::Way::Request);
            if let retry::Decision::GiveUp(refusal) = decision {
                return Err(refusal);
            }
        }
    }

    /// Sends the request to one target and waits for its first events.
    async fn open(&mut self, limit: time::Duration) -> Result<Start, Unopened> {
        let after = self.last.filter(|_| self.last != self.request.call.after);
        if self.inputs.is_none() && !self.request.route.stages.is_empty() {
            let made = pipeline::run_again(&self.gateway, &self.request).await;
            self.inputs = Some(made.map_err(Unopened::Inputs)?);
        }
        let opened = self.sends.next(self.inputs.as_ref(), after, limit).await;
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
            return Ok(Start::Whole(Box::new(head), body));
        }
        let head = Box::new(opened.answer.head.clone());
        let mut source = Source::new(opened);
        match source.next(limit, self.last).await {
            Chunk::Events(bytes, last) => {
                source.begin();
                self.ready = Some(bytes);
                self.last = last;
                self.source = Some(source);
                // The target has read its inputs with the prompt; they only take room now.
                self.inputs = None;
                Ok(Start::Stream(head))
            }
            Chunk::End => {
                source.finish();
                Ok(Start::Whole(head, Bytes::new()))
            }
            Chunk::Failed => {
                source.fail();
                self.sends.strike();
                Err(verdict::Refusal::may_have_run(verdict::Reason::Lost).into())
            }
        }
    }

    /// Returns the next events, `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, reply::Broken> {
        loop {
            if let Some(bytes) = self.ready.take() {
                return Ok(Some(bytes));
            }
            let Some(source) = &mut self.source else {
                return Err(reply::Broken);
            };
            let limit = limit_gap(&self.request, &self.sends);
            match source.next(limit, self.last).await {
                Chunk::Events(bytes, last) => {
                    self.last = last;
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
    async fn resume(&mut self) -> Result<(), reply::Broken> {
        if let Some(mut source) = self.source.take() {
            source.fail();
        }
        self.sends.strike();
        let mut failure = verdict::Refusal::may_have_run(verdict::Reason::Lost);
        loop {
            // Without a number there is no place to go on from.
            if !self.may_resume() || self.last.is_none() {
                return Err(self.broken(failure.reason));
            }
            let decision = self.sends.decide(failure, budgets::Way::Stream);
            if let retry::Decision::GiveUp(refusal) = decision {
                return Err(self.broken(refusal.reason));
            }
            let limit = self.limit_first();
            let opened = tokio::time::timeout(self.request.left(), self.open(limit)).await;
            match opened {
                Ok(Ok(Start::Stream(_))) => {
                    self.gateway.metrics.resumed.inc();
                    event!(
                        Info,
                        "resumed",
                        request = self.request.call.attempt,
                        after = self.last.unwrap_or(0)
                    );
                    return Ok(());
                }
                Ok(Ok(Start::Whole(..))) => failure.reason = verdict::Reason::TargetFailed,
                Ok(Err(Unopened::Sent(refusal))) => failure = refusal,
                Ok(Err(Unopened::Inputs(refusal))) => return Err(self.broken(refusal.reason)),
                Err(_) => return Err(self.broken(verdict::Reason::DeadlineExceeded)),
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.request.route.retry == ingress::RetryPolicy::Resume && self.sends.has_more()
    }

    fn is_retried(&self, head: &response::Parts) -> bool {
        head.status.is_server_error() && self.may_resume() && self.sends.has_target()
    }

    fn limit_first(&self) -> time::Duration {
        let left = self.request.left();
        let resumable = self.request.route.retry == ingress::RetryPolicy::Resume;
        if !resumable || !self.sends.has_spare() {
            return left;
        }
        let tokens = self.request.call.prompt.as_ref().map_or(0, |p| p.input);
        let reading = time::Duration::from_millis(tokens / TOKENS_PER_MS);
        left.min(FIRST + reading)
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            source.finish();
        }
        self.gateway.metrics.answered.inc();
        event!(
            Info,
            "answered",
            request = self.request.call.attempt,
            last = self.last.unwrap_or(0),
            taken_ms = self.request.elapsed().as_millis()
        );
    }

    fn broken(&self, reason: verdict::Reason) -> reply::Broken {
        self.gateway.metrics.broken.inc();
        event!(
            Info,
            "stream-broken",
            request = self.request.call.attempt,
            reason = reason,
            last = self.last.unwrap_or(0),
            taken_ms = self.request.elapsed().as_millis()
        );
        reply::Broken
    }

    /// Returns the answer for a request that no target has begun to answer in time.
    fn ended(&self, reason: verdict::Reason) -> verdict::Refusal {
        verdict::Refusal {
            verdict: self.sends.verdict(),
            reason,
            retry: None,
        }
    }
}

/// Returns how long the next event of a stream is waited for.
fn limit_gap(request: &admission::Request, sends: &Sends) -> time::Duration {
    let left = request.left();
    let resumable = request.route.retry == ingress::RetryPolicy::Resume && sends.has_more();
    match request.route.max_gap.filter(|_| resumable) {
        Some(gap) => left.min((gap * GAPS).max(GAP_MIN)),
        None => left,
    }
}
