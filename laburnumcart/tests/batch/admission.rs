//! A burst of requests with three stages, and how many of those that are begun end on time.

use crate::burst::{
    Play,
    capacity, //
};

// Twice as many callers come as the stages can serve. Those who are refused know it at once; those
// whose requests are begun are told nothing until the answer. If requests are begun until the queue
// is as long as their objective, half of them end just after it, and what was done for them is lost
// for all others. Three of four that are begun end on time, and they are three quarters of what the
// stages can do at all.
#[test]
fn what_is_begun_in_a_burst_ends_on_time() {
    for seed in 0..5 {
        for times in [1.3, 2.0, 3.0] {
            let mut load = vec![times; 7];
            load[0] = 0.5;
            let tallies = Play::new(seed).run(&load);
            let begun: usize = tallies.iter().map(|tally| tally.begun).sum();
            let on_time: usize = tallies.iter().map(|tally| tally.on_time).sum();
            let punctual = on_time as f64 / begun as f64;
            let served = on_time as f64 / (6.0 * capacity());
            assert!(
                punctual >= 0.75,
                "{punctual} of those begun, {times} times the capacity"
            );
            assert!(
                served >= 0.75,
                "{served} of the capacity, {times} times the capacity"
            );
        }
    }
}
