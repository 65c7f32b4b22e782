//! Answers that the gateway gives by itself.

use std::time;

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

/// Body of an answer to a caller.
pub type Body = combinators::UnsyncBoxBody<Bytes, Truncated>;

/// A stream that ended before its end, after which the caller's connection is cut.
///
/// An answer that ends early must not look complete.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the answer ended early")]
pub struct Truncated;

/// When a refused caller should come again, unless there is a better estimate.
pub const RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// Creates a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the status that tells a caller of a refusal.
///
/// 503 promises that the request did not run and never will; only a proof of that may give it.
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

/// Creates the answer to a refused request.
pub fn refusal_response(refusal: &verdict::Refusal) -> Response<Body> {
    let status = status(refusal);
    let mut response = Response::new(full_body(format!("{refusal}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = refusal.retry.map_or(RETRY_AFTER, |period| period.0);
        let text = format!("{:.3}", after.as_secs_f64());
        let value = HeaderValue::try_from(text).expect("digits are a valid value");
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
