//! Bundle: the signed configuration of services, pipelines and teams.

use std::{
    collections, //
    fmt,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id,
    unit, //
};

pub mod check;

/// Supported format number.
pub const FORMAT: u32 = 1;

/// Services, pipelines and teams of the system, with its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Format number, [`FORMAT`].
    pub format: u32,
    /// Free text for operators, shown in the status output.
    #[serde(default)]
    pub title: String,
    /// Pools of targets by name.
    pub services: collections::BTreeMap<id::ServiceName, Service>,
    /// Pipelines by name.
    pub pipelines: collections::BTreeMap<id::PipelineName, Pipeline>,
    /// Teams by name.
    pub teams: collections::BTreeMap<id::TeamName, Team>,
    /// Retention and sharding of the claims of non-idempotent requests.
    #[serde(default)]
    pub claims: Claims,
    /// Budgets and retention times.
    #[serde(default)]
    pub limits: Limits,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Protocol that its targets speak.
    pub kind: Kind,
    /// Whether its targets check the fencing number of an order.
    #[serde(default)]
    pub orders: Orders,
    /// Models that each target must have loaded, as `name@version`; engines only.
    #[serde(default)]
    pub models: Vec<String>,
    /// Timeout of an order to a target.
    #[serde(default = "default_order_limit")]
    pub order_limit: unit::Period,
}

fn default_order_limit() -> unit::Period {
    unit::Period::from_secs(5)
}

/// Protocol of a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that streams tokens.
    Engine,
    /// An encoder, retriever, reranker or other service that does not stream its answer.
    Pool,
}

/// How the targets of a service treat the fencing number of an order.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Orders {
    /// The service takes no orders.
    #[default]
    None,
    /// The targets reject orders with a stale number.
    Fenced,
    /// The targets ignore the number.
    Unfenced,
}

/// A sequence of stages under one deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in order; at least one.
    pub stages: Vec<Stage>,
    /// Whether a request may execute more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Largest body of a request.
    #[serde(default = "default_body_limit")]
    pub body_limit: unit::Size,
}

fn default_true() -> bool {
    true
}

fn default_body_limit() -> unit::Size {
    unit::Size(1 << 20)
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique within the pipeline.
    pub name: id::StageName,
    /// Service that executes it.
    pub service: id::ServiceName,
    /// Whether this stage may execute more than once; defaults to the value of its pipeline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
}

/// A paying customer, with its share of the targets and its service levels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of each bearer token, 64 hexadecimal digits.
    pub tokens: Vec<String>,
    /// Weight of the team's share of each contended target.
    pub weight: u32,
    /// Pipelines that the team may call, with the service level of each.
    pub pipelines: collections::BTreeMap<id::PipelineName, Promise>,
    /// Largest number of the team's requests in the queue of one target.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

fn default_queue_limit() -> u32 {
    64
}

/// Service level of a team for one pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Time from the arrival of a request to its complete answer.
    pub deadline: unit::Period,
    /// Priority under contention.
    #[serde(default)]
    pub priority: Priority,
}

/// Priority under contention, highest first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Interactive work: a person waits for the answer.
    High,
    /// Ordinary work; the default.
    #[default]
    Normal,
    /// Shed first.
    Low,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        })
    }
}

/// Retention and sharding of the claims of non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Time for which a claim is kept; must exceed the time for which callers resend a request.
    pub retention: unit::Period,
    /// Number of shards, each with one owner at a time.
    pub shards: u16,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            retention: unit::Period::from_secs(3600),
            shards: 8,
        }
    }
}

/// Budgets and retention times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Time for which an agent keeps a finished result that was not acknowledged.
    pub result_retention: unit::Period,
    /// Time for which a request that crashed targets is refused.
    pub quarantine: unit::Period,
    /// Retries of requests that may have run, as a fraction of recent successes.
    pub retry_ratio: unit::Share,
    /// Hedges, as a fraction of recent requests.
    pub hedge_ratio: unit::Share,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            result_retention: unit::Period::from_secs(60),
            quarantine: unit::Period::from_secs(600),
            retry_ratio: unit::Share(0.1),
            hedge_ratio: unit::Share(0.05),
        }
    }
}
