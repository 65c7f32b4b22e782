//! Stages with long queues, or with inputs in another data centre.

use std::{
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time,
};

use http::StatusCode;
use laburnumcart::{
    batch,
    id,
    unit, //
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

use crate::{
    stages::{
        call_items,
        call_staged,
        second_stage_job,
        stage_response,
        stage_results,
        stage_results_at,
        two_stage_config, //
    },
    support::{
        System,
        desk_target,
        success,
        target_entry,
        target_entry_in,
        unlimited_retries,
        wait_for, //
    },
};

/// Returns a configuration whose second stage is executed by a separate service, `rank`.
fn two_service_config(size: u64) -> Value {
    let mut config = two_stage_config();
    let services = config["services"].as_array_mut().unwrap();
    let mut other = services[1].clone();
    other["name"] = json!("rank");
    // Long compared to the delays of a busy machine, so that calls finish in the expected time.
    other["segments"]["call_ms"] = json!(600.0);
    services.push(other);
    let stages = config["routes"][0]["stages"].as_array_mut().unwrap();
    stages[0]["byte_count"] = json!(size);
    stages[1]["service"] = json!("rank");
    config
}

// Elsewhere, all results of the previous stage would be transferred between data centres.
#[tokio::test]
async fn stage_runs_in_the_data_centre_of_its_inputs() {
    let addr = Arc::new(OnceLock::<String>::new());
    let own = addr.clone();
    let encoder = Target::start(move |seen, _| match seen.path() {
        "/api/stage-run" => vec![stage_results_at(
            seen,
            own.get().expect("the target has started"),
        )],
        _ => vec![success(seen, "")],
    });
    let encoder = encoder.await.unwrap();
    addr.set(encoder.addr().to_string()).unwrap();
    let north = Target::start(|seen, _| stage_response(seen)).await.unwrap();
    let south = Target::start(|seen, _| stage_response(seen)).await.unwrap();
    let desk = desk_target().await;
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(two_service_config(300_000), &targets).await;
    for (name, zone, target) in [("i-3", "north", &north), ("i-4", "south", &south)] {
        let value = target_entry_in(zone, "rank", target, "ready");
        system.put(&format!("servers/{name}"), &value).await;
    }
    let value = target_entry_in("south", "encode", &encoder, "ready");
    system.put("servers/i-2", &value).await;
    let is_moved = || {
        let targets = system.gateway.view.targets.load();
        let data_centre = targets
            .find(&encoder.addr(), id::Life(1))
            .map(|t| t.data_centre.to_string());
        targets.len() == 4 && data_centre.as_deref() == Some("south")
    };
    wait_for(is_moved).await;
    for _ in 0..8 {
        assert_eq!(call_staged(&system).await, StatusCode::OK);
    }
    assert_eq!(north.requests().len(), 0);
    assert!(south.requests().len() >= 8);
}

// A request that would wait at the second stage until its deadline is refused before the first.
#[tokio::test]
async fn nothing_is_begun_that_a_later_stage_cannot_do() {
    let encoder = Target::start(|seen, _| stage_response(seen)).await.unwrap();
    let slow = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let desk = desk_target().await;
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(two_service_config(1000), &targets).await;
    system
        .put("servers/i-3", &target_entry("rank", &slow, "ready"))
        .await;
    wait_for(|| system.gateway.view.targets.load().len() == 3).await;
    let dispatcher = system.gateway.dispatcher.clone();
    let mut others = second_stage_job(1, 200, time::Duration::from_secs(60));
    others.service = "rank".parse().unwrap();
    others.due = unit::Period::from_millis(1);
    let others = tokio::spawn(async move { dispatcher.submit(others).await });
    wait_for(|| !slow.requests().is_empty()).await;
    let response = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-chunks", "3,1".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    let response = response.await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    assert!(
        encoder.requests().is_empty(),
        "the first stage was not started"
    );
    others.abort();
}

