//! Evacuations of data centres during the run.

use std::time;

use rand::{
    Rng,
    SeedableRng, //
};
use serde_json::json;

use crate::soak::{
    Testbed,
    history::Evacuation,
    targets::{
        self,
        DATA_CENTRES, //
    },
};

/// Pause between two evacuations in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1500;

/// Duration of an evacuation in milliseconds; some end before every gateway has received them.
const LENGTH_MS: std::ops::Range<u64> = 300..8000;

/// Evacuates one data centre after another, the last one until the run ends.
///
/// A random number generator of its own keeps the faults of a seed the same with evacuations and
/// without.
pub(super) async fn inject(testbed: &Testbed) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(!testbed.plan.seed);
    let end = time::Instant::now() + testbed.plan.length;
    while time::Instant::now() < end {
        let data_centre = DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())];
        evacuate(testbed, data_centre).await;
        sleep_until_end(rng.random_range(LENGTH_MS), end).await;
        restore(testbed, data_centre).await;
        sleep_until_end(rng.random_range(PAUSE_MS), end).await;
    }
    evacuate(
        testbed,
        DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())],
    )
    .await;
}

/// Sleeps for `millis`, but not beyond `end`.
async fn sleep_until_end(millis: u64, end: time::Instant) {
    let left = end.saturating_duration_since(time::Instant::now());
    tokio::time::sleep(time::Duration::from_millis(millis).min(left)).await;
}

async fn evacuate(testbed: &Testbed, data_centre: &'static str) {
    testbed
        .overwrite(&format!("evacuations/{data_centre}"), &json!({}))
        .await;
    testbed
        .history
        .record_fault(format!("{data_centre} is evacuated"));
    let evacuation = Evacuation {
        data_centre,
        from: time::Instant::now(),
        until: None,
    };
    testbed.history.lock().evacuations.push(evacuation);
}

async fn restore(testbed: &Testbed, data_centre: &'static str) {
    let now = time::Instant::now();
    if let Some(evacuation) = testbed.history.lock().evacuations.last_mut() {
        evacuation.until = Some(now);
    }
    testbed
        .history
        .record_fault(format!("{data_centre} is restored"));
    targets::remove(&testbed.store, &format!("evacuations/{data_centre}")).await;
}
