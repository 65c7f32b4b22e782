//! How late a process gets to its work.

use std::time;

use laburnumcart::starvation;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn one_pause_is_no_starvation() {
    let mut strain = starvation::Detector::default();
    assert!(!strain.record_lateness(500 * MS));
    assert!((0..100).all(|_| !strain.record_lateness(5 * MS)));
}

#[test]
fn a_starved_process_has_to_be_well_for_a_while() {
    let mut strain = starvation::Detector::default();
    let changes = (0..100)
        .filter(|_| strain.record_lateness(200 * MS))
        .count();
    assert_eq!((changes, strain.is_starved()), (1, true));
    assert!(strain.lateness() > 190 * MS);
    // Better, but not well.
    assert!((0..100).all(|_| !strain.record_lateness(50 * MS)));
    let changes = (0..100).filter(|_| strain.record_lateness(2 * MS)).count();
    assert_eq!((changes, strain.is_starved()), (1, false));
}
