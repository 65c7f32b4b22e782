//! Protocol of the fake targets.

use std::{
    sync::Arc,
    time::Duration, //
};

use laburnumcart::{
    balancer,
    bundle,
    unit, //
};
use laburnumcart_fakes::{
    client, expected,
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

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    target: target::Target,
    client: client::Client,
}

fn short_times(kind: bundle::Kind) -> settings::Settings {
    let address = "127.0.0.1:0".parse().unwrap();
    let mut settings = settings::Settings::new("t-1".parse().unwrap(), kind, address);
    settings.service_time = Duration::from_millis(1);
    settings.token_time = Duration::from_millis(1);
    settings.prefill_time = Duration::from_millis(1);
    settings.load_lag = Duration::ZERO;
    settings.cache_lag = Duration::ZERO;
    settings.restart_time = Duration::from_millis(50);
    settings
}

fn start_target(settings: settings::Settings) -> Fixture {
    Fixture {
        target: target::start(settings).unwrap(),
        client: client::Client::default(),
    }
}

impl Fixture {
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.target.address())
    }

    async fn post(&self, path: &str, body: Value) -> client::Response {
        let url = self.url(path);
        let answer = self.client.post(&url, &[], body.to_string()).await;
        answer.unwrap()
    }

    async fn get(&self, path: &str) -> Value {
        let answer = self.client.get(&self.url(path)).await.unwrap();
        assert_eq!(answer.status, 200);
        answer.json().unwrap()
    }

    async fn call(
        &self,
        path: &str,
        attempt: &str,
        body: Value,
    ) -> Result<client::Response, client::CallError> {
        let headers = [
            ("x-request-id", "r1"),
            ("x-attempt-id", attempt),
            ("x-idempotent", "false"),
        ];
        let url = self.url(path);
        self.client.post(&url, &headers, body.to_string()).await
    }

    async fn behave(&self, change: behaviour::Change) {
        let answer = self.post("/admin/behave", json!(change)).await;
        assert_eq!(answer.status, 200);
    }

    async fn executions(&self) -> Vec<ledger::Execution> {
        let record = self.get("/admin/executions").await;
        serde_json::from_value::<ledger::Executions>(record)
            .unwrap()
            .executions
    }

    /// Waits until the executions meet a condition.
    async fn wait_executions(&self, condition: impl Fn(&[ledger::Execution]) -> bool) {
        let wait = async {
            while !condition(&self.executions().await) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait).await.unwrap();
    }

    async fn state(&self) -> Result<Value, client::CallError> {
        let answer = self.client.get(&self.url("/v1/state")).await?;
        Ok(answer.json().unwrap())
    }
}

fn body(input: Value) -> Value {
    json!({ "stage": "s", "input": input, "previous": null })
}

fn outcomes(executions: &[ledger::Execution]) -> Vec<ledger::Outcome> {
    executions.iter().map(|e| e.outcome).collect()
}

#[tokio::test]
async fn pool_output_depends_on_the_body_and_executions_are_recorded() {
    let fixture = start_target(short_times(bundle::Kind::Pool));
    for n in 0..3 {
        let input = json!({ "n": n });
        let answer = fixture
            .call("/v1/run", "a", body(input.clone()))
            .await
            .unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(
            answer.json(),
            Some(expected::pool_output("s", &input, &Value::Null))
        );
    }
    let executions = fixture.executions().await;
    assert_eq!(outcomes(&executions), [ledger::Outcome::Done; 3]);
    assert_eq!(executions[0].request, "r1");
    assert!(!executions[0].idempotent);
    let cost: ledger::Cost = serde_json::from_value(fixture.get("/admin/cost").await).unwrap();
    assert_eq!(cost.repeated, 2);
    assert_eq!(cost.stages["s"].executions, 3);
    assert!(cost.stages["s"].done > 0.0 && cost.stages["s"].wasted > 0.0);
}

