//! Idle cost: heartbeats, watches and probes of the target.

use std::time;

use futures_util::future;

use crate::{
    control_cost::{
        fake_agents,
        fit,
        fixture, //
        lanes,
    },
    fleet, port, relay,
};

/// Agents of each service when the number of services is varied; an entry keeps lanes to at least
/// this many agents of a service, whatever the number of services.
const SERVICE_AGENTS: usize = 8;

/// Number of lanes of the entry at each point.
const LANES: [usize; 4] = [8, 32, 128, 512];

/// Number of agents in the list of instances at each point.
const LISTED_AGENTS: [usize; 4] = [40, 160, 320, 670];

/// Number of services when the listed agents are varied; stands for the engines of four models.
const LIST_SERVICES: usize = 4;

/// Number of entries in the list of instances at each point.
const LISTED_ENTRIES: [usize; 4] = [1, 50, 150, 350];

/// Number of services, and of targets in each, when the listed entries are varied.
const SMALL_SERVICES: (usize, usize) = (12, 5);

/// Number of lanes to the agent at each point.
const AGENT_LANES: [usize; 4] = [4, 16, 64, 256];

/// Time for connections and the first probes to settle.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);

const COLUMNS: [&str; 7] = [
    "core %",
    "memory MB",
    "B/s of one lane",
    "B/s of the object service",
    "reads/s",
    "writes/s",
    "watches/s",
];

/// Measures an entry by the number of its lanes.
pub async fn measure_entry_lanes(window: time::Duration) -> fit::Table {
    let title = "Entry at rest, by lanes to agents (8 agents of each service)";
    let mut table = fit::Table::new(title, "lanes", &COLUMNS);
    let points = LANES.map(|count| measure_entry(count, count / SERVICE_AGENTS, 1, window));
    for (count, values) in LANES.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures an entry by the number of listed agents of four services.
pub async fn measure_listed_agents(window: time::Duration) -> fit::Table {
    let title = "Entry at rest, by agents in the list (four services)";
    let mut table = fit::Table::new(title, "agents", &COLUMNS);
    let points = LISTED_AGENTS.map(|count| measure_entry(count, LIST_SERVICES, 1, window));
    for (count, values) in LISTED_AGENTS.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures an entry by the number of listed entries, with few targets in each service.
pub async fn measure_listed_entries(window: time::Duration) -> fit::Table {
    let title = "Entry at rest, by entries in the list (12 services with 5 agents each)";
    let mut table = fit::Table::new(title, "entries", &COLUMNS);
    let (services, targets) = SMALL_SERVICES;
    let points =
        LISTED_ENTRIES.map(|count| measure_entry(services * targets, services, count, window));
    for (count, values) in LISTED_ENTRIES.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures an agent by the number of lanes of entries to it.
pub async fn measure_agent_lanes(window: time::Duration) -> fit::Table {
    let title = "Agent at rest, by lanes of entries";
    let mut table = fit::Table::new(title, "lanes", &COLUMNS);
    let points = AGENT_LANES.map(|count| measure_agent(count, window));
    for (count, values) in AGENT_LANES.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures one of `entries` listed entries with `count` agents of `services` services.
async fn measure_entry(
    count: usize,
    services: usize,
    entries: usize,
    window: time::Duration,
) -> Vec<f64> {
    let names: Vec<_> = (0..services).map(|n| format!("service-{n}")).collect();
    let mut fixture = fixture::Fixture::start(fixture::bundle(&names, 10, "slopes")).await;
    let mut fakes = Vec::new();
    let mut lane = None;
    for number in 0..count {
        let service = &names[number % services];
        let name = format!("{service}-{number}");
        let fake =
            fake_agents::FakeAgent::start(&name, service, fixture::DATA_CENTRE).expect("agent");
        let mut addr = fake.addr();
        if number == 0 {
            let relay = relay::Relay::start(port::reserve_addr(), addr).await;
            let relay = lane.insert(relay.expect("relay to an agent"));
            addr = relay.addr();
        }
        fixture
            .fleet
            .register_instance(&name, fixture::DATA_CENTRE, "agent", Some(service), addr)
            .await;
        fakes.push(fake);
    }
    for number in 1..entries {
        // No process listens at this address, as entries call each other only for claims.
        let (name, addr) = (format!("entry-{number}"), port::reserve_addr());
        fixture
            .fleet
            .register_instance(&name, fixture::DATA_CENTRE, "entry", None, addr)
            .await;
    }
    fixture.fleet.add_entry(0).await;
    let callers = fixture.fleet.entries[0].caller_addr;
    let least = count.min(services * SERVICE_AGENTS) as f64;
    fixture
        .wait_metric(callers, "laburnum_entry_lanes", least)
        .await;
    let lane = lane.expect("at least one agent");
    measure_process(&fixture, &lane, window, |fixture| {
        &fixture.fleet.entries[0].process
    })
    .await
}

/// Measures one agent with `count` lanes to it.
async fn measure_agent(count: usize, window: time::Duration) -> Vec<f64> {
    let mut fixture =
        fixture::Fixture::start(fixture::bundle(&["pool".into()], 10, "slopes")).await;
    let service = fleet::Service::new("pool", "pool", 1);
    fixture.fleet.add_node(&service, 0).await;
    fixture.fleet.wait_ready().await;
    let peer = fixture.fleet.nodes[0].peer_addr;
    let relay = relay::Relay::start(port::reserve_addr(), peer).await;
    let relay = relay.expect("relay to the agent");
    let mut open = lanes::Lanes::default();
    open.open(relay.addr(), 0).await;
    for number in 1..count {
        open.open(peer, number).await;
    }
    measure_process(&fixture, &relay, window, |fixture| {
        &fixture.fleet.nodes[0].agent
    })
    .await
}

/// Measures a process and returns the values of [`COLUMNS`].
async fn measure_process(
    fixture: &fixture::Fixture,
    lane: &relay::Relay,
    window: time::Duration,
    process: impl Fn(&fixture::Fixture) -> &crate::process::Process,
) -> Vec<f64> {
    tokio::time::sleep(SETTLE_TIME).await;
    let (traffic, bytes, start) = (
        fixture.store_traffic().await,
        lane.bytes(),
        tokio::time::Instant::now(),
    );
    let usage = fixture::measure_window(process(fixture), window).await;
    let (traffic_after, bytes_after) = (fixture.store_traffic().await, lane.bytes());
    let seconds = start.elapsed().as_secs_f64();
    let lane_bytes =
        bytes_after.to_server + bytes_after.to_client - bytes.to_server - bytes.to_client;
    vec![
        usage.core * 100.0,
        usage.memory,
        lane_bytes as f64 / seconds,
        (traffic_after.bytes - traffic.bytes) / seconds,
        (traffic_after.reads - traffic.reads) / seconds,
        (traffic_after.writes - traffic.writes) / seconds,
        (traffic_after.watches - traffic.watches) / seconds,
    ]
}
