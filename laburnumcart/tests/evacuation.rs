//! What is known of evacuated data centres.

use std::time;

use laburnumcart::{
    evacuation,
    id, //
};
use tokio::time::Instant;

fn place(name: &str) -> id::DataCentre {
    name.parse().unwrap()
}

fn set(names: &[&str]) -> evacuation::Evacuated {
    names.iter().map(|name| place(name)).collect()
}

// A process starts while a data centre is evacuated. Until it knows which one, it sends to none.
#[test]
fn all_are_closed_until_it_is_known() {
    let mut places = evacuation::Tracker::default();
    assert!(places.is_blocked(&place("north")));
    places.update(set(&["south"]), Instant::now());
    assert!(!places.is_blocked(&place("north")));
    assert!(places.is_blocked(&place("south")));
}

// Two data centres are evacuated, and one comes back. Its targets may be cold without having told
// it; the other one stays closed, and those that were never evacuated are as warm as they say.
#[tokio::test(start_paused = true)]
async fn who_comes_back_is_cold_for_a_while() {
    let mut places = evacuation::Tracker::default();
    let start = Instant::now();
    places.update(set(&["north", "south"]), start);
    places.update(set(&["south"]), start);
    let until = places.cold_until(&place("north")).unwrap();
    assert!(until > start + time::Duration::from_secs(2));
    assert!(places.is_blocked(&place("south")));
    assert_eq!(places.cold_until(&place("south")), None);
    assert_eq!(places.cold_until(&place("west")), None);
    // The same again changes nothing, and what is over is forgotten.
    places.update(set(&["south"]), start + time::Duration::from_secs(1));
    assert_eq!(places.cold_until(&place("north")), Some(until));
    places.update(set(&[]), until);
    assert_eq!(places.cold_until(&place("north")), None);
    assert!(places.cold_until(&place("south")).is_some());
}
