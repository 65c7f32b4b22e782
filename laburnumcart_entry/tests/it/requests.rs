//! Tests of callers' requests over HTTP.

use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream, //
};

use laburnumcart::unit;

use crate::{
    agent,
    fixture, //
};

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

const BEARER: (&str, &str) = ("authorization", "Bearer token-1");

async fn start() -> (fixture::Fixture, std::net::SocketAddr, [agent::Running; 2]) {
    let pool = agent::start("pool", agent::Behaviour::default()).await;
    let behaviour = agent::Behaviour {
        pieces: ["one ", "two"].map(str::to_owned).to_vec(),
        ..agent::Behaviour::default()
    };
    let engine = agent::start("engine", behaviour).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr), ("engine", engine.addr)]).await;
    let addr = fixture.listen();
    (fixture, addr, [pool, engine])
}

#[tokio::test]
async fn answer_is_json_by_default() {
    let (_fixture, addr, agents) = start().await;
    let line = "POST /v1/pipelines/report";
    let headers = [BEARER, ("traceparent", PARENT)];
    let reply = fixture::http(addr, line, &headers, "{\"case\":7}").await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let answer: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(answer["output"], serde_json::json!({ "text": "one two" }));
    assert_eq!(answer["generation"], 1);
    assert_eq!(answer["stages"].as_array().unwrap().len(), 2);
    let calls = agents[1].fake.calls();
    let body: serde_json::Value = serde_json::from_str(calls[0].body.get()).unwrap();
    assert_eq!(body["input"], serde_json::json!({ "case": 7 }));
    assert_eq!(body["previous"]["encode"]["input"], body["input"]);
    assert_eq!(calls[0].traceparent.as_deref(), Some(PARENT));
    let page = fixture::http(addr, "GET /metrics", &[], "").await;
    for line in [
        "laburnum_entry_requests_total{team=\"araya\",pipeline=\"report\",ended=\"Whole\"} 1",
        "laburnum_entry_attempts_total{service=\"engine\",ended=\"Whole\"} 1",
        "laburnum_entry_stage_busy_seconds_total{service=\"pool\"} 0.001",
        "laburnum_entry_request_busy_seconds_total{stage=\"encode\",spent=\"Useful\"} 0.001",
        "laburnum_entry_team_busy_seconds_total{team=\"araya\"} 0.002",
    ] {
        assert!(page.body.contains(line), "{line} in {}", page.body);
    }
}

