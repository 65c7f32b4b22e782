//! The versioned description of what the system serves, as operators write and sign it.

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

/// The only format number so far.
pub const FORMAT: u32 = 1;

/// What runs, for whom, under which promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Format number, [`FORMAT`].
    pub format: u32,
    /// Free text for operators, shown in status.
    #[serde(default)]
    pub title: String,
    /// Pools of targets by name.
    pub services: collections::BTreeMap<id::ServiceName, Service>,
    /// Pipelines by name.
    pub pipelines: collections::BTreeMap<id::PipelineName, Pipeline>,
    /// Teams by name.
    pub teams: collections::BTreeMap<id::TeamName, Team>,
    /// How claims of non-idempotent requests are kept.
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
    /// Models that each target must have loaded, `name@version`; engines only.
    #[serde(default)]
    pub models: Vec<String>,
    /// Longest time an order to a target can take.
    #[serde(default = "default_order")]
    pub order_limit: unit::Period,
}

fn default_order() -> unit::Period {
    unit::Period::from_secs(5)
}

/// Protocol of a target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that streams tokens.
    Engine,
    /// An encoder, retriever, reranker or plain service that answers in one piece.
    Pool,
}

/// What a target does with the fencing number of an order.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Orders {
    /// The service takes no orders.
    #[default]
    None,
    /// An order with an old number is refused by the target.
    Fenced,
    /// The target ignores the number.
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
    #[serde(default = "default_body")]
    pub body_limit: unit::Size,
}

fn default_true() -> bool {
    true
}

fn default_body() -> unit::Size {
    unit::Size(1 << 20)
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique within the pipeline.
    pub name: id::StageName,
    /// Service that executes it.
    pub service: id::ServiceName,
    /// Whether this stage may execute more than once, if it differs from its pipeline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
}

/// A customer and what was promised to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of each bearer token, 64 hexadecimal digits.
    pub tokens: Vec<String>,
    /// Weight of its share of every contended target.
    pub weight: u32,
    /// Pipelines that it may call, with the promise for each.
    pub pipelines: collections::BTreeMap<id::PipelineName, Promise>,
    /// Most requests of the team that wait at one target.
    #[serde(default = "default_queue")]
    pub queue_limit: u32,
}

fn default_queue() -> u32 {
    64
}

/// What a team was promised for one pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Time from the request's arrival to its whole answer.
    pub deadline: unit::Period,
    /// Priority under contention.
    #[serde(default)]
    pub priority: Priority,
}

/// Priority under contention; the first is served first.
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
    /// A person waits.
    High,
    /// Ordinary.
    #[default]
    Normal,
    /// Can be shed first.
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

/// How claims of non-idempotent requests are kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// How long a claim is kept; longer than any caller resends.
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
    /// How long an agent keeps a finished result that was not acknowledged.
    pub result_retention: unit::Period,
    /// How long a request that crashed targets is refused.
    pub quarantine: unit::Period,
    /// Retries after "may have run", as a part of recent successes.
    pub retry_ratio: unit::Share,
    /// Hedges, as a part of recent requests.
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