#[tokio::test]
async fn engine_streams_its_text_and_an_end_event() {
    let fixture = start_target(short_times(bundle::Kind::Engine));
    let input = json!({ "tokens": 7 });
    let answer = fixture
        .call("/v1/generate", "a", body(input.clone()))
        .await
        .unwrap();
    let text = expected::engine_text("s", &input, &Value::Null, 7);
    assert_eq!(client::join_stream(&answer.body), Some(text));
    let events = client::parse_events(std::str::from_utf8(&answer.body).unwrap());
    assert_eq!(events.len(), 8);
    assert_eq!(events[7].data, r#"{"tokens":7}"#);
}

#[rstest]
#[case::nothing(0)]
#[case::whole_pieces(16)]
#[case::within_a_piece(19)]
#[case::all(usize::MAX)]
#[tokio::test]
async fn engine_resumes_after_the_received_text(#[case] length: usize) {
    let fixture = start_target(short_times(bundle::Kind::Engine));
    let input = json!({ "tokens": 5 });
    let text = expected::engine_text("s", &input, &Value::Null, 5);
    let (received, rest) = text.split_at(length.min(text.len()));
    let mut call = body(input);
    call["received"] = received.into();
    let answer = fixture.call("/v1/generate", "a", call).await.unwrap();
    assert_eq!(client::join_stream(&answer.body).as_deref(), Some(rest));
}

#[tokio::test]
async fn malformed_calls_are_refused_and_not_recorded() {
    let fixture = start_target(short_times(bundle::Kind::Engine));
    let mut other = body(json!({}));
    other["received"] = "another text".into();
    for (path, call) in [
        ("/v1/generate", other),
        ("/v1/generate", json!({ "input": 1 })),
        ("/v1/run", body(json!({}))),
    ] {
        let answer = fixture.call(path, "a", call).await.unwrap();
        assert_eq!(answer.status, 400);
    }
    let bare = fixture.post("/v1/generate", body(json!({}))).await;
    assert_eq!(bare.status, 400);
    assert!(fixture.executions().await.is_empty());
}

#[tokio::test]
async fn full_queue_refuses_calls_and_load_is_reported() {
    let mut settings = short_times(bundle::Kind::Pool);
    settings.slots = 1;
    settings.queue_limit = 1;
    let fixture = start_target(settings);
    let frozen = behaviour::Change {
        slow: Some(1e6),
        ..Default::default()
    };
    fixture.behave(frozen).await;
    let fixture = Arc::new(fixture);
    let run = |attempt: &'static str| {
        let fixture = fixture.clone();
        tokio::spawn(async move { fixture.call("/v1/run", attempt, body(json!({}))).await })
    };
    let wait = async |running: u64, queued: u64| {
        let wait = async {
            loop {
                let load = fixture.get("/v1/load").await;
                if load["running"] == running && load["queued"] == queued {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait).await.unwrap();
    };
    let first = run("a1");
    wait(1, 0).await;
    let second = run("a2");
    wait(1, 1).await;
    let third = fixture
        .call("/v1/run", "a3", body(json!({})))
        .await
        .unwrap();
    assert_eq!((third.status, third.retry_after), (503, Some(1)));
    // A call cancelled in the queue has not run; one cancelled in its slot may have run.
    fixture.post("/v1/cancel", json!({ "attempt": "a2" })).await;
    assert_eq!(second.await.unwrap().unwrap().status, 503);
    fixture.post("/v1/cancel", json!({ "attempt": "a1" })).await;
    assert_eq!(first.await.unwrap().unwrap().status, 499);
    wait(0, 0).await;
    let executions = fixture.executions().await;
    assert_eq!(outcomes(&executions), [ledger::Outcome::Cancelled]);
}

#[tokio::test]
async fn cancelled_stream_ends_without_end_event() {
    let fixture = Arc::new(start_target(short_times(bundle::Kind::Engine)));
    let running = fixture.clone();
    let input = json!({ "tokens": 100_000 });
    let call = async move { running.call("/v1/generate", "a", body(input)).await };
    let call = tokio::spawn(call);
    fixture.wait_executions(|e| e.len() == 1).await;
    fixture.post("/v1/cancel", json!({ "attempt": "a" })).await;
    let answer = call.await.unwrap().unwrap();
    assert_eq!(client::join_stream(&answer.body), None);
    let executions = fixture.executions().await;
    assert_eq!(outcomes(&executions), [ledger::Outcome::Cancelled]);
}

// A poison body crashes the target; its restart clears its models but keeps its execution record.
#[rstest]
#[case(bundle::Kind::Pool, "/v1/run")]
#[case(bundle::Kind::Engine, "/v1/generate")]
#[tokio::test]
async fn crash_loses_all_state_but_the_execution_record(
    #[case] kind: bundle::Kind,
    #[case] path: &'static str,
) {
    let mut settings = short_times(kind);
    settings.service_time = Duration::from_secs(3600);
    settings.restart_time = Duration::from_secs(2);
    let fixture = Arc::new(start_target(settings));
    fixture
        .behave(behaviour::Change {
            crash_on: Some("poison".into()),
            ..Default::default()
        })
        .await;
    let order = json!({ "term": 1, "sequence": 1, "load": ["m@1"] });
    assert_eq!(fixture.post("/v1/orders", order).await.status, 200);
    let before = fixture.state().await.unwrap();
    assert_eq!(before["models"], json!(["m@1"]));
    let other = fixture.clone();
    let input = json!({ "tokens": 100_000 });
    let other = tokio::spawn(async move { other.call(path, "a1", body(input)).await });
    fixture.wait_executions(|e| e.len() == 1).await;
    let poison = fixture.call(path, "a2", body(json!("poison"))).await;
    assert_eq!(poison.unwrap_err(), client::CallError::Lost);
    assert!(other.await.unwrap().is_err());
    // A connection opened during the shutdown may be lost instead of refused.
    let mut refused = false;
    let back = async {
        loop {
            match fixture.state().await {
                Ok(state) => return state,
                Err(failure) => refused |= failure == client::CallError::NotConnected,
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let after = tokio::time::timeout(TIMEOUT, back).await.unwrap();
    assert!(refused);
    assert_ne!(after["boot"], before["boot"]);
    assert_eq!(after["models"], json!([]));
    let executions = fixture.executions().await;
    assert_eq!(outcomes(&executions), [ledger::Outcome::Crashed; 2]);
}

// An order of a paused agent arrives after an order of the agent that replaced it.
#[rstest]
#[case::fenced(bundle::Orders::Fenced, 409, json!(["new@1"]), 2)]
#[case::unfenced(bundle::Orders::Unfenced, 200, json!(["old@1"]), 1)]
#[tokio::test]
async fn order_with_an_old_number_is_refused_only_if_fenced(
    #[case] fencing: bundle::Orders,
    #[case] status: u16,
    #[case] models: Value,
    #[case] term: u64,
) {
    let mut settings = short_times(bundle::Kind::Engine);
    settings.order_fencing = fencing;
    let fixture = start_target(settings);
    let new = json!({ "term": 2, "sequence": 1, "load": ["new@1"] });
    assert_eq!(fixture.post("/v1/orders", new).await.status, 200);
    let old = json!({ "term": 1, "sequence": 9, "load": ["old@1"], "unload": ["new@1"] });
    assert_eq!(fixture.post("/v1/orders", old).await.status, status);
    let state = fixture.state().await.unwrap();
    assert_eq!(state["models"], models);
    assert_eq!(state["term"], term);
}

// A slow order is still pending when the target accepts an order of the next agent.
#[rstest]
#[case::fenced(bundle::Orders::Fenced, 409, json!(["new@1"]))]
#[case::unfenced(bundle::Orders::Unfenced, 200, json!(["new@1", "old@1"]))]
#[tokio::test]
async fn pending_order_is_superseded_only_if_fenced(
    #[case] fencing: bundle::Orders,
    #[case] status: u16,
    #[case] models: Value,
) {
    let mut settings = short_times(bundle::Kind::Engine);
    settings.order_fencing = fencing;
    let fixture = Arc::new(start_target(settings));
    let period = |millis| behaviour::Change {
        order_delay: Some(unit::Period::from_millis(millis)),
        ..Default::default()
    };
    fixture.behave(period(2000)).await;
    let slow = fixture.clone();
    let slow = tokio::spawn(async move {
        let old = json!({ "term": 1, "sequence": 1, "load": ["old@1"] });
        slow.post("/v1/orders", old).await.status
    });
    let accepted = async {
        while fixture.get("/admin/orders").await["pending"] != 1 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, accepted).await.unwrap();
    fixture.behave(period(0)).await;
    let new = json!({ "term": 2, "sequence": 1, "load": ["new@1"] });
    assert_eq!(fixture.post("/v1/orders", new).await.status, 200);
    assert_eq!(slow.await.unwrap(), status);
    assert_eq!(fixture.state().await.unwrap()["models"], models);
}

#[tokio::test]
async fn frozen_target_responds_after_the_freeze_ends() {
    let fixture = Arc::new(start_target(short_times(bundle::Kind::Pool)));
    let freeze = |freeze| behaviour::Change {
        freeze: Some(freeze),
        ..Default::default()
    };
    fixture.behave(freeze(true)).await;
    let running = fixture.clone();
    let call = async move { running.call("/v1/run", "a", body(json!({}))).await };
    let mut call = tokio::spawn(call);
    let early = tokio::time::timeout(Duration::from_millis(100), &mut call).await;
    assert!(early.is_err());
    fixture.behave(freeze(false)).await;
    let answer = tokio::time::timeout(TIMEOUT, call).await.unwrap();
    assert_eq!(answer.unwrap().unwrap().status, 200);
}

#[rstest]
#[case(bundle::Kind::Pool, "/v1/run", true)]
#[case(bundle::Kind::Pool, "/v1/run", false)]
#[case(bundle::Kind::Engine, "/v1/generate", true)]
#[case(bundle::Kind::Engine, "/v1/generate", false)]
#[tokio::test]
async fn failing_target_may_have_executed_the_call(
    #[case] kind: bundle::Kind,
    #[case] path: &str,
    #[case] fast: bool,
) {
    let fixture = start_target(short_times(kind));
    fixture
        .behave(behaviour::Change {
            fail: Some(1.0),
            fail_fast: Some(fast),
            ..Default::default()
        })
        .await;
    let answer = fixture.call(path, "a", body(json!({}))).await.unwrap();
    if kind == bundle::Kind::Pool || fast {
        assert_eq!(answer.status, 500);
    } else {
        assert_eq!(client::join_stream(&answer.body), None);
    }
    let executions = fixture.executions().await;
    assert_eq!(outcomes(&executions), [ledger::Outcome::Failed]);
}

#[tokio::test]
async fn cache_events_report_prefixes_with_gaps() {
    let mut settings = short_times(bundle::Kind::Engine);
    settings.cached_prefixes = 2;
    let fixture = start_target(settings);
    let input = |n| json!({ "tokens": 1, "prefix": format!("p{n}") });
    for n in 0..5 {
        fixture
            .call("/v1/generate", "a", body(input(n)))
            .await
            .unwrap();
    }
    let events = fixture.get("/v1/cache?after=0").await["events"].clone();
    let numbers: Vec<_> = events
        .as_array()
        .unwrap()
        .iter()
        .map(|e| &e["number"])
        .collect();
    assert_eq!(json!(numbers), json!([1, 2, 3, 4, 5, 6, 8]));
    assert_eq!(events[0]["prefix"], expected::prefix_key(&input(0)));
    assert_eq!(
        events[3],
        json!({
            "number": 4,
            "prefix": expected::prefix_key(&input(0)),
            "kept": false,
        })
    );
    assert_eq!(fixture.get("/v1/cache?after=8").await["events"], json!([]));
}

// With different keys, the cache events of engines would name prefixes that no request has.
#[rstest]
#[case(json!({ "prefix": "terms", "n": 1 }))]
#[case(json!({ "prefix": "", "n": 1 }))]
#[case(json!({ "prefix": 7, "n": 1 }))]
#[case(json!({ "text": "é".repeat(100) }))]
#[case(json!(["terms"]))]
#[case(json!("x"))]
fn entry_and_engine_agree_on_prefixes(#[case] input: Value) {
    let key = balancer::prefix::key(&input.to_string());
    assert_eq!(format!("{key:016x}"), expected::prefix_key(&input));
}
