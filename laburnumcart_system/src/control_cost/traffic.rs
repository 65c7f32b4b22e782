//! Cost of a request, which belongs to the data path and not to the control plane.

use serde_json::json;

use crate::{
    control_cost::{
        fit,
        usage, //
    },
    fleet, sample,
};

/// Number of requests at each point.
const REQUESTS: [usize; 4] = [0, 100, 200, 400];

/// Number of requests sent concurrently.
const CONCURRENCY: usize = 8;

/// Measures an entry and its five agents; the slope is the cost of one request of four stages.
pub async fn measure() -> fit::Table {
    let title = "Traffic (data path): one entry, four stages, 12 tokens in the last";
    let columns = ["entry CPU ms", "CPU ms of all agents"];
    let mut table = fit::Table::new(title, "requests", &columns);
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(1);
    let fleet = fleet::Fleet::start(plan).await;
    for count in REQUESTS {
        let before = cpu_seconds(&fleet);
        send_requests(&fleet, count).await;
        let after = cpu_seconds(&fleet);
        let values = [after.0 - before.0, after.1 - before.1];
        table.push(count as f64, values.map(|seconds| seconds * 1e3));
    }
    table
}

async fn send_requests(fleet: &fleet::Fleet, count: usize) {
    let call = |number: usize| async move {
        let body = json!({"applicant": number, "text": format!("statement {number}")});
        let call = fleet::Call::new(sample::CHECK_PIPELINE, sample::CLINIC_TOKEN, body);
        let response = fleet.call(0, &call).await.expect("a response");
        assert_eq!(response.status, 200, "{}", response.body);
    };
    let numbers: Vec<_> = (0..count).collect();
    for batch in numbers.chunks(CONCURRENCY) {
        futures_util::future::join_all(batch.iter().map(|n| call(*n))).await;
    }
}

/// Returns the processor time of the entry and of all agents in seconds.
fn cpu_seconds(fleet: &fleet::Fleet) -> (f64, f64) {
    let agents = fleet
        .nodes
        .iter()
        .map(|n| usage::Usage::of(&n.agent).cpu_seconds);
    (
        usage::Usage::of(&fleet.entries[0].process).cpu_seconds,
        agents.sum(),
    )
}
