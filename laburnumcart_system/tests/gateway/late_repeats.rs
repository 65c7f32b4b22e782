//! Repeats that arrive at their targets long after they were granted, or whose targets end.

use std::{
    sync::{
        Arc,
        atomic, //
    },
    time, //
};

use http::HeaderValue;
use laburnumcart_daemon::metrics;
use laburnumcart_fakes::scripted::{
    Crash,
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_gateway::budgets;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::time::Instant;

use crate::{
    retry_budget,
    stages::{
        self,
        two_stage_config, //
    },
    stopped_targets::Repeats,
    support::{
        System,
        chunk,
        config,
        desk_target,
        events,
        not_run,
        stream_head,
        target_entry,
        wait_for, //
    },
};

/// Requests that are sent at once.
const BURST: usize = 60;

/// Deadline of a request, during which its last send waits for a stopped target.
const DEADLINE: time::Duration = time::Duration::from_secs(8);

/// Time until a sound target answers.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(300);

/// Time until a failing target fails, at which the others are stopped.
const FAIL_TIME: time::Duration = time::Duration::from_millis(800);

type Script = fn(&ReceivedRequest) -> Vec<Step>;

fn reset(_: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Reset]
}

/// Later connections are refused, so that what is repeated goes to the other targets.
fn crash(_: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Crash(Crash::Refuses)]
}

fn broken_stream(seen: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(seen), chunk(&events(1..=1)), Step::Reset]
}

/// Returns a configuration in which two targets may receive a request, within [`DEADLINE`].
fn two_attempts(service: &str) -> Value {
    let mut config = match service {
        "encode" => two_stage_config(),
        _ => config(|_| ()),
    };
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(DEADLINE.as_millis() as u64);
    }
    // A call carries the pieces of many requests.
    config["services"][1]["segments"]["batch"] = json!(64);
    config
}

/// Sends a burst of requests to the gateways in turn, and waits until all have ended.
async fn send_burst(
    fleet: Arc<Vec<System>>,
    path: &'static str,
    deadline: time::Duration,
    repeats: Repeats,
) {
    static IDS: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
    let mut sent = tokio::task::JoinSet::new();
    for number in 0..BURST {
        repeats.sent.lock().unwrap().push(Instant::now());
        let fleet = fleet.clone();
        sent.spawn(async move {
            let id = IDS.fetch_add(1, atomic::Ordering::AcqRel);
            let attempt = HeaderValue::try_from(format!("late-{id}")).unwrap();
            let gateway = &fleet[number % fleet.len()];
            let path = format!("{path}{id}");
            let response = gateway.try_call(&path, |headers| {
                headers.insert("x-laburnumcart-attempt-id", attempt);
                retry_budget::set_pieces(headers);
                let deadline = deadline.as_millis().to_string().parse().unwrap();
                headers.insert("x-laburnumcart-deadline-ms", deadline);
            });
            response
                .await
                .is_ok_and(|response| response.status.is_success())
        });
    }
    let served = sent.join_all().await;
    let served = served.into_iter().filter(|served| *served).count();
    println!("{served} of {BURST} served");
}

/// Starts gateways that know the targets, and a target of the service behind a stage.
async fn start_fleet(gateways: usize, service: &str, targets: &[Target]) -> Arc<Vec<System>> {
    let desks = [desk_target().await];
    start_fleet_with(gateways, two_attempts(service), service, targets, &desks).await
}

async fn start_fleet_with(
    gateways: usize,
    config: Value,
    service: &str,
    targets: &[Target],
    desks: &[Target],
) -> Arc<Vec<System>> {
    let names: Vec<_> = (0..targets.len()).map(|i| format!("target-{i}")).collect();
    let all = names.iter().zip(targets);
    let mut all: Vec<_> = all.map(|(name, t)| (name.as_str(), service, t)).collect();
    if service != "desk" {
        let names = ["desk-1", "desk-2"].into_iter();
        all.extend(names.zip(desks).map(|(name, desk)| (name, "desk", desk)));
    }
    let first = System::start(config, &all).await;
    let mut fleet = first.start_peers(2..=gateways).await;
    fleet.push(first);
    Arc::new(fleet)
}

