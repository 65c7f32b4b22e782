//! HTTP for callers.

mod events;
pub mod problem;
mod socket;
mod whole;

use std::{
    io,
    net,
    sync::Arc,
    time, //
};

use http::{
    StatusCode,
    header, //
};
use xitca_web::{
    App, WebContext,
    body::{
        BodyExt,
        RequestBody,
        ResponseBody, //
    },
    handler::{
        body::Body,
        handler_service, //
    },
    http::{
        WebRequest,
        WebResponse, //
    },
    route,
};

use laburnumcart::{
    id,
    unit,
    verdict, //
};
use laburnumcart_daemon::{
    admin,
    metrics,
    stop, //
};

use crate::{
    driver,
    entry,
    policy,
    request, //
};

/// Largest buffer for a request's head in bytes.
const HEAD_MAX: usize = 16 << 10;

/// Most headers of a request.
const HEADERS_MAX: usize = 64;

/// Longest time for a request's head to arrive.
const HEAD_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Longest time that a connection stays idle.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(60);

/// When a caller should come again to another entry.
const LEAVING: unit::Period = unit::Period::from_secs(1);

/// What the handlers share.
#[derive(Clone)]
struct State {
    entry: Arc<entry::Entry>,
    connections: socket::Connections,
    pages: admin::Pages,
}

type Context<'a> = WebContext<'a, State>;

/// Starts the HTTP server on threads of its own; the future ends when it has stopped.
pub fn serve(
    entry: Arc<entry::Entry>,
    metrics: metrics::Metrics,
    listener: net::TcpListener,
    threads: usize,
) -> io::Result<xitca_server::ServerFuture> {
    let connections = socket::Connections::default();
    let gate = socket::Gate {
        listener,
        connections: connections.clone(),
        runtime: entry.traffic.clone(),
    };
    let pages = pages(&entry, metrics);
    let state = State {
        entry,
        connections,
        pages,
    };
    let server = App::new()
        .with_state(state)
        .at("/v1/pipelines/{name}", route::post(handler_service(run)))
        .at("/metrics", route::get(handler_service(page)))
        .at("/healthz", route::get(handler_service(page)))
        .at("/readyz", route::get(handler_service(page)))
        .at("/{*path}", handler_service(unknown))
        .serve()
        .disable_signal()
        .worker_threads(threads)
        .request_head_timeout(HEAD_LIMIT)
        .keep_alive_timeout(IDLE_LIMIT)
        .max_read_buf_size::<HEAD_MAX>()
        .max_request_headers::<HEADERS_MAX>()
        .listen(gate)?;
    Ok(server.run())
}

/// Creates the operators' pages.
///
/// The entry is not ready while it leaves, has no bundle, knows no agent or has yet to call the
/// agents, so that the balancer sends no caller into a refusal.
fn pages(entry: &Arc<entry::Entry>, metrics: metrics::Metrics) -> admin::Pages {
    let entry = entry.clone();
    admin::Pages::new(metrics, move || {
        let view = entry.view.load();
        let missing = match (&view.rules, view.settled) {
            _ if entry.is_leaving() => verdict::Reason::Leaving,
            (None, _) => verdict::Reason::NoBundle,
            (Some(_), false) => verdict::Reason::NoTarget,
            (Some(_), true) => return Ok(()),
        };
        Err(missing.to_string())
    })
}

/// Answers a call of a path that does not exist.
async fn unknown(ctx: &Context<'_>) -> WebResponse {
    let refusal = verdict::Refusal::not_run(verdict::Reason::UnknownPipeline);
    refuse(ctx, refusal, None, None)
}

/// Answers with an operators' page.
async fn page(ctx: &Context<'_>) -> WebResponse {
    let page = ctx.state().pages.answer(ctx.req().uri().path());
    let Some(page) = page else {
        return refuse(
            ctx,
            verdict::Refusal::not_run(verdict::Reason::Invalid),
            None,
            None,
        );
    };
    let mut response = WebResponse::new(ResponseBody::bytes(page.body));
    *response.status_mut() = StatusCode::from_u16(page.status).unwrap_or_default();
    typed(response, page.content_type)
}

/// Answers a caller's request.
async fn run(ctx: &Context<'_>, Body(body): Body<RequestBody>) -> WebResponse {
    let (head, work) = match admit(ctx) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(ctx, refusal, None, None),
    };
    let id = head.id;
    let request = match read(head, body).await {
        Ok(request) => request,
        Err(reason) => return refuse(ctx, verdict::Refusal::not_run(reason), Some(id), None),
    };
    let entry = &ctx.state().entry;
    match accept(entry, &request) {
        Ok(admitted) => {
            let driven = driver::start(entry, request, admitted, work);
            answer(ctx, id, driven).await
        }
        Err(refusal) => {
            // Without these, a team whose requests are all refused at the door would look well.
            let head = &request.head;
            let (ended, took) = (refusal.verdict.into(), head.arrived.elapsed());
            let metrics = &entry.metrics;
            metrics.request(&head.team, &head.pipeline, ended, took);
            refuse(ctx, refusal, Some(id), None)
        }
    }
}

