//! Remote interface of an entry, the process that accepts requests of callers, for other entries,
//! agents and operators.

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

/// Status of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub instance: id::InstanceName,
    /// Data centre of the entry.
    pub data_centre: id::DataCentre,
    /// Incarnation of the entry.
    pub incarnation: id::Incarnation,
    /// Generation of the bundle, the signed configuration in force.
    pub generation: id::Generation,
    /// Whether the entry refuses new requests because it is draining.
    pub leaving: bool,
    /// Requests in flight.
    pub running: u32,
    /// Number of agents with a live connection.
    pub agents: u32,
    /// Crashes, cleared content and leaving processes known to the entry by gossip.
    pub facts: facts::Facts,
}

/// Request to the owner of a shard to claim an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// Shard of the key.
    pub shard: u16,
    /// Fingerprint of team and key.
    pub key: id::Fingerprint,
    /// Fingerprint of the request's content; reuse of the key with different content is refused.
    pub content: id::Fingerprint,
    /// Request to be executed under the claim.
    pub request: id::RequestId,
    /// Entry that executes the request.
    pub holder: Holder,
    /// Retention time of the claim.
    pub retention: unit::Period,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum Decision {
    /// The claim is durable; the caller executes the request, at most once.
    Granted,
    /// The key is already claimed.
    Taken {
        /// Request that holds the claim.
        request: id::RequestId,
        /// Fingerprint of the claimed request's content.
        content: id::Fingerprint,
        /// Process that executes the request or keeps its answer.
        holder: Holder,
    },
    /// The shard is owned by another entry.
    Elsewhere {
        /// Owner, if known.
        owner: Option<Holder>,
    },
    /// The claim was refused and is proven not to be in the log.
    Refused(verdict::Refusal),
}

/// Releases a claim whose request is proven not executed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// Shard of the key.
    pub shard: u16,
    /// Fingerprint of team and key.
    pub key: id::Fingerprint,
    /// Request that holds the claim.
    pub request: id::RequestId,
}

/// Request to the holder of a claim for the final answer of the claimed request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fetch {
    /// Incarnation of the holder; another one does not have the answer.
    pub incarnation: id::Incarnation,
    /// Request that holds the claim.
    pub request: id::RequestId,
    /// Longest time to wait while the request is in flight.
    pub wait: unit::Period,
}

/// Final answer of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum Answer {
    /// Complete result.
    Whole {
        /// Body of the answer, as JSON text.
        body: String,
    },
    /// The request was refused or given up.
    Refused(verdict::Refusal),
    /// The request is still in flight after the wait.
    Running,
    /// The request is unknown to this process.
    Unknown,
}

/// Remote methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Returns the status of the entry.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Starts a graceful shutdown, as SIGTERM does: refuses new requests and exits after the
    /// requests in flight have finished.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<Status>;

    /// Claims a key in a shard owned by this entry.
    #[method(name = "claim")]
    async fn claim(&self, claim: Claim) -> RpcResult<Decision>;

    /// Releases a claim whose request is proven not executed.
    #[method(name = "release")]
    async fn release(&self, release: Release) -> RpcResult<bool>;

    /// Waits for the final answer of a claimed request.
    #[method(name = "fetch")]
    async fn fetch(&self, fetch: Fetch) -> RpcResult<Answer>;

    /// Returns the bundle in force if its generation is at least `least`.
    #[method(name = "bundle")]
    async fn bundle(&self, least: id::Generation) -> RpcResult<Option<agent::SignedBundle>>;
}
