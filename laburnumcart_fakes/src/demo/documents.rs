//! JSON documents of a demo.

use std::collections;

use laburnumcart::bundle;
use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::demo::{
    layout,
    shape, //
};

/// Shared secret of the demo's processes, not for use in a real system.
const DEMO_SECRET: &str = "laburnumcart-demo-secret";

/// Requests per second for each unit of a team's weight.
const RATE_PER_WEIGHT: f64 = 3.0;

/// Public keys by name.
pub(super) type Keys = collections::BTreeMap<String, String>;

/// Returns the bundle.
pub(super) fn bundle(shape: shape::Shape) -> Value {
    let services = shape.services().into_iter();
    let services = services.map(|s| (s.name, service(s)));
    let customers = shape.customers();
    let pipelines = customers.iter().flat_map(|customer| customer.pipelines);
    let pipelines = pipelines.map(|p| (p.name, pipeline(p)));
    let teams = customers
        .iter()
        .flat_map(|customer| customer.teams.iter().map(|t| (t.name, team(customer, t))));
    json!({
        "format": bundle::FORMAT,
        "title": format!("demo of {shape}"),
        "services": services.collect::<Value>(),
        "pipelines": pipelines.collect::<Value>(),
        "teams": teams.collect::<Value>(),
    })
}

fn service(service: &shape::Service) -> Value {
    json!({
        "kind": service.kind,
        "orders": service.order_fencing,
        "models": service.models,
        "order_limit": "2s",
    })
}

fn pipeline(pipeline: &shape::Pipeline) -> Value {
    let last = pipeline.stages.len() - 1;
    let stage = |(index, (name, service)): (usize, &(&str, &str))| {
        let mut stage = json!({ "name": name, "service": service });
        // Only the last stage of a non-idempotent pipeline has side effects.
        if !pipeline.idempotent && index < last {
            stage["idempotent"] = true.into();
        }
        stage
    };
    let stages = pipeline.stages.iter().enumerate().map(stage);
    json!({
        "idempotent": pipeline.idempotent,
        "stages": stages.collect::<Vec<_>>(),
    })
}

fn team(customer: &shape::Customer, team: &shape::Team) -> Value {
    let objectives = |p: &shape::Pipeline| {
        let objectives = json!({ "deadline": p.deadline, "priority": p.priority });
        (p.name, objectives)
    };
    json!({
        "tokens": [sha256_hex(&token(team))],
        "weight": team.weight,
        "pipelines": customer.pipelines.iter().map(objectives).collect::<Value>(),
    })
}

/// Returns the bearer token of a team in the demo.
fn token(team: &shape::Team) -> String {
    format!("demo-token-of-{}", team.name)
}

fn sha256_hex(text: &str) -> String {
    let bytes = Sha256::digest(text.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the settings of an entry.
pub(super) fn entry(layout: &layout::Layout, entry: &layout::Entry, keys: &Keys) -> Value {
    json!({
        "instance": entry.name,
        "data_centre": entry.data_centre,
        "callers": entry.callers,
        "peer": entry.peer,
        "fleet": fleet(layout, keys),
        "platform": { "address": layout.store },
        "telemetry": { "level": "info" },
    })
}

/// Returns the settings of an agent.
pub(super) fn agent(layout: &layout::Layout, node: &layout::Node, keys: &Keys) -> Value {
    json!({
        "instance": node.agent,
        "data_centre": node.data_centre,
        "peer": node.peer,
        "admin": node.admin,
        "target": {
            "name": node.name,
            "service": node.service.name,
            "address": node.target,
        },
        "fleet": fleet(layout, keys),
        "platform": { "address": layout.store },
        "telemetry": { "level": "info" },
    })
}

/// Returns the settings of `laburnumctl`.
pub(super) fn control(layout: &layout::Layout, keys: &Keys) -> Value {
    json!({
        "fleet": fleet(layout, keys),
        "platform": { "address": layout.store },
    })
}

fn fleet(layout: &layout::Layout, keys: &Keys) -> Value {
    let peers: Vec<_> = layout.entries.iter().map(|entry| entry.peer).collect();
    json!({ "secrets": [DEMO_SECRET], "keys": keys, "signers": 1, "peers": peers })
}

/// Returns the entries of the platform's instance list by name.
pub(super) fn instances(layout: &layout::Layout) -> Vec<(String, Value)> {
    let entries = layout.entries.iter().map(|entry| {
        let value = json!({
            "name": entry.name,
            "data_centre": entry.data_centre,
            "role": "entry",
            "service": null,
            "addr": entry.peer,
            "state": "live",
        });
        (entry.name.clone(), value)
    });
    let agents = layout.nodes.iter().map(|node| {
        let value = json!({
            "name": node.agent,
            "data_centre": node.data_centre,
            "role": "agent",
            "service": node.service.name,
            "addr": node.peer,
            "state": "live",
        });
        (node.agent.clone(), value)
    });
    entries.chain(agents).collect()
}

/// Returns the load plan.
pub(super) fn load(layout: &layout::Layout) -> Value {
    let customers = layout.shape.customers();
    let entries: Vec<_> = layout.entries.iter().map(|entry| entry.callers).collect();
    let teams = customers.iter().flat_map(|customer| {
        customer
            .teams
            .iter()
            .map(|t| (t.name, load_team(customer, t)))
    });
    let pipelines = customers.iter().flat_map(|customer| customer.pipelines);
    let pipelines = pipelines.map(|p| {
        let stages = p.stages.iter();
        let stages = stages.map(|(name, service)| json!({ "name": name, "service": service }));
        let stages: Vec<_> = stages.collect();
        let pipeline = json!({ "idempotent": p.idempotent, "stages": stages });
        (p.name, pipeline)
    });
    let services = layout.shape.services().into_iter().map(|service| {
        let targets = layout.targets(service.name);
        let targets = targets.map(|node| (node.name.clone(), json!(node.target)));
        let value = json!({
            "kind": service.kind,
            "tokens": shape::OUTPUT_TOKENS,
            "targets": targets.collect::<Value>(),
        });
        (service.name, value)
    });
    json!({
        "entries": entries,
        "teams": teams.collect::<Value>(),
        "pipelines": pipelines.collect::<Value>(),
        "services": services.collect::<Value>(),
        "capacity": format!("{:.3}/s", layout.capacity()),
    })
}

fn load_team(customer: &shape::Customer, team: &shape::Team) -> Value {
    let stream = |pipeline: &shape::Pipeline| {
        let rate = RATE_PER_WEIGHT * f64::from(team.weight * pipeline.percent) / 100.0;
        json!({
            "pipeline": pipeline.name,
            "rate": format!("{rate:.3}/s"),
            "deadline": pipeline.deadline,
            "events": "25%",
            "prefixes": 8,
        })
    };
    json!({
        "token": token(team),
        "weight": team.weight,
        "streams": customer.pipelines.iter().map(stream).collect::<Vec<_>>(),
    })
}
