//! Handling of callers' requests, and the exchange of those that are answered as a whole.

use std::{
    sync::{
        self,
        Arc, //
    },
    time,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    HeaderMap,
    Response,
    header,
    response, //
};
use http_body_util::BodyExt;
use hyper::body::Body as _;

use tokio::time::Instant;

use laburnumcart::{
    event,
    freshness,
    id,
    ingress,
    residency,
    retry,
    unit,
    verdict, //
};

use crate::{
    admission,
    budgets,
    clock,
    forward::{
        self,
        Forwarder, //
    },
    gateway,
    held,
    http_server,
    pipeline,
    reply,
    stream, //
};

/// Largest request body; the configuration may set a lower limit.
const BODY_MAX: usize = 4 << 20;

/// Most pieces of one stage of a request, forty times as many as the largest known requests have.
const PIECES_MAX: u32 = 1024;

/// Delay in milliseconds after which a caller of a leaving process may retry at another one.
const LEAVING_RETRY_MS: u64 = 100;

/// Least timeout of an attempt after which another target can be tried.
const ATTEMPT_TIMEOUT_MIN: time::Duration = time::Duration::from_millis(150);

/// Longest time for which a body waits for room; callers give up a request that is not read for a
/// second.
const ROOM_PATIENCE: time::Duration = time::Duration::from_millis(500);

/// Delay after which the caller of a body without room may retry: others are answered meanwhile.
const ROOM_RETRY: time::Duration = time::Duration::from_secs(1);

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Handles a caller's request, or refuses it; dropping the future cancels all work for it.
pub async fn handle(
    gateway: Arc<gateway::Gateway>,
    incoming: http::Request<http_server::RequestBody>,
    is_refused: bool,
) -> Response<reply::Body> {
    let start = clock::now();
    gateway.metrics.requests.inc();
    let Some(work) = gateway.gate.enter().filter(|_| !is_refused) else {
        return refusal_response(
            &gateway,
            "",
            verdict::Refusal::not_run(verdict::Reason::Leaving),
        );
    };
    let mut id = String::new();
    let result = match read_request(&gateway, incoming, start, &mut id).await {
        Ok(request) => serve(&gateway, Arc::new(request), work).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| refusal_response(&gateway, &id, refusal))
}

/// Records a refusal and returns the response for the caller.
fn refusal_response(
    gateway: &gateway::Gateway,
    id: &str,
    refusal: verdict::Refusal,
) -> Response<reply::Body> {
    let labels = crate::metrics::Refused {
        reason: laburnumcart_daemon::metrics::Label(refusal.reason),
        verdict: laburnumcart_daemon::metrics::Label(refusal.verdict),
    };
    gateway.metrics.refused.get_or_create(&labels).inc();
    event!(
        Info,
        "refused",
        request = id,
        reason = refusal.reason,
        verdict = refusal.verdict,
        status = reply::status(&refusal).as_u16()
    );
    reply::refusal_response(&refusal)
}

/// Reads and admits a request; `id` is set to the identifier of the attempt.
async fn read_request(
    gateway: &gateway::Gateway,
    incoming: http::Request<http_server::RequestBody>,
    start: freshness::BootTime,
    id: &mut String,
) -> Result<admission::Request, verdict::Refusal> {
    let (head, body) = incoming.into_parts();
    let invalid = |_| verdict::Refusal::not_run(verdict::Reason::Invalid);
    let call = gateway
        .dialect
        .parse_request(&head.headers)
        .map_err(invalid)?;
    id.clone_from(&call.attempt);
    body.set_request(id);
    // The queue owner allocates memory for each piece.
    if call.pieces.iter().any(|pieces| *pieces > PIECES_MAX) {
        return Err(verdict::Refusal::not_run(verdict::Reason::Invalid));
    }
    let path = head
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .to_owned();
    let admitted = admission::admit(
        &gateway.view,
        &gateway.settings.bounds,
        &head.headers,
        head.uri.path(),
        &call,
    )?;
    let limit = admitted.table.limits.max_body.min(BODY_MAX);
    let patience = admitted.route.timeout;
    let patience = call.timeout.map_or(patience, |stated| stated.min(patience));
    let late = verdict::Refusal::not_run(verdict::Reason::DeadlineExceeded);
    let body = tokio::time::timeout(patience, read_body(body, limit, patience)).await;
    let body = body.map_err(|_| late)??;
    let spent = gateway.spent_before(&admitted.route, call.timeout);
    let rank = admitted.team.as_ref().and_then(|t| t.rank);
    let data_centres = allowed_data_centres(gateway, &admitted);
    let request = admission::Request {
        call,
        method: head.method,
        path,
        headers: head.headers,
        body,
        data_centres,
        rank: rank.unwrap_or(admitted.route.rank),
        team_rank: rank,
        route: admitted.route,
        table: admitted.table,
        team: admitted.team.map(|t| t.name),
        start,
        spent,
        content: sync::OnceLock::new(),
    };
    if gateway.view.is_leaving() {
        check_exit(gateway, &request)?;
    }
    event!(
        Info,
        "admitted",
        request = request.call.attempt,
        route = request.route.name,
        version = request.table.version,
        age_ms = gateway
            .view
            .freshness
            .age(start)
            .unwrap_or_default()
            .as_millis(),
        rank = request.rank,
        after = request.call.last_event.unwrap_or(0),
        resumes = request.call.resumes.as_deref().unwrap_or("none"),
        spent_ms = request.spent.as_millis(),
        patience_ms = request.timeout().as_millis()
    );
    Ok(request)
}

