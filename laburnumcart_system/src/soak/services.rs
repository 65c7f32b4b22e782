//! Services of which all targets fail at once, beside the other faults.

use std::{
    sync::Arc,
    time, //
};

use rand::{
    Rng,
    SeedableRng, //
};

use crate::soak::{
    Site,
    targets::{
        Mode,
        SERVICES, //
    },
};

/// Time for which a service fails, and the pause before the next one, in milliseconds.
const FAILS_MS: std::ops::Range<u64> = 300..1500;
const PAUSE_MS: std::ops::Range<u64> = 200..1000;

/// Ways in which its targets fail.
const MODES: [Mode; 3] = [Mode::Shed, Mode::Reset, Mode::Cut];

/// Lets one service after the other fail for the time of the plan.
pub(super) async fn play(site: &Arc<Site>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(site.plan.seed);
    let end = time::Instant::now() + site.plan.length;
    while time::Instant::now() < end {
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let mode = MODES[rng.random_range(0..MODES.len())];
        site.targets.lock().await.set_all(service, mode);
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(FAILS_MS))).await;
        site.targets.lock().await.set_all(service, Mode::Good);
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}
