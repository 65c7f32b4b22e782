//! How late a process gets to its work.

use std::time;

use laburnumcart::strain;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn one_pause_is_no_starvation() {
    let mut strain = strain::Strain::default();
    assert!(!strain.observe(500 * MS));
    assert!((0..100).all(|_| !strain.observe(5 * MS)));
}

#[test]
fn a_starved_process_has_to_be_well_for_a_while() {
    let mut strain = strain::Strain::default();
    let changes = (0..100).filter(|_| strain.observe(200 * MS)).count();
    assert_eq!((changes, strain.is_starved()), (1, true));
    assert!(strain.lateness() > 190 * MS);
    // Better, but not well.
    assert!((0..100).all(|_| !strain.observe(50 * MS)));
    let changes = (0..100).filter(|_| strain.observe(2 * MS)).count();
    assert_eq!((changes, strain.is_starved()), (1, false));
}