// Gateways that start together each own a queue, which wastes calls on small batches.
#[tokio::test]
async fn waiting_jobs_move_to_the_first_owner() {
    let encoder = Target::start(|_, _| vec![Step::Hang]).await.unwrap();
    let system = System::start(two_stage_config(), &[("i-1", "encode", &encoder)]).await;
    let long = time::Duration::from_secs(60);
    let submit = |id| {
        let dispatcher = system.gateway.dispatcher.clone();
        // Four pieces are in the call that hangs, the others are queued.
        tokio::spawn(async move { dispatcher.submit(second_stage_job(id, 8, long)).await })
    };
    let moved = submit(1);
    wait_for(|| !encoder.requests().is_empty()).await;
    system.gateway.dispatcher.hand_over_moved(|_| true);
    tokio::task::yield_now().await;
    assert!(
        !moved.is_finished(),
        "the job stays while its queue has the first owner"
    );
    system.gateway.dispatcher.hand_over_moved(|_| false);
    let result = moved.await.unwrap();
    assert_eq!(result, Err(batch::Failure::Moved));
    // Jobs submitted after the move come from gateways that cannot reach the first owner.
    let kept = submit(2);
    tokio::task::yield_now().await;
    system.gateway.dispatcher.hand_over_moved(|_| false);
    tokio::task::yield_now().await;
    assert!(!kept.is_finished(), "a later job stays");
    kept.abort();
}

/// Calls that targets received, in order.
type CallLog = Arc<Mutex<Vec<String>>>;

/// Starts a first-stage target that is full for the pieces of `attempt-99`.
async fn full_target(log: &CallLog) -> Target {
    let (log, addr) = (log.clone(), Arc::new(OnceLock::<String>::new()));
    let own = addr.clone();
    let script = move |seen: &ReceivedRequest, _: usize| {
        if seen.path() == "/api/stage-free" {
            let body = String::from_utf8(seen.body.clone()).unwrap();
            log.lock().unwrap().push(format!("free {body}"));
            return vec![success(seen, "")];
        }
        let is_waiting = |item: &Value| item["id"] == "attempt-99";
        if call_items(seen).iter().any(is_waiting) {
            let full = vec![json!({ "reason": "room" }); call_items(seen).len()];
            let pause = Step::Pause(time::Duration::from_millis(5));
            return vec![pause, success(seen, &json!({ "items": full }).to_string())];
        }
        vec![stage_results_at(
            seen,
            addr.get().expect("the target has started"),
        )]
    };
    let target = Target::start(script).await.unwrap();
    own.set(target.addr().to_string()).unwrap();
    target
}

/// Starts a second-stage target that hangs after its first call.
async fn hanging_target(log: &CallLog) -> Target {
    let log = log.clone();
    let script = move |seen: &ReceivedRequest, n: usize| {
        log.lock().unwrap().push(format!("second stage {n}"));
        match n {
            0 => vec![stage_results(seen)],
            _ => vec![Step::Hang],
        }
    };
    Target::start(script).await.unwrap()
}

// Results kept until the reading call ends leave first-stage calls two thirds full as jobs queue.
#[tokio::test]
async fn results_that_were_read_make_room_for_those_who_wait() {
    let log = CallLog::default();
    let (first, second) = (full_target(&log).await, hanging_target(&log).await);
    let desk = desk_target().await;
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &first)];
    let system =
        System::start_with_bounds(unlimited_retries(), two_service_config(1000), &targets).await;
    system
        .put("servers/i-3", &target_entry("rank", &second, "ready"))
        .await;
    wait_for(|| system.gateway.view.targets.load().len() == 3).await;
    // With one call answered before, the second stage gets the next one without delay.
    assert_eq!(call_staged(&system).await, StatusCode::OK);
    let long = time::Duration::from_secs(60);
    let dispatcher = system.gateway.dispatcher.clone();
    let mut waiting = second_stage_job(99, 40, long);
    (waiting.size, waiting.rank) = (unit::Size(1), 200.into());
    let waiting = tokio::spawn(async move { dispatcher.submit(waiting).await });
    let request = system.call("/safe/1", |h| {
        h.insert("x-laburnumcart-attempt-id", "attempt-2".parse().unwrap());
        h.insert("x-laburnumcart-chunks", "3,1".parse().unwrap());
        h.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
    });
    let is_free = |line: &String| line.starts_with("free") && line.contains("attempt-2-0-");
    let freed = async { wait_for(|| log.lock().unwrap().iter().any(is_free)).await };
    tokio::select! {
        _ = request => panic!("the second stage hangs"),
        () = freed => {}
    }
    waiting.abort();
    let log = log.lock().unwrap();
    let freed = log.iter().position(is_free).unwrap();
    // An abandoned call is retried, and the results are freed at the latest when the request ends.
    let again = log.iter().position(|line| line == "second stage 2");
    assert!(again.is_none_or(|again| freed < again), "{log:?}");
}
