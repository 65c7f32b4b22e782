//! Description of a load and of the targets that serve it.

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

/// A load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Addresses of the entries for callers.
    pub entries: Vec<net::SocketAddr>,
    /// Teams that send.
    pub teams: collections::BTreeMap<id::TeamName, Team>,
    /// Pipelines that the teams call.
    pub pipelines: collections::BTreeMap<id::PipelineName, Pipeline>,
    /// Targets by service.
    pub services: collections::BTreeMap<id::ServiceName, Service>,
    /// Highest total rate that the slowest service sustains with the given mix of streams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<unit::Rate>,
    /// Faults to inject during the load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// A team and its load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Bearer token.
    pub token: String,
    /// Weight of its guaranteed share.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Streams of requests.
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
    /// Requested deadline, also the limit for attained requests.
    pub deadline: unit::Period,
    /// Fields of each body, to which a random number and a prompt prefix are added.
    #[serde(default)]
    pub body: serde_json::Map<String, serde_json::Value>,
    /// Number of different prompt prefixes.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// Share of the requests that ask for server-sent events.
    #[serde(default)]
    pub events: unit::Share,
    /// Share of the requests of an idempotent pipeline that are sent as non-idempotent.
    #[serde(default)]
    pub single: unit::Share,
    /// A period with a changed rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<Burst>,
}

fn default_weight() -> u32 {
    1
}

fn default_prefixes() -> u32 {
    8
}

/// A period with a changed rate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, from the start of the load.
    pub from: unit::Period,
    /// End, from the start of the load.
    pub until: unit::Period,
    /// Factor for the rate.
    pub factor: f64,
}

/// A pipeline with the data that determines its expected output.
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
    /// Service that executes the stage.
    pub service: id::ServiceName,
}

/// A service and its targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Protocol of its targets.
    pub kind: bundle::Kind,
    /// Number of output tokens unless the body sets it; engines only.
    #[serde(default)]
    pub tokens: u32,
    /// Addresses of its targets.
    pub targets: collections::BTreeMap<id::TargetName, net::SocketAddr>,
}

/// A fault that is injected during the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time since the start of the load.
    pub at: unit::Period,
    /// Affected targets of any service.
    pub targets: Vec<id::TargetName>,
    /// Change of their faults.
    pub change: behaviour::Change,
}

impl Plan {
    /// Returns all targets with their addresses.
    pub fn targets(&self) -> impl Iterator<Item = (&id::TargetName, net::SocketAddr)> {
        let targets = self.services.values().flat_map(|service| &service.targets);
        targets.map(|(name, address)| (name, *address))
    }

    /// Returns the sum of all rates in requests per second.
    pub fn total_rate(&self) -> f64 {
        let streams = self.teams.values().flat_map(|team| &team.streams);
        streams.map(|stream| stream.rate.0).sum()
    }

    /// Returns all errors of the plan: undefined names and invalid rates.
    pub fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        for (name, pipeline) in &self.pipelines {
            for stage in &pipeline.stages {
                if !self.services.contains_key(&stage.service) {
                    errors.push(format!("pipelines.{name}: no service {}", stage.service));
                }
            }
        }
        for (name, team) in &self.teams {
            for stream in &team.streams {
                if !self.pipelines.contains_key(&stream.pipeline) {
                    errors.push(format!("teams.{name}: no pipeline {}", stream.pipeline));
                }
                if !(stream.rate.0.is_finite() && stream.rate.0 >= 0.0) {
                    errors.push(format!("teams.{name}: rate {}", stream.rate));
                }
            }
        }
        for name in self.faults.iter().flat_map(|fault| &fault.targets) {
            if !self.targets().any(|(target, _)| target == name) {
                errors.push(format!("faults: no target {name}"));
            }
        }
        errors
    }
}
