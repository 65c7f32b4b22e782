//! Client of the targets, which evaluates the heads of their responses.
//!
//! All requests, batch calls and calls that free results are sent here, so that limits, backoffs
//! and shutdowns of targets are noticed in any response.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Request,
    StatusCode, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use laburnumcart::quota;

use crate::{
    budgets,
    crashes,
    dialect,
    pool,
    quotas,
    view, //
};

/// Backoff of a target at whose address another target answers.
///
/// The other target refuses requests quickly, so that the address would look idle until the entry
/// is removed.
const MISDIRECTED_BACKOFF: time::Duration = time::Duration::from_secs(1);

/// A request to be sent.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Request with its headers.
    pub request: Request<Bytes>,
    /// Identifier that a response to this request echoes.
    pub label: Option<&'a str>,
    /// When its caller stops waiting; the target is told the time left as it gets the request.
    pub deadline: Option<Instant>,
    /// Notified once there is a connection over which the request is sent.
    pub connected: Option<Arc<Notify>>,
}

/// A response whose head has been received.
pub struct Received {
    /// Response and its connection.
    pub response: pool::Response,
    /// Parsed head of the response.
    pub head: dialect::ResponseHead,
}

/// Client of the targets.
pub struct Outbound {
    /// Connection pool.
    pub pool: Arc<pool::Pool>,
    /// Rate limits, backoffs and shutdowns of targets.
    pub quotas: Arc<quotas::Quotas>,
    /// Detects crashes of targets.
    pub detector: Arc<crashes::Detector>,
    dialect: Arc<dyn dialect::Dialect>,
}

impl Outbound {
    /// Creates a client without connections.
    pub fn new(
        dialect: Arc<dyn dialect::Dialect>,
        quotas: Arc<quotas::Quotas>,
        budgets: Arc<budgets::Budgets>,
    ) -> Arc<Self> {
        let pool: Arc<pool::Pool> = Arc::default();
        let (known, limits) = (dialect.clone(), quotas.clone());
        let detector = crashes::Detector::new(pool.clone(), known, limits, budgets);
        Arc::new(Self {
            pool,
            quotas,
            detector,
            dialect,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future closes the connection, which cancels the request at the target.
    pub async fn send(
        &self,
        target: &view::Target,
        outgoing: Outgoing<'_>,
        bounds: &pool::Bounds,
    ) -> Result<Received, pool::Failure> {
        let sent = Instant::now();
        self.quotas.record_send(target);
        let Outgoing {
            request,
            label,
            deadline,
            connected,
        } = outgoing;
        let prepare = |headers: &mut HeaderMap| {
            if let Some(deadline) = deadline {
                let remaining = deadline.saturating_duration_since(Instant::now());
                self.dialect.set_remaining(headers, remaining);
            }
            let is_open = !self.quotas.is_closed(target);
            if let Some(connected) = connected.as_ref().filter(|_| is_open) {
                connected.notify_one();
            }
            is_open
        };
        let response = self.pool.send_prepared(target, request, bounds, prepare);
        let response = response.await?;
        let mut head = self.dialect.parse_response(&response.head);
        head.not_run &= may_be_refusal(response.head.status);
        // A response from another target, which took over the address, only shows that this one is
        // no longer there.
        if head.misdirected {
            self.quotas.back_off(target, MISDIRECTED_BACKOFF);
        } else {
            self.detector.record_answer(&target.key(), sent);
            let echoed = |label| head.attempt.as_deref().is_none_or(|echo| echo == label);
            let observation = quota::Observation {
                limit: head.limit,
                trusted: response.head.status.is_success() && label.is_some_and(echoed),
                sent,
            };
            self.quotas.record_limit(target, observation);
            if head.leaving {
                self.quotas.record_leaving(target);
            }
            if let Some(wait) = head.backoff {
                self.quotas.back_off(target, wait);
            }
        }
        Ok(Received { response, head })
    }
}

/// Returns whether a response with this status can be the proof that its request has not run.
///
/// A success, or a failure while the request was running, contradicts it.
fn may_be_refusal(status: StatusCode) -> bool {
    let failures = [
        StatusCode::INTERNAL_SERVER_ERROR,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    !status.is_success() && !failures.contains(&status)
}
