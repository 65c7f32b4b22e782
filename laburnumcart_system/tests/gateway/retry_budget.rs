//! Retry budget: what reaches targets beyond the first send of each request, over all gateways.

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
};

use http::{
    HeaderMap,
    HeaderValue,
    StatusCode, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

use crate::{
    stages::{
        call_items,
        stage_response,
        two_stage_config, //
    },
    support::{
        System,
        chunk,
        config,
        desk_target,
        events,
        not_run,
        response,
        stream_end,
        stream_head,
        success, //
    },
};

/// Retry budget: share of the requests, and additional retries.
pub(crate) const RETRY_RATIO: f64 = 0.1;
pub(crate) const RETRY_EXTRA: usize = 10;

/// Requests of one run, and the number of concurrent ones.
const REQUESTS: usize = 200;
const CONCURRENCY: usize = 20;

/// Number of targets of a service.
const TARGET_COUNT: usize = 4;

/// Number of times that each request or piece reached the targets of a service.
#[derive(Clone, Default)]
struct Arrivals(Arc<Mutex<collections::HashMap<String, usize>>>);

impl Arrivals {
    /// Counts a request, or each piece of a call.
    fn record(&self, seen: &ReceivedRequest) {
        let mut all = self.0.lock().unwrap();
        arrival_keys(seen)
            .into_iter()
            .for_each(|key| *all.entry(key).or_default() += 1);
    }

    /// Returns the number of arrivals beyond the first of each request or piece.
    fn retries(&self) -> usize {
        let all = self.0.lock().unwrap();
        all.values().map(|count| count - 1).sum()
    }

    /// Asserts that the retries stay within the budget of this number of requests.
    #[track_caller]
    fn assert_within_budget(&self, requests: usize) {
        let bound = (RETRY_RATIO * requests as f64) as usize + RETRY_EXTRA;
        let extra = self.retries();
        assert!(extra <= bound, "{extra} retries, {bound} allowed");
    }
}

/// Returns what identifies a request, or each piece of a call.
pub(crate) fn arrival_keys(seen: &ReceivedRequest) -> Vec<String> {
    match seen.path() {
        "/api/stage-run" => call_items(seen).iter().map(piece_key).collect(),
        "/api/stage-free" => Vec::new(),
        _ => vec![seen.header("x-laburnumcart-attempt-id").unwrap().to_owned()],
    }
}

fn piece_key(item: &Value) -> String {
    format!("{}-{}-{}", item["id"], item["stage"], item["segment"])
}

type Script = fn(&ReceivedRequest) -> Vec<Step>;

/// Starts the targets of a service; `share` of ten arrivals get the response of `failing`.
async fn start_targets(share: usize, failing: Script, healthy: Script) -> (Vec<Target>, Arrivals) {
    let arrivals = Arrivals::default();
    let count = Arc::new(atomic::AtomicUsize::new(0));
    let mut targets = Vec::new();
    for _ in 0..TARGET_COUNT {
        let (arrivals, count) = (arrivals.clone(), count.clone());
        let script = move |seen: &ReceivedRequest, _: usize| {
            arrivals.record(seen);
            if seen.path() == "/api/stage-free" {
                return healthy(seen);
            }
            // Spreads the failures evenly over the arrivals.
            let number = count.fetch_add(1, atomic::Ordering::AcqRel);
            match number * 7 % 10 < share {
                true => failing(seen),
                false => healthy(seen),
            }
        };
        targets.push(Target::start(script).await.unwrap());
    }
    (targets, arrivals)
}

fn named_targets<'a>(
    service: &'a str,
    targets: &'a [Target],
) -> Vec<(String, &'a str, &'a Target)> {
    let name = |i: usize| format!("{service}-{i}");
    let all = targets.iter().enumerate();
    all.map(|(i, target)| (name(i), service, target)).collect()
}

/// Starts `count` gateways for the targets.
async fn start_gateways(
    count: usize,
    config: Value,
    targets: &[(String, &str, &Target)],
) -> Vec<System> {
    let targets: Vec<_> = targets
        .iter()
        .map(|(n, s, t)| (n.as_str(), *s, *t))
        .collect();
    let first = System::start(config, &targets).await;
    let mut gateways = first.start_peers(2..=count).await;
    gateways.push(first);
    gateways
}

/// Sends requests with distinct IDs to the gateways in turn; returns the number served.
async fn send_requests(gateways: &[System], path: &str, requests: usize) -> usize {
    static IDS: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
    let next = atomic::AtomicUsize::new(0);
    let served = atomic::AtomicUsize::new(0);
    let caller = || async {
        loop {
            let number = next.fetch_add(1, atomic::Ordering::AcqRel);
            if number >= requests {
                return;
            }
            let id = IDS.fetch_add(1, atomic::Ordering::AcqRel);
            let id = HeaderValue::try_from(format!("request-{id}")).unwrap();
            let response = gateways[number % gateways.len()].call(path, |headers| {
                headers.insert("x-laburnumcart-attempt-id", id);
                set_pieces(headers);
            });
            if response.await.status == StatusCode::OK {
                served.fetch_add(1, atomic::Ordering::AcqRel);
            }
        }
    };
    futures_util::future::join_all((0..CONCURRENCY).map(|_| caller())).await;
    served.into_inner()
}

/// Sets the headers of a request with pieces for two stages.
pub(crate) fn set_pieces(headers: &mut HeaderMap) {
    headers.insert("x-laburnumcart-chunks", "3,1".parse().unwrap());
    headers.insert("x-laburnumcart-chunk-key", "k-1".parse().unwrap());
}

