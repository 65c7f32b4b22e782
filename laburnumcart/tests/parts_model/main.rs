//! Parts of prompts that crash targets are refused in time, and only these, for any order of
//! events.

mod event;
mod model;
mod outcome;

use crate::{
    model::Model,
    outcome::{
        Kind,
        Outcome, //
    },
};

/// Number of histories of each kind.
const RUNS: u64 = 25;

/// Histories in which the part of most requests was refused for minutes.
const REFUSED_SEEDS: [u64; 5] = [46, 145, 207, 234, 261];

/// Arrivals that may follow 3 s after the fifth crash.
const LATE_MAX: usize = 3;

/// Share of the sound requests that are begun from 1 s after the fifth crash: the least one, and
/// the mean of all histories.
const BEGUN_MIN: f64 = 0.5;
const BEGUN_MEAN: f64 = 0.95;

/// Plays the histories of a kind.
fn outcomes(kind: Kind) -> impl Iterator<Item = (u64, Outcome)> {
    (0..RUNS).map(move |seed| (seed, Model::new(kind, seed).run()))
}

// No two requests with the part are alike, and sound ones share their other parts.
#[test]
fn a_part_that_crashes_targets_is_refused_in_time() {
    for kind in [Kind::Part, Kind::PartBesideCrashes] {
        for (seed, outcome) in outcomes(kind) {
            let late = outcome.late;
            assert!(late <= LATE_MAX, "{kind:?}, seed {seed}: {late} late");
        }
    }
}

// Sound requests run beside the part at the targets that it crashes.
#[test]
fn sound_requests_are_begun_beside_a_part_that_crashes_targets() {
    for kind in [Kind::Part, Kind::PartBesideCrashes] {
        let mut all = 0.0;
        for (seed, Outcome { begun, .. }) in outcomes(kind) {
            assert!(begun >= BEGUN_MIN, "{kind:?}, seed {seed}: {begun} begun");
            all += begun;
        }
        let mean = all / RUNS as f64;
        assert!(mean >= BEGUN_MEAN, "{kind:?}: {mean} begun");
        for seed in REFUSED_SEEDS {
            let begun = Model::new(kind, seed).run().begun;
            assert!(begun >= BEGUN_MIN, "{kind:?}, seed {seed}: {begun} begun");
        }
    }
}

// One part is in all requests while racks and single targets fail.
#[test]
fn other_crashes_have_no_part_refused() {
    for (seed, outcome) in outcomes(Kind::Crashes) {
        let refused = outcome.refused;
        assert_eq!(refused, 0, "seed {seed}: {refused} requests refused");
    }
}
