//! Refusals as responses of type `application/problem+json`.

use http::{
    StatusCode,
    header, //
};
use serde::Serialize;
use xitca_web::{
    body::ResponseBody,
    http::WebResponse, //
};

use laburnumcart::{
    id,
    verdict, //
};
use laburnumcart_daemon::stop;

use crate::callers::full;

/// Media type of problem details.
const MEDIA_TYPE: &str = "application/problem+json";

/// Problem details of a refusal.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    verdict: verdict::Verdict,
    reason: verdict::Reason,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<id::RequestId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates the problem details of a refusal.
    pub fn new(refusal: verdict::Refusal, request: Option<id::RequestId>) -> Self {
        let status = status(refusal.reason);
        Self {
            kind: format!("urn:laburnumcart:{}", refusal.reason),
            title: title(status),
            status: status.as_u16(),
            verdict: refusal.verdict,
            reason: refusal.reason,
            request,
            retry_after_ms: refusal.retry.map(|p| p.as_millis()),
        }
    }

    /// Serializes the problem as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn title(status: StatusCode) -> String {
    status.canonical_reason().unwrap_or("Error").to_owned()
}

/// Returns the HTTP status for a reason.
pub fn status(reason: verdict::Reason) -> StatusCode {
    match reason {
        verdict::Reason::Invalid | verdict::Reason::KeyMissing => StatusCode::BAD_REQUEST,
        verdict::Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        verdict::Reason::UnknownPipeline => StatusCode::NOT_FOUND,
        verdict::Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        verdict::Reason::KeyReused
        | verdict::Reason::TargetRefused
        | verdict::Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        verdict::Reason::AlreadyClaimed => StatusCode::CONFLICT,
        verdict::Reason::OverShare => StatusCode::TOO_MANY_REQUESTS,
        verdict::Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        verdict::Reason::TargetFailed | verdict::Reason::Lost | verdict::Reason::Corrupt => {
            StatusCode::BAD_GATEWAY
        }
        verdict::Reason::Cancelled => StatusCode::REQUEST_TIMEOUT,
        verdict::Reason::ClaimUnavailable
        | verdict::Reason::DeadlineTooShort
        | verdict::Reason::Overloaded
        | verdict::Reason::Leaving
        | verdict::Reason::NoTarget
        | verdict::Reason::WrongIncarnation
        | verdict::Reason::Fenced
        | verdict::Reason::NoBundle
        | verdict::Reason::ConfigUnreadable
        | verdict::Reason::VersionGone
        | verdict::Reason::OriginUnknown => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Creates the response for a refusal.
///
/// `work` counts the request as in flight until the body is dropped.
pub(super) fn response(
    refusal: verdict::Refusal,
    request: Option<id::RequestId>,
    work: Option<stop::Work>,
) -> WebResponse {
    let problem = Problem::new(refusal, request);
    let body = full::FullBody::new(problem.to_json(), work);
    let mut response = WebResponse::new(ResponseBody::boxed(body));
    *response.status_mut() = status(refusal.reason);
    let media = header::HeaderValue::from_static(MEDIA_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    if let Some(millis) = problem.retry_after_ms {
        // A value of zero would make callers retry in a tight loop.
        let seconds = header::HeaderValue::from(millis.div_ceil(1000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
