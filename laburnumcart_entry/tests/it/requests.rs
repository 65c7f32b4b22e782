//! Requests of callers over HTTP.

use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream, //
};

use laburnumcart::unit;

use crate::{
    agent,
    bench, //
};

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

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
    let headers = [BEARER, ("traceparent", PARENT)];
    let reply = bench::http(addr, line, &headers, "{\"case\":7}").await;
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
    let page = bench::http(addr, "GET /metrics", &[], "").await;
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
#[case::no_path("a/b", &[BEARER], "{}", 404, "unknown-pipeline")]
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

// The caller goes away while its idempotent request runs, so that nobody waits for the answer. The
// entry sees the closed connection although it is writing nothing, and cancels the attempt at the
// agent; else the target would work on it until the deadline.
#[rstest]
#[tokio::test]
async fn caller_gone_cancels(#[values("application/json", "text/event-stream")] accept: &str) {
    let plan = agent::Plan {
        gated: true,
        ..agent::Plan::default()
    };
    let pool = agent::start("pool", plan).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    let mut stream = TcpStream::connect(bench.listen()).await.unwrap();
    let head = bench::head(
        "POST /v1/pipelines/echo",
        &[BEARER, ("accept", accept)],
        "{}",
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    bench::within(pool.fake.called(1)).await;
    drop(stream);
    bench::within(pool.fake.cancelled()).await;
    bench::within(bench.running.drain().wait(unit::Period(bench::LIMIT))).await;
}

// The caller is refused as not run while the entry leaves, and told when to come again; the request
// that was in flight before ends whole, and only then is the entry drained.
#[tokio::test]
async fn leaving_finishes_first() {
    let plan = agent::Plan {
        gated: true,
        ..agent::Plan::default()
    };
    let pool = agent::start("pool", plan).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    let addr = bench.listen();
    let ready = bench::http(addr, "GET /readyz", &[], "").await;
    assert_eq!(ready.status, 200);
    let line = "POST /v1/pipelines/echo";
    let running = tokio::spawn(async move { bench::http(addr, line, &[BEARER], "{}").await });
    bench::within(pool.fake.called(1)).await;
    bench.entry.leave();
    let draining = bench.running.drain();
    assert_eq!(bench::http(addr, "GET /readyz", &[], "").await.status, 503);
    let refused = bench::http(addr, line, &[BEARER], "{}").await;
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: 1"));
    assert!(refused.body.contains("\"not-run\"") && refused.body.contains("\"leaving\""));
    assert_eq!(draining.in_flight(), 1);
    pool.fake.gate.add_permits(9);
    let reply = bench::within(running).await.unwrap();
    assert_eq!(reply.status, 200);
    let stopped = draining.wait(unit::Period(bench::LIMIT)).await;
    assert_eq!(stopped.unfinished, 0);
}

// The caller sees one answer although the first target refuses a few times: each refusal proves that
// nothing ran, so that the request is tried again at once, however often.
#[tokio::test]
async fn not_run_is_retried() {
    let plan = agent::Plan {
        refuse: 3,
        ..agent::Plan::default()
    };
    let pool = agent::start("pool", plan).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    let (_, outcome) = bench::finish(bench.run("post", serde_json::json!(1))).await;
    assert_eq!(bench::output(outcome)["post"]["input"], 1);
    assert_eq!(pool.fake.calls().len(), 1);
}

// The caller of a non-idempotent request gets "may have run" when the target fails while executing;
// the caller of an idempotent one gets a whole answer from the next attempt.
#[rstest]
#[case::once("post", 1)]
#[case::again("echo", 2)]
#[tokio::test]
async fn failed_target(#[case] pipeline: &str, #[case] calls: usize) {
    let plan = agent::Plan {
        crash: 1,
        ..agent::Plan::default()
    };
    let pool = agent::start("pool", plan).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    let (_, outcome) = bench::finish(bench.run(pipeline, serde_json::json!(1))).await;
    assert_eq!(outcome.is_ok(), calls == 2);
    if let Err(refusal) = outcome {
        assert_eq!(refusal.verdict, laburnumcart::verdict::Verdict::MayHaveRun);
        assert!(refusal.retry.is_some());
    }
    assert_eq!(pool.fake.calls().len(), calls);
}

// An engine reads a prompt faster whose prefix it has read before, and its memory holds few. Requests
// that share a prefix go to one engine while that has room, whoever sends them and in whatever order
// their fields are; other prefixes go to the others.
#[tokio::test]
async fn prefixes_keep_their_engine() {
    let pool = agent::start("pool", agent::Plan::default()).await;
    let plan = agent::Plan {
        pieces: vec!["one".to_owned()],
        ..agent::Plan::default()
    };
    let engines = [
        agent::start("engine", plan.clone()).await,
        agent::start("engine", plan.clone()).await,
        agent::start("engine", plan).await,
    ];
    let mut agents = vec![("pool", pool.addr)];
    agents.extend(engines.iter().map(|engine| ("engine", engine.addr)));
    let bench = bench::Bench::start(&agents).await;
    for prefix in 0..64 {
        for n in 0..2 {
            let input = serde_json::json!({ "prefix": format!("terms {prefix}"), "n": n });
            let (_, outcome) = bench::finish(bench.run("report", input)).await;
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

// A team asks for more than can be done in time, and is refused at the door, before anything ran. The
// team's attainment must show it, or the operators would see a promise kept that was not.
#[tokio::test]
async fn refusals_at_the_door_count_for_the_team() {
    let (bench, addr, _agents) = start().await;
    let rules = bench.entry.view.load().rules.clone().unwrap();
    let asked = laburnumcart_entry::request::Asked {
        pipeline: "report".to_owned(),
        token: Some(bench::TOKEN.to_owned()),
        ..Default::default()
    };
    let now = tokio::time::Instant::now();
    let head = laburnumcart_entry::request::Head::check(asked, rules.clone(), now).unwrap();
    let slow = std::time::Duration::from_secs(60);
    for _ in 0..30 {
        let stage = &head.stages().stages[0].name;
        bench.entry.policy.took(&head, stage, slow, slow);
    }
    let reply = bench::http(addr, "POST /v1/pipelines/report", &[BEARER], "{}").await;
    assert!(reply.body.contains("deadline-too-short"), "{}", reply.body);
    bench.entry.metrics.cost.promise(&rules.bundle);
    let page = bench::http(addr, "GET /metrics", &[], "").await;
    for line in [
        "laburnum_entry_requests_total{team=\"araya\",pipeline=\"report\",ended=\"NotRun\"} 1",
        "laburnum_entry_team_share{team=\"araya\"} 1.0",
    ] {
        assert!(page.body.contains(line), "{line} in {}", page.body);
    }
}
