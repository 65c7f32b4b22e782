//! From a caller's request to its answer.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Response,
    header,
    response, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};

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
        Sends, //
    },
    gateway,
    pipeline,
    reply,
    stream, //
};

/// Largest body while no configuration is known.
const BODY_MAX: usize = 4 << 20;

/// Most pieces of one stage of a request: forty times what the largest known requests have.
const PIECES_MAX: u32 = 1024;

/// When a caller that came to a leaving process should come again, to another one.
const LEAVING_MS: u64 = 100;

/// Least time that a send of a request that may be repeated gets before the next target is asked.
const TRY_MIN: time::Duration = time::Duration::from_millis(150);

/// Headers that concern one connection only.
const HOP_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Answers a caller's request; dropping the future cancels all its work.
pub async fn handle(
    gateway: Arc<gateway::Gateway>,
    incoming: http::Request<Incoming>,
) -> Response<reply::Body> {
    let start = clock::now();
    gateway.metrics.requests.inc();
    let Some(work) = gateway.gate.enter() else {
        return refuse(
            &gateway,
            "",
            verdict::Refusal::not_run(verdict::Reason::Leaving),
        );
    };
    let mut id = String::new();
    let result = match read(&gateway, incoming, start, &mut id).await {
        Ok(request) => serve(&gateway, Arc::new(request), work).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| refuse(&gateway, &id, refusal))
}

/// Answers a request that was not served.
fn refuse(
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
    reply::refuse(&refusal)
}

/// Reads and admits a request.
async fn read(
    gateway: &gateway::Gateway,
    incoming: http::Request<Incoming>,
    start: freshness::BootTime,
    id: &mut String,
) -> Result<admission::Request, verdict::Refusal> {
    let (head, body) = incoming.into_parts();
    let invalid = |_| verdict::Refusal::not_run(verdict::Reason::Invalid);
    let call = gateway.dialect.call(&head.headers).map_err(invalid)?;
    id.clone_from(&call.attempt);
    // The owner of a queue keeps a place for each piece.
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
    let most = admitted.table.limits.max_body.min(BODY_MAX);
    let body = whole(body, most).await?;
    let spent = gateway.spent(&admitted.route, call.patience);
    let rank = admitted.team.as_ref().and_then(|t| t.rank);
    let places = places(gateway, &admitted);
    let request = admission::Request {
        call,
        method: head.method,
        path,
        headers: head.headers,
        body,
        places,
        rank: rank.unwrap_or(admitted.route.rank),
        team_rank: rank,
        route: admitted.route,
        table: admitted.table,
        team: admitted.team.map(|t| t.name),
        start,
        spent,
    };
    if !gateway.view.has_time(request.limit(), Instant::now()) {
        let after = unit::Period::from_millis(LEAVING_MS);
        return Err(verdict::Refusal::not_run(verdict::Reason::Leaving).retry_after(after));
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
        spent_ms = request.spent.as_millis(),
        patience_ms = request.limit().as_millis()
    );
    Ok(request)
}

/// Returns the data centres whose targets may run a request, if it is confined to regions.
fn places(
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

async fn whole(body: Incoming, most: usize) -> Result<Bytes, verdict::Refusal> {
    let too_large = verdict::Refusal::not_run(verdict::Reason::TooLarge);
    if body.size_hint().lower() > most as u64 {
        return Err(too_large);
    }
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large),
        Err(_) => Err(verdict::Refusal::not_run(verdict::Reason::Invalid)),
    }
}

async fn serve(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    work: laburnumcart_daemon::stop::Work,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    gateway.check_content(&request)?;
    let inputs = match request.route.stages.is_empty() {
        true => None,
        false => {
            gateway.check_targets(&request)?;
            Some(pipeline::run(gateway, &request).await?)
        }
    };
    if inputs.is_some() {
        gateway
            .metrics
            .stages
            .observe(request.elapsed().as_secs_f64());
    }
    match request.route.stream {
        true => stream::serve(gateway, request, inputs, work).await,
        false => plain(gateway, request, inputs).await,
    }
}

