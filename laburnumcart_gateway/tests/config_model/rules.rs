//! Rules of the configuration other than its delay.

use std::time;

use laburnumcart::{
    id,
    poison, //
};
use tokio::time::Instant;

use crate::{
    fleet::{
        Fleet,
        Gateway,
        Subject, //
    },
    layout::ROUTES_MAX,
    network::Path, //
};

/// Number of gateways.
const GATEWAYS: usize = 5;

/// Time in which all gateways have read a change.
const SPREAD: time::Duration = time::Duration::from_secs(3);

/// Time that a request runs until its target crashes.
const RUN: time::Duration = time::Duration::from_millis(100);

/// Starts gateways and waits until they know each other.
async fn start_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(0, Subject::Config);
    fleet.change(0).await;
    (0..count).for_each(|index| fleet.start_gateway(index));
    tokio::time::sleep(SPREAD).await;
    assert!(fleet.is_settled());
    fleet
}

// Confirmed beside an unreadable configuration, keys that it takes away would work for good.
#[tokio::test(start_paused = true)]
async fn an_invalid_configuration_is_not_taken_and_confirms_nothing() {
    let mut fleet = start_fleet(GATEWAYS).await;
    fleet.write("invalid").await;
    tokio::time::sleep(SPREAD).await;
    let is_kept = |g: &Gateway| g.version() == 1 && g.unconfirmed() >= SPREAD;
    let seen: Vec<_> = fleet.gateways.iter().map(Gateway::unconfirmed).collect();
    assert!(fleet.gateways.iter().all(is_kept), "{seen:?}");
    fleet.change(0).await;
    tokio::time::sleep(SPREAD).await;
    let is_confirmed = |g: &Gateway| g.version() == 2 && g.unconfirmed() < SPREAD;
    assert!(fleet.gateways.iter().all(is_confirmed));
}

// Given up for other sources, calls of a store that is merely slow would never end.
#[tokio::test(start_paused = true)]
async fn a_gateway_without_peers_reads_a_slow_store() {
    let mut fleet = start_fleet(1).await;
    let slow = Path::Slow(time::Duration::from_millis(600));
    fleet.gateways[0].endpoint.path.send_replace(slow);
    tokio::time::sleep(SPREAD).await;
    fleet.change(0).await;
    tokio::time::sleep(SPREAD).await;
    assert_eq!(fleet.gateways[0].version(), 2);
    assert!(fleet.gateways[0].unconfirmed() < SPREAD);
}

// A change made while an unchanged configuration is read again waits until that has passed the link.
#[tokio::test(start_paused = true)]
async fn an_unchanged_configuration_is_not_read_again_after_an_outage() {
    let mut fleet = Fleet::new(0, Subject::Config).with_links(|_| 1.25e6);
    fleet.add_routes(ROUTES_MAX).await;
    fleet.start_gateway(0);
    tokio::time::sleep(SPREAD).await;
    assert_eq!(fleet.gateways[0].version(), 1);
    let path = fleet.gateways[0].endpoint.path.clone();
    path.send_replace(Path::Refused);
    tokio::time::sleep(SPREAD).await;
    path.send_replace(Path::Open);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    fleet.add_routes(0).await;
    // A read of the whole takes 0.83 s.
    tokio::time::sleep(time::Duration::from_millis(1100)).await;
    assert_eq!(fleet.gateways[0].version(), 2);
}

// Several large versions in one answer take as long as all of them, and only the last one counts.
#[tokio::test(start_paused = true)]
async fn versions_that_were_missed_are_not_all_read() {
    let mut fleet = Fleet::new(0, Subject::Config).with_links(|_| 1.25e6);
    fleet.add_routes(ROUTES_MAX).await;
    fleet.start_gateway(0);
    tokio::time::sleep(SPREAD).await;
    let path = fleet.gateways[0].endpoint.path.clone();
    path.send_replace(Path::Refused);
    for _ in 0..3 {
        fleet.add_routes(0).await;
    }
    tokio::time::sleep(SPREAD).await;
    path.send_replace(Path::Open);
    // The store is asked again after 0.4 s at most.
    tokio::time::sleep(time::Duration::from_millis(1400)).await;
    assert_eq!(fleet.gateways[0].version(), 4);
}

// Forgotten with all gateways at once, a content crashes as many targets again.
#[tokio::test(start_paused = true)]
async fn a_content_that_crashed_targets_is_known_once_all_gateways_have_restarted() {
    let mut fleet = start_fleet(GATEWAYS).await;
    let content = id::Fingerprint(7);
    for life in 1..=3 {
        let target = id::TargetLife {
            name: "engine-1".parse().unwrap(),
            life: id::Life(life),
        };
        let sent = Instant::now();
        tokio::time::sleep(RUN).await;
        let failure = poison::Failure {
            content,
            parts: [].into(),
            sent,
            failed: Instant::now(),
            given_up: false,
        };
        for gateway in &fleet.gateways {
            let signals = &gateway.endpoint.cache.signals;
            signals.record_crash(
                &target,
                std::slice::from_ref(&failure),
                poison::Sign::Closed,
            );
        }
    }
    tokio::time::sleep(SPREAD).await;
    (0..GATEWAYS).for_each(|index| fleet.end_gateway(index));
    (0..GATEWAYS).for_each(|index| fleet.start_gateway(index));
    tokio::time::sleep(SPREAD).await;
    let status = |g: &Gateway| g.endpoint.cache.signals.content_status(|| content);
    let seen: Vec<_> = fleet.gateways.iter().map(status).collect();
    assert!(!seen.contains(&poison::Status::Clean), "{seen:?}");
}
