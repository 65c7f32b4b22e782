//! Seeded model of streams that callers take up while versions change and gateways fail.

mod faults;
mod gateway;
mod model;
mod notes;
mod outcome;
mod store;

use std::env;

use model::{
    Choice,
    Model, //
};
use outcome::Outcome;
use rstest::rstest;

/// Gateways of a fleet times orders that are played, unless `MODEL_ORDERS` says how many orders.
const ORDERS: usize = 240;

/// Least share of the streams that go on, of those taken up at a gateway without any fault while
/// two targets of their version serve.
const LEAST: f64 = 0.9;

fn play(gateways: usize, choice: Choice) -> Outcome {
    let orders = env::var("MODEL_ORDERS").ok().and_then(|n| n.parse().ok());
    let orders = orders.unwrap_or(ORDERS / gateways);
    let mut all = Outcome::default();
    for seed in 0..orders as u64 {
        all.add(&Model::new(seed, gateways, choice).play());
    }
    println!("{gateways} gateways, {orders} orders: {all:?}");
    all
}

// A stream is taken up at a gateway that has never seen it, while versions come and go.
#[rstest]
fn no_stream_goes_on_at_another_version_and_most_go_on(#[values(3, 5, 30, 100)] gateways: usize) {
    let outcome = play(gateways, Choice::ByOrigin);
    assert_eq!(outcome.joined(), 0, "{outcome:?}");
    assert!(outcome.able > 1000, "{outcome:?}");
    let share = outcome.went_on as f64 / outcome.able as f64;
    assert!(share >= LEAST, "{share:.3} of {outcome:?}");
}

// The check finds mixed streams where any target of the service goes on.
#[test]
fn the_check_finds_mixed_streams() {
    assert!(play(5, Choice::AnyTarget).mixed > 100);
}

// Gateways that are all killed lose every record, while versions follow each other.
#[rstest]
fn no_stream_is_joined_after_kills_of_all_gateways(#[values(1, 3, 5, 30)] gateways: usize) {
    let orders = ORDERS / gateways;
    let mut all = Outcome::default();
    for seed in 0..orders as u64 {
        all.add(
            &Model::new(seed, gateways, Choice::ByOrigin)
                .kills_every(8)
                .play(),
        );
    }
    println!("{gateways} gateways, {orders} orders: {all:?}");
    assert_eq!(all.joined(), 0, "{all:?}");
    assert!(all.went_on > 0, "{all:?}");
}

/// Orders that a search plays first, unless `MODEL_FIRST` says which one.
fn first() -> u64 {
    let first = env::var("MODEL_FIRST").ok();
    first.and_then(|n| n.parse().ok()).unwrap_or_default()
}

fn search(gateways: usize, default: usize, has_usage: bool) -> Outcome {
    let orders = env::var("MODEL_ORDERS").ok().and_then(|n| n.parse().ok());
    let orders = orders.unwrap_or(default);
    let mut all = Outcome::default();
    for seed in first()..first() + orders as u64 {
        let model = Model::new(seed, gateways, Choice::ByOrigin);
        let model = model.searched().with_usage(has_usage);
        let knobs = model.knobs.clone();
        let outcome = model.play();
        let share = outcome.went_on as f64 / outcome.able.max(1) as f64;
        if outcome.joined() > 0 || outcome.able >= 100 && share < LEAST {
            println!("{gateways} gateways, seed {seed}: {share:.3} of {outcome:?} {knobs:?}");
        }
        all.add(&outcome);
    }
    println!("{gateways} gateways, {orders} orders, usage {has_usage}: {all:?}");
    all
}

// Gateways are killed in series while versions appear, and writes of what they leave behind fail.
#[rstest]
fn what_was_written_decides_after_kills_in_series(#[values(1, 3, 5, 30)] gateways: usize) {
    // Without the notes, for comparison, if `MODEL_USAGE` is 0.
    let has_usage = env::var("MODEL_USAGE").is_err();
    let outcome = search(gateways, 240 / gateways, has_usage);
    assert_eq!(outcome.joined(), 0, "{outcome:?}");
    let share = outcome.went_on as f64 / outcome.able as f64;
    assert!(share >= LEAST, "{share:.3} of {outcome:?}");
}

// A version comes and goes while no write succeeds, and the gateway that used it is killed.
#[rstest]
#[case::one_gateway(1, &[3807, 5318, 6758])]
#[case::three_gateways(3, &[2691, 3223])]
#[case::five_gateways(5, &[1009])]
fn no_stream_is_joined_at_a_version_that_could_not_be_noted(
    #[case] gateways: usize,
    #[case] seeds: &[u64],
) {
    let mut all = Outcome::default();
    for seed in seeds {
        let model = Model::new(*seed, gateways, Choice::ByOrigin).searched();
        all.add(&model.with_usage(true).play());
    }
    assert_eq!(all.joined(), 0, "{all:?}");
}
