//! Reports of the load tool, against a scripted entry and against fake targets.

use std::{
    net,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use laburnumcart::bundle;
use laburnumcart_fakes::{
    expected,
    load::{
        cost,
        plan,
        report,
        run, //
    },
    target::{
        self,
        behaviour,
        ledger,
        settings, //
    },
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use xitca_web::{
    App,
    body::ResponseBody,
    handler::{
        handler_service,
        state::StateRef, //
    },
    http,
    route::post, //
};

/// Counts of the answers that the scripted entry gave.
#[derive(Debug, Default)]
struct AnswerCounts {
    right: u64,
    wrong: u64,
    refused: u64,
    cut: u64,
    events: u64,
    keys: Vec<String>,
}

type Shared = Arc<Mutex<AnswerCounts>>;

/// Answers every eighth request with a wrong output, refuses another and cuts off another's stream.
async fn answer(
    StateRef(counts): StateRef<'_, Shared>,
    request: &http::WebRequest<()>,
    raw: Bytes,
) -> http::WebResponse {
    let mut counts = counts.lock().unwrap();
    let body: Value = serde_json::from_slice(&raw).unwrap();
    assert_eq!(request.headers()["authorization"], "Bearer secret");
    if let Some(key) = request.headers().get("idempotency-key") {
        assert_eq!(request.headers()["x-idempotent"], "false");
        counts.keys.push(key.to_str().unwrap().into());
    }
    let events = request.headers().contains_key("accept");
    counts.events += u64::from(events);
    let encoded = expected::pool_output("encode", &body, &Value::Null);
    let output = expected::engine_output("generate", &body, &encoded, 3);
    let text = output["text"].as_str().unwrap();
    let response = json!({ "request": "r", "generation": 1, "output": output, "stages": [] });
    match body["n"].as_u64().unwrap() % 8 {
        0 => {
            counts.wrong += 1;
            let other = json!({ "request": "r", "output": { "text": "another" } });
            respond(events, "another", &other)
        }
        1 => {
            counts.refused += 1;
            let problem = json!({
                "type": "about:blank",
                "status": 503,
                "verdict": "not-run",
                "reason": "overloaded",
                "retry_after_ms": 1,
            });
            if events {
                return stream(format!("event: error\ndata: {problem}\n\n"));
            }
            let mut response = http::WebResponse::new(ResponseBody::bytes(problem.to_string()));
            *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            response
        }
        2 if events => {
            counts.cut += 1;
            stream("event: chunk\ndata: {\"text\":\"x\"}\n\n".into())
        }
        _ => {
            counts.right += 1;
            respond(events, text, &response)
        }
    }
}

fn respond(events: bool, text: &str, response: &Value) -> http::WebResponse {
    if !events {
        return http::WebResponse::new(ResponseBody::bytes(response.to_string()));
    }
    let chunk = json!({ "text": text });
    stream(format!(
        "event: chunk\ndata: {chunk}\n\nevent: end\ndata: {response}\n\n"
    ))
}

fn stream(text: String) -> http::WebResponse {
    http::WebResponse::new(ResponseBody::bytes(text))
}

/// Starts the scripted entry on threads that run until the test process ends.
fn start_entry(counts: &Shared) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = App::new()
        .with_state(counts.clone())
        .at("/v1/pipelines/{name}", post(handler_service(answer)))
        .serve()
        .worker_threads(1)
        .disable_signal()
        .listen(listener)
        .unwrap()
        .run();
    std::thread::spawn(move || server.wait());
    address
}

fn plan(entries: &[net::SocketAddr], targets: Value) -> plan::Plan {
    let value = json!({
        "entries": entries,
        "teams": {"clinic": {"token": "secret", "streams": [{
            "pipeline": "check",
            "rate": "150/s",
            "deadline": "30s",
            "events": "50%",
            "single": "20%",
        }]}},
        "pipelines": {"check": {"idempotent": true, "stages": [
            {"name": "encode", "service": "encoders"},
            {"name": "generate", "service": "engines"},
        ]}},
        "services": targets,
    });
    let plan: plan::Plan = serde_json::from_value(value).unwrap();
    assert_eq!(plan.validate(), Vec::<String>::new());
    plan
}

fn services(pools: &[&target::Target], engines: &[&target::Target]) -> Value {
    let list = |targets: &[&target::Target]| {
        let named = targets.iter().enumerate();
        let named = named.map(|(n, target)| (format!("t{n}"), json!(target.address())));
        Value::Object(named.collect())
    };
    json!({
        "encoders": {"kind": "pool", "targets": list(pools)},
        "engines": {"kind": "engine", "tokens": 3, "targets": list(engines)},
    })
}

fn start_target(kind: bundle::Kind) -> target::Target {
    let address = "127.0.0.1:0".parse().unwrap();
    let mut settings = settings::Settings::new("t".parse().unwrap(), kind, address);
    settings.service_time = Duration::from_millis(1);
    settings.token_time = Duration::from_millis(1);
    settings.prefill_time = Duration::from_millis(1);
    settings.slots = 64;
    settings.queue_limit = 1000;
    settings.tokens = 3;
    target::start(settings).unwrap()
}

fn one_second(route: run::Route) -> run::Settings {
    run::Settings {
        route,
        duration: Duration::from_secs(1),
        ..Default::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn report_counts_what_the_entry_did() {
    let counts = Shared::default();
    let plan = plan(&[start_entry(&counts)], services(&[], &[]));
    let report = run::run_load(plan, one_second(run::Route::System)).await;
    let counts = counts.lock().unwrap();
    let all = &report.all;
    assert!(counts.right > 0 && counts.wrong > 0 && counts.refused > 0 && counts.cut > 0);
    assert_eq!(all.attained, counts.right);
    assert_eq!(all.wrong, counts.wrong);
    assert_eq!(all.refusals(), counts.refused);
    assert_eq!(all.refused["not-run overloaded"], counts.refused);
    assert_eq!(all.lost, counts.cut);
    let sum = counts.right + counts.wrong + counts.refused + counts.cut;
    assert_eq!(all.offered, sum);
    assert_eq!(all.resent, 0);
    assert_eq!(
        report.teams[&"clinic".parse().unwrap()].attained,
        counts.right
    );
    assert_eq!(all.attainment, counts.right as f64 / sum as f64);
    // The shares in the plan are drawn at random, so the test only requires that both kinds occur.
    assert!(counts.events > 0 && counts.events < sum);
    assert!(!counts.keys.is_empty() && (counts.keys.len() as u64) < sum);
}

// A resend under a new idempotency key could execute a request twice.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_resent_with_its_idempotency_key() {
    let counts = Shared::default();
    let mut plan = plan(&[start_entry(&counts)], services(&[], &[]));
    let team = plan.teams.values_mut().next().unwrap();
    team.streams[0].deadline = "200ms".parse().unwrap();
    team.streams[0].single = "100%".parse().unwrap();
    team.streams[0].events = "0%".parse().unwrap();
    let mut settings = one_second(run::Route::System);
    settings.resend = true;
    let report = run::run_load(plan, settings).await;
    let counts = counts.lock().unwrap();
    assert!(report.all.resent > 0);
    assert_eq!(
        report.all.resent + report.all.offered,
        counts.keys.len() as u64
    );
    let mut keys = counts.keys.clone();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len() as u64, report.all.offered);
}

#[rstest]
#[case(run::Policy::RoundRobin)]
#[case(run::Policy::LeastLoaded)]
#[tokio::test(flavor = "multi_thread")]
async fn baseline_calls_targets_directly_and_reports_their_cost(#[case] policy: run::Policy) {
    let (pool, engine) = (
        start_target(bundle::Kind::Pool),
        start_target(bundle::Kind::Engine),
    );
    let plan = plan(&[], services(&[&pool], &[&engine]));
    let report = run::run_load(plan, one_second(run::Route::Baseline(policy))).await;
    let all = &report.all;
    assert!(all.offered > 0);
    assert_eq!((all.attained, all.wrong, all.lost), (all.offered, 0, 0));
    assert_eq!(report.cost.repeated, 0);
    assert!(report.cost.unreachable.is_empty());
    for stage in ["encode", "generate"] {
        let stage = &report.cost.stages[stage];
        assert_eq!(
            (stage.executions, stage.completed),
            (all.offered, all.offered)
        );
        assert!(stage.useful > 0.0);
        assert_eq!(stage.wasted, 0.0);
    }
}

// One of two targets fails every call halfway, so a retry repeats an execution that had started.
#[tokio::test(flavor = "multi_thread")]
async fn blind_retries_execute_non_idempotent_requests_twice() {
    let pools = [
        start_target(bundle::Kind::Pool),
        start_target(bundle::Kind::Pool),
    ];
    let engine = start_target(bundle::Kind::Engine);
    let mut plan = plan(&[], services(&[&pools[0], &pools[1]], &[&engine]));
    let team = plan.teams.values_mut().next().unwrap();
    team.streams[0].single = "100%".parse().unwrap();
    plan.faults.push(plan::Fault {
        at: "0s".parse().unwrap(),
        targets: vec!["t1".parse().unwrap()],
        change: behaviour::Change {
            fail: Some(1.0),
            ..Default::default()
        },
    });
    // The engine is named t0, so that only the second pool fails.
    let route = |policy| one_second(run::Route::Baseline(policy));
    let round_robin = run::run_load(plan.clone(), route(run::Policy::RoundRobin)).await;
    assert!(round_robin.all.refusals() > 0);
    assert_eq!(round_robin.cost.repeated, 0);
    assert!(round_robin.cost.stages["encode"].wasted > 0.0);
    let blind = run::run_load(plan, route(run::Policy::LeastLoaded)).await;
    assert!(blind.all.attained > 0);
    assert!(blind.cost.repeated > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn comparison_reports_system_and_direct_latency() {
    let counts = Shared::default();
    let (pool, engine) = (
        start_target(bundle::Kind::Pool),
        start_target(bundle::Kind::Engine),
    );
    let plan = plan(&[start_entry(&counts)], services(&[&pool], &[&engine]));
    let report = run::run_load(plan, one_second(run::Route::Compare)).await;
    let [overhead] = report.overhead.as_slice() else {
        panic!("expected one pipeline length: {:?}", report.overhead);
    };
    assert_eq!(overhead.stages, 2);
    assert!(overhead.system.p50 > 0.0 && overhead.direct.p50 > 0.0);
    let per_stage = (overhead.system.p99 - overhead.direct.p99) / 2.0;
    assert_eq!(overhead.per_stage.p99, per_stage);
    // Requests sent directly to the targets do not count as requests to the system.
    let counts = counts.lock().unwrap();
    let sum = counts.right + counts.wrong + counts.refused + counts.cut;
    assert_eq!(report.all.offered, sum);
}

#[test]
fn cost_is_useful_once_for_each_completed_request() {
    let execution = |request: &str, outcome, idempotent| ledger::Execution {
        request: request.into(),
        attempt: "a".into(),
        stage: "s".into(),
        input: "i".into(),
        idempotent,
        outcome,
        busy: 1.0,
        traceparent: None,
        cached: request == "retried",
    };
    let executions = [
        execution("answered", ledger::Outcome::Done, true),
        execution("answered", ledger::Outcome::Done, true),
        execution("late", ledger::Outcome::Done, false),
        execution("late", ledger::Outcome::Crashed, false),
        execution("retried", ledger::Outcome::Failed, true),
        execution("retried", ledger::Outcome::Done, true),
    ];
    let completed = ["answered".into(), "retried".into()].into();
    let summary = cost::summarise(&executions, &completed);
    let stage = &summary.stages["s"];
    assert_eq!((stage.useful, stage.wasted), (2.0, 4.0));
    assert_eq!((stage.executions, stage.completed), (6, 2));
    assert_eq!(stage.cached, 2);
    assert_eq!(stage.per_request, 1.0);
    assert_eq!(summary.repeated, 1);
}

#[test]
fn late_answer_is_not_attained() {
    let sample = |millis| report::Sample {
        team: "clinic".parse().unwrap(),
        stages: 1,
        direct: false,
        non_idempotent: false,
        latency: Duration::from_millis(millis),
        deadline: Duration::from_millis(100),
        resent: 0,
        outcome: report::Outcome::Answered {
            request: format!("r{millis}"),
            correct: true,
        },
    };
    let mut report = report::Report::default();
    report.add(&sample(100), false);
    report.add(&sample(101), false);
    report.finish(1.0);
    assert_eq!((report.all.attained, report.all.late), (1, 1));
    assert_eq!(report.all.attainment, 0.5);
    assert!(report.completed().contains("r100"));
    assert!(!report.completed().contains("r101"));
}
