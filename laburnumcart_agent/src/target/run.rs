//! Execution of a stage at the target, and the verdict on each possible failure.

use std::collections;

use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use laburnumcart::{
    bundle,
    unit,
    verdict, //
};
use laburnumcart_daemon::traces;
use laburnumcart_wire::stage;
use serde_json::value;

use super::{
    Target,
    events,
    http as client, //
};
use crate::job;

/// Greatest size of a pool's output, in bytes.
const OUTPUT_MAX: usize = 8 << 20;

/// Size of the chunks of a pool's output, in bytes.
const CHUNK_SIZE: usize = 64 << 10;

/// Values of a call that differ on each hop.
#[derive(Clone, Debug)]
pub struct Hop {
    /// Time left until the deadline.
    pub remaining: unit::Period,
    /// Parent of the target's spans.
    pub parent: Option<traces::Traceparent>,
}

/// Receiver of the parts of a result, in order.
pub trait Sink: Send {
    /// Accepts a part; waits while too many bytes are unacknowledged.
    fn push(&mut self, text: &str) -> impl Future<Output = ()> + Send;
}

impl Target {
    /// Executes a stage and passes its result to `sink`.
    pub async fn run_stage(
        &self,
        kind: bundle::Kind,
        call: &stage::Call,
        hop: &Hop,
        sink: &mut impl Sink,
    ) -> job::Outcome {
        let Some(request) = self.stage_request(kind, call, hop) else {
            return job::Outcome::NotRun(verdict::Reason::Invalid, None);
        };
        let answer = match self.http.send(request, !call.idempotent).await {
            Ok(answer) => answer,
            Err(failure) => return failure_outcome(failure),
        };
        if answer.response.status() != StatusCode::OK {
            return status_outcome(answer);
        }
        match kind {
            bundle::Kind::Pool => forward_output(answer, sink).await,
            bundle::Kind::Engine => forward_stream(answer, sink).await,
        }
    }

    fn stage_request(
        &self,
        kind: bundle::Kind,
        call: &stage::Call,
        hop: &Hop,
    ) -> Option<Request<Full<Bytes>>> {
        let path = match kind {
            bundle::Kind::Engine => "/v1/generate",
            bundle::Kind::Pool => "/v1/run",
        };
        let mut request = self.http.post_request(path, request_body(call)?);
        let headers = request.headers_mut();
        let mut set = |name: &'static str, text: &str| {
            HeaderValue::from_str(text).map(|value| headers.insert(name, value))
        };
        set("x-request-id", &call.request.to_string()).ok()?;
        set("x-attempt-id", &call.attempt.to_string()).ok()?;
        set("x-team", call.team.as_str()).ok()?;
        set("x-priority", &call.priority.to_string()).ok()?;
        set(
            "x-idempotent",
            if call.idempotent { "true" } else { "false" },
        )
        .ok()?;
        set("x-deadline-ms", &hop.remaining.as_millis().to_string()).ok()?;
        if let Some(parent) = &hop.parent {
            set("traceparent", &parent.to_string()).ok()?;
        }
        Some(request)
    }
}

/// Returns the body for the target: the caller's, plus the text already received when a stream is
/// resumed.
fn request_body(call: &stage::Call) -> Option<String> {
    let Some(received) = &call.received else {
        return Some(call.body.get().into());
    };
    type Fields = collections::BTreeMap<String, Box<value::RawValue>>;
    let mut fields: Fields = serde_json::from_str(call.body.get()).ok()?;
    let received = value::to_raw_value(received).ok()?;
    fields.insert("received".into(), received);
    serde_json::to_string(&fields).ok()
}

/// Returns the outcome of a call without a complete answer.
fn failure_outcome(failure: client::Failure) -> job::Outcome {
    match failure {
        client::Failure::Unreached | client::Failure::Refused => {
            job::Outcome::NotRun(verdict::Reason::NoTarget, None)
        }
        _ => job::Outcome::MayHaveRun(verdict::Reason::TargetFailed),
    }
}

/// Returns the outcome of a call that was answered with a status other than 200.
fn status_outcome(answer: client::Answer) -> job::Outcome {
    match answer.response.status() {
        StatusCode::BAD_REQUEST => job::Outcome::NotRun(verdict::Reason::TargetRefused, None),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            job::Outcome::NotRun(verdict::Reason::Overloaded, retry_after(&answer))
        }
        _ => job::Outcome::MayHaveRun(verdict::Reason::TargetFailed),
    }
}

fn retry_after(answer: &client::Answer) -> Option<unit::Period> {
    let value = answer.response.headers().get(header::RETRY_AFTER)?;
    let secs = value.to_str().ok()?.parse().ok()?;
    Some(unit::Period::from_secs(secs))
}

/// Reads a pool's output and forwards it once it is complete.
async fn forward_output(mut answer: client::Answer, sink: &mut impl Sink) -> job::Outcome {
    let body = match client::read_body(&mut answer, OUTPUT_MAX).await {
        Ok(body) => body,
        Err(failure) => return failure_outcome(failure),
    };
    answer.keep_connection();
    let Ok(json) = serde_json::from_slice::<&value::RawValue>(&body) else {
        return job::Outcome::MayHaveRun(verdict::Reason::Corrupt);
    };
    let mut rest = json.get();
    while !rest.is_empty() {
        let (part, after) = rest.split_at(rest.floor_char_boundary(CHUNK_SIZE));
        sink.push(part).await;
        rest = after;
    }
    job::Outcome::Completed
}

/// Forwards the pieces of an engine's stream up to its end mark.
async fn forward_stream(mut answer: client::Answer, sink: &mut impl Sink) -> job::Outcome {
    let mut parser = events::Parser::default();
    let mut events = Vec::new();
    loop {
        // A stream without its end mark is incomplete, even if its body ended cleanly.
        let Some(Ok(frame)) = answer.response.body_mut().frame().await else {
            return job::Outcome::MayHaveRun(verdict::Reason::TargetFailed);
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        if parser.push(bytes, &mut events).is_err() {
            return job::Outcome::MayHaveRun(verdict::Reason::Corrupt);
        }
        for event in events.drain(..) {
            match event {
                events::Event::Piece(text) => sink.push(&text).await,
                events::Event::End => {
                    release_connection(answer);
                    return job::Outcome::Completed;
                }
            }
        }
    }
}

/// Keeps the connection of a complete stream if its body ended with the end mark.
fn release_connection(answer: client::Answer) {
    if hyper::body::Body::is_end_stream(answer.response.body()) {
        answer.keep_connection();
    }
}
