//! Means that forget.

use std::time;

use laburnumcart::pace;
use tokio::time::Instant;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn recent_times_count_most() {
    let start = Instant::now();
    let mut pace = pace::Pace::default();
    for i in 0..20 {
        pace.record(100 * MS, start + i * 10 * MS);
    }
    let now = start + 1200 * MS;
    for _ in 0..20 {
        pace.record(900 * MS, now);
    }
    let mean = pace.mean(now).unwrap();
    assert!(mean > 650 * MS && mean < 900 * MS, "{mean:?}");
}

// A congested queue refuses everything, so that nothing is measured any more. The last times must
// not keep it shut for good.
#[test]
fn old_times_are_forgotten() {
    let start = Instant::now();
    let mut pace = pace::Pace::default();
    pace.record(3000 * MS, start);
    assert!(pace.mean(start + 1000 * MS).is_some());
    assert_eq!(pace.mean(start + 1600 * MS), None);
}
