//! Cost of a request, which is data path and not control.

use serde_json::json;

use crate::{
    control_cost::{
        fit,
        usage, //
    },
    fleet, sample,
};

/// Requests at each point.
const REQUESTS: [usize; 4] = [0, 100, 200, 400];

/// Requests in flight.
const FLIGHT: usize = 8;

/// Measures an entry and its five agents; the slope is the cost of a request of four stages.
pub async fn measure() -> fit::Table {
    let title = "Traffic (data path): one entry, four stages, 12 tokens in the last";
    let columns = ["entry CPU ms", "CPU ms of all agents"];
    let mut table = fit::Table::new(title, "requests", &columns);
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(1);
    let fleet = fleet::Fleet::start(plan).await;
    for count in REQUESTS {
        let before = spent(&fleet);
        send(&fleet, count).await;
        let after = spent(&fleet);
        let values = [after.0 - before.0, after.1 - before.1];
        table.push(count as f64, values.map(|seconds| seconds * 1e3));
    }
    table
}

async fn send(fleet: &fleet::Fleet, count: usize) {
    let call = |number: usize| async move {
        let body = json!({"applicant": number, "text": format!("statement {number}")});
        let call = fleet::Call::new(sample::CHECK_PIPELINE, sample::CLINIC_TOKEN, body);
        let answer = fleet.call(0, &call).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    };
    let numbers: Vec<_> = (0..count).collect();
    for batch in numbers.chunks(FLIGHT) {
        futures_util::future::join_all(batch.iter().map(|n| call(*n))).await;
    }
}

/// Returns the processor seconds of the entry and of all agents.
fn spent(fleet: &fleet::Fleet) -> (f64, f64) {
    let agents = fleet
        .nodes
        .iter()
        .map(|n| usage::Usage::of(&n.agent).cpu_seconds);
    (
        usage::Usage::of(&fleet.entries[0].process).cpu_seconds,
        agents.sum(),
    )
}
