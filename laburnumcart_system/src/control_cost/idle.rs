//! Cost at rest: heartbeats, watches, looks at the target.

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

/// Agents of a service when the number of lanes is varied by the number of services; no more than
/// an entry keeps lanes to, however many services there are.
const GROUP: usize = 8;

/// Lanes of an entry at each point.
const LANES: [usize; 4] = [8, 32, 128, 512];

/// Agents of four services in the list at each point.
const LISTED: [usize; 4] = [40, 160, 320, 670];

/// Services when the list is varied: the engines of four models.
const MODELS: usize = 4;

/// Entries in the list at each point.
const PEERS: [usize; 4] = [1, 50, 150, 350];

/// Services, and targets of each, when the entries in the list are varied.
const SMALL: (usize, usize) = (12, 5);

/// Lanes of entries at an agent at each point.
const ENTRIES: [usize; 4] = [4, 16, 64, 256];

/// Time for connections and first looks to settle.
const SETTLE: time::Duration = time::Duration::from_secs(5);

const COLUMNS: [&str; 7] = [
    "core %",
    "memory MB",
    "B/s of one lane",
    "B/s of the object service",
    "reads/s",
    "writes/s",
    "watches/s",
];

/// Measures entries by the number of their lanes.
pub async fn measure_entry_lanes(window: time::Duration) -> fit::Table {
    let title = "Entry at rest, by lanes to agents (8 agents of each service)";
    let mut table = fit::Table::new(title, "lanes", &COLUMNS);
    let points = LANES.map(|count| entry(count, count / GROUP, 1, window));
    for (count, values) in LANES.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures entries by the number of agents of four services in the list.
pub async fn measure_listed_agents(window: time::Duration) -> fit::Table {
    let title = "Entry at rest, by agents in the list (four services)";
    let mut table = fit::Table::new(title, "agents", &COLUMNS);
    let points = LISTED.map(|count| entry(count, MODELS, 1, window));
    for (count, values) in LISTED.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures entries by the number of entries in the list, before services of few targets.
pub async fn measure_listed_entries(window: time::Duration) -> fit::Table {
    let title = "Entry at rest, by entries in the list (12 services with 5 agents each)";
    let mut table = fit::Table::new(title, "entries", &COLUMNS);
    let (services, targets) = SMALL;
    let points = PEERS.map(|count| entry(services * targets, services, count, window));
    for (count, values) in PEERS.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures agents by the number of lanes of entries to them.
pub async fn measure_agent_lanes(window: time::Duration) -> fit::Table {
    let title = "Agent at rest, by lanes of entries";
    let mut table = fit::Table::new(title, "lanes", &COLUMNS);
    let points = ENTRIES.map(|count| agent(count, window));
    for (count, values) in ENTRIES.iter().zip(future::join_all(points).await) {
        table.push(*count as f64, values);
    }
    table
}

/// Measures one of `entries` entries before `count` agents of so many services.
async fn entry(count: usize, services: usize, entries: usize, window: time::Duration) -> Vec<f64> {
    let names: Vec<_> = (0..services).map(|n| format!("service-{n}")).collect();
    let mut rig = fixture::Fixture::start(fixture::bundle(&names, 10, "slopes")).await;
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
        rig.fleet
            .register_instance(&name, fixture::DATA_CENTRE, "agent", Some(service), addr)
            .await;
        fakes.push(fake);
    }
    for number in 1..entries {
        // Nothing listens there: entries call each other only for claims.
        let (name, addr) = (format!("entry-{number}"), port::reserve_addr());
        rig.fleet
            .register_instance(&name, fixture::DATA_CENTRE, "entry", None, addr)
            .await;
    }
    rig.fleet.add_entry(0).await;
    let callers = rig.fleet.entries[0].caller_addr;
    let least = count.min(services * GROUP) as f64;
    rig.wait_metric(callers, "laburnum_entry_lanes", least)
        .await;
    let lane = lane.expect("at least one agent");
    measure(&rig, &lane, window, |rig| &rig.fleet.entries[0].process).await
}

/// Measures one agent with so many lanes to it.
async fn agent(count: usize, window: time::Duration) -> Vec<f64> {
    let mut rig = fixture::Fixture::start(fixture::bundle(&["pool".into()], 10, "slopes")).await;
    let service = fleet::Service::new("pool", "pool", 1);
    rig.fleet.add_node(&service, 0).await;
    rig.fleet.wait_ready().await;
    let peer = rig.fleet.nodes[0].peer_addr;
    let relay = relay::Relay::start(port::reserve_addr(), peer).await;
    let relay = relay.expect("relay to the agent");
    let mut open = lanes::Lanes::default();
    open.open(relay.addr(), 0).await;
    for number in 1..count {
        open.open(peer, number).await;
    }
    measure(&rig, &relay, window, |rig| &rig.fleet.nodes[0].agent).await
}

/// Returns the values of [`COLUMNS`].
async fn measure(
    rig: &fixture::Fixture,
    lane: &relay::Relay,
    window: time::Duration,
    process: impl Fn(&fixture::Fixture) -> &crate::process::Process,
) -> Vec<f64> {
    tokio::time::sleep(SETTLE).await;
    let (calls, bytes, start) = (
        rig.store_traffic().await,
        lane.bytes(),
        tokio::time::Instant::now(),
    );
    let spent = fixture::measure_window(process(rig), window).await;
    let (after, passed) = (rig.store_traffic().await, lane.bytes());
    let seconds = start.elapsed().as_secs_f64();
    let lane_bytes = passed.to_server + passed.to_client - bytes.to_server - bytes.to_client;
    vec![
        spent.core * 100.0,
        spent.memory,
        lane_bytes as f64 / seconds,
        (after.bytes - calls.bytes) / seconds,
        (after.reads - calls.reads) / seconds,
        (after.writes - calls.writes) / seconds,
        (after.watches - calls.watches) / seconds,
    ]
}
