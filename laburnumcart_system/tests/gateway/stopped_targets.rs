//! Targets that are stopped, as by a signal, and then read all that was sent to them meanwhile.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time, //
};

use http::HeaderValue;
use laburnumcart_fakes::scripted::{
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
    retry_budget, stages,
    support::{
        System,
        config,
        desk_target,
        success, //
    },
};

/// Window of the retry budget.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Pause between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(25);

/// Number of targets of the service.
const TARGET_COUNT: usize = 6;

/// Time for which requests are sent before targets are stopped, and after they have gone on.
const MARGIN: time::Duration = time::Duration::from_secs(4);

/// Requests that are sent, and the service whose targets are stopped.
#[derive(Clone, Copy)]
struct Work {
    path: &'static str,
    service: &'static str,
    script: fn(&ReceivedRequest) -> Vec<Step>,
}

const REQUESTS: Work = Work {
    path: "/safe/1",
    service: "desk",
    script: retry_budget::full_response,
};

const STREAMS: Work = Work {
    path: "/resumed/1",
    service: "desk",
    script: retry_budget::full_stream,
};

const STAGES: Work = Work {
    path: "/safe/1",
    service: "encode",
    script: stages::stage_response,
};

impl Work {
    fn config(self) -> Value {
        let mut config = match self.service {
            "encode" => stages::two_stage_config(),
            _ => config(|_| ()),
        };
        for route in config["routes"].as_array_mut().unwrap() {
            route["max_attempts"] = json!(4);
        }
        config
    }
}

/// Times at which requests were sent, and at which targets received one that was received before.
#[derive(Clone, Default)]
pub(crate) struct Repeats {
    pub(crate) sent: Arc<Mutex<Vec<Instant>>>,
    seen: Arc<Mutex<collections::HashSet<String>>>,
    at: Arc<Mutex<Vec<Instant>>>,
}

impl Repeats {
    pub(crate) fn record(&self, seen: &ReceivedRequest) {
        let now = Instant::now();
        let mut known = self.seen.lock().unwrap();
        let keys = retry_budget::arrival_keys(seen).into_iter();
        let repeats = keys.filter(|key| !known.insert(key.clone())).count();
        self.at.lock().unwrap().extend(vec![now; repeats]);
    }

    /// Returns the number of repeats that targets have received.
    pub(crate) fn count(&self) -> usize {
        self.at.lock().unwrap().len()
    }

    /// Returns the greatest use of the budget in any window, as a fraction.
    pub(crate) fn worst_use(&self) -> f64 {
        let (sent, at) = (self.sent.lock().unwrap(), self.at.lock().unwrap());
        let use_from = |from: &Instant| {
            // Gateways may count the requests in a window that began earlier.
            let starts = [0.0, 0.5, 1.0].map(|back| *from - WINDOW.mul_f64(back));
            let requests = starts.map(|from| count(&sent, from)).into_iter().max();
            let earned = retry_budget::RETRY_RATIO * requests.unwrap_or(0) as f64;
            let allowed = earned + retry_budget::RETRY_EXTRA as f64;
            count(&at, *from) as f64 / allowed
        };
        at.iter().map(use_from).fold(0.0, f64::max)
    }
}

/// Returns the number of `times` in the window that begins at `from`.
fn count(times: &[Instant], from: Instant) -> usize {
    let is_in = |at: &&Instant| **at >= from && **at < from + WINDOW;
    times.iter().filter(is_in).count()
}

/// When each target is stopped, and for how long.
type Stops = fn(usize) -> Option<(time::Duration, time::Duration)>;

const fn secs(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

fn five_of_six(index: usize) -> Option<(time::Duration, time::Duration)> {
    (index > 0).then_some((secs(0), secs(28)))
}

fn three_of_six(index: usize) -> Option<(time::Duration, time::Duration)> {
    (index > 2).then_some((secs(0), secs(28)))
}

/// All go on at the same time.
fn one_more_at_a_time(index: usize) -> Option<(time::Duration, time::Duration)> {
    let start = time::Duration::from_millis(4_700) * index as u32;
    Some((start, secs(28) - start))
}

fn on_and_off(index: usize) -> Option<(time::Duration, time::Duration)> {
    (index > 0).then_some((secs(4) * index as u32, secs(6)))
}

async fn stop_for(target: Target, (start, length): (time::Duration, time::Duration)) {
    tokio::time::sleep(MARGIN + start).await;
    target.stop();
    tokio::time::sleep(length).await;
    target.resume();
}

/// Sends a request to one gateway after another without waiting for the responses.
async fn send_steadily(
    fleet: &Arc<Vec<System>>,
    work: Work,
    repeats: &Repeats,
    length: time::Duration,
) {
    let end = Instant::now() + length;
    let first = repeats.sent.lock().unwrap().len();
    let mut sent = tokio::task::JoinSet::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        repeats.sent.lock().unwrap().push(Instant::now());
        let fleet = fleet.clone();
        sent.spawn(async move {
            let id = HeaderValue::try_from(format!("request-{first}-{number}")).unwrap();
            let gateway = &fleet[number % fleet.len()];
            let response = gateway.try_call(work.path, |headers| {
                headers.insert("x-laburnumcart-attempt-id", id);
                retry_budget::set_pieces(headers);
            });
            response.await.unwrap().status.as_u16()
        });
        tokio::time::sleep(PAUSE).await;
    }
    let statuses = sent.join_all().await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!("{served} of {} served", statuses.len());
}