// Repeats that wait at stopped targets as the last sends of their requests arrive with the next ones.
#[rstest]
#[case::resets("desk", "/safe/", reset, retry_budget::full_response)]
#[case::streams("desk", "/resumed/", broken_stream, retry_budget::full_stream)]
#[case::pieces("encode", "/safe/", reset, stages::stage_response)]
#[case::pieces_of_a_crash("encode", "/safe/", crash, stages::stage_response)]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_that_wait_as_last_sends_count_when_they_arrive(
    #[values(1, 4)] gateways: usize,
    #[case] service: &str,
    #[case] path: &'static str,
    #[case] failing: Script,
    #[case] healthy: Script,
) {
    let repeats = Repeats::default();
    // The target that fails; another one in each burst.
    let failed = Arc::new(atomic::AtomicUsize::new(0));
    let mut targets = Vec::new();
    for index in 0..3 {
        let (repeats, failed) = (repeats.clone(), failed.clone());
        let target = Target::start(move |seen, _| {
            repeats.record(seen);
            let (pause, steps) = match failed.load(atomic::Ordering::Acquire) == index {
                true => (FAIL_TIME, failing(seen)),
                false => (ANSWER_TIME, healthy(seen)),
            };
            [vec![Step::Pause(pause)], steps].concat()
        });
        targets.push(target.await.unwrap());
    }
    let fleet = start_fleet(gateways, service, &targets).await;

    let start = Instant::now();
    let first = tokio::spawn(send_burst(fleet.clone(), path, DEADLINE, repeats.clone()));
    tokio::time::sleep((ANSWER_TIME + FAIL_TIME) / 2).await;
    targets[1..].iter().for_each(Target::stop);
    tokio::time::sleep_until(start + FAIL_TIME + ANSWER_TIME).await;
    targets[0].stop();
    tokio::time::sleep_until(start + DEADLINE - time::Duration::from_secs(1)).await;
    targets.iter().for_each(Target::resume);
    first.await.unwrap();
    // By then the grants of the first burst are out of their window.
    tokio::time::sleep_until(start + time::Duration::from_secs(13)).await;
    failed.store(1, atomic::Ordering::Release);
    send_burst(fleet, path, DEADLINE, repeats.clone()).await;

    let worst = repeats.worst_use();
    println!("worst use of the budget: {worst:.2}");
    assert!(worst <= 1.0, "{worst:.2} of the budget");
}

/// Returns a configuration with one stage, whose calls take two seconds as a rule.
fn slow_stage() -> Value {
    let mut config = two_attempts("encode");
    let stages = config["routes"][0]["stages"].as_array_mut().unwrap();
    stages.truncate(1);
    config["routes"][0]["target_latency_ms"] = json!(DEADLINE.as_millis() as u64);
    config["services"][1]["segments"]["call_ms"] = json!(2000);
    config
}

/// Time for which calls of the first burst occupy targets.
const BUSY_TIME: time::Duration = time::Duration::from_millis(4_500);

/// What a target does with a call, by its index, the number of earlier calls there and the burst.
type CallScript = fn(&ReceivedRequest, usize, usize, usize) -> Vec<Step>;

fn answer_after(pause: time::Duration, seen: &ReceivedRequest) -> Vec<Step> {
    [vec![Step::Pause(pause)], stages::stage_response(seen)].concat()
}

/// One target ends with the pieces of many requests while the others are busy. In the second burst
/// another one fails.
fn one_ends(seen: &ReceivedRequest, index: usize, number: usize, burst: usize) -> Vec<Step> {
    match (burst, index) {
        // The first call has the pieces of one request.
        (0, 0) if number > 0 => vec![Step::Pause(FAIL_TIME), Step::Crash(Crash::Refuses)],
        (0, 1 | 2) => answer_after(BUSY_TIME, seen),
        (1, 1) => reset(seen),
        _ => answer_after(ANSWER_TIME, seen),
    }
}

/// One target makes the results of many requests, and all are busy then.
fn all_get_busy(seen: &ReceivedRequest, index: usize, number: usize, burst: usize) -> Vec<Step> {
    match (burst, index) {
        (0, 0) if number < 2 => answer_after(ANSWER_TIME, seen),
        (0, _) => answer_after(BUSY_TIME, seen),
        _ => stages::stage_response(seen),
    }
}

fn inputs_gone(seen: &ReceivedRequest) -> Vec<Step> {
    vec![not_run(seen, "409 Conflict")]
}

