//! Rules of the configuration other than its delay.

use std::time;

use crate::fleet::{
    Fleet,
    Gateway,
    Subject, //
};

/// Number of gateways.
const GATEWAYS: usize = 5;

/// Time in which all gateways have read a change.
const SPREAD: time::Duration = time::Duration::from_secs(3);

async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(0, Subject::Config);
    fleet.change(0).await;
    (0..GATEWAYS).for_each(|index| fleet.start_gateway(index));
    tokio::time::sleep(SPREAD).await;
    assert!(fleet.is_settled());
    fleet
}

// Confirmed beside an unreadable configuration, keys that it takes away would work for good.
#[tokio::test(start_paused = true)]
async fn an_invalid_configuration_is_not_taken_and_confirms_nothing() {
    let mut fleet = start_fleet().await;
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
