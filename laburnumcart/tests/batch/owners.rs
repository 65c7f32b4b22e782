//! Queue owners with little processor time during and after a burst.

use std::time;

use laburnumcart::{
    id,
    owners,
    readers, //
};

use crate::burst::{
    STAGES,
    Simulation, //
};

/// Processor time of a message at an owner with half a core.
const MESSAGE_TIME: time::Duration = time::Duration::from_micros(2500);

/// Gateways that can own queues.
const GATEWAYS: usize = 15;

/// Returns the share of requests on time ten seconds after a burst.
fn after_burst(owners: [usize; STAGES], seed: u64) -> f64 {
    let mut load = vec![0.5; 18];
    load[2..7].fill(2.3);
    let tallies = Simulation::new(seed)
        .with_owners(owners, MESSAGE_TIME)
        .with_retries()
        .run(&load);
    let last = &tallies[17..18];
    let arrived: usize = last.iter().map(|tally| tally.arrived).sum();
    let on_time: usize = last.iter().map(|tally| tally.on_time).sum();
    on_time as f64 / arrived as f64
}

/// Returns the processor of each queue's owner in a fleet whose names contain `salt`.
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
    let rankings = owners::rankings(&members, &services);
    let mut owners = rankings.values().map(|ranking| {
        let first = ranking[0].name;
        names.iter().position(|name| name == first).unwrap()
    });
    let all: [usize; STAGES] = std::array::from_fn(|_| owners.next().unwrap());
    // The simulation numbers processors by queue; it only matters which queues share an owner.
    std::array::from_fn(|i| all.iter().position(|owner| *owner == all[i]).unwrap())
}

// A gateway that owns all queues is starved by a burst, and then by the callers that retry.
#[test]
fn requests_are_on_time_again_after_a_burst() {
    for salt in 0..20 {
        let share = after_burst(assigned(salt), salt as u64);
        assert!(
            share >= 0.9,
            "{share} of the requests on time in fleet {salt}"
        );
    }
}
