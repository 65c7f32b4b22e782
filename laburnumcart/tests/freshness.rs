//! Age of the configuration.

use std::time;

use laburnumcart::freshness::{
    BootTime, //
    Freshness,
};

fn at(secs: u64) -> BootTime {
    BootTime(time::Duration::from_secs(secs))
}

#[test]
fn nothing_is_fresh_before_the_first_read() {
    let freshness = Freshness::default();
    assert!(!freshness.is_fresh(time::Duration::from_secs(100), at(1)));
}

// Of two concurrent reads, the response to the earlier one arrives last.
#[test]
fn age_counts_from_the_latest_read() {
    let freshness = Freshness::default();
    freshness.record_read(at(8));
    freshness.record_read(at(5));
    assert_eq!(freshness.age(at(10)), Some(time::Duration::from_secs(2)));
}

// The machine is suspended for a minute after a read, during which monotonic clocks stop.
#[test]
fn suspended_time_counts() {
    let freshness = Freshness::default();
    freshness.record_read(at(10));
    assert!(freshness.is_fresh(time::Duration::from_secs(5), at(15)));
    assert!(!freshness.is_fresh(time::Duration::from_secs(5), at(70)));
}
