//! Tracking of evacuated data centres.

use std::time;

use laburnumcart::{
    evacuation,
    id, //
};
use tokio::time::Instant;

fn data_centre(name: &str) -> id::DataCentre {
    name.parse().unwrap()
}

fn set(names: &[&str]) -> evacuation::Evacuated {
    names.iter().map(|name| data_centre(name)).collect()
}

// A process that starts during an evacuation does not yet know which data centre is evacuated.
#[test]
fn all_data_centres_are_blocked_before_the_first_update() {
    let mut tracker = evacuation::Tracker::default();
    assert!(tracker.is_blocked(&data_centre("north")));
    tracker.update(set(&["south"]), Instant::now());
    assert!(!tracker.is_blocked(&data_centre("north")));
    assert!(tracker.is_blocked(&data_centre("south")));
}

// Targets may have become cold during the evacuation without having reported it.
#[tokio::test(start_paused = true)]
async fn targets_are_cold_for_a_time_after_an_evacuation() {
    let mut tracker = evacuation::Tracker::default();
    let start = Instant::now();
    tracker.update(set(&["north", "south"]), start);
    tracker.update(set(&["south"]), start);
    let until = tracker.cold_until(&data_centre("north")).unwrap();
    assert!(until > start + time::Duration::from_secs(2));
    assert!(tracker.is_blocked(&data_centre("south")));
    assert_eq!(tracker.cold_until(&data_centre("south")), None);
    assert_eq!(tracker.cold_until(&data_centre("west")), None);
    // A repeated update changes nothing, and past cold times are dropped.
    tracker.update(set(&["south"]), start + time::Duration::from_secs(1));
    assert_eq!(tracker.cold_until(&data_centre("north")), Some(until));
    tracker.update(set(&[]), until);
    assert_eq!(tracker.cold_until(&data_centre("north")), None);
    assert!(tracker.cold_until(&data_centre("south")).is_some());
}
