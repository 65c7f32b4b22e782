//! Cost of the facts that heartbeats carry, by their number.

use std::time;

use futures_util::future;

use laburnumcart::{
    facts,
    id,
    unit, //
};

use crate::{
    control_cost::{
        fake_agents,
        fit,
        fixture,
        usage, //
    },
    port, relay,
};

/// Crashes in the table at each point.
const FACTS: [usize; 4] = [0, 100, 500, 2000];

/// Content that ran at each crash.
const SUSPECTS: usize = 8;

/// Lanes of the entry.
const LANES: usize = 32;

/// Time in which news reaches all lanes.
const SPREAD: time::Duration = time::Duration::from_secs(6);

/// Time at rest.
const REST: time::Duration = time::Duration::from_secs(20);

/// Measures an entry with 32 lanes that is told facts by one agent.
pub async fn measure() -> Vec<fit::Table> {
    let title = "Entry with 32 lanes, by crashes told at once (8 suspects each)";
    let columns = [
        "CPU ms to spread",
        "B on one lane to spread",
        "core % at rest",
        "B/s of one lane at rest",
        "memory MB",
    ];
    let mut table = fit::Table::new(title, "crashes", &columns);
    let points = future::join_all(FACTS.map(point)).await;
    for (count, values) in FACTS.iter().zip(points) {
        table.push(*count as f64, values);
    }
    vec![table]
}

async fn point(count: usize) -> Vec<f64> {
    let names: Vec<_> = (0..4).map(|n| format!("service-{n}")).collect();
    let mut rig = fixture::Fixture::start(fixture::bundle(&names, 10, "slopes")).await;
    let mut fakes = Vec::new();
    for number in 0..LANES {
        let service = &names[number % names.len()];
        let name = format!("{service}-{number}");
        fakes.push(
            fake_agents::FakeAgent::start(&name, service, fixture::DATA_CENTRE).expect("agent"),
        );
    }
    let relay = relay::Relay::start(port::reserve_addr(), fakes[0].addr()).await;
    let relay = relay.expect("relay to an agent");
    for (number, fake) in fakes.iter().enumerate() {
        let addr = if number == 0 {
            relay.addr()
        } else {
            fake.addr()
        };
        rig.fleet
            .register_instance(
                &fake.name,
                fixture::DATA_CENTRE,
                "agent",
                Some(&fake.service),
                addr,
            )
            .await;
    }
    rig.fleet.add_entry(0).await;
    let callers = rig.fleet.entries[0].caller_addr;
    rig.wait_metric(callers, "laburnum_entry_lanes", LANES as f64)
        .await;
    tokio::time::sleep(SPREAD).await;
    let process = &rig.fleet.entries[0].process;
    let (bytes, before) = (relay.bytes(), usage::Usage::of(process));
    fakes[1].send_facts(crashes(count));
    tokio::time::sleep(SPREAD).await;
    let (told, spread) = (relay.bytes(), usage::Usage::of(process));
    let rest = fixture::measure_window(process, REST).await;
    let end = relay.bytes();
    let idle = (end.to_server + end.to_client - told.to_server - told.to_client) as f64
        / REST.as_secs_f64();
    vec![
        (spread.cpu_seconds - before.cpu_seconds) * 1e3,
        (told.to_server + told.to_client - bytes.to_server - bytes.to_client) as f64,
        rest.core * 100.0,
        idle,
        rest.memory,
    ]
}

fn crashes(count: usize) -> facts::Facts {
    let crash = || facts::Crash {
        id: id::Incarnation::random(),
        suspects: (0..SUSPECTS).map(|_| id::Fingerprint::random()).collect(),
        ttl: unit::Period::from_secs(600),
    };
    facts::Facts {
        crashes: (0..count).map(|_| crash()).collect(),
        ..facts::Facts::default()
    }
}