fn server_error(seen: &ReceivedRequest) -> Vec<Step> {
    vec![response(seen, "500 Internal Server Error", "", "")]
}

fn reset(_: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Reset]
}

fn unavailable(seen: &ReceivedRequest) -> Vec<Step> {
    vec![not_run(seen, "503 Service Unavailable")]
}

fn misdirected(seen: &ReceivedRequest) -> Vec<Step> {
    vec![not_run(seen, "421 Misdirected Request")]
}

fn inputs_gone(seen: &ReceivedRequest) -> Vec<Step> {
    vec![not_run(seen, "409 Conflict")]
}

pub(crate) fn full_response(seen: &ReceivedRequest) -> Vec<Step> {
    vec![success(seen, "done")]
}

pub(crate) fn full_stream(seen: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(seen), chunk(&events(1..=3)), stream_end()]
}

fn broken_stream(seen: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(seen), chunk(&events(1..=1)), Step::Reset]
}

fn failed_outcomes(seen: &ReceivedRequest, reason: &str) -> Vec<Step> {
    let all = vec![json!({ "reason": reason }); call_items(seen).len()];
    vec![success(seen, &json!({ "items": all }).to_string())]
}

fn inputs_missing(seen: &ReceivedRequest) -> Vec<Step> {
    failed_outcomes(seen, "gone")
}

fn no_room(seen: &ReceivedRequest) -> Vec<Step> {
    failed_outcomes(seen, "room")
}

fn failed_pieces(seen: &ReceivedRequest) -> Vec<Step> {
    failed_outcomes(seen, "error")
}

/// Raises the attempts of all routes to four.
fn with_four_attempts(mut config: Value) -> Value {
    for route in config["routes"].as_array_mut().unwrap() {
        route["max_attempts"] = json!(4);
    }
    config
}

// Requests move from one failing target to the next.
#[rstest]
#[case::failures("/safe/1", server_error, full_response)]
#[case::resets("/safe/1", reset, full_response)]
#[case::refusals("/safe/1", unavailable, full_response)]
#[case::other_targets("/safe/1", misdirected, full_response)]
#[case::refused_once("/once/1", unavailable, full_response)]
#[case::resumed_streams("/resumed/1", broken_stream, full_stream)]
#[case::refused_streams("/resumed/1", unavailable, full_stream)]
#[tokio::test]
async fn retried_requests_stay_within_the_budget(
    #[values(1, 4)] gateways: usize,
    #[values(5, 10)] share: usize,
    #[case] path: &str,
    #[case] failing: Script,
    #[case] healthy: Script,
) {
    let (desks, arrivals) = start_targets(share, failing, healthy).await;
    let config = with_four_attempts(config(|_| ()));
    let fleet = start_gateways(gateways, config, &named_targets("desk", &desks)).await;
    send_requests(&fleet, path, REQUESTS).await;
    arrivals.assert_within_budget(REQUESTS);
}

// Stage calls fail as a whole or piece by piece.
#[rstest]
#[case::failures(server_error)]
#[case::resets(reset)]
#[case::refusals(unavailable)]
#[case::errors(failed_pieces)]
#[case::gone(inputs_missing)]
#[case::no_room(no_room)]
#[tokio::test]
async fn recomputed_pieces_stay_within_the_budget(
    #[values(1, 4)] gateways: usize,
    #[values(3, 10)] share: usize,
    #[case] failing: Script,
) {
    let (encoders, arrivals) = start_targets(share, failing, stage_response).await;
    let desk = desk_target().await;
    let mut all = named_targets("encode", &encoders);
    all.push(("desk-1".into(), "desk", &desk));
    let fleet = start_gateways(gateways, two_stage_config(), &all).await;
    send_requests(&fleet, "/safe/1", REQUESTS).await;
    arrivals.assert_within_budget(REQUESTS);
}

// A target finds that the inputs of a request are gone, and they are computed again.
#[rstest]
#[tokio::test]
async fn rerun_stages_stay_within_the_budget(
    #[values(1, 4)] gateways: usize,
    #[values("/safe/1", "/resumed/1")] path: &str,
) {
    let (desks, requests) = start_targets(5, inputs_gone, full_response).await;
    let (encoders, arrivals) = start_targets(0, unavailable, stage_response).await;
    let mut all = named_targets("encode", &encoders);
    all.extend(named_targets("desk", &desks));
    let mut config = with_four_attempts(two_stage_config());
    config["routes"][3]["stages"] = config["routes"][0]["stages"].clone();
    let fleet = start_gateways(gateways, config, &all).await;
    send_requests(&fleet, path, REQUESTS).await;
    requests.assert_within_budget(REQUESTS);
    arrivals.assert_within_budget(REQUESTS);
}

// Three of four gateways restart repeatedly, each with a full budget.
#[tokio::test]
async fn restarting_gateways_stay_within_the_budget() {
    let (desks, arrivals) = start_targets(10, server_error, full_response).await;
    let config = with_four_attempts(config(|_| ()));
    let mut gateways = start_gateways(1, config, &named_targets("desk", &desks)).await;
    let rounds = 6;
    for _ in 0..rounds {
        let others = gateways[0].start_peers(2..=4).await;
        gateways.truncate(1);
        gateways.extend(others);
        send_requests(&gateways, "/safe/1", REQUESTS / rounds).await;
    }
    arrivals.assert_within_budget(REQUESTS);
}