/// Serves a request whose answer is read as a whole before the caller gets any of it.
async fn plain(
    gateway: &Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    mut inputs: Option<pipeline::Inputs>,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    let mut sends = Sends::new(gateway, &request)?;
    let mut fallback = None;
    loop {
        if inputs.is_none() && !request.route.stages.is_empty() {
            match pipeline::run_again(gateway, &request).await {
                Ok(made) => inputs = Some(made),
                Err(refusal) => return end(gateway, &request, fallback, sends.refuse(refusal)),
            }
        }
        let limit = try_limit(&request, &sends);
        let failure = match sends.next(inputs.as_ref(), None, limit).await {
            Ok(opened) => match answer(&request, opened, limit).await {
                Ok((head, body)) if is_retried(&head, &request, &sends) => {
                    fallback = Some((head, body));
                    verdict::Refusal::may_have_run(verdict::Reason::TargetFailed)
                }
                Ok((head, body)) => return Ok(pass(gateway, &request, &head, body)),
                Err(refusal) => {
                    sends.strike();
                    refusal
                }
            },
            Err(forward::Failure::InputsGone) => {
                inputs = None;
                verdict::Refusal::not_run(verdict::Reason::TargetFailed)
            }
            Err(forward::Failure::Refused(refusal)) => refusal,
        };
        if let retry::Decision::GiveUp(refusal) = sends.decide(failure, budgets::Way::Request) {
            return end(gateway, &request, fallback, refusal);
        }
    }
}

/// Ends a request without success.
///
/// A failure that a target has answered says more than one of the gateway.
fn end(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    fallback: Option<(response::Parts, Bytes)>,
    refusal: verdict::Refusal,
) -> Result<Response<reply::Body>, verdict::Refusal> {
    match fallback {
        Some((head, body)) => Ok(pass(gateway, request, &head, body)),
        None => Err(refusal),
    }
}

/// Returns how long a target gets before the next one is asked.
fn try_limit(request: &admission::Request, sends: &Sends) -> time::Duration {
    let left = request.left();
    if request.route.retry == ingress::RetryPolicy::Never || !sends.has_spare() {
        return left;
    }
    let half = left / 2;
    half.min(request.route.objective.max(TRY_MIN))
}

/// Reads the whole answer.
async fn answer(
    request: &admission::Request,
    mut opened: forward::Opened,
    limit: time::Duration,
) -> Result<(response::Parts, Bytes), verdict::Refusal> {
    opened.seat.begin();
    let whole = opened.answer.whole(opened.reply.idle);
    let result = match tokio::time::timeout(limit.min(request.left()), whole).await {
        Ok(result) => result,
        Err(_) => Err(crate::pool::Failure::Timeout),
    };
    match result {
        Ok((head, body)) => {
            match head.status.is_server_error() {
                true => opened.seat.fail(),
                false => opened.seat.succeed(),
            }
            Ok((head, body))
        }
        Err(_) => {
            opened.seat.fail();
            Err(verdict::Refusal::may_have_run(verdict::Reason::Corrupt))
        }
    }
}

/// Reports whether another target may bring a better answer than this one.
fn is_retried(head: &response::Parts, request: &admission::Request, sends: &Sends) -> bool {
    let repeatable = request.route.retry != ingress::RetryPolicy::Never;
    head.status.is_server_error() && repeatable && sends.has_more() && sends.has_target()
}

/// Passes a target's whole answer on.
fn pass(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    head: &response::Parts,
    body: Bytes,
) -> Response<reply::Body> {
    gateway.metrics.answered.inc();
    gateway
        .metrics
        .first
        .observe(request.elapsed().as_secs_f64());
    event!(
        Info,
        "answered",
        request = request.call.attempt,
        status = head.status.as_u16(),
        taken_ms = request.elapsed().as_millis()
    );
    let mut response = Response::new(reply::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

/// Returns the headers of an answer without those of the target's connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    strip_hop(&mut kept);
    kept.remove(header::CONTENT_LENGTH);
    kept
}

/// Removes the headers that concern one connection only, and those that `Connection` names.
pub fn strip_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