#[tokio::test]
async fn pieces_are_streamed_as_events() {
    let (_fixture, addr, _agents) = start().await;
    let headers = [BEARER, ("accept", "text/event-stream")];
    let reply = fixture::http(addr, "POST /v1/pipelines/report", &headers, "{}").await;
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
#[case::no_path("a/b", &[BEARER], "{}", 404, "unknown-pipeline")]
#[case::unknown("nothing", &[BEARER], "{}", 404, "unknown-pipeline")]
#[case::no_json("echo", &[BEARER], "{", 400, "invalid")]
#[case::no_key("post", &[BEARER], "{}", 400, "key-missing")]
#[case::once_no_key("echo", &[BEARER, ("x-idempotent", "false")], "{}", 400, "key-missing")]
#[case::late("echo", &[BEARER, ("x-deadline", "1h")], "{}", 413, "too-large")]
#[case::bad_deadline("echo", &[BEARER, ("x-deadline", "soon")], "{}", 400, "invalid")]
#[tokio::test]
async fn invalid_request_is_refused(
    #[case] pipeline: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let (_fixture, addr, agents) = start().await;
    let line = format!("POST /v1/pipelines/{pipeline}");
    let reply = fixture::http(addr, &line, headers, body).await;
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

// If the disconnect went unnoticed, the target would work on the request until its deadline.
#[rstest]
#[tokio::test]
async fn disconnect_cancels_an_idempotent_request(
    #[values("application/json", "text/event-stream")] accept: &str,
) {
    let behaviour = agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    };
    let pool = agent::start("pool", behaviour).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    let mut stream = TcpStream::connect(fixture.listen()).await.unwrap();
    let head = fixture::request_text(
        "POST /v1/pipelines/echo",
        &[BEARER, ("accept", accept)],
        "{}",
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    fixture::within_limit(pool.fake.wait_started(1)).await;
    // The entry writes nothing to this connection, so no write error shows that it is closed.
    drop(stream);
    fixture::within_limit(pool.fake.wait_cancelled()).await;
    fixture::within_limit(fixture.running.drain().wait(unit::Period(fixture::LIMIT))).await;
}

// A draining entry must refuse new requests as not run and complete the requests in flight.
#[tokio::test]
async fn leaving_finishes_first() {
    let behaviour = agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    };
    let pool = agent::start("pool", behaviour).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    let addr = fixture.listen();
    let ready = fixture::http(addr, "GET /readyz", &[], "").await;
    assert_eq!(ready.status, 200);
    let line = "POST /v1/pipelines/echo";
    let running = tokio::spawn(async move { fixture::http(addr, line, &[BEARER], "{}").await });
    fixture::within_limit(pool.fake.wait_started(1)).await;
    fixture.entry.leave();
    let draining = fixture.running.drain();
    assert_eq!(
        fixture::http(addr, "GET /readyz", &[], "").await.status,
        503
    );
    let refused = fixture::http(addr, line, &[BEARER], "{}").await;
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: 1"));
    assert!(refused.body.contains("\"not-run\"") && refused.body.contains("\"leaving\""));
    assert_eq!(draining.in_flight(), 1);
    pool.fake.gate.add_permits(9);
    let reply = fixture::within_limit(running).await.unwrap();
    assert_eq!(reply.status, 200);
    let stopped = draining.wait(unit::Period(fixture::LIMIT)).await;
    assert_eq!(stopped.unfinished, 0);
}

// A refusal that proves that nothing was executed is retried, also for a non-idempotent request.
#[tokio::test]
async fn not_run_is_retried() {
    let behaviour = agent::Behaviour {
        refuse: 3,
        ..agent::Behaviour::default()
    };
    let pool = agent::start("pool", behaviour).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    let (_, outcome) = fixture::collect(fixture.start_request("post", serde_json::json!(1))).await;
    assert_eq!(fixture::output(outcome)["post"]["input"], 1);
    assert_eq!(pool.fake.calls().len(), 1);
}

// A request whose target fails during execution may have run: only an idempotent one is retried.
#[rstest]
#[case::once("post", 1)]
#[case::again("echo", 2)]
#[tokio::test]
async fn failed_target(#[case] pipeline: &str, #[case] calls: usize) {
    let behaviour = agent::Behaviour {
        crash: 1,
        ..agent::Behaviour::default()
    };
    let pool = agent::start("pool", behaviour).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    let (_, outcome) =
        fixture::collect(fixture.start_request(pipeline, serde_json::json!(1))).await;
    assert_eq!(outcome.is_ok(), calls == 2);
    if let Err(refusal) = outcome {
        assert_eq!(refusal.verdict, laburnumcart::verdict::Verdict::MayHaveRun);
        assert!(refusal.retry.is_some());
    }
    assert_eq!(pool.fake.calls().len(), calls);
}

// Prefix caches of engines are small: each prefix must stay at one engine, and all engines be used.
#[tokio::test]
async fn requests_with_one_prefix_go_to_one_engine() {
    let pool = agent::start("pool", agent::Behaviour::default()).await;
    let behaviour = agent::Behaviour {
        pieces: vec!["one".to_owned()],
        ..agent::Behaviour::default()
    };
    let engines = [
        agent::start("engine", behaviour.clone()).await,
        agent::start("engine", behaviour.clone()).await,
        agent::start("engine", behaviour).await,
    ];
    let mut agents = vec![("pool", pool.addr)];
    agents.extend(engines.iter().map(|engine| ("engine", engine.addr)));
    let fixture = fixture::Fixture::start(&agents).await;
    // Each engine has room, as the requests are sent one at a time.
    for prefix in 0..64 {
        for n in 0..2 {
            let input = serde_json::json!({ "prefix": format!("terms {prefix}"), "n": n });
            let (_, outcome) = fixture::collect(fixture.start_request("report", input)).await;
            assert!(outcome.is_ok());
        }
    }
    let mut seen = std::collections::HashSet::new();
    for engine in &engines {
        let calls = engine.fake.calls();
        assert!(!calls.is_empty(), "an engine without a prefix");
        let prefix = |call: &laburnumcart_wire::stage::Call| {
            let body: serde_json::Value = serde_json::from_str(call.body.get()).unwrap();
            body["input"]["prefix"].as_str().unwrap().to_owned()
        };
        let own: std::collections::HashSet<_> = calls.iter().map(prefix).collect();
        assert!(own.is_disjoint(&seen), "a prefix at two engines");
        seen.extend(own);
    }
}

// Without the refusals of admission control, operators would see an objective as met that is not.
#[tokio::test]
async fn refusals_at_admission_count_for_the_team() {
    let (fixture, addr, _agents) = start().await;
    let rules = fixture.entry.view.load().rules.clone().unwrap();
    let unchecked = laburnumcart_entry::request::Unchecked {
        pipeline: "report".to_owned(),
        token: Some(fixture::TOKEN.to_owned()),
        ..Default::default()
    };
    let now = tokio::time::Instant::now();
    let head = laburnumcart_entry::request::Head::check(unchecked, rules.clone(), now).unwrap();
    let slow = std::time::Duration::from_secs(60);
    for _ in 0..30 {
        let stage = &head.definition().stages[0].name;
        fixture
            .entry
            .policy
            .record_duration(&head, stage, slow, slow);
    }
    let reply = fixture::http(addr, "POST /v1/pipelines/report", &[BEARER], "{}").await;
    assert!(reply.body.contains("deadline-too-short"), "{}", reply.body);
    fixture.entry.metrics.cost.set_shares(&rules.bundle);
    let page = fixture::http(addr, "GET /metrics", &[], "").await;
    for line in [
        "laburnum_entry_requests_total{team=\"araya\",pipeline=\"report\",ended=\"NotRun\"} 1",
        "laburnum_entry_team_share{team=\"araya\"} 1.0",
    ] {
        assert!(page.body.contains(line), "{line} in {}", page.body);
    }
}
