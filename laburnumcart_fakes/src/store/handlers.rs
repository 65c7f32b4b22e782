//! Request handlers of the fake object service.

use std::{
    collections,
    io,
    pin,
    sync,
    task,
    time, //
};

use http::{
    Method,
    StatusCode,
    header, //
};
use serde::Serialize;
use tokio::time::Instant;
use xitca_web::{
    WebContext,
    body,
    bytes::Bytes,
    error,
    handler::body::Limit,
    http::WebResponse, //
};

use laburnumcart::{
    event,
    unit, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};

use super::{
    Shared,
    counts, //
};

/// Largest request body that is read.
const MAX_BODY_BYTES: usize = 2 * store::VALUE_MAX;

type Context<'a> = WebContext<'a, sync::Arc<Shared>>;
type HandlerResult = Result<WebResponse, error::Error>;

/// Reason for an error response.
enum Refusal {
    Status(StatusCode),
    Limited(unit::Period),
    Failed(store::Failure),
}

impl From<store::Failure> for Refusal {
    fn from(failure: store::Failure) -> Self {
        Self::Failed(failure)
    }
}

/// `GET`, `PUT` and `DELETE` of `/v1/objects/{key}`.
pub(super) async fn object(mut ctx: Context<'_>) -> HandlerResult {
    let result = match *ctx.req().method() {
        Method::GET => get(&mut ctx).await,
        Method::PUT => put(&mut ctx).await,
        Method::DELETE => delete(&mut ctx).await,
        _ => Err(Refusal::Status(StatusCode::METHOD_NOT_ALLOWED)),
    };
    respond(ctx, result)
}

async fn get(ctx: &mut Context<'_>) -> Result<WebResponse, Refusal> {
    let key = key(ctx);
    ctx.state().admit(counts::Kind::Read, &key)?;
    let object = ctx.state().memory.get(&key).await?;
    let object = object.ok_or(Refusal::Status(StatusCode::NOT_FOUND))?;
    let mut response = json(ctx, object.value);
    set_etag(&mut response, object.version);
    Ok(response)
}

async fn put(ctx: &mut Context<'_>) -> Result<WebResponse, Refusal> {
    let key = key(ctx);
    let expect = expect(ctx)?;
    let value = body_text(ctx).await?;
    if value.len() > store::VALUE_MAX {
        return Err(Refusal::Status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    ctx.state().admit(counts::Kind::Write, &key)?;
    let version = ctx.state().memory.put(&key, expect, &value).await?;
    let mut response = ctx.as_response(body::ResponseBody::empty());
    set_etag(&mut response, version);
    Ok(response)
}

async fn delete(ctx: &mut Context<'_>) -> Result<WebResponse, Refusal> {
    let key = key(ctx);
    let store::Expect::Version(version) = expect(ctx)? else {
        return Err(Refusal::Status(StatusCode::BAD_REQUEST));
    };
    ctx.state().admit(counts::Kind::Write, &key)?;
    let status = match ctx.state().memory.delete_if_present(&key, version).await? {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    };
    Err(Refusal::Status(status))
}

/// `GET /v1/list`.
pub(super) async fn list(mut ctx: Context<'_>) -> HandlerResult {
    let result = list_objects(&mut ctx).await;
    respond(ctx, result)
}

async fn list_objects(ctx: &mut Context<'_>) -> Result<WebResponse, Refusal> {
    let query = query(ctx);
    let prefix = query.get("prefix").map_or("", String::as_str);
    ctx.state().admit(counts::Kind::Read, prefix)?;
    let listing = ctx.state().memory.list(prefix).await?;
    encode(ctx, &listing)
}

/// `GET /v1/watch`.
pub(super) async fn watch(mut ctx: Context<'_>) -> HandlerResult {
    let result = watch_changes(&mut ctx).await;
    respond(ctx, result)
}

async fn watch_changes(ctx: &mut Context<'_>) -> Result<WebResponse, Refusal> {
    let query = query(ctx);
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = store::Revision(query_number(&query, "after")?);
    let wait = time::Duration::from_millis(query_number(&query, "wait")?);
    let shared = sync::Arc::clone(ctx.state());
    let _hold = shared.hold(prefix)?;
    let wait = wait.min(super::MAX_WATCH_WAIT);
    let changes = shared.memory.watch(prefix, after, wait).await?;
    encode(ctx, &changes)
}

/// `GET` and `POST` of `/admin/faults`.
pub(super) async fn faults(mut ctx: Context<'_>) -> HandlerResult {
    let result = match *ctx.req().method() {
        Method::POST => set_faults(&mut ctx).await,
        Method::GET => {
            let faults = ctx.state().memory.faults();
            encode(&mut ctx, &faults)
        }
        _ => Err(Refusal::Status(StatusCode::METHOD_NOT_ALLOWED)),
    };
    respond(ctx, result)
}

async fn set_faults(ctx: &mut Context<'_>) -> Result<WebResponse, Refusal> {
    let text = body_text(ctx).await?;
    let faults: Result<memory::Faults, _> = serde_json::from_str(&text);
    let faults = faults.map_err(|_| Refusal::Status(StatusCode::BAD_REQUEST))?;
    ctx.state().memory.set_faults(faults);
    event!(Info, "faults", set = text);
    encode(ctx, &faults)
}

/// `GET /admin/counts`.
pub(super) async fn counts(mut ctx: Context<'_>) -> HandlerResult {
    let report = ctx.state().counts.report();
    let result = encode(&mut ctx, &report);
    respond(ctx, result)
}

/// `GET /healthz`.
pub(super) async fn health(mut ctx: Context<'_>) -> HandlerResult {
    Ok(ctx.as_response("ok\n"))
}

impl Shared {
    /// Charges a call to its rate limit.
    fn admit(&self, kind: counts::Kind, key: &str) -> Result<(), Refusal> {
        let mut budget = self.budget();
        let bucket = match kind {
            counts::Kind::Write => &mut budget.writes,
            counts::Kind::Read | counts::Kind::Watch => &mut budget.reads,
        };
        let taken = match kind {
            counts::Kind::Watch => bucket.try_hold(Instant::now()),
            counts::Kind::Read | counts::Kind::Write => bucket.try_take(Instant::now()),
        };
        match taken {
            Ok(()) => self.counts.count_admitted(kind, key),
            Err(_) => self.counts.count_refused(key),
        }
        taken.map_err(Refusal::Limited)
    }

    /// Charges a watch to the rate limit of reads until it ends.
    fn hold(&self, prefix: &str) -> Result<WatchHold<'_>, Refusal> {
        self.admit(counts::Kind::Watch, prefix)?;
        Ok(WatchHold(self))
    }

    fn budget(&self) -> sync::MutexGuard<'_, laburnumcart_platform::budget::Budget> {
        let poisoned = sync::PoisonError::into_inner;
        self.budget.lock().unwrap_or_else(poisoned)
    }
}

