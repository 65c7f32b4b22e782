//! What callers have spent before, by the patience that they name.

use std::time;

use laburnumcart::patience;
use rstest::rstest;

const MS: time::Duration = time::Duration::from_millis(1);

/// Longest patience of the route's callers.
const LONGEST: u32 = 6000;

/// Callers of a route whose first attempts name from `least` to the longest, evenly spread.
fn callers(least: u32) -> patience::Patience {
    let mut callers = patience::Patience::default();
    for i in 0..50 {
        callers.spent((least + (LONGEST - least) * i / 49) * MS);
    }
    callers
}

// Callers of one route do not all name the same patience. Each comes for the first time here. Were
// the difference taken for time that they have spent, most requests would be behind from the start:
// the queues would put those first whose callers happen to be patient, and refuse others that could
// have been on time.
#[rstest]
fn first_attempts_have_spent_nothing(#[values(5100, 5400, 5700, 6000)] named: u32) {
    assert_eq!(callers(5100).spent(named * MS), time::Duration::ZERO);
}

// A caller was refused and comes again after a second or more. Its objective counts from its first
// attempt, so that the time in between is known but for the spread.
#[rstest]
#[case(6000, 1500)]
#[case(5400, 1500)]
#[case(6000, 3000)]
#[case(5100, 3000)]
fn later_attempts_have_spent_about_what_is_missing(#[case] first: u32, #[case] gone: u32) {
    let spent = callers(5100).spent((first - gone) * MS);
    let error = spent.abs_diff(gone * MS);
    assert!(error <= 500 * MS, "{spent:?}");
}

// All callers of a route begin with the same patience. One that was refused comes again after half a
// second. Were the difference ignored, the queues would think that it has all its time, and let it
// come too late although it is waited for.
#[rstest]
fn where_all_name_the_same_a_small_difference_counts(#[values(300, 500, 900)] gone: u32) {
    let mut callers = callers(5990);
    assert_eq!(callers.spent(5995 * MS), time::Duration::ZERO);
    let spent = callers.spent((LONGEST - gone) * MS);
    assert!(spent.abs_diff(gone * MS) <= 100 * MS, "{spent:?}");
}

// Under overload every second attempt is one that comes again. The first ones still show that all
// begin with the same.
#[test]
fn many_that_come_again_do_not_look_like_a_spread() {
    let mut callers = callers(5990);
    for i in 0..300 {
        callers.spent(5990 * MS);
        callers.spent((4000 + i * 5) * MS);
    }
    assert!(callers.spent(5500 * MS) > 400 * MS);
}

// A configuration gives the route more time, and its callers name more from then on. What was
// learned of the former callers must not make all the new ones look as if they came again.
#[test]
fn a_longer_patience_starts_afresh() {
    let mut callers = callers(5990);
    callers.spent(12_000 * MS);
    assert_eq!(callers.spent(11_000 * MS), time::Duration::ZERO);
}
