//! HTTP calls of the target protocol and of the observer.

use std::sync;

use bytes::Bytes;
use laburnumcart::bundle;
use serde::Deserialize;
use serde_json::json;
use xitca_web::{
    body,
    handler::state::StateRef,
    http, //
};

use crate::target::{
    behaviour,
    core,
    engine,
    orders,
    pool, //
};

type Core = sync::Arc<core::Core>;
type Request = http::WebRequest<()>;
type Response = http::WebResponse;

/// Status of a call that was cancelled after its start.
const CANCELLED: u16 = 499;

pub(super) async fn run(
    StateRef(core): StateRef<'_, Core>,
    request: &Request,
    raw: Bytes,
) -> Response {
    core.thaw().await;
    let Some(call) = call(core, request, raw, bundle::Kind::Pool) else {
        return empty(400);
    };
    match pool::run(core, call).await {
        pool::End::Done(output) => json(200, &output),
        pool::End::Full | pool::End::CancelledQueued => unavailable(),
        pool::End::Cancelled => empty(CANCELLED),
        pool::End::Failed => empty(500),
    }
}

pub(super) async fn generate(
    StateRef(core): StateRef<'_, Core>,
    request: &Request,
    raw: Bytes,
) -> Response {
    core.thaw().await;
    let Some(call) = call(core, request, raw, bundle::Kind::Engine) else {
        return empty(400);
    };
    let sequence = match engine::start(core, call).await {
        Ok(sequence) => sequence,
        Err(engine::Refused::Received) => return empty(400),
        Err(engine::Refused::Full | engine::Refused::Cancelled) => return unavailable(),
        Err(engine::Refused::Failed) => return empty(500),
    };
    let events = body::StreamDataBody::new(Box::pin(sequence.events()));
    let mut response = Response::new(body::ResponseBody::boxed(events));
    let kind = http::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

#[derive(Deserialize)]
struct Cancel {
    attempt: String,
}

pub(super) async fn cancel(StateRef(core): StateRef<'_, Core>, raw: Bytes) -> Response {
    core.thaw().await;
    let Ok(cancel) = serde_json::from_slice::<Cancel>(&raw) else {
        return empty(400);
    };
    if let Some(call) = core.memory().calls.get(&cancel.attempt) {
        call.notify_one();
    }
    empty(204)
}

pub(super) async fn load(StateRef(core): StateRef<'_, Core>) -> Response {
    core.thaw().await;
    let load = core.gate().lagging();
    let lag = core.behaviour.borrow().load_lag;
    let age = lag.map_or(core.settings.load_lag, |lag| lag.0).as_millis() as u64;
    let load = json!({ "running": load.running, "queued": load.queued, "age_ms": age });
    json(200, &load)
}

pub(super) async fn state(StateRef(core): StateRef<'_, Core>) -> Response {
    core.thaw().await;
    let state = {
        let memory = core.memory();
        let number = memory.orders.applied();
        json!({
            "boot": format!("{:08x}", memory.boot),
            "models": memory.orders.models(),
            "term": number.term,
            "sequence": number.sequence,
        })
    };
    json(200, &state)
}

pub(super) async fn orders(StateRef(core): StateRef<'_, Core>, raw: Bytes) -> Response {
    core.thaw().await;
    let Ok(order) = serde_json::from_slice::<orders::Order>(&raw) else {
        return empty(400);
    };
    if core.memory().orders.accept(order.number).is_err() {
        return empty(409);
    }
    let period = core.behaviour.borrow().order_time;
    // An order that was accepted takes effect even if its sender goes away.
    let core = core.clone();
    let applied = tokio::task::spawn_local(async move {
        tokio::time::sleep(period.0).await;
        core.memory().orders.apply(order)
    });
    match applied.await {
        Ok(Ok(())) => empty(200),
        _ => empty(409),
    }
}

pub(super) async fn cache(StateRef(core): StateRef<'_, Core>, request: &Request) -> Response {
    core.thaw().await;
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let after = pairs.find(|(name, _)| *name == "after");
    let Ok(after) = after.map_or(Ok(0), |(_, number)| number.parse()) else {
        return empty(400);
    };
    let events = core.memory().cache.events(after);
    json(200, &json!({ "events": events }))
}

pub(super) async fn health(StateRef(core): StateRef<'_, Core>) -> Response {
    core.thaw().await;
    empty(200)
}

pub(super) async fn executions(StateRef(core): StateRef<'_, Core>) -> Response {
    json(200, core.ledger.lock().unwrap().executions())
}

pub(super) async fn cost(StateRef(core): StateRef<'_, Core>) -> Response {
    json(200, &core.ledger.lock().unwrap().cost())
}

pub(super) async fn pending(StateRef(core): StateRef<'_, Core>) -> Response {
    let pending = core.memory().orders.pending();
    json(200, &json!({ "pending": pending }))
}

pub(super) async fn reset(StateRef(core): StateRef<'_, Core>) -> Response {
    core.ledger.lock().unwrap().clear();
    empty(204)
}

pub(super) async fn behave(StateRef(core): StateRef<'_, Core>, raw: Bytes) -> Response {
    let Ok(change) = serde_json::from_slice::<behaviour::Change>(&raw) else {
        return empty(400);
    };
    core.behave(change);
    json(200, &*core.behaviour.borrow())
}

/// Reads a call, `None` if it is malformed or meant for a target of another kind.
fn call(core: &Core, request: &Request, raw: Bytes, kind: bundle::Kind) -> Option<engine::Call> {
    if core.settings.kind != kind {
        return None;
    }
    let header = |name| request.headers().get(name)?.to_str().ok();
    Some(engine::Call {
        request: header("x-request-id")?.into(),
        attempt: header("x-attempt-id")?.into(),
        idempotent: header("x-idempotent") != Some("false"),
        rank: match header("x-priority") {
            Some("high") => 0,
            Some("low") => 2,
            _ => 1,
        },
        traceparent: header("traceparent").map(str::to_owned),
        body: serde_json::from_slice(&raw).ok()?,
        raw,
    })
}

fn empty(status: u16) -> Response {
    let mut response = Response::new(body::ResponseBody::empty());
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap();
    response
}

fn unavailable() -> Response {
    let mut response = empty(503);
    let second = http::HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, second);
    response
}

fn json(status: u16, value: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(value).unwrap();
    let mut response = Response::new(body::ResponseBody::bytes(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap();
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}
