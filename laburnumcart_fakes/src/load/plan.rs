//! What load is offered, and what is known of the targets that serve it.

use std::{
    collections,
    net, //
};

use laburnumcart::{
    bundle,
    id,
    unit, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::target::behaviour;

/// A whole load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Callers' addresses of the entries.
    pub entries: Vec<net::SocketAddr>,
    /// Teams that send.
    pub teams: collections::BTreeMap<id::TeamName, Team>,
    /// Pipelines that they call.
    pub pipelines: collections::BTreeMap<id::PipelineName, Pipeline>,
    /// Targets by service.
    pub services: collections::BTreeMap<id::ServiceName, Service>,
    /// Requests a second that the slowest service can keep up with, in the mixture of the rates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<unit::Rate>,
    /// Faults during the load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// A team and its load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Bearer token.
    pub token: String,
    /// Weight of its promised share.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its streams of requests.
    pub streams: Vec<Stream>,
}

/// A Poisson stream of requests for one pipeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Pipeline that is called.
    pub pipeline: id::PipelineName,
    /// Mean rate.
    pub rate: unit::Rate,
    /// Deadline that is asked for and measured against.
    pub deadline: unit::Period,
    /// Fields of each body; the tool adds a unique number and a prompt prefix.
    #[serde(default)]
    pub body: serde_json::Map<String, serde_json::Value>,
    /// Number of different prompt prefixes.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// Part of the requests answered as server-sent events.
    #[serde(default)]
    pub events: unit::Share,
    /// Part of the requests of an idempotent pipeline that are marked as non-idempotent.
    #[serde(default)]
    pub single: unit::Share,
    /// A time of higher rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<Burst>,
}

fn default_weight() -> u32 {
    1
}

fn default_prefixes() -> u32 {
    8
}

/// A time of higher rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, from the start of the load.
    pub from: unit::Period,
    /// End, from the start of the load.
    pub until: unit::Period,
    /// Factor on the rate.
    pub factor: f64,
}

/// A pipeline as the tool needs it to know the right answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in order.
    pub stages: Vec<Stage>,
    /// Whether a request may execute more than once.
    pub idempotent: bool,
}

/// One stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name.
    pub name: id::StageName,
    /// Service that executes it.
    pub service: id::ServiceName,
}

/// A service and its targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Protocol of its targets.
    pub kind: bundle::Kind,
    /// Tokens of an answer if the body names no number; engines only.
    #[serde(default)]
    pub tokens: u32,
    /// Its targets.
    pub targets: collections::BTreeMap<id::TargetName, net::SocketAddr>,
}

/// A change of some targets' behaviour during the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the start of the load.
    pub at: unit::Period,
    /// Targets, of any service.
    pub targets: Vec<id::TargetName>,
    /// What changes.
    pub change: behaviour::Change,
}

impl Plan {
    /// Returns all targets with their addresses.
    pub fn targets(&self) -> impl Iterator<Item = (&id::TargetName, net::SocketAddr)> {
        let targets = self.services.values().flat_map(|service| &service.targets);
        targets.map(|(name, address)| (name, *address))
    }

    /// Returns the sum of all rates in requests a second.
    pub fn total_rate(&self) -> f64 {
        let streams = self.teams.values().flat_map(|team| &team.streams);
        streams.map(|stream| stream.rate.0).sum()
    }

    /// Returns every fault of the plan: names that are used but not given.
    pub fn validate(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (name, pipeline) in &self.pipelines {
            for stage in &pipeline.stages {
                if !self.services.contains_key(&stage.service) {
                    faults.push(format!("pipelines.{name}: no service {}", stage.service));
                }
            }
        }
        for (name, team) in &self.teams {
            for stream in &team.streams {
                if !self.pipelines.contains_key(&stream.pipeline) {
                    faults.push(format!("teams.{name}: no pipeline {}", stream.pipeline));
                }
                if !(stream.rate.0.is_finite() && stream.rate.0 >= 0.0) {
                    faults.push(format!("teams.{name}: rate {}", stream.rate));
                }
            }
        }
        for name in self.faults.iter().flat_map(|fault| &fault.targets) {
            if !self.targets().any(|(target, _)| target == name) {
                faults.push(format!("faults: no target {name}"));
            }
        }
        faults
    }
}