/// Starts the targets; each records what reaches it.
async fn start_targets(work: Work, count: usize, repeats: &Repeats) -> Vec<Target> {
    let mut targets = Vec::new();
    for _ in 0..count {
        let repeats = repeats.clone();
        let target = Target::start(move |seen, _| {
            repeats.record(seen);
            (work.script)(seen)
        });
        targets.push(target.await.unwrap());
    }
    targets
}

/// Starts gateways that know the targets, and one target of the service behind a stage.
async fn start_fleet(gateways: usize, work: Work, targets: &[Target]) -> Arc<Vec<System>> {
    let names: Vec<_> = (0..targets.len()).map(|i| format!("target-{i}")).collect();
    let all = names.iter().zip(targets);
    let mut all: Vec<_> = all
        .map(|(name, t)| (name.as_str(), work.service, t))
        .collect();
    let desk = desk_target().await;
    if work.service != "desk" {
        all.push(("desk", "desk", &desk));
    }
    let first = System::start(work.config(), &all).await;
    let mut fleet = first.start_peers(2..=gateways).await;
    fleet.push(first);
    Arc::new(fleet)
}

// What was granted in many windows reaches the targets in one.
#[rstest]
#[case::five_of_six(REQUESTS, five_of_six)]
#[case::three_of_six(REQUESTS, three_of_six)]
#[case::one_more_at_a_time(REQUESTS, one_more_at_a_time)]
#[case::on_and_off(REQUESTS, on_and_off)]
#[case::streams_at_five_of_six(STREAMS, five_of_six)]
#[case::streams_at_one_more_at_a_time(STREAMS, one_more_at_a_time)]
#[case::pieces_at_five_of_six(STAGES, five_of_six)]
#[case::pieces_at_one_more_at_a_time(STAGES, one_more_at_a_time)]
#[tokio::test(flavor = "multi_thread")]
async fn what_waits_at_stopped_targets_stays_within_the_budget(
    #[values(1, 4)] gateways: usize,
    #[case] work: Work,
    #[case] stops: Stops,
) {
    let repeats = Repeats::default();
    let targets = start_targets(work, TARGET_COUNT, &repeats).await;
    let fleet = start_fleet(gateways, work, &targets).await;

    let mut stopped = tokio::task::JoinSet::new();
    let mut end = time::Duration::ZERO;
    for (index, target) in targets.iter().enumerate() {
        if let Some(stop) = stops(index) {
            end = end.max(stop.0 + stop.1);
            stopped.spawn(stop_for(target.clone(), stop));
        }
    }
    send_steadily(&fleet, work, &repeats, MARGIN + end + MARGIN).await;
    stopped.join_all().await;

    let worst = repeats.worst_use();
    println!("worst use of the budget: {worst:.2}");
    assert!(worst <= 1.0, "{worst:.2} of the budget");
}

// Requests go on being sent to targets that have answered nothing for seconds.
#[tokio::test(flavor = "multi_thread")]
async fn silent_targets_get_no_requests_until_they_answer() {
    let repeats = Repeats::default();
    let targets = start_targets(REQUESTS, TARGET_COUNT, &repeats).await;
    let fleet = start_fleet(1, REQUESTS, &targets).await;
    send_steadily(&fleet, REQUESTS, &repeats, secs(1)).await;
    let stopped = &targets[1..];
    stopped.iter().for_each(Target::stop);
    // They are taken for silent once neither a request nor a status check was answered in time.
    send_steadily(&fleet, REQUESTS, &repeats, secs(3)).await;
    let silent = repeats.sent.lock().unwrap().len();
    send_steadily(&fleet, REQUESTS, &repeats, secs(3)).await;
    stopped.iter().for_each(Target::resume);
    let resumed = repeats.sent.lock().unwrap().len();
    send_steadily(&fleet, REQUESTS, &repeats, secs(4)).await;

    // Returns the number of requests from a position on that have reached these targets.
    let count_from = |first: usize| {
        let prefix = format!("request-{first}-");
        let received = stopped.iter().flat_map(Target::requests);
        let is_counted = |seen: &ReceivedRequest| {
            let attempt = seen.header("x-laburnumcart-attempt-id");
            attempt.is_some_and(|id| id.starts_with(&prefix))
        };
        received.filter(is_counted).count()
    };
    assert_eq!(count_from(silent), 0);
    let after = count_from(resumed);
    assert!(
        after > (resumed - silent) / 4,
        "{after} requests after they have answered"
    );
}

// A slow request at a target that answers others must not hold the budget for longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_is_not_held_for_a_target_that_answers_others() {
    let script = |seen: &ReceivedRequest, _: usize| match seen.path() {
        "/safe/slow" => vec![Step::Hang],
        _ => vec![success(seen, "done")],
    };
    let targets = [
        Target::start(script).await.unwrap(),
        Target::start(script).await.unwrap(),
    ];
    let all = [
        ("desk-0", "desk", &targets[0]),
        ("desk-1", "desk", &targets[1]),
    ];
    let system = System::start(REQUESTS.config(), &all).await;
    let fleet = Arc::new(vec![system]);
    let slow = async {
        for _ in 0..2 {
            fleet[0].call("/safe/slow", |_| ()).await;
        }
    };
    let repeats = Repeats::default();
    tokio::join!(slow, send_steadily(&fleet, REQUESTS, &repeats, secs(7)));
    let closed: usize = targets.iter().map(Target::closed_by_caller).sum();
    assert!(closed >= 2, "{closed} requests were slow");
    let labels = budgets::ServiceLabels {
        service: "desk".into(),
    };
    let unsettled = &fleet[0].gateway.metrics.unsettled;
    assert_eq!(unsettled.given_up.get_or_create(&labels).get(), 0);
}
