//! Requests that generate text on one service of engines, for tests of failures.

use std::{
    collections,
    sync::{
        self,
        atomic, //
    },
};

use futures_util::future;
use laburnumcart_fakes::expected;
use serde_json::{
    Value,
    json, //
};

use crate::{
    fleet,
    reply,
    sample,
    wait, //
};

/// Idempotent pipeline: a request may execute more than once.
pub const IDEMPOTENT: &str = "draft-letter";

/// Non-idempotent pipeline: a request executes at most once.
pub const NON_IDEMPOTENT: &str = "send-letter";

/// Service that executes both pipelines.
pub const SERVICE: &str = "case-model";

/// The only stage of both pipelines.
const STAGE: &str = "write";

/// Returns the service with fake targets that prefill for `prefill` and then take 10 ms a token.
pub fn service(targets: usize, prefill: &'static str) -> fleet::Service {
    fleet::Service::new(SERVICE, "engine", targets).args(&[
        "--slots",
        "16",
        "--token-time",
        "10ms",
        "--prefill-time",
        prefill,
        "--spread",
        "0%",
    ])
}

/// Returns the bundle with one deadline for all requests.
pub fn bundle(deadline: &str) -> Value {
    let terms = json!({"deadline": deadline, "priority": "normal"});
    let stages = json!([{"name": STAGE, "service": SERVICE}]);
    json!({
        "format": 1,
        "title": "letters",
        "services": {SERVICE: {"kind": "engine"}},
        "pipelines": {
            IDEMPOTENT: {"stages": stages},
            NON_IDEMPOTENT: {"idempotent": false, "stages": stages},
        },
        "teams": {
            "clinic": {
                "tokens": [sample::token_digest(sample::CLINIC_TOKEN)],
                "weight": 1,
                "pipelines": {IDEMPOTENT: terms, NON_IDEMPOTENT: terms},
                "queue_limit": 1000,
            },
        },
        "claims": {"retention": "10m", "shards": 2},
        "limits": {"retry_ratio": "100%"},
    })
}

/// One request with a body and key of its own.
#[derive(Clone, Debug)]
pub struct TextRequest {
    entry: usize,
    pipeline: &'static str,
    body: Value,
    key: String,
    events: bool,
    /// Output that a complete response must hold.
    pub expected: Value,
}

/// Slows all targets down by a factor, so that no work ends before a fault; 1 restores the speed.
pub async fn slow_targets(fleet: &fleet::Fleet, factor: f64) {
    for node in 0..fleet.nodes.len() {
        fleet
            .set_target_behaviour(node, &json!({"slow": factor}))
            .await;
    }
}

impl TextRequest {
    /// Describes a request for `tokens` tokens; `name` must be unique.
    pub fn new(pipeline: &'static str, name: &str, tokens: u32) -> Self {
        let body = json!({"letter": name, "pipeline": pipeline, "tokens": tokens});
        Self {
            entry: 0,
            pipeline,
            expected: expected::engine_output(STAGE, &body, &Value::Null, tokens),
            body,
            key: format!("letter-{name}"),
            events: false,
        }
    }

    /// Sets the entry that the request goes to.
    #[must_use]
    pub fn entry(mut self, entry: usize) -> Self {
        self.entry = entry;
        self
    }

    /// Sets whether the response is a stream of events.
    #[must_use]
    pub fn events(mut self, events: bool) -> Self {
        self.events = events;
        self
    }

    /// Sends the request and returns the reply.
    pub async fn send(&self, fleet: &fleet::Fleet) -> reply::Reply {
        let mut call = fleet::Call::new(self.pipeline, sample::CLINIC_TOKEN, self.body.clone());
        if self.pipeline == NON_IDEMPOTENT {
            call = call.key(self.key.clone());
        }
        if self.events {
            call = call.events();
        }
        reply::Reply::from_response(fleet.call(self.entry, &call).await)
    }
}

/// Describes `count` requests of each pipeline, half of them streamed, spread over the entries.
pub fn mixed_requests(name: &str, count: usize, tokens: u32, entries: usize) -> Vec<TextRequest> {
    let request = |number: usize| {
        let pipeline = [IDEMPOTENT, NON_IDEMPOTENT][number % 2];
        TextRequest::new(pipeline, &format!("{name}-{number}"), tokens)
            .entry(number / 2 % entries)
            .events(number / 2 / entries % 2 == 1)
    };
    (0..2 * count).map(request).collect()
}

