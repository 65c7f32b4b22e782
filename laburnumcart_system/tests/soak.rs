//! A short soak of real gateways; `laburnum-soak` runs longer ones.

use std::{
    env,
    fs,
    process,
    time, //
};

use laburnumcart_system::soak;
use rstest::rstest;

// Gateways are killed, paused and stopped, targets fail in many ways, connections fall silent and
// the store has outages, one over the other. What callers and targets see must keep the promises:
// whole answers of the own request, at most one run, true refusals, no revoked key, and nothing cut
// by planned work alone (seeds 4, 8 and 12). In some cases data centres are evacuated beside all
// that, and get nothing, or targets name limits or start cold, and get no more than they bear, or all
// targets of a service fail. Repeats stay within their bound.
//
// Seed 202 failed once: a gateway that was paused and then told to stop was not woken at the end of
// the faults, which was the soak's own mistake. Seed 511 failed once: a late second answer of an
// encoder gave a request the results of another. Seed 21 failed in some plays: gateways that had just
// started did not know each other, and each took the whole rate of a cold target.
#[rstest]
#[case(4, false, false, false)]
#[case(5, false, false, false)]
#[case(202, false, false, false)]
#[case(511, false, false, false)]
#[case(8, true, false, false)]
#[case(9, true, false, false)]
#[case(12, false, true, false)]
#[case(13, true, true, false)]
#[case(21, false, true, false)]
#[case(22, false, false, true)]
#[case(23, true, true, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults(
    #[case] seed: u64,
    #[case] evacuations: bool,
    #[case] needs: bool,
    #[case] services: bool,
) {
    let dir = env::temp_dir().join(format!("laburnum-soak-test-{}-{seed}", process::id()));
    fs::create_dir_all(&dir).unwrap();
    let plan = soak::Plan {
        seed,
        gateways: 3,
        length: time::Duration::from_secs(5),
        evacuations,
        needs,
        services,
    };
    let report = soak::run(plan, &dir).await.unwrap();
    assert!(
        report.breaches.is_empty(),
        "{report}logs: {}",
        dir.display()
    );
    fs::remove_dir_all(&dir).unwrap();
}
