//! Responses that the gateway itself creates for callers.

use std::{
    fmt,
    time, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    combinators, //
};

use laburnumcart::verdict;

/// Body of a response to a caller.
pub type Body = combinators::UnsyncBoxBody<Bytes, Truncated>;

/// Error of a truncated response body, upon which the caller's connection is closed.
///
/// Otherwise the response would look complete.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the response body was truncated")]
pub struct Truncated;

/// Default retry delay of refused callers.
pub const RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// Creates a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the status of the response to a refused request.
///
/// 503 promises that the request has not run and never will, so it is returned only with proof.
pub fn status(refusal: &verdict::Refusal) -> StatusCode {
    use verdict::Reason;
    match (refusal.reason, refusal.verdict) {
        (Reason::Unauthorized, _) => StatusCode::UNAUTHORIZED,
        (Reason::UnknownPipeline, _) => StatusCode::NOT_FOUND,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::Invalid, _) => StatusCode::BAD_REQUEST,
        (_, verdict::Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (Reason::DeadlineExceeded, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the delay after which the caller of a refused request may retry.
pub fn retry_after(refusal: &verdict::Refusal) -> Option<time::Duration> {
    // Another try would be refused as well; the caller can only begin anew.
    let is_final = refusal.reason == verdict::Reason::VersionGone;
    let is_open = status(refusal) == StatusCode::SERVICE_UNAVAILABLE && !is_final;
    is_open.then(|| refusal.retry.map_or(RETRY_AFTER, |period| period.0))
}

/// Creates the response to a refused request.
pub fn refusal_response(refusal: &verdict::Refusal) -> Response<Body> {
    let status = status(refusal);
    let mut response = Response::new(full_body(format!("{refusal}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    if let Some(after) = retry_after(refusal) {
        let text = format!("{:.3}", after.as_secs_f64());
        let value = HeaderValue::try_from(text).expect("digits are a valid value");
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// Creates the response to a request whose handler has panicked.
pub fn panic_response() -> Response<Body> {
    let refusal = verdict::Refusal::may_have_run(verdict::Reason::Lost);
    let mut response = refusal_response(&refusal);
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Returns the last answer on a connection whose request was not received in time.
pub fn timeout_message() -> Vec<u8> {
    last_message("408 Request Timeout", "request-timeout")
}

/// Returns the last answer on a connection whose request was not received before the exit.
pub fn exit_message() -> Vec<u8> {
    last_message("503 Service Unavailable", verdict::Reason::Leaving)
}

fn last_message(status: &str, reason: impl fmt::Display) -> Vec<u8> {
    let body = format!("{reason} ({verdict})\n", verdict = verdict::Verdict::NotRun);
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\n\
         content-type: text/plain; charset=utf-8\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
