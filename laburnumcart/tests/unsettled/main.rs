//! Charges of repeats whose arrival is open.

mod fleet;

use std::{
    thread,
    time, //
};

use laburnumcart::{
    budget,
    id,
    unit,
    unsettled, //
};
use rstest::rstest;
use tokio::time::Instant;

use self::fleet::Fleet;

/// Orders of stops and requests that are played, unless [`ORDERS_VAR`] states a number.
const ORDERS: u64 = 250;

/// Environment variable with the number of orders, for a longer search.
const ORDERS_VAR: &str = "LABURNUM_ORDERS";

fn target(number: u64) -> id::TargetLife {
    id::TargetLife {
        name: format!("i-{number}").parse().unwrap(),
        life: id::Life(1),
    }
}

fn secs(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// A budget of ten repeats, and a request that was given up at one target and charged once.
fn given_up_once(now: Instant) -> (budget::Budget, unsettled::Sends, unsettled::RequestKey) {
    let mut budget = budget::Budget::new(unit::Share(0.0), now);
    budget.set_reserve(10.0);
    let mut sends = unsettled::Sends::default();
    let key = sends.track();
    sends.give_up(key, &target(1), &mut budget, now);
    assert!(budget.try_spend(now));
    sends.charge(key, &mut budget, now);
    (budget, sends, key)
}

#[test]
fn a_charge_lasts_until_its_target_answers_and_for_a_window_more() {
    let start = Instant::now();
    let (mut budget, mut sends, key) = given_up_once(start);
    sends.record_arrival(key, &mut budget, start);
    sends.end(key);
    let later = start + secs(60);
    assert_eq!(budget.usage(later).spent, 1);
    sends.settle(&target(1), later, &mut budget, later);
    assert_eq!(budget.usage(later + secs(9)).spent, 1);
    assert_eq!(budget.usage(later + secs(12)).spent, 0);
    assert!(sends.is_empty());
}

#[test]
fn an_answer_to_an_earlier_request_settles_nothing() {
    let start = Instant::now();
    let (mut budget, mut sends, key) = given_up_once(start + secs(1));
    sends.record_arrival(key, &mut budget, start + secs(1));
    sends.settle(&target(1), start, &mut budget, start + secs(2));
    assert_eq!(budget.usage(start + secs(30)).held, 1);
}

#[test]
fn the_first_arrival_of_a_request_is_not_charged_again() {
    let start = Instant::now();
    let (mut budget, mut sends, key) = given_up_once(start);
    sends.give_up(key, &target(2), &mut budget, start + secs(1));
    sends.end(key);
    let at = start + secs(30);
    assert_eq!(budget.usage(at).spent, 1);
    // The first arrival leaves the second one open.
    sends.settle(&target(2), at, &mut budget, at);
    assert_eq!(budget.usage(at + secs(20)).spent, 1);
    sends.settle(&target(1), at + secs(20), &mut budget, at + secs(20));
    assert_eq!(budget.usage(at + secs(40)).spent, 0);
}

// A target may read a request and end before it answers.
#[rstest]
#[case::ended(secs(5), true, 1, unsettled::Expiry::TargetEnded)]
#[case::too_old(unsettled::MAX_AGE, false, 0, unsettled::Expiry::TooOld)]
fn a_charge_lasts_for_a_window_from_the_end_of_its_target(
    #[case] after: time::Duration,
    #[case] has_ended: bool,
    #[case] spent: u32,
    #[case] cause: unsettled::Expiry,
) {
    let start = Instant::now();
    let (mut budget, mut sends, key) = given_up_once(start);
    sends.record_arrival(key, &mut budget, start);
    sends.end(key);
    let end = start + after;
    let expired = sends.expire(|_| has_ended, &mut budget, end);
    let target = target(1);
    assert_eq!(
        expired,
        [unsettled::Expired {
            target,
            cause,
            repeats: 1
        }]
    );
    assert_eq!(budget.usage(end + secs(9)).spent, spent);
    assert_eq!(budget.usage(end + secs(12)).spent, 0);
    assert!(sends.is_empty());
}

// The last send of a request is not given up before the deadline, however late its target reads it.
#[test]
fn a_repeat_in_flight_counts_until_it_arrives_and_for_a_window_more() {
    let start = Instant::now();
    let mut budget = budget::Budget::new(unit::Share(0.0), start);
    budget.set_reserve(10.0);
    let mut sends = unsettled::Sends::default();
    let key = sends.track();
    sends.record_arrival(key, &mut budget, start);
    assert!(budget.try_spend(start));
    sends.charge(key, &mut budget, start);
    sends.begin(key, &mut budget, start);
    let arrival = start + secs(14);
    assert_eq!(budget.usage(arrival).held, 1);
    sends.record_arrival(key, &mut budget, arrival);
    sends.end(key);
    assert_eq!(budget.usage(arrival + secs(9)).spent, 1);
    assert_eq!(budget.usage(arrival + secs(12)).spent, 0);
}

// No connection could be opened: the target never gets it.
#[test]
fn a_repeat_that_was_not_sent_does_not_count() {
    let start = Instant::now();
    let mut budget = budget::Budget::new(unit::Share(0.0), start);
    budget.set_reserve(10.0);
    let mut sends = unsettled::Sends::default();
    let key = sends.track();
    sends.record_arrival(key, &mut budget, start);
    assert!(budget.try_spend(start));
    sends.charge(key, &mut budget, start);
    sends.begin(key, &mut budget, start);
    sends.record_unsent(key, &mut budget, start);
    sends.end(key);
    assert_eq!(budget.usage(start).spent, 0);
}

#[test]
fn a_request_that_was_sent_once_holds_nothing() {
    let start = Instant::now();
    let mut budget = budget::Budget::new(unit::Share(0.0), start);
    let mut sends = unsettled::Sends::default();
    let key = sends.track();
    sends.give_up(key, &target(1), &mut budget, start);
    sends.end(key);
    assert_eq!(budget.usage(start).spent, 0);
    assert_eq!(sends.summary(), (0, None));
}

#[test]
fn the_number_of_unsettled_sends_is_bounded() {
    let start = Instant::now();
    let mut budget = budget::Budget::new(unit::Share(0.0), start);
    budget.set_reserve(1e6);
    let mut sends = unsettled::Sends::default();
    for number in 0..10_000 {
        let now = start + time::Duration::from_millis(number);
        let key = sends.track();
        sends.record_arrival(key, &mut budget, now);
        assert!(budget.try_spend(now));
        sends.charge(key, &mut budget, now);
        sends.give_up(key, &target(number % 7), &mut budget, now);
        sends.end(key);
    }
    let (count, oldest) = sends.summary();
    assert!(count <= 4096, "{count}");
    assert!(oldest.unwrap() > start + secs(5));
    // What made room counts as if it had arrived, so that nothing is spent twice.
    assert_eq!(budget.usage(start + secs(10)).spent, 10_000);
}

// Targets stand still and go on in a random order, and read what waits.
#[test]
fn arrivals_stay_within_the_budget_whatever_stands_still() {
    let orders = std::env::var(ORDERS_VAR).map_or(ORDERS, |orders| orders.parse().unwrap());
    let threads = thread::available_parallelism().map_or(1, usize::from) as u64;
    let search = |first: u64| {
        let seeds = (first..orders).step_by(threads as usize);
        seeds
            .map(|seed| (Fleet::new(seed).run(), seed))
            .collect::<Vec<_>>()
    };
    let uses = thread::scope(|scope| {
        let searches: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || search(first)))
            .collect();
        searches
            .into_iter()
            .flat_map(|s| s.join().unwrap())
            .collect::<Vec<_>>()
    });
    let highest = uses.into_iter().max_by(|a, b| a.0.total_cmp(&b.0)).unwrap();
    println!(
        "highest use of {orders} orders: {:.2}, seed {}",
        highest.0, highest.1
    );
    assert!(
        highest.0 <= 1.0,
        "{:.2} of the budget, seed {}",
        highest.0,
        highest.1
    );
}
