//! Data centres that are evacuated and taken back while faults are played.

use std::time;

use rand::{
    Rng,
    SeedableRng, //
};
use serde_json::json;

use crate::soak::{
    Site,
    ledger::Evacuation,
    targets::{
        self,
        PLACES, //
    },
};

/// Pauses between two evacuations in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1500;

/// Time for which a data centre stays evacuated, in milliseconds; some are taken back early.
const LENGTH_MS: std::ops::Range<u64> = 300..8000;

/// Evacuates one data centre after another, the last one until the run ends.
///
/// They are drawn apart from the faults, so that a seed plays the same faults with them and
/// without.
pub(super) async fn play(site: &Site) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(!site.plan.seed);
    let end = time::Instant::now() + site.plan.length;
    while time::Instant::now() < end {
        let place = PLACES[rng.random_range(0..PLACES.len())];
        evacuate(site, place).await;
        wait(rng.random_range(LENGTH_MS), end).await;
        take_back(site, place).await;
        wait(rng.random_range(PAUSE_MS), end).await;
    }
    evacuate(site, PLACES[rng.random_range(0..PLACES.len())]).await;
}

async fn wait(millis: u64, end: time::Instant) {
    let left = end.saturating_duration_since(time::Instant::now());
    tokio::time::sleep(time::Duration::from_millis(millis).min(left)).await;
}

async fn evacuate(site: &Site, place: &'static str) {
    site.write(&format!("evacuations/{place}"), &json!({}))
        .await;
    site.ledger.fault(format!("{place} is evacuated"));
    let evacuation = Evacuation {
        place,
        from: time::Instant::now(),
        until: None,
    };
    site.ledger.lock().evacuations.push(evacuation);
}

async fn take_back(site: &Site, place: &'static str) {
    let now = time::Instant::now();
    if let Some(evacuation) = site.ledger.lock().evacuations.last_mut() {
        evacuation.until = Some(now);
    }
    site.ledger.fault(format!("{place} is taken back"));
    targets::remove(&site.store, &format!("evacuations/{place}")).await;
}
