//! A bundle whose pipelines generate text on one service of engines, for tests of failures.

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

/// One stage; a request may execute more than once.
pub const IDEMPOTENT: &str = "draft-letter";

/// One stage; a request executes at most once.
pub const NON_IDEMPOTENT: &str = "send-letter";

/// The service of both.
pub const SERVICE: &str = "case-model";

/// Name of the stage.
const STAGE: &str = "write";

/// Returns the service with its stand-ins; the first piece of text takes `prefill`, each 10 ms.
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

/// Returns the bundle, with a deadline for all requests.
pub fn bundle(deadline: &str) -> Value {
    let promise = json!({"deadline": deadline, "priority": "normal"});
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
                "pipelines": {IDEMPOTENT: promise, NON_IDEMPOTENT: promise},
                "queue_limit": 1000,
            },
        },
        "claims": {"retention": "10m", "shards": 2},
        "limits": {"retry_ratio": "100%"},
    })
}

/// One request of a caller, different from all others.
#[derive(Clone, Debug)]
pub struct TextRequest {
    entry: usize,
    pipeline: &'static str,
    body: Value,
    key: String,
    events: bool,
    /// What its answer must be.
    pub expected: Value,
}

/// Makes targets slow by a factor, so that they finish nothing before a fault; 1 ends that.
pub async fn slow_targets(fleet: &fleet::Fleet, factor: f64) {
    for node in 0..fleet.nodes.len() {
        fleet
            .set_target_behaviour(node, &json!({"slow": factor}))
            .await;
    }
}

impl TextRequest {
    /// Describes a request for `tokens` pieces of text; `name` makes it unlike all others.
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

    /// Sets the entry to send it to.
    #[must_use]
    pub fn entry(mut self, entry: usize) -> Self {
        self.entry = entry;
        self
    }

    /// Asks for a stream of events.
    #[must_use]
    pub fn events(mut self, events: bool) -> Self {
        self.events = events;
        self
    }

    /// Sends it and returns the reply.
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

/// Describes `count` requests of each pipeline, spread over entries, as JSON and as events.
pub fn mixed_requests(name: &str, count: usize, tokens: u32, entries: usize) -> Vec<TextRequest> {
    let letter = |number: usize| {
        let pipeline = [IDEMPOTENT, NON_IDEMPOTENT][number % 2];
        TextRequest::new(pipeline, &format!("{name}-{number}"), tokens)
            .entry(number / 2 % entries)
            .events(number / 2 / entries % 2 == 1)
    };
    (0..2 * count).map(letter).collect()
}

/// Sends all at once and returns the replies in order.
pub async fn send_all(fleet: &fleet::Fleet, letters: &[TextRequest]) -> Vec<reply::Reply> {
    future::join_all(letters.iter().map(|letter| letter.send(fleet))).await
}

/// Checks the replies to letters against the targets' records.
///
/// # Panics
///
/// Panics as [`reply::check_replies`] does.
pub fn check_replies(letters: &[TextRequest], replies: &[reply::Reply], rows: &[Value]) {
    let expected = letters.iter().map(|letter| &letter.expected);
    reply::check_replies(replies.iter().zip(expected), rows);
}

/// Checks that fresh requests of both pipelines succeed at once through the first `entries`.
///
/// # Panics
///
/// Panics when one does not.
pub async fn check_serving(fleet: &fleet::Fleet, name: &str, entries: usize) {
    let fresh = mixed_requests(name, 2 * entries, 5, entries);
    let replies = send_all(fleet, &fresh).await;
    check_replies(&fresh, &replies, &fleet.service_executions(SERVICE).await);
    let whole = replies.iter().all(reply::Reply::is_complete);
    assert!(whole, "{name}: {}", reply::summarize(&replies));
}

/// Waits until fresh requests of both pipelines succeed through the first `entries`.
///
/// # Panics
///
/// Panics when they do not within the limit, or get what [`reply::check_replies`] does not accept.
pub async fn wait_serving(fleet: &fleet::Fleet, name: &str, entries: usize) {
    let round = atomic::AtomicU32::new(0);
    wait::until("fresh requests to succeed", || async {
        let round = round.fetch_add(1, atomic::Ordering::Relaxed);
        let fresh = mixed_requests(&format!("{name}-{round}"), 2 * entries, 5, entries);
        let replies = send_all(fleet, &fresh).await;
        check_replies(&fresh, &replies, &fleet.service_executions(SERVICE).await);
        replies.iter().all(reply::Reply::is_complete).then_some(())
    })
    .await;
}

/// Waits until a target executes a request that executes at most once, and returns its number.
pub async fn wait_claimed_execution(fleet: &fleet::Fleet) -> usize {
    wait::until("an execution under a claim", || async {
        for node in 0..fleet.nodes.len() {
            let rows = fleet.target_executions(node).await;
            let runs = |row: &Value| row["idempotent"] == false && row["outcome"] == "running";
            if rows.iter().any(runs) {
                return Some(node);
            }
        }
        None
    })
    .await
}

/// Waits until each of some targets executes something.
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

/// Waits until every entry sends work to every target.
///
/// An entry is ready as soon as it has called all agents; that a target takes work it hears later.
pub async fn wait_all_targets_used(fleet: &fleet::Fleet) {
    let seen = sync::Mutex::new(collections::HashSet::new());
    wait::until("work on every way", || async {
        for entry in 0..fleet.entries.len() {
            let name = format!("spread-{entry}-{:x}", rand::random::<u32>());
            let count = 2 * fleet.nodes.len();
            let letters =
                (0..count).map(|n| TextRequest::new(IDEMPOTENT, &format!("{name}-{n}"), 1));
            let letters: Vec<_> = letters.map(|letter| letter.entry(entry)).collect();
            let replies = send_all(fleet, &letters).await;
            let requests: collections::HashSet<_> = replies
                .iter()
                .filter_map(reply::Reply::request_id)
                .collect();
            for node in 0..fleet.nodes.len() {
                let rows = fleet.target_executions(node).await;
                let ours = |row: &Value| {
                    row["request"]
                        .as_str()
                        .is_some_and(|r| requests.contains(r))
                };
                if rows.iter().any(ours) {
                    seen.lock().expect("no panic").insert((entry, node));
                }
            }
        }
        let ways = fleet.entries.len() * fleet.nodes.len();
        (seen.lock().expect("no panic").len() == ways).then_some(())
    })
    .await;
}
