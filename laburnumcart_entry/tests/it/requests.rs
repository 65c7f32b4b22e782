//! Requests of callers over HTTP.

use rstest::rstest;

use crate::{
    agent,
    bench, //
};

const BEARER: (&str, &str) = ("authorization", "Bearer token-1");

async fn start() -> (bench::Bench, std::net::SocketAddr, [agent::Running; 2]) {
    let pool = agent::start("pool", agent::Plan::default()).await;
    let plan = agent::Plan {
        pieces: ["one ", "two"].map(str::to_owned).to_vec(),
        ..agent::Plan::default()
    };
    let engine = agent::start("engine", plan).await;
    let bench = bench::Bench::start(&[("pool", pool.addr), ("engine", engine.addr)]).await;
    let addr = bench.listen();
    (bench, addr, [pool, engine])
}

#[tokio::test]
async fn answers_json() {
    let (_bench, addr, agents) = start().await;
    let line = "POST /v1/pipelines/report";
    let reply = bench::http(addr, line, &[BEARER], "{\"case\":7}").await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let answer: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(answer["output"], serde_json::json!({ "text": "one two" }));
    assert_eq!(answer["generation"], 1);
    assert_eq!(answer["stages"].as_array().unwrap().len(), 2);
    let calls = agents[1].fake.calls();
    let body: serde_json::Value = serde_json::from_str(calls[0].body.get()).unwrap();
    assert_eq!(body["input"], serde_json::json!({ "case": 7 }));
    assert_eq!(body["previous"]["encode"]["input"], body["input"]);
}

#[tokio::test]
async fn streams_events() {
    let (_bench, addr, _agents) = start().await;
    let headers = [BEARER, ("accept", "text/event-stream")];
    let reply = bench::http(addr, "POST /v1/pipelines/report", &headers, "{}").await;
    assert_eq!(reply.status, 200);
    assert!(reply.head.contains("content-type: text/event-stream"));
    assert!(
        reply.body.contains("event: chunk\ndata: {\"text\":\"one "),
        "{}",
        reply.body
    );
    assert!(
        reply.body.contains("event: end\ndata: {\"request\""),
        "{}",
        reply.body
    );
}

#[rstest]
#[case::no_token("echo", &[], "{}", 401, "unauthorized")]
#[case::bad_token("echo", &[("authorization", "Bearer x")], "{}", 401, "unauthorized")]
#[case::unknown("nothing", &[BEARER], "{}", 404, "unknown-pipeline")]
#[case::no_json("echo", &[BEARER], "{", 400, "invalid")]
#[case::no_key("post", &[BEARER], "{}", 400, "key-missing")]
#[case::once_no_key("echo", &[BEARER, ("x-idempotent", "false")], "{}", 400, "key-missing")]
#[case::late("echo", &[BEARER, ("x-deadline", "1h")], "{}", 413, "too-large")]
#[case::bad_deadline("echo", &[BEARER, ("x-deadline", "soon")], "{}", 400, "invalid")]
#[tokio::test]
async fn refuses(
    #[case] pipeline: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let (_bench, addr, agents) = start().await;
    let line = format!("POST /v1/pipelines/{pipeline}");
    let reply = bench::http(addr, &line, headers, body).await;
    assert_eq!(reply.status, status, "{}", reply.body);
    assert!(
        reply
            .head
            .contains("content-type: application/problem+json")
    );
    let problem: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(problem["reason"], reason);
    assert_eq!(problem["verdict"], "not-run");
    assert!(agents.iter().all(|agent| agent.fake.calls().is_empty()));
}
