//! Tests of the estimated time that callers spent on earlier attempts.

use std::time;

use laburnumcart::patience;
use rstest::rstest;

const MS: time::Duration = time::Duration::from_millis(1);

/// Returns the state of a route whose longest patience is 6 s.
fn callers() -> patience::Patience {
    let mut callers = patience::Patience::default();
    assert_eq!(callers.estimate_spent(6000 * MS), time::Duration::ZERO);
    callers
}

// If a shorter patience counted as time spent, first attempts would be delayed or refused.
#[rstest]
fn first_attempts_have_spent_nothing(#[values(5100, 5400, 5700, 6000)] patience: u32) {
    assert_eq!(
        callers().estimate_spent(patience * MS),
        time::Duration::ZERO
    );
}

// The objective counts from the first attempt, so the time since then must be known closely.
#[rstest]
#[case(6000, 1500)]
#[case(5400, 1500)]
#[case(6000, 3000)]
#[case(5100, 3000)]
fn retries_have_spent_about_the_missing_time(#[case] first: u32, #[case] elapsed: u32) {
    let spent = callers().estimate_spent((first - elapsed) * MS);
    let error = spent.abs_diff(elapsed * MS);
    assert!(error <= 500 * MS, "{spent:?}");
}
