//! HTTP server for callers: checks requests, starts their drivers and writes the responses.

mod event_stream;
mod full;
pub mod problem;
mod socket;

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

/// Maximum size of a request's head in bytes.
const HEAD_MAX: usize = 16 << 10;

/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 64;

/// Timeout for the arrival of a request's head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Timeout of an idle connection.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Retry delay suggested to callers, whose retry should reach another entry.
const RETRY_DELAY: unit::Period = unit::Period::from_secs(1);

/// State shared by the handlers.
#[derive(Clone)]
struct State {
    entry: Arc<entry::Entry>,
    connections: socket::Connections,
    pages: admin::Pages,
}

type Context<'a> = WebContext<'a, State>;

/// Starts the HTTP server on its own threads; the future completes when it has stopped.
pub fn serve(
    entry: Arc<entry::Entry>,
    metrics: metrics::Metrics,
    listener: net::TcpListener,
    threads: usize,
) -> io::Result<xitca_server::ServerFuture> {
    let connections = socket::Connections::default();
    let listener = socket::ListenerConfig {
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
        .at(
            "/v1/pipelines/{name}",
            route::post(handler_service(run_pipeline)),
        )
        .at("/metrics", route::get(handler_service(operator_page)))
        .at("/healthz", route::get(handler_service(operator_page)))
        .at("/readyz", route::get(handler_service(operator_page)))
        .at("/{*path}", handler_service(unknown_path))
        .serve()
        .disable_signal()
        .worker_threads(threads)
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(IDLE_TIMEOUT)
        .max_read_buf_size::<HEAD_MAX>()
        .max_request_headers::<HEADERS_MAX>()
        .listen(listener)?;
    Ok(server.run())
}

/// Creates the pages for operators: metrics, health and readiness.
///
/// The entry is not ready while it is leaving, has no bundle, knows no agent or has not called its
/// agents yet. A load balancer then sends no callers, which would all be refused.
fn pages(entry: &Arc<entry::Entry>, metrics: metrics::Metrics) -> admin::Pages {
    let entry = entry.clone();
    admin::Pages::new(metrics, move || {
        let view = entry.view.load();
        let missing = match (&view.rules, view.agents_known) {
            _ if entry.is_leaving() => verdict::Reason::Leaving,
            (None, _) => verdict::Reason::NoBundle,
            (Some(_), false) => verdict::Reason::NoTarget,
            (Some(_), true) => return Ok(()),
        };
        Err(missing.to_string())
    })
}

/// Refuses a request for an unknown path.
async fn unknown_path(ctx: &Context<'_>) -> WebResponse {
    let refusal = verdict::Refusal::not_run(verdict::Reason::UnknownPipeline);
    refuse(ctx, refusal, None, None)
}

/// Serves a page for operators.
async fn operator_page(ctx: &Context<'_>) -> WebResponse {
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
    with_content_type(response, page.content_type)
}

/// Handles a request to run a pipeline.
async fn run_pipeline(ctx: &Context<'_>, Body(body): Body<RequestBody>) -> WebResponse {
    let (head, work) = match check_head(ctx) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(ctx, refusal, None, None),
    };
    let id = head.id;
    let request = match read_body(head, body).await {
        Ok(request) => request,
        Err(reason) => return refuse(ctx, verdict::Refusal::not_run(reason), Some(id), None),
    };
    let entry = &ctx.state().entry;
    match admit(entry, &request) {
        Ok(admitted) => {
            let driven = driver::start(entry, request, admitted, work);
            respond(ctx, id, driven).await
        }
        Err(refusal) => {
            // Counted so that a team whose requests are all refused here shows up in the metrics.
            let head = &request.head;
            let (ended, took) = (refusal.verdict.into(), head.arrived.elapsed());
            let metrics = &entry.metrics;
            metrics.record_request(&head.team, &head.pipeline, ended, took);
            refuse(ctx, refusal, Some(id), None)
        }
    }
}

/// Refuses quarantined content, and requests that cannot be admitted.
fn admit(
    entry: &entry::Entry,
    request: &request::Request,
) -> Result<policy::Admitted, verdict::Refusal> {
    let now = tokio::time::Instant::now();
    match entry.gossip.suspects().refusal(request.fingerprint, now) {
        Some(refusal) => Err(refusal),
        None => entry.policy.admit(&request.head),
    }
}

