//! Fixture of the measurements: a system with its own object service.

use std::{
    net,
    time, //
};

use serde_json::{
    Value,
    json, //
};

use crate::{
    control_cost::usage,
    fleet,
    port,
    process,
    relay,
    sample,
    wait, //
};

/// Data centre of all processes.
pub const DATA_CENTRE: &str = fleet::DATA_CENTRES[0];

/// Number of pipelines in the bundle.
const PIPELINES: usize = 28;

/// Number of pipelines that a team may call.
const TEAM_PIPELINES: usize = 2;

/// A system whose processes reach the object service through a relay that counts bytes.
#[derive(Debug)]
pub struct Fixture {
    /// Processes of the system.
    pub fleet: fleet::Fleet,
    /// Address of the object service behind the relay.
    pub store_addr: net::SocketAddr,
    /// Relay in front of the object service.
    pub store_relay: relay::Relay,
}

/// Calls and bytes at the object service since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreTraffic {
    /// Number of reads and lists.
    pub reads: f64,
    /// Number of writes.
    pub writes: f64,
    /// Number of watches.
    pub watches: f64,
    /// Bytes in both directions, without TCP/IP headers.
    pub bytes: f64,
}

impl Fixture {
    /// Starts an object service and accepts a bundle.
    pub async fn start(bundle: Value) -> Self {
        // The rate limits of the object service must not affect the measurement.
        let rates = ["--reads", "100000/s", "--writes", "100000/s"];
        let plan = fleet::Plan::new(Vec::new(), bundle);
        let mut fleet = fleet::Fleet::start(plan.entries(0).store_args(&rates)).await;
        let store = fleet.store_addr;
        let relay = relay::Relay::start(port::reserve_addr(), store).await;
        let relay = relay.expect("relay to the object service");
        fleet.store_addr = relay.addr();
        Self {
            fleet,
            store_addr: store,
            store_relay: relay,
        }
    }

    /// Returns the traffic of the object service so far.
    pub async fn store_traffic(&self) -> StoreTraffic {
        let response = self.fleet.http.get(self.store_addr, "/admin/counts").await;
        let total = response.expect("counts").json()["total"].take();
        let count = |name: &str| total[name].as_f64().unwrap_or_default();
        let bytes = self.store_relay.bytes();
        StoreTraffic {
            reads: count("reads"),
            writes: count("writes"),
            watches: count("watches"),
            bytes: (bytes.to_server + bytes.to_client) as f64,
        }
    }

    /// Waits until the sum of a metric's samples is at least `least`.
    pub async fn wait_metric(&self, addr: net::SocketAddr, metric: &str, least: f64) {
        wait::until(&format!("{metric} of at least {least}"), || async {
            let page = self.fleet.http.get(addr, "/metrics").await.ok()?;
            (sum_metric(&page.body, metric)? >= least).then_some(())
        })
        .await;
    }
}

/// Returns the sum of a metric's samples on a page; `None` if there are no samples.
pub fn sum_metric(page: &str, metric: &str) -> Option<f64> {
    let samples = page.lines().filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        let name = name.split('{').next()?;
        (name == metric).then(|| value.parse::<f64>().ok())?
    });
    samples.reduce(|a, b| a + b)
}

/// Resource usage of one process over a window.
#[derive(Clone, Copy, Debug)]
pub struct WindowUsage {
    /// Average share of a processor core.
    pub core: f64,
    /// Resident memory in megabytes at the end.
    pub memory: f64,
}

/// Measures the resource usage of a process over a window.
pub async fn measure_window(process: &process::Process, window: time::Duration) -> WindowUsage {
    let (start, before) = (tokio::time::Instant::now(), usage::Usage::of(process));
    tokio::time::sleep(window).await;
    let after = usage::Usage::of(process);
    WindowUsage {
        core: (after.cpu_seconds - before.cpu_seconds) / start.elapsed().as_secs_f64(),
        memory: after.memory_megabytes,
    }
}

/// Returns a bundle of 28 pipelines with five stages each over `services`, for `teams` teams.
pub fn bundle(services: &[String], teams: usize, title: &str) -> Value {
    let service = |number: usize| &services[number % services.len()];
    let stage = |pipeline: usize, number: usize| json!({"name": format!("stage-{number}"), "service": service(pipeline + number)});
    let stages = |pipeline| (0..5).map(|n| stage(pipeline, n)).collect::<Vec<_>>();
    let pipelines: serde_json::Map<_, _> = (0..PIPELINES)
        .map(|p| (format!("pipeline-{p}"), json!({"stages": stages(p)})))
        .collect();
    let services = services
        .iter()
        .map(|s| (s.clone(), json!({"kind": "pool"})));
    let teams = (0..teams).map(|n| (format!("team-{n}"), team(n)));
    json!({
        "format": 1,
        "title": title,
        "services": services.collect::<serde_json::Map<_, _>>(),
        "pipelines": pipelines,
        "teams": teams.collect::<serde_json::Map<_, _>>(),
        "claims": {"retention": "10m", "shards": 4},
    })
}

fn team(number: usize) -> Value {
    let terms = json!({"deadline": "10s", "priority": "normal"});
    let pipelines: serde_json::Map<_, _> = (0..TEAM_PIPELINES)
        .map(|p| {
            (
                format!("pipeline-{}", (number + p) % PIPELINES),
                terms.clone(),
            )
        })
        .collect();
    json!({
        "tokens": [sample::token_digest(&format!("token-of-team-{number}"))],
        "weight": 1,
        "pipelines": pipelines,
        "queue_limit": 100,
    })
}