/// Sends all requests concurrently and returns the replies in order.
pub async fn send_all(fleet: &fleet::Fleet, requests: &[TextRequest]) -> Vec<reply::Reply> {
    future::join_all(requests.iter().map(|request| request.send(fleet))).await
}

/// Checks the replies against the executions that the targets recorded.
///
/// # Panics
///
/// Panics as [`reply::check_replies`] does.
pub fn check_replies(requests: &[TextRequest], replies: &[reply::Reply], rows: &[Value]) {
    let expected = requests.iter().map(|request| &request.expected);
    reply::check_replies(replies.iter().zip(expected), rows);
}

/// Checks that new requests of both pipelines succeed through the first `entries`.
///
/// # Panics
///
/// Panics when a request does not succeed on its first submission.
pub async fn check_serving(fleet: &fleet::Fleet, name: &str, entries: usize) {
    let requests = mixed_requests(name, 2 * entries, 5, entries);
    let replies = send_all(fleet, &requests).await;
    check_replies(
        &requests,
        &replies,
        &fleet.service_executions(SERVICE).await,
    );
    let all_complete = replies.iter().all(reply::Reply::is_complete);
    assert!(all_complete, "{name}: {}", reply::summarize(&replies));
}

/// Waits until new requests of both pipelines succeed through the first `entries`.
///
/// # Panics
///
/// Panics on a timeout, or when [`reply::check_replies`] rejects a reply.
pub async fn wait_serving(fleet: &fleet::Fleet, name: &str, entries: usize) {
    let round = atomic::AtomicU32::new(0);
    wait::until("new requests to succeed", || async {
        let round = round.fetch_add(1, atomic::Ordering::Relaxed);
        let requests = mixed_requests(&format!("{name}-{round}"), 2 * entries, 5, entries);
        let replies = send_all(fleet, &requests).await;
        check_replies(
            &requests,
            &replies,
            &fleet.service_executions(SERVICE).await,
        );
        replies.iter().all(reply::Reply::is_complete).then_some(())
    })
    .await;
}

/// Waits until a target executes a non-idempotent request, and returns the index of its node.
pub async fn wait_claimed_execution(fleet: &fleet::Fleet) -> usize {
    wait::until("an execution under a claim", || async {
        for node in 0..fleet.nodes.len() {
            let rows = fleet.target_executions(node).await;
            let is_running =
                |row: &Value| row["idempotent"] == false && row["outcome"] == "running";
            if rows.iter().any(is_running) {
                return Some(node);
            }
        }
        None
    })
    .await
}

/// Waits until each of the given targets executes a request.
pub async fn wait_executing(fleet: &fleet::Fleet, nodes: &[usize]) {
    wait::until("executions", || async {
        for node in nodes {
            let rows = fleet.target_executions(*node).await;
            if !rows.iter().any(|row| row["outcome"] == "running") {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Waits until every entry has dispatched work to every target.
///
/// An entry reports readiness once it is connected to all agents, but an agent may report later that
/// its target accepts work.
pub async fn wait_all_targets_used(fleet: &fleet::Fleet) {
    let seen = sync::Mutex::new(collections::HashSet::new());
    wait::until("work from every entry on every target", || async {
        for entry in 0..fleet.entries.len() {
            let name = format!("spread-{entry}-{:x}", rand::random::<u32>());
            let count = 2 * fleet.nodes.len();
            let requests =
                (0..count).map(|n| TextRequest::new(IDEMPOTENT, &format!("{name}-{n}"), 1));
            let requests: Vec<_> = requests.map(|request| request.entry(entry)).collect();
            let replies = send_all(fleet, &requests).await;
            let ids: collections::HashSet<_> = replies
                .iter()
                .filter_map(reply::Reply::request_id)
                .collect();
            for node in 0..fleet.nodes.len() {
                let rows = fleet.target_executions(node).await;
                let ours = |row: &Value| row["request"].as_str().is_some_and(|r| ids.contains(r));
                if rows.iter().any(ours) {
                    seen.lock().expect("no panic").insert((entry, node));
                }
            }
        }
        let pairs = fleet.entries.len() * fleet.nodes.len();
        (seen.lock().expect("no panic").len() == pairs).then_some(())
    })
    .await;
}
