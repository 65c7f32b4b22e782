//! Cost of an accepted bundle, by its teams.

use std::time;

use crate::{
    control_cost::{
        fit,
        fixture,
        usage, //
    },
    fleet, process,
};

/// Teams of the bundle at each point.
const TEAMS: [usize; 4] = [10, 100, 1000, 2500];

/// Accepted bundles at each point, so that ticks of the clock count little.
const ROUNDS: usize = 8;

/// Time in which an accepted bundle's work ends everywhere.
const SETTLE: time::Duration = time::Duration::from_millis(500);

const COLUMNS: [&str; 6] = [
    "bundle KB",
    "entry CPU ms",
    "agent CPU ms",
    "entry memory MB",
    "agent memory MB",
    "KB fetched by each",
];

/// Measures an entry and an agent; the second table holds times by the clock.
pub async fn measure() -> Vec<fit::Table> {
    let title = "Each accepted bundle, by its teams (28 pipelines of five stages)";
    let mut table = fit::Table::new(title, "teams", &COLUMNS);
    let title = "Accept until in force at the last of four processes (by the clock, upper figures)";
    let mut times = fit::Table::new(title, "teams", &["mean ms", "longest ms"]);
    for teams in TEAMS {
        let point = point(teams).await;
        table.push(teams as f64, point.values);
        times.push(teams as f64, point.times);
    }
    vec![table, times]
}

struct Point {
    values: Vec<f64>,
    times: Vec<f64>,
}

async fn point(teams: usize) -> Point {
    let services = ["pool".to_owned()];
    let bundle = |title: &str| fixture::bundle(&services, teams, title);
    let mut rig = fixture::Fixture::start(bundle("first")).await;
    let service = fleet::Service::new("pool", "pool", 2);
    for number in 0..2 {
        rig.fleet.add_node(&service, number).await;
        rig.fleet.add_entry(number).await;
    }
    rig.fleet.wait_ready().await;
    tokio::time::sleep(SETTLE).await;
    let before = usages(&rig);
    let mut fetched = 0.0;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let calls = rig.store_traffic().await;
        // What the command line reads and writes is not counted.
        let relayed = std::mem::replace(&mut rig.fleet.store_addr, rig.store_addr);
        rig.fleet.accept_bundle(&bundle(&format!("round {round}")));
        rig.fleet.store_addr = relayed;
        let accepted = tokio::time::Instant::now();
        in_force(&rig, (round + 2) as f64).await;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(SETTLE).await;
        fetched += rig.store_traffic().await.bytes - calls.bytes;
    }
    let after = usages(&rig);
    let rounds = ROUNDS as f64;
    let cpu = |i: usize| (after[i].cpu_seconds - before[i].cpu_seconds) * 1e3 / rounds;
    let values = vec![
        bundle("first").to_string().len() as f64 / 1e3,
        f64::midpoint(cpu(0), cpu(1)),
        f64::midpoint(cpu(2), cpu(3)),
        after[0].memory_megabytes.max(after[1].memory_megabytes),
        after[2].memory_megabytes.max(after[3].memory_megabytes),
        fetched / 4.0 / rounds / 1e3,
    ];
    let longest = times.iter().copied().fold(0.0, f64::max);
    let mean = times.iter().sum::<f64>() / rounds;
    Point {
        values,
        times: vec![mean, longest],
    }
}

/// Returns the use of two entries and two agents.
fn usages(rig: &fixture::Fixture) -> Vec<usage::Usage> {
    let entries = rig.fleet.entries.iter().map(|e| &e.process);
    let agents = rig.fleet.nodes.iter().map(|n| &n.agent);
    let all: Vec<&process::Process> = entries.chain(agents).collect();
    all.into_iter().map(usage::Usage::of).collect()
}

/// Waits until all processes have a generation in force.
async fn in_force(rig: &fixture::Fixture, generation: f64) {
    let entries = rig.fleet.entries.iter().map(|e| e.caller_addr);
    let agents = rig.fleet.nodes.iter().map(|n| n.admin_addr);
    for addr in entries.chain(agents) {
        rig.wait_metric(addr, "laburnum_bundle_generation", generation)
            .await;
    }
}