/// Refuses content that crashes targets, and what the entry has no room or time for.
fn accept(
    entry: &entry::Entry,
    request: &request::Request,
) -> Result<policy::Admitted, verdict::Refusal> {
    let now = tokio::time::Instant::now();
    match entry.gossip.suspects().refusal(request.fingerprint, now) {
        Some(refusal) => Err(refusal),
        None => entry.policy.admit(&request.head),
    }
}

/// Counts a refusal and answers with it.
fn refuse(
    ctx: &Context<'_>,
    refusal: verdict::Refusal,
    request: Option<id::RequestId>,
    work: Option<stop::Work>,
) -> WebResponse {
    ctx.state().entry.metrics.refusal(&refusal);
    let mut response = problem::response(refusal, request, work);
    if refusal.reason == verdict::Reason::Leaving {
        // The next request of this caller should come over a connection to another entry.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Checks all but the body.
fn admit(ctx: &Context<'_>) -> Result<(request::Head, stop::Work), verdict::Refusal> {
    let entry = &ctx.state().entry;
    let leaving = verdict::Refusal::not_run(verdict::Reason::Leaving).retry_after(LEAVING);
    let work = entry.gate.enter().ok_or(leaving)?;
    let missing = verdict::Refusal::not_run(verdict::Reason::NoBundle).retry_after(LEAVING);
    let rules = entry.view.load().rules.clone().ok_or(missing)?;
    let now = tokio::time::Instant::now();
    let head = request::Head::check(asked(ctx.req()), rules, now);
    Ok((head.map_err(verdict::Refusal::not_run)?, work))
}

/// Picks out what matters of a request's head.
fn asked(req: &WebRequest<()>) -> request::Unchecked {
    let text = |name: &str| {
        let value = req.headers().get(name)?;
        // A value that is no text is passed on as one that no check accepts.
        Some(value.to_str().unwrap_or("\u{fffd}").to_owned())
    };
    let bearer = text(header::AUTHORIZATION.as_str());
    let token = bearer.as_deref().and_then(|b| b.strip_prefix("Bearer "));
    let path = req.uri().path();
    request::Unchecked {
        pipeline: path.rsplit('/').next().unwrap_or_default().to_owned(),
        token: token.map(str::to_owned),
        key: text("idempotency-key"),
        idempotent: text("x-idempotent"),
        deadline: text("x-deadline"),
        traceparent: text("traceparent"),
    }
}

/// Reads the body, at most as long as the pipeline allows.
async fn read(head: request::Head, body: RequestBody) -> Result<request::Request, verdict::Reason> {
    let limit = head.definition().body_limit.0;
    let bytes = tokio::time::timeout_at(head.deadline, collect(body, limit)).await;
    let bytes = bytes.map_err(|_| verdict::Reason::DeadlineExceeded)??;
    head.with_body(&bytes)
}

async fn collect(body: RequestBody, limit: u64) -> Result<Vec<u8>, verdict::Reason> {
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(data) = body.as_mut().data().await {
        let data = data.map_err(|_| verdict::Reason::Invalid)?;
        if (bytes.len() + data.len()) as u64 > limit {
            return Err(verdict::Reason::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Answers as one JSON text or as an event stream, as the caller asked.
async fn answer(ctx: &Context<'_>, id: id::RequestId, driven: driver::Execution) -> WebResponse {
    let accept = ctx.req().headers().get(header::ACCEPT);
    let stream = accept
        .and_then(|a| a.to_str().ok())
        .is_some_and(|a| a.contains(EVENTS));
    let gone = ctx
        .state()
        .connections
        .gone(*ctx.req().body().socket_addr());
    if stream {
        let events = events::Events::new(id, driven, gone);
        return typed(WebResponse::new(ResponseBody::boxed(events)), EVENTS);
    }
    let (outcome, work) = tokio::select! {
        ended = whole(driven) => ended,
        // Nobody reads this answer; dropping the events tells the driver.
        () = gone => {
            let refusal = verdict::Refusal::may_have_run(verdict::Reason::Cancelled);
            return refuse(ctx, refusal, Some(id), None);
        }
    };
    match outcome {
        Ok(body) => {
            let body = ResponseBody::boxed(whole::Whole::new(body, work));
            typed(WebResponse::new(body), "application/json")
        }
        Err(refusal) => refuse(ctx, refusal, Some(id), work),
    }
}

/// Media type of event streams.
const EVENTS: &str = "text/event-stream";

fn typed(mut response: WebResponse, media: &'static str) -> WebResponse {
    let value = header::HeaderValue::from_static(media);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Waits for the final answer.
async fn whole(mut driven: driver::Execution) -> (driver::Outcome, Option<stop::Work>) {
    while let Some(event) = driven.events.recv().await {
        if let driver::Event::End(outcome, work) = event {
            return (outcome, Some(work));
        }
    }
    // The driver's task ended without an answer, which only a fault of ours can cause.
    let refusal = verdict::Refusal::may_have_run(verdict::Reason::Lost);
    (Err(refusal), None)
}
