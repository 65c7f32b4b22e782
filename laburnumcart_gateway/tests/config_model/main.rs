//! Seeded model of a fleet that follows the configuration, on the paused clock.
//!
//! Each order draws changes of the configuration and faults of the store, of gateways and of the
//! network between them. The gateways run the code of the control thread.

mod fleet;
mod network;
mod order;
mod rules;

use std::time;

use fleet::Report;

/// Longest time after which a gateway has a version in force that the store or a peer can give it:
/// three quarters of the 2 s that users allow.
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
fn play(seed: u64) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(order::play(seed))
}

/// Returns the value at a share of a sorted list.
fn quantile(sorted: &[time::Duration], share: f64) -> time::Duration {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).ceil() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

// Timeouts that add up let revoked keys work after the bound.
#[test]
fn a_version_is_in_force_in_time_whatever_fails() {
    let mut delays = Vec::new();
    let mut late = Vec::new();
    let mut calls = 0;
    for seed in seeds() {
        let report = play(seed);
        assert!(report.reverted.is_empty(), "seed {seed}: {report:?}");
        let worst = report.delays.iter().copied().max().unwrap_or_default();
        if worst > DELAY_MAX {
            late.push((seed, worst, report.slowest));
        }
        delays.extend(report.delays);
        calls += report.calls;
    }
    delays.sort_unstable();
    println!(
        "{} versions taken: p99 {:?}, largest {:?}; {calls} calls",
        delays.len(),
        quantile(&delays, 0.99),
        delays.last().copied().unwrap_or_default()
    );
    let shown: Vec<_> = late.iter().take(12).collect();
    assert!(late.is_empty(), "{} orders late: {shown:#?}", late.len());
}