/// Refuses a request that can't finish before a leaving process exits.
pub(crate) fn check_exit(
    gateway: &gateway::Gateway,
    request: &admission::Request,
) -> Result<(), verdict::Refusal> {
    let usually = gateway.durations.usual(&request.route);
    let now = Instant::now();
    if gateway.view.can_finish(request.timeout(), usually, now) {
        return Ok(());
    }
    let after = unit::Period::from_millis(LEAVING_RETRY_MS);
    Err(verdict::Refusal::not_run(verdict::Reason::Leaving).retry_after(after))
}

/// Returns the data centres whose targets may run a request, or `None` if it is not confined to
/// regions.
pub(crate) fn allowed_data_centres(
    gateway: &gateway::Gateway,
    admitted: &admission::Admitted,
) -> Option<Vec<id::DataCentre>> {
    let team = admitted.team.as_ref().and_then(|team| team.regions.clone());
    let residency = residency::Residency::default();
    let residency = residency
        .restrict(admitted.route.regions.clone())
        .restrict(team);
    residency.data_centres(&gateway.settings.regions)
}

/// Reads the body of a request, for which there has to be room before more of it is read.
async fn read_body(
    mut body: http_server::RequestBody,
    limit: usize,
    patience: time::Duration,
) -> Result<Bytes, verdict::Refusal> {
    let too_large = verdict::Refusal::not_run(verdict::Reason::TooLarge);
    let no_room = verdict::Refusal::not_run(verdict::Reason::Overloaded);
    let no_room = no_room.retry_after(unit::Period(ROOM_RETRY));
    let patience = ROOM_PATIENCE.min(patience / 4);
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large);
    }
    let stated = body.size_hint().exact().map(|size| size as usize);
    if let Some(size) = stated.filter(|size| *size > 0)
        && !body.hold(size, patience).await
    {
        return Err(no_room);
    }
    let mut bytes = BytesMut::with_capacity(stated.unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| verdict::Refusal::not_run(verdict::Reason::Invalid))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(too_large);
        }
        if stated.is_none() && !body.hold(data.len(), patience).await {
            return Err(no_room);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

async fn serve(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    work: laburnumcart_daemon::stop::Work,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    gateway.check_content(&request, None)?;
    let origin = match request.route.stream && request.call.last_event.is_some() {
        true => Some(gateway.origins.resolve(&request).await?),
        false => None,
    };
    let inputs = match request.route.stages.is_empty() {
        true => None,
        false => {
            gateway.check_targets(&request, origin.as_ref())?;
            Some(pipeline::run_stages(gateway, &request).await?)
        }
    };
    if inputs.is_some() {
        gateway
            .metrics
            .stages
            .observe(request.elapsed().as_secs_f64());
    }
    match request.route.stream {
        true => stream::serve(gateway, request, origin, inputs, work).await,
        false => serve_buffered(gateway, request, inputs).await,
    }
}

/// Serves a request whose response is read completely before it is passed on.
async fn serve_buffered(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    mut inputs: Option<pipeline::Inputs>,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    let mut forwarder = Forwarder::new(gateway, &request, None)?;
    let mut fallback = None;
    loop {
        if inputs.is_none() && !request.route.stages.is_empty() {
            match pipeline::rerun_stages(gateway, &request).await {
                Ok(results) => inputs = Some(results),
                Err(refusal) => {
                    return fallback_or_refusal(
                        gateway,
                        &request,
                        fallback,
                        forwarder.merge_verdict(refusal),
                    );
                }
            }
        }
        let limit = attempt_timeout(&request, &forwarder);
        let failure = match forwarder.send_next(inputs.as_ref(), None, limit).await {
            Ok(response) => match read_response(&mut forwarder, response, limit).await {
                Ok((head, body)) if can_retry(&head, &request, &forwarder) => {
                    fallback = Some((head, body));
                    verdict::Refusal::may_have_run(verdict::Reason::TargetFailed)
                }
                Ok((head, body)) => return Ok(forward_response(gateway, &request, &head, body)),
                Err(refusal) => refusal,
            },
            Err(forward::Failure::InputsGone) => {
                inputs = None;
                verdict::Refusal::not_run(verdict::Reason::TargetFailed)
            }
            Err(forward::Failure::Refused(refusal)) => refusal,
        };
        if let retry::Decision::GiveUp(refusal) =
            forwarder.decide_retry(failure, budgets::RepeatKind::Request)
        {
            return fallback_or_refusal(gateway, &request, fallback, refusal);
        }
    }
}

/// Returns the last error response of a target if there is one, else the refusal.
///
/// The target's response says more about the failure than the gateway's refusal.
fn fallback_or_refusal(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    fallback: Option<(response::Parts, Bytes)>,
    refusal: verdict::Refusal,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    match fallback {
        Some((head, body)) => Ok(forward_response(gateway, request, &head, body)),
        None => Err(refusal),
    }
}

/// Returns the timeout of an attempt, which leaves time for another target if one may be tried.
fn attempt_timeout(request: &admission::Request, forwarder: &Forwarder) -> time::Duration {
    let remaining = request.remaining();
    if request.route.retry == ingress::RetryPolicy::Never || !forwarder.has_spare_attempt() {
        return remaining;
    }
    let half = remaining / 2;
    half.min(request.route.objective.max(ATTEMPT_TIMEOUT_MIN))
}

/// Reads a complete response and records the outcome of the target.
async fn read_response(
    forwarder: &mut Forwarder,
    mut received: forward::TargetResponse,
    limit: time::Duration,
) -> Result<(response::Parts, Bytes), verdict::Refusal> {
    received.assignment.record_first_byte();
    let body = received.response.read_all(received.head.idle_timeout);
    let kind = budgets::RepeatKind::Request;
    let result = forwarder.await_granted(body, limit, kind).await;
    let result = result.unwrap_or(Err(crate::pool::Failure::Timeout));
    match result {
        Ok((head, body)) => {
            match head.status.is_server_error() {
                true => received.assignment.record_failure(),
                false => received.assignment.record_success(),
            }
            received.run.complete(head.status);
            Ok((head, body))
        }
        Err(_) => {
            received.assignment.record_failure();
            received.run.fail();
            Err(verdict::Refusal::may_have_run(verdict::Reason::Corrupt))
        }
    }
}

/// Reports whether a response is an error for which another target may be tried.
fn can_retry(head: &response::Parts, request: &admission::Request, forwarder: &Forwarder) -> bool {
    let is_repeatable = request.route.retry != ingress::RetryPolicy::Never;
    head.status.is_server_error()
        && is_repeatable
        && forwarder.can_retry()
        && forwarder.has_untried_target()
}

/// Records an answered request and returns the target's response for the caller.
fn forward_response(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    head: &response::Parts,
    body: Bytes,
) -> Response<reply::Body> {
    gateway.metrics.answered.inc();
    if head.status.is_success() {
        gateway.durations.record(&request.route, request.elapsed());
    }
    gateway
        .metrics
        .first_byte
        .observe(request.elapsed().as_secs_f64());
    event!(
        Info,
        "answered",
        request = request.call.attempt,
        status = head.status.as_u16(),
        taken_ms = request.elapsed().as_millis()
    );
    let mut response = Response::new(reply::full_body(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    if let Some(room) = head.extensions.get::<Arc<held::Room>>() {
        response.extensions_mut().insert(room.clone());
    }
    response
}

/// Returns the end-to-end headers of a target's response.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    strip_hop_by_hop(&mut kept);
    kept.remove(header::CONTENT_LENGTH);
    kept
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
