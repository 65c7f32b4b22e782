//! Seeded model of a fleet that follows the configuration, on the paused clock.
//!
//! Each order draws changes of the configuration and faults of the store, of gateways and of the
//! network between them. The gateways run the code of the control thread.

mod fleet;
mod network;
mod order;
mod rules;

use std::{
    sync,
    time, //
};

use fleet::{
    Report,
    Subject, //
};

/// Time after which users need a version to be in force at a gateway that can get it.
const USERS_BOUND: time::Duration = time::Duration::from_secs(2);

/// Time after which it should be: three quarters of that.
const DELAY_MAX: time::Duration = time::Duration::from_millis(1500);

/// Number of orders that are drawn, unless the environment says otherwise.
const ORDERS: u64 = 60;

/// Returns the seeds from the environment, as `FIRST..END`, or the default ones.
fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CONFIG_MODEL_SEEDS") else {
        return 0..ORDERS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Plays an order on a paused clock of its own.
fn play(seed: u64, subject: Subject) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(order::play(seed, subject))
}

/// Returns the value at a share of a sorted list.
fn quantile(sorted: &[time::Duration], share: f64) -> time::Duration {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).ceil() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// Plays the orders of all seeds and prints their delays.
fn play_all(subject: Subject) -> Vec<(u64, Report)> {
    let reports: Vec<_> = seeds().map(|seed| (seed, play(seed, subject))).collect();
    let delays = reports.iter().flat_map(|(_, report)| &report.delays);
    let mut delays: Vec<_> = delays.copied().collect();
    delays.sort_unstable();
    println!(
        "{subject:?}: {} versions taken: p99 {:?}, largest {:?}; {} calls",
        delays.len(),
        quantile(&delays, 0.99),
        delays.last().copied().unwrap_or_default(),
        reports.iter().map(|(_, r)| r.calls).sum::<usize>()
    );
    reports
}

/// Returns the orders of the configuration, played once for all tests.
fn reports() -> &'static [(u64, Report)] {
    static REPORTS: sync::OnceLock<Vec<(u64, Report)>> = sync::OnceLock::new();
    REPORTS.get_or_init(|| play_all(Subject::Config))
}

/// Checks that no version is in force later than a bound.
fn check_delays(reports: &[(u64, Report)], bound: time::Duration) {
    let worst = |report: &Report| report.delays.iter().copied().max().unwrap_or_default();
    let late = reports.iter().filter(|(_, r)| worst(r) > bound);
    let late: Vec<_> = late.map(|(seed, r)| (seed, worst(r), &r.slowest)).collect();
    let shown: Vec<_> = late.iter().take(12).collect();
    assert!(late.is_empty(), "{} orders late: {shown:#?}", late.len());
}

// Timeouts that add up let revoked keys work after the bound.
#[test]
fn a_version_is_in_force_within_the_bound_whatever_fails() {
    check_delays(reports(), USERS_BOUND);
}

// Without a margin, a slow instance exceeds the bound.
#[test]
fn a_version_is_in_force_in_time_whatever_fails() {
    check_delays(reports(), DELAY_MAX);
}

// A target that leaves gets work for as long as a gateway has its old entry.
#[test]
fn an_entry_of_a_target_is_known_within_the_bound_whatever_fails() {
    check_delays(&play_all(Subject::Target), USERS_BOUND);
}

// A gateway that takes an older version back accepts keys that were taken away.
#[test]
fn no_version_reverts_whatever_fails() {
    for (seed, report) in reports() {
        assert!(report.reverted.is_empty(), "seed {seed}: {report:?}");
    }
}
