//! Stages that are executed before a request.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use http::StatusCode;
use laburnumcart::{
    batch,
    unit, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_gateway::{
    dialect,
    dispatcher, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::support::{
    System,
    config,
    desk_target,
    not_run,
    success,
    unlimited_retries,
    wait_for, //
};

/// Returns a configuration whose first route has two consecutive stages.
pub(crate) fn two_stage_config() -> Value {
    config(|c| {
        c["routes"][0]["stages"] = json!([
            { "service": "encode", "after": [], "byte_count": 1000 },
            { "service": "encode", "after": [0], "byte_count": 500 },
        ]);
    })
}

/// Returns the items of a stage call.
pub(crate) fn call_items(seen: &ReceivedRequest) -> Vec<Value> {
    let body: Value = serde_json::from_slice(&seen.body).unwrap();
    body["items"].as_array().unwrap().clone()
}

/// Returns the step that answers a stage call with a result for each piece, named after the piece.
pub(crate) fn stage_results(seen: &ReceivedRequest) -> Step {
    stage_results_at(seen, "127.0.0.1:9")
}

/// Returns the step that answers a stage call with results that are stored at `host`.
pub(crate) fn stage_results_at(seen: &ReceivedRequest, host: &str) -> Step {
    let result = |item: &Value| {
        let (id, stage, piece) = (&item["id"], &item["stage"], &item["segment"]);
        json!({ "handle": format!("{host}/{}-{stage}-{piece}", id.as_str().unwrap()) })
    };
    let results: Vec<_> = call_items(seen).iter().map(result).collect();
    success(seen, &json!({ "items": results }).to_string())
}

/// Returns the steps that answer stage calls with results and other requests with a success.
pub(crate) fn stage_response(seen: &ReceivedRequest) -> Vec<Step> {
    match seen.path() {
        "/api/stage-run" => vec![stage_results(seen)],
        _ => vec![success(seen, "")],
    }
}

/// Sends a request with pieces for two stages.
pub(crate) async fn call_staged(system: &System) -> StatusCode {
    let response = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "3,1".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    response.await.status
}

#[tokio::test]
async fn each_stage_reads_the_results_of_the_previous_one() {
    let desk = desk_target().await;
    let encoder = Target::start(|seen, _| stage_response(seen)).await.unwrap();
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(two_stage_config(), &targets).await;
    assert_eq!(call_staged(&system).await, StatusCode::OK);
    let batches: Vec<_> = encoder
        .requests()
        .iter()
        .filter(|s| s.path() == "/api/stage-run")
        .map(call_items)
        .collect();
    let first: Vec<_> = batches[0]
        .iter()
        .map(|i| i["key"].as_str().unwrap())
        .collect();
    assert_eq!(first, ["k-1"; 3]);
    let second = &batches[1][0];
    let inputs: Vec<_> = (0..3)
        .map(|n| format!("127.0.0.1:9/attempt-1-0-{n}"))
        .collect();
    assert_eq!(second["inputs"], json!(inputs));
    assert!(second.get("key").is_none());
    assert_eq!(
        desk.requests()[0].header("x-laburnumcart-inputs"),
        Some("127.0.0.1:9/attempt-1-1-0")
    );
}

// Covers a refused call, a lost response, a malformed one, a missing input and a full target.
#[tokio::test]
async fn pieces_are_recomputed_after_target_failures() {
    let failing = |seen: &ReceivedRequest, n: usize| match (seen.path(), n) {
        ("/api/stage-run", 0) => vec![not_run(seen, "503 Service Unavailable")],
        ("/api/stage-run", 1) => vec![Step::Reset],
        ("/api/stage-run", 2) => vec![success(seen, "{\"items\":[]}")],
        ("/api/stage-run", 3) => {
            let gone = vec![json!({ "reason": "gone" }); call_items(seen).len()];
            vec![success(seen, &json!({ "items": gone }).to_string())]
        }
        ("/api/stage-run", 4) => {
            let full = vec![json!({ "reason": "room" }); call_items(seen).len()];
            vec![success(seen, &json!({ "items": full }).to_string())]
        }
        _ => stage_response(seen),
    };
    let desk = desk_target().await;
    let encoder = Target::start(failing).await.unwrap();
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start_with_bounds(unlimited_retries(), two_stage_config(), &targets).await;
    assert_eq!(call_staged(&system).await, StatusCode::OK);
    assert_eq!(desk.requests().len(), 1);
}

// Results take memory that others wait for, so they are freed even if the caller disconnects.
#[tokio::test]
async fn results_are_freed() {
    let desk = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let encoder = Target::start(|seen, _| match seen.path() {
        "/api/stage-run" => {
            let own = seen.header("host").unwrap_or_default().to_owned();
            let Step::Send(bytes) = stage_results(seen) else {
                unreachable!()
            };
            let text = String::from_utf8(bytes).unwrap();
            assert!(!own.is_empty());
            vec![Step::Send(text.into_bytes())]
        }
        _ => vec![success(seen, "")],
    })
    .await
    .unwrap();
    // The results must be stored at an address that the gateway knows.
    let addr = encoder.addr().to_string();
    let mapped = Target::start(move |seen, _| {
        let steps = stage_response(seen);
        let map = |step| match step {
            Step::Send(bytes) => {
                let text = String::from_utf8(bytes).unwrap();
                let (head, body) = text.split_once("\r\n\r\n").unwrap();
                let body = body.replace("127.0.0.1:9", &addr);
                let lines = head
                    .split("\r\n")
                    .filter(|l| !l.starts_with("content-length"));
                let head = lines.collect::<Vec<_>>().join("\r\n");
                let length = body.len();
                Step::Send(format!("{head}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes())
            }
            other => other,
        };
        steps.into_iter().map(map).collect()
    })
    .await
    .unwrap();
    let targets = [
        ("i-1", "desk", &desk),
        ("i-2", "encode", &mapped),
        ("i-3", "encode", &encoder),
    ];
    let system = System::start(two_stage_config(), &targets).await;
    // Only the results of one target are stored at a known address; repeat until it was used.
    for _ in 0..20 {
        let waited =
            tokio::time::timeout(std::time::Duration::from_millis(150), call_staged(&system));
        assert!(waited.await.is_err());
    }
    let freed = || {
        let all = encoder.requests();
        all.iter().any(|s| s.path() == "/api/stage-free")
    };
    wait_for(freed).await;
}

// A duplicate taken for the response to the next call would give a request another one's results.
#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn duplicate_response_is_not_taken_for_another_request(#[case] echoes: bool) {
    let desk = desk_target().await;
    let script = move |seen: &ReceivedRequest, _: usize| {
        let mut seen = seen.clone();
        if !echoes {
            seen.headers
                .retain(|(name, _)| name != "x-laburnumcart-attempt-id");
        }
        match (seen.path(), echoes) {
            ("/api/stage-run", true) => {
                // The duplicate arrives after the next call was sent on the connection.
                let pause = Step::Pause(std::time::Duration::from_millis(20));
                vec![stage_results(&seen), pause, stage_results(&seen)]
            }
            ("/api/stage-run", false) => {
                let pause = Step::Pause(std::time::Duration::from_millis(20));
                vec![
                    without_echo(stage_results(&seen)),
                    pause,
                    without_echo(stage_results(&seen)),
                ]
            }
            _ => vec![success(&seen, "")],
        }
    };
    let encoder = Target::start(script).await.unwrap();
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(two_stage_config(), &targets).await;
    for n in 0..20 {
        let name = format!("attempt-{n}");
        let response = system.call("/safe/1", |h| {
            h.insert("x-laburnumcart-attempt-id", name.parse().unwrap());
            h.insert("x-laburnumcart-chunks", "1,1".parse().unwrap());
            h.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
        });
        response.await;
    }
    for seen in desk.requests() {
        let own = format!("/{}-1-0", seen.header("x-laburnumcart-attempt-id").unwrap());
        let inputs = seen.header("x-laburnumcart-inputs").unwrap();
        assert!(inputs.ends_with(&own), "{own} got {inputs}");
    }
    assert!(!desk.requests().is_empty());
}

/// Removes the echoed attempt ID from a response.
fn without_echo(step: Step) -> Step {
    let Step::Send(bytes) = step else {
        return step;
    };
    let text = String::from_utf8(bytes).unwrap();
    Step::Send(
        text.replace("x-laburnumcart-attempt-id: \r\n", "")
            .into_bytes(),
    )
}

#[tokio::test]
async fn stage_without_pieces_is_skipped() {
    let desk = desk_target().await;
    let encoder = Target::start(|seen, _| stage_response(seen)).await.unwrap();
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(two_stage_config(), &targets).await;
    let response = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "0,0".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    assert_eq!(response.await.status, StatusCode::OK);
    assert!(encoder.requests().is_empty());
}

// The request is refused in time, as not executed.
#[tokio::test]
async fn without_a_target_for_stages_requests_are_refused() {
    let desk = desk_target().await;
    let system = System::start(two_stage_config(), &[("i-1", "desk", &desk)]).await;
    assert_eq!(call_staged(&system).await, StatusCode::SERVICE_UNAVAILABLE);
    assert!(desk.requests().is_empty());
}

/// Returns a job of the second stage whose results are due within `limit`.
pub(crate) fn second_stage_job(id: u64, pieces: u32, limit: time::Duration) -> dispatcher::Job {
    dispatcher::Job {
        id,
        attempt: format!("attempt-{id}"),
        stage: 1,
        service: "encode".parse().unwrap(),
        pieces,
        size: unit::Size(100),
        input: dialect::Input::Results(Vec::new()),
        due: unit::Period(limit),
        deadline: unit::Period(limit),
        rank: 0.into(),
        near: None,
        moved: unit::Size(0),
        places: None,
        consumes: false,
        last: false,
        arrival: dispatcher::Arrival::First,
        content: None,
    }
}

// If refused only at its deadline, a request could not be resent by its caller in time.
#[tokio::test]
async fn a_later_stage_refuses_what_it_cannot_do() {
    let encoder = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let system = System::start(two_stage_config(), &[("i-1", "encode", &encoder)]).await;
    let long = time::Duration::from_secs(60);
    let dispatcher = system.gateway.dispatcher.clone();
    let behind = async move { dispatcher.submit(second_stage_job(1, 400, long)).await };
    let behind = tokio::spawn(behind);
    wait_for(|| !encoder.requests().is_empty()).await;
    let short = time::Duration::from_millis(500);
    let mut job = second_stage_job(2, 4, short);
    // A more urgent job would overtake the queued ones.
    job.rank = 200.into();
    let refused = system.gateway.dispatcher.submit(job).await;
    assert!(
        matches!(refused, Err(batch::Failure::Busy(_))),
        "{refused:?}"
    );
    behind.abort();
}

// When the last stage misses its inputs, not repeating the first saves a third of the wait.
#[tokio::test]
async fn only_what_has_gone_is_made_again() {
    let counts = Arc::new(Mutex::new([0; 3]));
    let counted = counts.clone();
    let script = move |seen: &ReceivedRequest, _: usize| {
        if seen.path() != "/api/stage-run" {
            return vec![success(seen, "")];
        }
        let items = call_items(seen);
        let stage = usize::try_from(items[0]["stage"].as_u64().unwrap()).unwrap();
        let mut counts = counted.lock().unwrap();
        counts[stage] += 1;
        if (stage, counts[stage]) == (2, 1) {
            let gone = vec![json!({ "reason": "gone" }); items.len()];
            return vec![success(seen, &json!({ "items": gone }).to_string())];
        }
        vec![stage_results(seen)]
    };
    let encoder = Target::start(script).await.unwrap();
    let desk = desk_target().await;
    let config = config(|c| {
        c["routes"][0]["stages"] = json!([
            { "service": "encode", "after": [], "byte_count": 1000 },
            { "service": "encode", "after": [0], "byte_count": 1000 },
            { "service": "encode", "after": [1], "byte_count": 1000 },
        ]);
    });
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(config, &targets).await;
    let response = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "1,1,1".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    assert_eq!(response.await.status, StatusCode::OK);
    assert_eq!(*counts.lock().unwrap(), [1, 2, 2]);
}

// Pieces are called again after target failures and after the queue is handed over.
#[tokio::test]
async fn calls_name_only_pieces_and_inputs_of_their_request() {
    let failing = |seen: &ReceivedRequest, n: usize| match (seen.path(), n % 5) {
        ("/api/stage-run", 0) => vec![not_run(seen, "503 Service Unavailable")],
        ("/api/stage-run", 2) => vec![Step::Reset],
        ("/api/stage-run", 3) => vec![success(seen, "{\"items\":[]}")],
        _ => stage_response(seen),
    };
    let desk = desk_target().await;
    let encoders = [
        Target::start(failing).await.unwrap(),
        Target::start(failing).await.unwrap(),
    ];
    let targets = [
        ("i-1", "desk", &desk),
        ("i-2", "encode", &encoders[0]),
        ("i-3", "encode", &encoders[1]),
    ];
    let system = System::start(two_stage_config(), &targets).await;
    let ask = |attempt: &'static str, pieces: &'static str, key: &'static str| {
        system.call("/safe/1", move |h| {
            h.insert("x-laburnumcart-attempt-id", attempt.parse().unwrap());
            h.insert("x-laburnumcart-chunks", pieces.parse().unwrap());
            h.insert("x-laburnumcart-chunk-key", key.parse().unwrap());
        })
    };
    let hand_over = async {
        wait_for(|| encoders.iter().any(|e| !e.requests().is_empty())).await;
        system.gateway.dispatcher.hand_over_all();
    };
    tokio::join!(
        ask("a-1", "3,1", "k-1"),
        ask("a-2", "2,2", "k-2"),
        hand_over
    );
    let seen = encoders.iter().flat_map(Target::requests);
    let runs = seen.filter(|s| s.path() == "/api/stage-run");
    let asked: Vec<_> = runs.flat_map(|s| call_items(&s)).collect();
    assert!(asked.len() >= 8);
    for item in asked {
        let (pieces, key) = match item["id"].as_str().unwrap() {
            "a-1" => ([3, 1], "k-1"),
            "a-2" => ([2, 2], "k-2"),
            other => panic!("unknown attempt {other}"),
        };
        let stage = item["stage"].as_u64().unwrap() as usize;
        assert!(item["segment"].as_u64().unwrap() < pieces[stage], "{item}");
        match stage {
            0 => assert_eq!(item["key"], json!(key)),
            _ => {
                let own = format!("/{}-0-", item["id"].as_str().unwrap());
                let inputs = item["inputs"].as_array().unwrap();
                assert_eq!(inputs.len(), pieces[0] as usize);
                assert!(inputs.iter().all(|i| i.as_str().unwrap().contains(&own)));
            }
        }
    }
}
