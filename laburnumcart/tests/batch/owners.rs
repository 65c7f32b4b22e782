//! The owners of three queues in a burst, with little processor each.

use std::time;

use laburnumcart::{
    id,
    owners,
    readers, //
};

use crate::burst::{
    Play,
    STAGES, //
};

/// Processor time of a message at an owner with half a core.
const MESSAGE: time::Duration = time::Duration::from_micros(2500);

/// Gateways that can own queues.
const GATEWAYS: usize = 15;

/// Returns the share of requests on time from ten seconds after a burst on.
fn after_burst(owners: [usize; STAGES], seed: u64) -> f64 {
    let mut load = vec![0.5; 18];
    load[2..7].fill(2.3);
    let tallies = Play::new(seed).owners(owners, MESSAGE).returns().run(&load);
    let late = &tallies[17..18];
    let came: usize = late.iter().map(|tally| tally.came).sum();
    let on_time: usize = late.iter().map(|tally| tally.on_time).sum();
    on_time as f64 / came as f64
}

/// Returns which gateway owns which queue of a fleet with these names.
fn assigned(salt: usize) -> [usize; STAGES] {
    let name = |i| format!("gateway-{salt}-{i}").parse().unwrap();
    let names: Vec<id::InstanceName> = (0..GATEWAYS).map(name).collect();
    let place: id::DataCentre = "north".parse().unwrap();
    let members: Vec<_> = names
        .iter()
        .map(|name| readers::Member {
            name,
            data_centre: &place,
            cores: 0.5,
        })
        .collect();
    let service = |i| format!("stage-{salt}-{i}").parse().unwrap();
    let services: Vec<id::ServiceName> = (0..STAGES).map(service).collect();
    let orders = owners::rankings(&members, &services);
    let mut owners = orders.values().map(|order| {
        let first = order[0].name;
        names.iter().position(|name| name == first).unwrap()
    });
    let all: [usize; STAGES] = std::array::from_fn(|_| owners.next().unwrap());
    // The play has a processor for each queue; who shares one counts.
    std::array::from_fn(|i| all.iter().position(|owner| *owner == all[i]).unwrap())
}

// One gateway owns all queues, a burst starves it, and it stays starved by callers who come back.
#[test]
fn a_burst_that_is_over_holds_up_nobody() {
    for salt in 0..20 {
        let share = after_burst(assigned(salt), salt as u64);
        assert!(share >= 0.9, "{share} of the requests in fleet {salt}");
    }
}
