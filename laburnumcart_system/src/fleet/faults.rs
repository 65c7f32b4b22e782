//! Restarts of processes and queries of targets and metrics, for tests of failures.

use std::net;

use serde_json::{
    Value,
    json, //
};

use crate::{
    port,
    process,
    relay, //
};

use super::{
    Fleet,
    Node, //
};

/// A second agent for a target that has one.
#[derive(Debug)]
pub struct SecondAgent {
    /// Address at which the agent serves metrics and health checks.
    pub admin_addr: net::SocketAddr,
    /// Process of the agent.
    pub process: process::Process,
}

impl Node {
    /// Returns the relay in front of the agent.
    ///
    /// # Panics
    ///
    /// Panics when the plan has no relays.
    pub fn relay(&self) -> &relay::Relay {
        self.relay.as_ref().expect("plan with relays")
    }
}

impl Fleet {
    /// Restarts an agent with the same settings and addresses.
    pub fn restart_agent(&mut self, node: usize) {
        let name = format!("agent-{}", self.nodes[node].name);
        self.nodes[node].agent = self.restart_daemon(&name, "laburnum-agent");
    }

    /// Restarts a target at the same address, without recorded executions.
    pub fn restart_target(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let name = format!("target-{}", node.name);
        let program = "laburnum-fake-target";
        node.target = process::Process::start(&self.dir.0, &name, program, &node.args);
    }

    /// Restarts an entry with the same settings and addresses.
    pub fn restart_entry(&mut self, entry: usize) {
        let name = self.entries[entry].name.clone();
        self.entries[entry].process = self.restart_daemon(&name, "laburnum-entry");
    }

    /// Starts a second agent for the target of a node, as a platform does after it wrongly declares
    /// the first agent dead.
    pub fn start_second_agent(&self, node: usize) -> SecondAgent {
        let first = &self.nodes[node];
        let name = format!("successor-{}", first.name);
        let admin = port::reserve_addr();
        let settings = json!({
            "instance": name,
            "data_centre": "dc-a",
            "peer": port::reserve_addr().to_string(),
            "admin": admin.to_string(),
            "target": {
                "name": first.name,
                "service": first.service,
                "address": first.target_addr.to_string(),
            },
            "fleet": self.fleet_settings(&[]),
            "platform": {"address": self.store_addr.to_string()},
        });
        let process = self.start_daemon(&name, "laburnum-agent", &settings);
        SecondAgent {
            admin_addr: admin,
            process,
        }
    }

    /// Returns a page of a fake target as JSON; `None` while the target does not respond.
    pub async fn get_target_page(&self, node: usize, page: &str) -> Option<Value> {
        let addr = self.nodes[node].target_addr;
        let response = self.http.get(addr, page).await.ok()?;
        (response.status == 200).then(|| response.json())
    }

    /// Returns the executions that one target has recorded; empty while it does not respond.
    pub async fn target_executions(&self, node: usize) -> Vec<Value> {
        let page = self.get_target_page(node, "/admin/executions").await;
        match page.map(|mut page| page["executions"].take()) {
            Some(Value::Array(rows)) => rows,
            _ => Vec::new(),
        }
    }

    /// Returns the sum of all samples of a metric of a process whose labels contain `label`.
    pub async fn sum_metric(&self, addr: net::SocketAddr, name: &str, label: &str) -> f64 {
        let response = self.http.get(addr, "/metrics").await;
        let text = response.map(|response| response.body).unwrap_or_default();
        let samples = text.lines().filter_map(|line| line.rsplit_once(' '));
        samples
            .filter(|(sample, _)| {
                let (family, labels) = sample.split_once('{').unwrap_or((sample, ""));
                family == name && labels.contains(label)
            })
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum()
    }
}
