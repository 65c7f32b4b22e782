//! Cost of facts (state that heartbeats replicate; here crashes of targets) by their number.

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

/// Number of crashes sent at each point.
const CRASHES: [usize; 4] = [0, 100, 500, 2000];

/// Suspects of each crash: fingerprints of the content that was running.
const SUSPECTS: usize = 8;

/// Number of lanes of the entry.
const LANES: usize = 32;

/// Time in which facts reach all lanes.
const SPREAD_TIME: time::Duration = time::Duration::from_secs(6);

/// Time over which the idle cost is measured.
const IDLE_TIME: time::Duration = time::Duration::from_secs(20);

/// Measures an entry that has 32 lanes and receives crashes as facts from one agent.
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
    let points = future::join_all(CRASHES.map(measure_point)).await;
    for (count, values) in CRASHES.iter().zip(points) {
        table.push(*count as f64, values);
    }
    vec![table]
}

/// Returns the values of the columns for a number of crashes.
async fn measure_point(count: usize) -> Vec<f64> {
    let names: Vec<_> = (0..4).map(|n| format!("service-{n}")).collect();
    let mut fixture = fixture::Fixture::start(fixture::bundle(&names, 10, "slopes")).await;
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
        fixture
            .fleet
            .register_instance(
                &fake.name,
                fixture::DATA_CENTRE,
                "agent",
                Some(&fake.service),
                addr,
            )
            .await;
    }
    fixture.fleet.add_entry(0).await;
    let callers = fixture.fleet.entries[0].caller_addr;
    fixture
        .wait_metric(callers, "laburnum_entry_lanes", LANES as f64)
        .await;
    tokio::time::sleep(SPREAD_TIME).await;
    let process = &fixture.fleet.entries[0].process;
    let (bytes_before, usage_before) = (relay.bytes(), usage::Usage::of(process));
    fakes[1].send_facts(random_crashes(count));
    tokio::time::sleep(SPREAD_TIME).await;
    let (bytes_after_spread, usage_after) = (relay.bytes(), usage::Usage::of(process));
    let idle_usage = fixture::measure_window(process, IDLE_TIME).await;
    let bytes_at_end = relay.bytes();
    let idle_rate = (bytes_at_end.to_server + bytes_at_end.to_client
        - bytes_after_spread.to_server
        - bytes_after_spread.to_client) as f64
        / IDLE_TIME.as_secs_f64();
    vec![
        (usage_after.cpu_seconds - usage_before.cpu_seconds) * 1e3,
        (bytes_after_spread.to_server + bytes_after_spread.to_client
            - bytes_before.to_server
            - bytes_before.to_client) as f64,
        idle_usage.core * 100.0,
        idle_rate,
        idle_usage.memory,
    ]
}

/// Returns facts that hold the given number of crashes.
fn random_crashes(count: usize) -> facts::Facts {
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