struct WatchHold<'a>(&'a Shared);

impl Drop for WatchHold<'_> {
    fn drop(&mut self) {
        self.0.budget().reads.release(Instant::now());
    }
}

fn key(ctx: &Context<'_>) -> String {
    let path = ctx.req().uri().path();
    path.strip_prefix("/v1/objects/").unwrap_or(path).to_owned()
}

/// Parses the query; keys and prefixes need no percent encoding.
fn query(ctx: &Context<'_>) -> collections::BTreeMap<String, String> {
    let query = ctx.req().uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}

fn query_number(query: &collections::BTreeMap<String, String>, name: &str) -> Result<u64, Refusal> {
    let number = query.get(name).and_then(|text| text.parse().ok());
    number.ok_or(Refusal::Status(StatusCode::BAD_REQUEST))
}

fn expect(ctx: &Context<'_>) -> Result<store::Expect, Refusal> {
    let headers = ctx.req().headers();
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let version = |tag: &str| tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok();
    let expect = match (text(header::IF_MATCH), text(header::IF_NONE_MATCH)) {
        (Some(tag), None) => version(tag).map(|v| store::Expect::Version(store::Version(v))),
        (None, Some("*")) => Some(store::Expect::Absent),
        _ => None,
    };
    expect.ok_or(Refusal::Status(StatusCode::BAD_REQUEST))
}

async fn body_text(ctx: &Context<'_>) -> Result<String, Refusal> {
    let body = ctx.extract::<(Vec<u8>, Limit<MAX_BODY_BYTES>)>().await;
    let (body, _) = body.map_err(|_| Refusal::Status(StatusCode::PAYLOAD_TOO_LARGE))?;
    String::from_utf8(body).map_err(|_| Refusal::Status(StatusCode::BAD_REQUEST))
}

fn json(ctx: &mut Context<'_>, text: impl Into<body::ResponseBody>) -> WebResponse {
    let mut response = ctx.as_response(text);
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn encode(ctx: &mut Context<'_>, value: &impl Serialize) -> Result<WebResponse, Refusal> {
    let text = serde_json::to_string(value);
    let text = text.map_err(|_| Refusal::Status(StatusCode::INTERNAL_SERVER_ERROR))?;
    Ok(json(ctx, text))
}

fn set_etag(response: &mut WebResponse, version: store::Version) {
    if let Ok(tag) = header::HeaderValue::try_from(format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, tag);
    }
}

fn respond(mut ctx: Context<'_>, result: Result<WebResponse, Refusal>) -> HandlerResult {
    let refusal = match result {
        Ok(response) => return Ok(response),
        Err(refusal) => refusal,
    };
    let (status, retry) = match refusal {
        Refusal::Status(status) => (status, None),
        Refusal::Limited(retry) => (StatusCode::TOO_MANY_REQUESTS, Some(retry)),
        Refusal::Failed(store::Failure::Unanswered) => return Ok(abort_response(&mut ctx)),
        Refusal::Failed(store::Failure::Conflict) => (StatusCode::PRECONDITION_FAILED, None),
        Refusal::Failed(store::Failure::Compacted) => (StatusCode::GONE, None),
        Refusal::Failed(store::Failure::Invalid) => (StatusCode::BAD_REQUEST, None),
        Refusal::Failed(store::Failure::Unavailable { retry }) => {
            (StatusCode::SERVICE_UNAVAILABLE, retry)
        }
    };
    let mut response = ctx.as_response(body::ResponseBody::empty());
    *response.status_mut() = status;
    if status == StatusCode::NO_CONTENT {
        response = response.map(|_| body::ResponseBody::none());
    }
    if let Some(retry) = retry {
        let seconds = retry.0.as_millis().div_ceil(1000).max(1) as u64;
        let seconds = header::HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    Ok(response)
}

/// Returns a response whose body fails, which closes the connection.
fn abort_response(ctx: &mut Context<'_>) -> WebResponse {
    ctx.as_response(body::ResponseBody::boxed(FailingBody))
}

/// Body that fails before its first byte.
struct FailingBody;

impl body::Body for FailingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, io::Error>>> {
        task::Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::Exact(2)
    }
}
