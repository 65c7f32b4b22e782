//! Remote interface of an agent for entries and operators.

use std::net;

use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value;

use laburnumcart::{
    facts,
    id,
    unit, //
};

use crate::{
    lane,
    stage, //
};

/// Error code: the session of the call is fenced or unknown. Proves nothing about any attempt.
pub const FENCED: i32 = 1;

/// Error code: the attempt is unknown. Unlike the answer to a query, this proves nothing.
pub const UNKNOWN: i32 = 2;

/// Error code: the call violates the protocol.
pub const INVALID: i32 = 3;

/// First call on a connection; fences all older sessions of the lane.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the calling process.
    pub instance: id::InstanceName,
    /// Session of this connection.
    pub session: lane::Session,
    /// Address at which the caller serves its bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<net::SocketAddr>,
    /// Facts known to the caller.
    pub facts: facts::Facts,
}

/// Answer to [`Hello`] and to every heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Target of the agent.
    pub target: id::TargetName,
    /// Service of the target.
    pub service: id::ServiceName,
    /// Data centre of the agent and its target.
    pub data_centre: id::DataCentre,
    /// Incarnation of the agent.
    pub incarnation: id::Incarnation,
    /// Whether the agent refuses new work because it is draining.
    pub leaving: bool,
    /// Whether the target responds.
    pub ready: bool,
    /// Load of the target.
    pub load: Load,
    /// Facts known to the agent.
    pub facts: facts::Facts,
}

/// Load of a target as measured by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Attempts in execution at the target.
    pub running: u32,
    /// Attempts queued at the agent.
    pub queued: u32,
    /// Concurrency limit: attempts that the target can execute at once without slowing down.
    pub limit: u32,
    /// Mean service time of an attempt at the target.
    pub service: unit::Period,
}

/// Heartbeat of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Session of this connection.
    pub session: lane::Session,
    /// Address at which the caller serves its bundle; sent together with the facts.
    ///
    /// Without it an agent that learns of a higher generation could not fetch the bundle from the
    /// caller, and would keep the old bundle for as long as the object service is down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<net::SocketAddr>,
    /// Facts known to the caller, if they have changed since the last heartbeat.
    pub facts: Option<facts::Facts>,
}

/// A signed bundle as processes forward it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Generation under which the bundle was accepted.
    pub generation: id::Generation,
    /// Head object that names the envelope, as stored.
    pub head: Box<value::RawValue>,
    /// Signed envelope, as stored.
    pub envelope: Box<value::RawValue>,
}

/// Remote methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait Agent {
    /// Starts a session of a lane; no other call may be sent before its answer.
    #[method(name = "hello")]
    async fn hello(&self, hello: Hello) -> RpcResult<Report>;

    /// Exchanges facts and proves that the connection is alive.
    #[method(name = "beat")]
    async fn beat(&self, beat: Heartbeat) -> RpcResult<Report>;

    /// Executes a stage; returns the first chunks or the end of the result.
    #[method(name = "start")]
    async fn start(&self, call: stage::Call) -> RpcResult<stage::Progress>;

    /// Waits for further chunks of a result.
    #[method(name = "next")]
    async fn next(&self, next: stage::Next) -> RpcResult<stage::Progress>;

    /// Returns the state of an attempt whose outcome is unknown to the caller; an attempt that is
    /// unknown to the agent will never start.
    #[method(name = "query")]
    async fn query(&self, query: stage::Query) -> RpcResult<stage::Progress>;

    /// Cancels an attempt.
    #[method(name = "cancel")]
    async fn cancel(&self, cancel: stage::Cancel) -> RpcResult<()>;

    /// Returns the bundle in force if its generation is at least `least`.
    #[method(name = "bundle")]
    async fn bundle(&self, least: id::Generation) -> RpcResult<Option<SignedBundle>>;

    /// Starts a graceful shutdown, as SIGTERM does: refuses new work and exits after the work in
    /// flight has finished.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<Report>;
}
