//! Rate limits that targets advertise and gateways share.

use std::{
    sync::{
        Arc,
        atomic, //
    },
    time,
};

use http::StatusCode;
use laburnumcart_fakes::scripted::{
    Step,
    Target, //
};
use rstest::rstest;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    fixtures::{
        Arrivals,
        Script,
        broken_stream,
        call_concurrently,
        call_in_sequence,
        engine_config,
        full_response,
        full_stream,
        server_error,
        start_stage_target,
        start_target, //
    },
    stages,
    support::{
        System,
        TIMEOUT,
        config,
        target_entry,
        wait_for, //
    },
};

/// Window in which the requests to a target are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);

/// Returns the maximum number of requests that arrived in one window.
fn max_in_window(arrivals: &Arrivals) -> usize {
    let arrivals = arrivals.lock().unwrap();
    let within = |start: &Instant| {
        let window = *start..*start + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// Returns the header line that advertises a rate limit.
fn limit_header(rate: f64) -> String {
    format!("server-limit: {rate}\r\n")
}

/// Returns the number of requests allowed in one window with a limit of `rate` requests per second.
fn max_allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

// Gateways that ignore the limit would send an overloaded engine as much as the others.
#[tokio::test]
async fn gateways_share_the_limit_of_an_engine() {
    let (limited, arrivals) = start_target(limit_header(1.0), full_stream).await;
    let (free, _) = start_target("", full_stream).await;
    let targets = [("i-1", "desk", &limited), ("i-2", "desk", &free)];
    let first = System::start(engine_config(), &targets).await;
    let others = first.start_peers(2..=4).await;
    let gateways: Vec<_> = [&first].into_iter().chain(&others).collect();
    call_in_sequence(&gateways, "/stream/1", 25).await;
    let most = max_in_window(&arrivals);
    assert!(most <= max_allowed(1.0), "{most} in {WINDOW:?}");
}

// Each path that sends requests must honour the target's limit.
#[rstest]
#[case::idempotent("/safe/1", full_response, full_response)]
#[case::non_idempotent("/once/1", full_response, full_response)]
#[case::streams("/stream/1", full_stream, full_stream)]
#[case::second_attempts("/safe/1", full_response, server_error)]
#[case::resumed_streams("/resumed/1", full_stream, broken_stream)]
#[tokio::test]
async fn every_path_honours_a_limit(
    #[values(1, 4)] count: usize,
    #[values(0.0, 1.0, 6.5)] rate: f64,
    #[case] path: &str,
    #[case] limited: Script,
    #[case] other: Script,
) {
    let (limited, arrivals) = start_target(limit_header(rate), limited).await;
    let (other, _) = start_target("", other).await;
    let first = System::start(config(|_| ()), &[("i-1", "desk", &limited)]).await;
    let others = first.start_peers(2..=count).await;
    let gateways: Vec<_> = [&first].into_iter().chain(&others).collect();
    call_in_sequence(&gateways, path, 1).await;
    let value = target_entry("desk", &other, "ready");
    first.put("servers/i-2", &value).await;
    let known = |system: &&System| system.gateway.view.targets.load().len() == 2;
    wait_for(|| gateways.iter().all(known)).await;
    let each = gateways.iter().map(|gateway| async move {
        for _ in 0..30 {
            gateway.call(path, |_| ()).await;
        }
    });
    futures_util::future::join_all(each).await;
    let most = max_in_window(&arrivals);
    assert!(most <= max_allowed(rate), "{most} in {WINDOW:?}");
}

// Stage calls and calls that free results count against the same limit.
#[rstest]
#[tokio::test]
async fn stage_and_free_calls_share_a_limit(
    #[values(1, 4)] count: usize,
    #[values(1.0, 6.5)] rate: f64,
) {
    let (encoder, arrivals) = start_stage_target(limit_header(rate)).await;
    let (desk, _) = start_target("", full_response).await;
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let first = System::start(stages::two_stage_config(), &targets).await;
    let others = first.start_peers(2..=count).await;
    let gateways: Vec<_> = [&first].into_iter().chain(&others).collect();
    for _ in 0..3 {
        call_concurrently(&gateways, 4).await;
    }
    let most = max_in_window(&arrivals);
    assert!(most <= max_allowed(rate), "{most} in {WINDOW:?}");
    assert!(most > 1, "it gets no requests any more");
}

// The results of one call are freed one at a time, as their requests end.
#[tokio::test]
async fn freed_results_keep_to_a_limit() {
    let (encoder, arrivals) = start_stage_target(limit_header(1.0)).await;
    let desk = Target::start(|seen, n| {
        let pause = time::Duration::from_millis(60 * n as u64);
        [vec![Step::Pause(pause)], full_response(seen, "")].concat()
    });
    let desk = desk.await.unwrap();
    let mut config = stages::two_stage_config();
    config["routes"][0]["stages"]
        .as_array_mut()
        .unwrap()
        .truncate(1);
    config["routes"][0]["target_latency_ms"] = json!(2900);
    config["services"][1]["segments"]["batch"] = json!(64);
    let targets = [("i-1", "desk", &desk), ("i-2", "encode", &encoder)];
    let system = System::start(config, &targets).await;
    let responses = call_concurrently(&[&system], 16).await;
    let served = responses.iter().filter(|status| **status == StatusCode::OK);
    assert!(served.count() > 8, "{responses:?}");
    let most = max_in_window(&arrivals);
    assert!(most <= max_allowed(1.0), "{most} in {WINDOW:?}");
}

// Targets that execute stages and serve requests must not exceed their limit by the two together.
#[tokio::test]
async fn stages_and_requests_share_a_limit() {
    let (both, arrivals) = start_stage_target(limit_header(6.5)).await;
    let mut config = stages::two_stage_config();
    config["routes"][0]["service"] = json!("encode");
    config["routes"][1]["service"] = json!("encode");
    let first = System::start(config, &[("i-1", "encode", &both)]).await;
    let others = first.start_peers(2..=3).await;
    let gateways: Vec<_> = [&first].into_iter().chain(&others).collect();
    let each = gateways.iter().map(|gateway| async move {
        for _ in 0..20 {
            gateway.call("/once/1", |_| ()).await;
        }
    });
    tokio::join!(
        call_concurrently(&gateways, 6),
        futures_util::future::join_all(each)
    );
    let most = max_in_window(&arrivals);
    assert!(most <= max_allowed(6.5), "{most} in {WINDOW:?}");
}

/// Returns the number of targets whose rate limit a gateway knows.
fn limited_targets(system: &System) -> i64 {
    system.gateway.metrics.targets.limited.get()
}

// The limit ends when responses no longer advertise it, but not by a response sent before it.
#[tokio::test]
async fn a_limit_holds_for_as_long_as_it_is_named() {
    let advertised = Arc::new(atomic::AtomicBool::new(true));
    let shared = advertised.clone();
    let (target, arrivals) = start_target("", move |seen, _| {
        let limit = match shared.load(atomic::Ordering::Relaxed) {
            true => "server-limit: 1\r\n",
            false => "",
        };
        // The first response is sent before the limit is advertised, and arrives afterwards.
        match seen.header("x-first") {
            Some(_) => [
                vec![Step::Pause(time::Duration::from_millis(150))],
                full_response(seen, ""),
            ]
            .concat(),
            None => full_response(seen, limit),
        }
    })
    .await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let first = system.call("/safe/1", |h| {
        h.insert("x-first", "1".parse().unwrap());
    });
    let second = async {
        wait_for(|| arrivals.lock().unwrap().len() == 1).await;
        system.call("/safe/1", |_| ()).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(
        (first.status, second.status),
        (StatusCode::OK, StatusCode::OK)
    );
    assert_eq!(
        limited_targets(&system),
        1,
        "an older response does not end the limit"
    );
    let third = system.call("/safe/1", |_| ()).await;
    let refused = system.call("/safe/1", |_| ()).await;
    assert_eq!(
        (third.status, refused.status),
        (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE)
    );
    assert!(refused.headers.contains_key("retry-after"));
    advertised.store(false, atomic::Ordering::Relaxed);
    let open = async {
        while limited_targets(&system) > 0 {
            system.call("/safe/1", |_| ()).await;
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, open).await.unwrap();
    call_in_sequence(&[&system], "/safe/1", 10).await;
}

// Neither a restarted target nor another one at its address has advertised the limit.
#[tokio::test]
async fn a_limit_ends_with_the_life_that_named_it() {
    let (old, _) = start_target(limit_header(0.0), full_response).await;
    let system = System::start(config(|_| ()), &[("i-1", "desk", &old)]).await;
    call_in_sequence(&[&system], "/safe/1", 1).await;
    let refused = system.call("/safe/1", |_| ()).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let (new, _) = start_target("", full_response).await;
    let value = target_entry("desk", &new, "ready").replace("\"born\":1", "\"born\":2");
    system.put("servers/i-1", &value).await;
    let is_restarted = || {
        let targets = system.gateway.view.targets.load();
        let listed = targets.service(&"desk".parse().unwrap());
        listed.iter().any(|t| t.addr == new.addr())
    };
    wait_for(is_restarted).await;
    call_in_sequence(&[&system], "/safe/1", 10).await;
}

// A limit that one gateway learns applies to the others before a response tells them.
#[tokio::test]
async fn gateways_that_were_not_told_keep_to_a_limit() {
    let (desk, arrivals) = start_target(limit_header(1.0), full_response).await;
    let first = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let others = first.start_peers(2..=6).await;
    call_in_sequence(&[&first], "/safe/1", 1).await;
    wait_for(|| others.iter().all(|system| limited_targets(system) == 1)).await;
    let each = others.iter().map(|gateway| async move {
        for _ in 0..10 {
            gateway.call("/safe/1", |_| ()).await;
        }
    });
    futures_util::future::join_all(each).await;
    let most = max_in_window(&arrivals);
    assert!(most <= 5, "{most} in {WINDOW:?}");
}
