//! What an entry offers to other entries, agents and operators.

use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::{
    facts,
    id,
    unit,
    verdict, //
};

use crate::agent;

pub use laburnumcart::claim::Holder;

/// State of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub instance: id::InstanceName,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Generation in force.
    pub generation: id::Generation,
    /// Whether new requests are refused.
    pub leaving: bool,
    /// Requests in flight.
    pub running: u32,
    /// Agents that it has a live connection to.
    pub agents: u32,
    /// The entry's facts.
    pub facts: facts::Facts,
}

/// Asks the owner of a shard to claim a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Shard of the key.
    pub shard: u16,
    /// Team and key together.
    pub key: id::Fingerprint,
    /// Content of the request; a key that comes back with another is refused.
    pub content: id::Fingerprint,
    /// Request that will execute under the claim.
    pub request: id::RequestId,
    /// Entry that will execute it.
    pub holder: Holder,
    /// How long the claim must be kept.
    pub retention: unit::Period,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum Decision {
    /// Durable; the caller executes the request, once.
    Granted,
    /// The key was claimed before.
    Taken {
        /// Request that holds the claim.
        request: id::RequestId,
        /// Content that was claimed.
        content: id::Fingerprint,
        /// Process that executes it or keeps its answer.
        holder: Holder,
    },
    /// Another entry owns the shard.
    Elsewhere {
        /// Owner, if known.
        owner: Option<Holder>,
    },
    /// Not granted, and provably not in the log.
    Refused(verdict::Refusal),
}

/// Gives a claim back whose request provably never started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// Shard of the key.
    pub shard: u16,
    /// Team and key together.
    pub key: id::Fingerprint,
    /// Request that held the claim.
    pub request: id::RequestId,
}

/// Asks the holder of a claim for the final answer of its request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fetch {
    /// Life that must hold the answer.
    pub incarnation: id::Incarnation,
    /// Request that holds the claim.
    pub request: id::RequestId,
    /// Longest time to wait while it runs.
    pub wait: unit::Period,
}

/// Final answer of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum Answer {
    /// Whole result, as JSON text.
    Whole {
        /// JSON text of the answer's body.
        body: String,
    },
    /// Refused or given up on.
    Refused(verdict::Refusal),
    /// Still runs after the wait.
    Running,
    /// Not known here.
    Unknown,
}

/// Methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Returns its state.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Stops accepting requests, as SIGTERM does, and exits when all that runs has finished.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<Status>;

    /// Claims a key in a shard that this entry owns.
    #[method(name = "claim")]
    async fn claim(&self, claim: Claim) -> RpcResult<Decision>;

    /// Gives back a claim that provably never started.
    #[method(name = "release")]
    async fn release(&self, release: Release) -> RpcResult<bool>;

    /// Waits for the final answer of a claimed request.
    #[method(name = "fetch")]
    async fn fetch(&self, fetch: Fetch) -> RpcResult<Answer>;

    /// Shows the bundle in force, if its generation is at least `least`.
    #[method(name = "bundle")]
    async fn bundle(&self, least: id::Generation) -> RpcResult<Option<agent::SignedBundle>>;
}
