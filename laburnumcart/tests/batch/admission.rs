//! Admission of multi-stage requests by completion estimates during a burst.

use crate::burst::{
    Simulation,
    capacity, //
};

// With a queue as long as the objective, half of the requests would end late, their work lost.
#[test]
fn most_requests_admitted_in_a_burst_end_on_time() {
    for seed in 0..5 {
        for times in [1.3, 2.0, 3.0] {
            let mut load = vec![times; 7];
            load[0] = 0.5;
            let tallies = Simulation::new(seed).run(&load);
            let admitted: usize = tallies.iter().map(|tally| tally.admitted).sum();
            let on_time: usize = tallies.iter().map(|tally| tally.on_time).sum();
            let punctual = on_time as f64 / admitted as f64;
            let served = on_time as f64 / (6.0 * capacity());
            assert!(
                punctual >= 0.75,
                "{punctual} of the admitted requests at {times} times the capacity"
            );
            assert!(
                served >= 0.75,
                "{served} of the capacity at {times} times the capacity"
            );
        }
    }
}
