//! What callers have spent before, by the patience that they name.

use std::time;

use laburnumcart::patience;
use rstest::rstest;

const MS: time::Duration = time::Duration::from_millis(1);

/// Callers of a route of which one has named 6 s.
fn callers() -> patience::Patience {
    let mut callers = patience::Patience::default();
    assert_eq!(callers.estimate_spent(6000 * MS), time::Duration::ZERO);
    callers
}

// Callers of one route do not all name the same patience. Each comes for the first time here. Were
// the difference taken for time that they have spent, most requests would be behind from the start:
// the queues would put those first whose callers happen to be patient, and refuse others that could
// have been on time.
#[rstest]
fn first_attempts_have_spent_nothing(#[values(5100, 5400, 5700, 6000)] named: u32) {
    assert_eq!(callers().estimate_spent(named * MS), time::Duration::ZERO);
}

// A caller was refused and comes again after a second or more. Its objective counts from its first
// attempt, so that the time in between is known but for the spread.
#[rstest]
#[case(6000, 1500)]
#[case(5400, 1500)]
#[case(6000, 3000)]
#[case(5100, 3000)]
fn later_attempts_have_spent_about_what_is_missing(#[case] first: u32, #[case] gone: u32) {
    let spent = callers().estimate_spent((first - gone) * MS);
    let error = spent.abs_diff(gone * MS);
    assert!(error <= 500 * MS, "{spent:?}");
}
