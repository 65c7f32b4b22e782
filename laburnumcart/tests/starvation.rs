//! Tests of the starvation detector.

use std::time;

use laburnumcart::starvation;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn a_single_late_timer_is_no_starvation() {
    let mut detector = starvation::Detector::default();
    assert!(!detector.record_lateness(500 * MS));
    assert!((0..100).all(|_| !detector.record_lateness(5 * MS)));
}

#[test]
fn a_starved_process_recovers_only_after_many_timely_timers() {
    let mut detector = starvation::Detector::default();
    let changes = (0..100)
        .filter(|_| detector.record_lateness(200 * MS))
        .count();
    assert_eq!((changes, detector.is_starved()), (1, true));
    assert!(detector.lateness() > 190 * MS);
    // Less late, but above the threshold of recovery.
    assert!((0..100).all(|_| !detector.record_lateness(50 * MS)));
    let changes = (0..100)
        .filter(|_| detector.record_lateness(2 * MS))
        .count();
    assert_eq!((changes, detector.is_starved()), (1, false));
}
