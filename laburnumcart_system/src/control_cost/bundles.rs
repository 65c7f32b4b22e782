//! Cost of accepting a bundle, by its teams.

use std::time;

use crate::{
    control_cost::{
        fit,
        fixture,
        usage, //
    },
    fleet, process,
};

/// Number of teams in the bundle at each point.
const TEAMS: [usize; 4] = [10, 100, 1000, 2500];

/// Bundles accepted at each point; several reduce the error from the resolution of clock ticks.
const ROUNDS: usize = 8;

/// Time after which all processes have finished the work for an accepted bundle.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

const COLUMNS: [&str; 6] = [
    "bundle KB",
    "entry CPU ms",
    "agent CPU ms",
    "entry memory MB",
    "agent memory MB",
    "KB fetched by each",
];

/// Measures entries and agents; the second table holds wall-clock times.
pub async fn measure() -> Vec<fit::Table> {
    let title = "Each accepted bundle, by its teams (28 pipelines of five stages)";
    let mut table = fit::Table::new(title, "teams", &COLUMNS);
    let title = "Accept until in force at the last of four processes (by the clock, upper figures)";
    let mut times = fit::Table::new(title, "teams", &["mean ms", "longest ms"]);
    for teams in TEAMS {
        let point = measure_point(teams).await;
        table.push(teams as f64, point.values);
        times.push(teams as f64, point.times);
    }
    vec![table, times]
}

struct Point {
    values: Vec<f64>,
    times: Vec<f64>,
}

async fn measure_point(teams: usize) -> Point {
    let services = ["pool".to_owned()];
    let bundle = |title: &str| fixture::bundle(&services, teams, title);
    let mut fixture = fixture::Fixture::start(bundle("first")).await;
    let service = fleet::Service::new("pool", "pool", 2);
    for number in 0..2 {
        fixture.fleet.add_node(&service, number).await;
        fixture.fleet.add_entry(number).await;
    }
    fixture.fleet.wait_ready().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = usages(&fixture);
    let mut fetched = 0.0;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let before_accept = fixture.store_traffic().await;
        // The traffic of `laburnumctl` must not be counted, so it bypasses the relay.
        let relayed = std::mem::replace(&mut fixture.fleet.store_addr, fixture.store_addr);
        fixture
            .fleet
            .accept_bundle(&bundle(&format!("round {round}")));
        fixture.fleet.store_addr = relayed;
        let accepted = tokio::time::Instant::now();
        wait_in_force(&fixture, (round + 2) as f64).await;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(SETTLE_TIME).await;
        fetched += fixture.store_traffic().await.bytes - before_accept.bytes;
    }
    let after = usages(&fixture);
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

/// Returns the resource usage of the two entries, then of the two agents.
fn usages(fixture: &fixture::Fixture) -> Vec<usage::Usage> {
    let entries = fixture.fleet.entries.iter().map(|e| &e.process);
    let agents = fixture.fleet.nodes.iter().map(|n| &n.agent);
    let all: Vec<&process::Process> = entries.chain(agents).collect();
    all.into_iter().map(usage::Usage::of).collect()
}

/// Waits until a generation is in force in all processes.
async fn wait_in_force(fixture: &fixture::Fixture, generation: f64) {
    let entries = fixture.fleet.entries.iter().map(|e| e.caller_addr);
    let agents = fixture.fleet.nodes.iter().map(|n| n.admin_addr);
    for addr in entries.chain(agents) {
        fixture
            .wait_metric(addr, "laburnum_bundle_generation", generation)
            .await;
    }
}
