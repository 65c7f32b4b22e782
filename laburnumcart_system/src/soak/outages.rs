//! Outages of whole services, in addition to the other faults.

use std::{
    sync::Arc,
    time, //
};

use rand::{
    Rng,
    SeedableRng, //
};

use crate::soak::{
    Testbed,
    targets::{
        Mode,
        SERVICES, //
    },
};

/// Duration of an outage in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..1500;

/// Pause between two outages in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1000;

/// Failure modes of the targets; `Reset` sends nothing of the response, `Cut` sends a part of it.
const MODES: [Mode; 3] = [Mode::Shed, Mode::Reset, Mode::Cut];

/// Lets all targets of a random service fail, again and again for the length of the plan.
pub(super) async fn inject(testbed: &Arc<Testbed>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(testbed.plan.seed);
    let end = time::Instant::now() + testbed.plan.length;
    while time::Instant::now() < end {
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let mode = MODES[rng.random_range(0..MODES.len())];
        testbed.targets.lock().await.set_all(service, mode);
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(LENGTH_MS))).await;
        testbed.targets.lock().await.set_all(service, Mode::Good);
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}
