//! What tests of failures do to a fleet, and what they read of it.

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
    /// Address of its pages.
    pub admin_addr: net::SocketAddr,
    /// The process.
    pub process: process::Process,
}

impl Node {
    /// Returns the relay in front of the agent.
    ///
    /// # Panics
    ///
    /// Panics when the fleet was not planned with relays.
    pub fn relay(&self) -> &relay::Relay {
        self.relay.as_ref().expect("a fleet with relays")
    }
}

impl Fleet {
    /// Starts an agent again at its address of before.
    pub fn restart_agent(&mut self, node: usize) {
        let name = format!("agent-{}", self.nodes[node].name);
        self.nodes[node].agent = self.restart_daemon(&name, "laburnum-agent");
    }

    /// Starts a target again at its address of before, with an empty record.
    pub fn restart_target(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let name = format!("target-{}", node.name);
        let program = "laburnum-fake-target";
        node.target = process::Process::start(&self.dir.0, &name, program, &node.args);
    }

    /// Starts an entry again at its addresses of before.
    pub fn restart_entry(&mut self, entry: usize) {
        let name = self.entries[entry].name.clone();
        self.entries[entry].process = self.restart_daemon(&name, "laburnum-entry");
    }

    /// Starts another agent for the target of a node, as a platform does that takes the first one
    /// for dead.
    pub fn start_second_agent(&self, node: usize) -> SecondAgent {
        let old = &self.nodes[node];
        let name = format!("successor-{}", old.name);
        let admin = port::reserve_addr();
        let settings = json!({
            "instance": name,
            "data_centre": "dc-a",
            "peer": port::reserve_addr().to_string(),
            "admin": admin.to_string(),
            "target": {
                "name": old.name,
                "service": old.service,
                "address": old.target_addr.to_string(),
            },
            "fleet": self.fleet_settings(&[]),
            "platform": {"address": self.store_addr.to_string()},
        });
        let process = self.daemon(&name, "laburnum-agent", &settings);
        SecondAgent {
            admin_addr: admin,
            process,
        }
    }

    /// Reads a page of a stand-in target as JSON.
    pub async fn get_target_page(&self, node: usize, page: &str) -> Option<Value> {
        let addr = self.nodes[node].target_addr;
        let answer = self.http.get(addr, page).await.ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Returns what one stand-in has executed; nothing while it does not answer.
    pub async fn target_executions(&self, node: usize) -> Vec<Value> {
        let page = self.get_target_page(node, "/admin/executions").await;
        match page.map(|mut page| page["executions"].take()) {
            Some(Value::Array(rows)) => rows,
            _ => Vec::new(),
        }
    }

    /// Sums all samples of a metric on a process's page whose labels hold `label`.
    pub async fn sum_metric(&self, addr: net::SocketAddr, name: &str, label: &str) -> f64 {
        let answer = self.http.get(addr, "/metrics").await;
        let text = answer.map(|answer| answer.body).unwrap_or_default();
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
