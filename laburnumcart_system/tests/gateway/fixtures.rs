//! Fixtures: scripted targets with additional response headers, and callers that load them.

use std::sync::{
    Arc,
    Mutex,
    OnceLock, //
};

use http::{
    HeaderMap,
    StatusCode, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::Instant;

use crate::{
    stages,
    support::{
        System,
        chunk,
        config,
        events,
        response,
        stream_end,
        stream_head,
        success, //
    },
};

/// Times at which a target received requests.
pub(crate) type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Script of a target: returns the response to a request, with additional header lines.
pub(crate) type Script = fn(&ReceivedRequest, &str) -> Vec<Step>;

/// Starts a target that passes `headers` to its script and records when requests arrive.
pub(crate) async fn start_target(
    headers: impl Into<String>,
    script: impl Fn(&ReceivedRequest, &str) -> Vec<Step> + Send + Sync + 'static,
) -> (Target, Arrivals) {
    let arrivals = Arrivals::default();
    let shared = arrivals.clone();
    let headers = headers.into();
    let target = Target::start(move |seen, _| {
        shared.lock().unwrap().push(Instant::now());
        script(seen, &headers)
    });
    (target.await.unwrap(), arrivals)
}

/// Returns the steps that send a whole stream with additional headers.
pub(crate) fn full_stream(seen: &ReceivedRequest, headers: &str) -> Vec<Step> {
    let Step::Send(head) = stream_head(seen) else {
        unreachable!("the head is a `Send` step");
    };
    let head = String::from_utf8(head).unwrap();
    let head = head.replace("content-type", &format!("{headers}content-type"));
    let head = Step::Send(head.into_bytes());
    vec![head, chunk(&events(1..=3)), stream_end()]
}

/// Returns the step that sends a whole response with additional headers.
pub(crate) fn full_response(seen: &ReceivedRequest, headers: &str) -> Vec<Step> {
    let extra = format!("x-laburnumcart-server-stamp: s\r\n{headers}");
    vec![response(seen, "200 OK", &extra, "done")]
}

/// Returns the step that sends a server error, after which idempotent requests are retried.
pub(crate) fn server_error(seen: &ReceivedRequest, headers: &str) -> Vec<Step> {
    vec![response(seen, "500 Internal Server Error", headers, "")]
}

/// Returns the steps that send the start of a stream and reset the connection.
pub(crate) fn broken_stream(seen: &ReceivedRequest, headers: &str) -> Vec<Step> {
    let mut steps = full_stream(seen, headers);
    steps.truncate(1);
    steps.extend([chunk(&events(1..=1)), Step::Reset]);
    steps
}

/// Starts a target that executes stages and stores their results, with additional headers in all
/// responses.
pub(crate) async fn start_stage_target(headers: impl Into<String>) -> (Target, Arrivals) {
    let own_addr = Arc::new(OnceLock::<String>::new());
    // The address is known only after the start; results are stored at the target itself.
    let result_addr = own_addr.clone();
    let script = move |seen: &ReceivedRequest, headers: &str| {
        let response = match seen.path() {
            "/api/stage-run" => stages::stage_results_at(seen, result_addr.get().unwrap()),
            "/api/stage-free" => success(seen, ""),
            _ => return full_response(seen, headers),
        };
        let Step::Send(response) = response else {
            unreachable!("the response is a `Send` step");
        };
        let response = String::from_utf8(response).unwrap();
        let response = response.replacen("\r\n", &format!("\r\n{headers}"), 1);
        vec![Step::Send(response.into_bytes())]
    };
    let (target, arrivals) = start_target(headers, script).await;
    own_addr.set(target.addr().to_string()).unwrap();
    (target, arrivals)
}

/// Returns a configuration whose first service consists of model engines.
pub(crate) fn engine_config() -> Value {
    config(|c| {
        c["services"][0]["engine"] = json!({ "slots": 64, "kv_cache_tokens": 400_000 });
    })
}

/// Sets the headers that describe the prompt of a request for an engine.
pub(crate) fn set_prompt(headers: &mut HeaderMap) {
    headers.insert("x-laburnumcart-model", "m".parse().unwrap());
    headers.insert("x-laburnumcart-token-usage", "100,10".parse().unwrap());
    headers.insert("x-laburnumcart-prompt-prefix", "a:80,b:20".parse().unwrap());
}

/// Sends `calls` requests to each gateway, in sequence at each one; all must be served.
pub(crate) async fn call_in_sequence(gateways: &[&System], path: &str, calls: usize) {
    let each = gateways.iter().map(|gateway| async move {
        for _ in 0..calls {
            let response = gateway.call(path, set_prompt).await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
        }
    });
    futures_util::future::join_all(each).await;
}

/// Sends `calls` concurrent requests with stages to each gateway; they may be refused.
pub(crate) async fn call_concurrently(gateways: &[&System], calls: usize) -> Vec<StatusCode> {
    let each = gateways.iter();
    let each = each.flat_map(|gateway| (0..calls).map(|_| stages::call_staged(gateway)));
    futures_util::future::join_all(each).await
}