/// Counts a refusal and creates its response.
fn refuse(
    ctx: &Context<'_>,
    refusal: verdict::Refusal,
    request: Option<id::RequestId>,
    work: Option<stop::Work>,
) -> WebResponse {
    ctx.state().entry.metrics.record_refusal(&refusal);
    let mut response = problem::response(refusal, request, work);
    if refusal.reason == verdict::Reason::Leaving {
        // Makes the caller open its next connection, which should reach another entry.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Checks a request except for its body, and registers it as in flight.
fn check_head(ctx: &Context<'_>) -> Result<(request::Head, stop::Work), verdict::Refusal> {
    let entry = &ctx.state().entry;
    let leaving = verdict::Refusal::not_run(verdict::Reason::Leaving).retry_after(RETRY_DELAY);
    let work = entry.gate.enter().ok_or(leaving)?;
    let missing = verdict::Refusal::not_run(verdict::Reason::NoBundle).retry_after(RETRY_DELAY);
    let rules = entry.view.load().rules.clone().ok_or(missing)?;
    let now = tokio::time::Instant::now();
    let head = request::Head::check(parse_head(ctx.req()), rules, now);
    Ok((head.map_err(verdict::Refusal::not_run)?, work))
}

/// Extracts the relevant parts of a request's head.
fn parse_head(req: &WebRequest<()>) -> request::Unchecked {
    let text = |name: &str| {
        let value = req.headers().get(name)?;
        // A value that is not ASCII text is replaced by one that every check rejects.
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

/// Reads the body, within the size limit of the pipeline and the deadline.
async fn read_body(
    head: request::Head,
    body: RequestBody,
) -> Result<request::Request, verdict::Reason> {
    let limit = head.definition().body_limit.0;
    let bytes = tokio::time::timeout_at(head.deadline, collect_body(body, limit)).await;
    let bytes = bytes.map_err(|_| verdict::Reason::DeadlineExceeded)??;
    head.with_body(&bytes)
}

async fn collect_body(body: RequestBody, limit: u64) -> Result<Vec<u8>, verdict::Reason> {
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

/// Responds with an event stream if the caller accepts one, else with a single JSON body.
async fn respond(ctx: &Context<'_>, id: id::RequestId, driven: driver::Execution) -> WebResponse {
    let accept = ctx.req().headers().get(header::ACCEPT);
    let wants_stream = accept
        .and_then(|a| a.to_str().ok())
        .is_some_and(|a| a.contains(EVENT_STREAM));
    let disconnected = ctx
        .state()
        .connections
        .wait_closed(*ctx.req().body().socket_addr());
    if wants_stream {
        let events = event_stream::EventStream::new(id, driven, disconnected);
        return with_content_type(WebResponse::new(ResponseBody::boxed(events)), EVENT_STREAM);
    }
    let (outcome, work) = tokio::select! {
        ended = wait_outcome(driven) => ended,
        // The caller has disconnected. Dropping the event receiver cancels the driver.
        () = disconnected => {
            let refusal = verdict::Refusal::may_have_run(verdict::Reason::Cancelled);
            return refuse(ctx, refusal, Some(id), None);
        }
    };
    match outcome {
        Ok(body) => {
            let body = ResponseBody::boxed(full::FullBody::new(body, work));
            with_content_type(WebResponse::new(body), "application/json")
        }
        Err(refusal) => refuse(ctx, refusal, Some(id), work),
    }
}

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

fn with_content_type(mut response: WebResponse, media: &'static str) -> WebResponse {
    let value = header::HeaderValue::from_static(media);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Waits for the outcome of a request.
async fn wait_outcome(mut driven: driver::Execution) -> (driver::Outcome, Option<stop::Work>) {
    while let Some(event) = driven.events.recv().await {
        if let driver::Event::End(outcome, work) = event {
            return (outcome, Some(work));
        }
    }
    // The driver's task ended without an outcome, which only a bug in this process can cause.
    let refusal = verdict::Refusal::may_have_run(verdict::Reason::Lost);
    (Err(refusal), None)
}
