//! Handlers of the target protocol and of the admin pages.

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
    engine,
    orders,
    pool,
    state, //
};

type State = sync::Arc<state::State>;
type Request = http::WebRequest<()>;
type Response = http::WebResponse;

/// Status of a call that was cancelled after its start.
const STATUS_CANCELLED: u16 = 499;

pub(super) async fn run(
    StateRef(state): StateRef<'_, State>,
    request: &Request,
    raw: Bytes,
) -> Response {
    state.wait_unfrozen().await;
    let Some(call) = parse_call(state, request, raw, bundle::Kind::Pool) else {
        return empty(400);
    };
    match pool::execute(state, call).await {
        pool::Outcome::Done(output) => json(200, &output),
        pool::Outcome::Full | pool::Outcome::CancelledInQueue => unavailable(),
        pool::Outcome::Cancelled => empty(STATUS_CANCELLED),
        pool::Outcome::Failed => empty(500),
    }
}

pub(super) async fn generate(
    StateRef(state): StateRef<'_, State>,
    request: &Request,
    raw: Bytes,
) -> Response {
    state.wait_unfrozen().await;
    let Some(call) = parse_call(state, request, raw, bundle::Kind::Engine) else {
        return empty(400);
    };
    let sequence = match engine::start_sequence(state, call).await {
        Ok(sequence) => sequence,
        Err(engine::Refusal::BadPrefix) => return empty(400),
        Err(engine::Refusal::Full | engine::Refusal::Cancelled) => return unavailable(),
        Err(engine::Refusal::Failed) => return empty(500),
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

pub(super) async fn cancel(StateRef(state): StateRef<'_, State>, raw: Bytes) -> Response {
    state.wait_unfrozen().await;
    let Ok(cancel) = serde_json::from_slice::<Cancel>(&raw) else {
        return empty(400);
    };
    if let Some(call) = state.memory().calls.get(&cancel.attempt) {
        call.notify_one();
    }
    empty(204)
}

pub(super) async fn load(StateRef(state): StateRef<'_, State>) -> Response {
    state.wait_unfrozen().await;
    let load = state.slots().lagged_load();
    let lag = state.behaviour.borrow().load_lag;
    let age = lag.map_or(state.settings.load_lag, |lag| lag.0).as_millis() as u64;
    let load = json!({ "running": load.running, "queued": load.queued, "age_ms": age });
    json(200, &load)
}

pub(super) async fn state(StateRef(state): StateRef<'_, State>) -> Response {
    state.wait_unfrozen().await;
    let value = {
        let memory = state.memory();
        let number = memory.orders.applied();
        json!({
            "boot": format!("{:08x}", memory.incarnation),
            "models": memory.orders.models(),
            "term": number.term,
            "sequence": number.sequence,
        })
    };
    json(200, &value)
}

pub(super) async fn orders(StateRef(state): StateRef<'_, State>, raw: Bytes) -> Response {
    state.wait_unfrozen().await;
    let Ok(order) = serde_json::from_slice::<orders::Order>(&raw) else {
        return empty(400);
    };
    if state.memory().orders.accept(order.number).is_err() {
        return empty(409);
    }
    let delay = state.behaviour.borrow().order_delay;
    // An accepted order takes effect even if its sender disconnects.
    let state = state.clone();
    let applied = tokio::task::spawn_local(async move {
        tokio::time::sleep(delay.0).await;
        state.memory().orders.apply(order)
    });
    match applied.await {
        Ok(Ok(())) => empty(200),
        _ => empty(409),
    }
}

pub(super) async fn cache(StateRef(state): StateRef<'_, State>, request: &Request) -> Response {
    state.wait_unfrozen().await;
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let after = pairs.find(|(name, _)| *name == "after");
    let Ok(after) = after.map_or(Ok(0), |(_, number)| number.parse()) else {
        return empty(400);
    };
    let events = state.memory().cache.events(after);
    json(200, &json!({ "events": events }))
}

pub(super) async fn health(StateRef(state): StateRef<'_, State>) -> Response {
    state.wait_unfrozen().await;
    empty(200)
}

pub(super) async fn executions(StateRef(state): StateRef<'_, State>) -> Response {
    json(200, state.ledger.lock().unwrap().executions())
}

pub(super) async fn cost(StateRef(state): StateRef<'_, State>) -> Response {
    json(200, &state.ledger.lock().unwrap().cost())
}

pub(super) async fn pending(StateRef(state): StateRef<'_, State>) -> Response {
    let pending = state.memory().orders.pending();
    json(200, &json!({ "pending": pending }))
}

pub(super) async fn reset(StateRef(state): StateRef<'_, State>) -> Response {
    state.ledger.lock().unwrap().clear();
    empty(204)
}

pub(super) async fn behave(StateRef(state): StateRef<'_, State>, raw: Bytes) -> Response {
    let Ok(change) = serde_json::from_slice::<behaviour::Change>(&raw) else {
        return empty(400);
    };
    state.apply_change(change);
    json(200, &*state.behaviour.borrow())
}

/// Parses a call; `None` if it is malformed or for a target of another kind.
fn parse_call(
    state: &State,
    request: &Request,
    raw: Bytes,
    kind: bundle::Kind,
) -> Option<engine::Call> {
    if state.settings.kind != kind {
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