// Pieces wait in the queue from the grant of their repeat, and arrive with those of the next window.
#[rstest]
#[case::requeued(one_ends, retry_budget::full_response)]
#[case::run_again(all_get_busy, inputs_gone)]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_that_wait_in_a_queue_count_when_they_arrive(
    #[values(1, 4)] gateways: usize,
    #[case] script: CallScript,
    #[case] desk: Script,
) {
    let repeats = Repeats::default();
    // Number of the burst.
    let burst = Arc::new(atomic::AtomicUsize::new(0));
    let mut targets = Vec::new();
    for index in 0..3 {
        let (repeats, burst) = (repeats.clone(), burst.clone());
        let calls = atomic::AtomicUsize::new(0);
        let target = Target::start(move |seen, _| {
            repeats.record(seen);
            if seen.path() != "/api/stage-run" {
                return stages::stage_response(seen);
            }
            let number = calls.fetch_add(1, atomic::Ordering::AcqRel);
            script(seen, index, number, burst.load(atomic::Ordering::Acquire))
        });
        targets.push(target.await.unwrap());
    }
    // A request that is not run at one of them goes to the other.
    let desks = [
        Target::start(move |seen, _| desk(seen)).await.unwrap(),
        Target::start(move |seen, _| desk(seen)).await.unwrap(),
    ];
    let fleet = start_fleet_with(gateways, slow_stage(), "encode", &targets, &desks).await;

    let start = Instant::now();
    let first = send_burst(fleet.clone(), "/safe/", DEADLINE, repeats.clone());
    let next = async {
        tokio::time::sleep(BUSY_TIME - ANSWER_TIME).await;
        burst.store(1, atomic::Ordering::Release);
    };
    tokio::join!(first, next);
    // By then the grants of the first burst are out of their window.
    tokio::time::sleep_until(start + time::Duration::from_millis(12_500)).await;
    send_burst(fleet.clone(), "/safe/", DEADLINE, repeats.clone()).await;

    let (worst, seen) = (repeats.worst_use(), repeats.count());
    let granted: u64 = fleet.iter().map(granted_pieces).sum();
    println!("worst use of the budget: {worst:.2}, {seen} repeats, {granted} granted");
    assert!(worst <= 1.0, "{worst:.2} of the budget");
    assert!(seen as u64 <= granted, "{seen} repeats, {granted} granted");
}

/// Returns the repeats of pieces that a gateway has granted, by its own counters.
fn granted_pieces(system: &System) -> u64 {
    let kinds = [budgets::RepeatKind::Pieces, budgets::RepeatKind::Stage];
    let labels = kinds.map(|kind| budgets::Labels {
        way: metrics::Label(kind),
        outcome: metrics::Label(budgets::Outcome::Granted),
    });
    let counters = &system.gateway.metrics.repeats;
    labels
        .iter()
        .map(|labels| counters.get_or_create(labels).get())
        .sum()
}

// Targets read requests, answer none, and start again under their names.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_that_were_read_count_after_their_target_has_ended(
    #[values(1, 4)] gateways: usize,
) {
    let repeats = Repeats::default();
    let mut targets = Vec::new();
    for _ in 0..3 {
        let repeats = repeats.clone();
        let target = Target::start(move |seen, _| {
            repeats.record(seen);
            vec![Step::Hang]
        });
        let target = target.await.unwrap();
        target.set_probe_steps(vec![Step::Hang]);
        targets.push(target);
    }
    let fleet = start_fleet(gateways, "desk", &targets).await;

    for life in 2..=6 {
        let deadline = time::Duration::from_secs(2);
        send_burst(fleet.clone(), "/safe/", deadline, repeats.clone()).await;
        for (index, target) in targets.iter().enumerate() {
            let mut entry: Value =
                serde_json::from_str(&target_entry("desk", target, "ready")).unwrap();
            entry["born"] = json!(life);
            let key = format!("servers/target-{index}");
            fleet[0].put(&key, &entry.to_string()).await;
        }
        let is_listed = |system: &System| {
            let targets = system.gateway.view.targets.load();
            targets.all().all(|target| target.life.0 == life)
        };
        wait_for(|| fleet.iter().all(is_listed)).await;
    }

    let worst = repeats.worst_use();
    println!("worst use of the budget: {worst:.2}");
    assert!(worst <= 1.0, "{worst:.2} of the budget");
}
