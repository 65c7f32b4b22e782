//! An entry that stops while requests run.

use std::time;

use futures_util::future;
use laburnumcart_system::{
    fleet,
    sample,
    wait, //
};
use nix::sys::signal;
use serde_json::json;

const REQUESTS: usize = 20;

/// Returns services with an engine so slow that streams are still running at the stop.
fn services() -> Vec<fleet::Service> {
    let mut services = sample::services(1);
    services.retain(|service| service.name != "case-model");
    let engine = fleet::Service::new("case-model", "engine", 1);
    services.push(engine.args(&["--token-time", "40ms", "--tokens", "25"]));
    services
}

// An entry that exits before the last bytes are written truncates responses on a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_cuts_no_answer_off() {
    let plan = fleet::Plan::new(services(), sample::bundle()).entries(1);
    let mut fleet = fleet::Fleet::start(plan).await;
    let calls = (0..REQUESTS).map(|number| {
        let body = json!({ "text": format!("statement {number}") });
        let call = fleet::Call::new(sample::CHECK_PIPELINE, sample::CLINIC_TOKEN, body);
        if number.is_multiple_of(2) {
            call
        } else {
            call.events()
        }
    });
    let calls: Vec<_> = calls.collect();
    let running = future::join_all(calls.iter().map(|call| fleet.call(0, call)));
    let stop = async {
        wait::until("requests at the engine", || async {
            let rows = fleet.service_executions("rerankers").await;
            (rows.len() >= REQUESTS).then_some(())
        })
        .await;
        fleet.entries[0].process.signal(signal::Signal::SIGTERM);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let body = json!({ "text": "late" });
        fleet
            .call(
                0,
                &fleet::Call::new(sample::CHECK_PIPELINE, sample::CLINIC_TOKEN, body),
            )
            .await
    };
    let (answers, late) = tokio::join!(running, stop);
    for answer in answers {
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        let events = answer.header("content-type") == Some("text/event-stream");
        assert!(
            !events || answer.body.contains("event: end"),
            "{}",
            answer.body
        );
    }
    if let Ok(late) = late {
        assert_eq!(late.status, 503, "{}", late.body);
        assert_eq!(late.json()["verdict"], "not-run");
        assert_eq!(late.json()["reason"], "leaving");
    }
    let process = &mut fleet.entries[0].process;
    let begun = tokio::time::Instant::now();
    let status = loop {
        if let Some(status) = process.exit_status() {
            break status;
        }
        assert!(
            begun.elapsed() < time::Duration::from_secs(20),
            "the entry still runs"
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    };
    assert_eq!(status.code(), Some(0));
}
