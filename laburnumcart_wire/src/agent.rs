//! What an agent offers to entries and operators.

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

/// Error code: the call names a session that is fenced or unknown; nothing is said of any attempt.
pub const FENCED: i32 = 1;

/// Error code: the attempt is not known; unlike the answer to a query this proves nothing.
pub const UNKNOWN: i32 = 2;

/// Error code: the call breaks the protocol.
pub const INVALID: i32 = 3;

/// Opens a connection of a lane and fences the older ones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process that calls.
    pub instance: id::InstanceName,
    /// This connection.
    pub session: lane::Session,
    /// Address at which the caller shows its bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<net::SocketAddr>,
    /// The caller's facts.
    pub facts: facts::Facts,
}

/// Answer to [`Hello`] and to every heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the target.
    pub target: id::TargetName,
    /// Service that the target belongs to.
    pub service: id::ServiceName,
    /// Data centre of both.
    pub data_centre: id::DataCentre,
    /// Life of the agent.
    pub incarnation: id::Incarnation,
    /// Whether new work is refused.
    pub leaving: bool,
    /// Whether the target answers.
    pub ready: bool,
    /// Load of the target.
    pub load: Load,
    /// The agent's facts.
    pub facts: facts::Facts,
}

/// Load of a target as its agent sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Attempts that the target executes.
    pub running: u32,
    /// Attempts that wait at the agent.
    pub queued: u32,
    /// Attempts that the target can execute at once without slowing down.
    pub limit: u32,
    /// Mean time an attempt takes at the target.
    pub service: unit::Period,
}

/// Heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// This connection.
    pub session: lane::Session,
    /// Address at which the caller shows its bundle; goes with the facts.
    ///
    /// Without it an agent would see a higher generation and not know whom to ask for the bundle, so
    /// that it stayed behind for as long as the object service is down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<net::SocketAddr>,
    /// The caller's facts, if they changed since the last beat.
    pub facts: Option<facts::Facts>,
}

/// A signed bundle as processes pass it on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Generation under which it was accepted.
    pub generation: id::Generation,
    /// The head object and the signed envelope, as stored.
    pub head: Box<value::RawValue>,
    /// Signed envelope, as stored.
    pub envelope: Box<value::RawValue>,
}

/// Methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait Agent {
    /// Opens a connection of a lane; must be answered before any other call.
    #[method(name = "hello")]
    async fn hello(&self, hello: Hello) -> RpcResult<Report>;

    /// Carries facts both ways and shows that the connection is alive.
    #[method(name = "beat")]
    async fn beat(&self, beat: Heartbeat) -> RpcResult<Report>;

    /// Executes a stage; answers with the first chunks or the end.
    #[method(name = "start")]
    async fn start(&self, call: stage::Call) -> RpcResult<stage::Progress>;

    /// Waits for more of a result.
    #[method(name = "next")]
    async fn next(&self, next: stage::Next) -> RpcResult<stage::Progress>;

    /// Resolves doubt about an attempt; one that is unknown here can never start.
    #[method(name = "query")]
    async fn query(&self, query: stage::Query) -> RpcResult<stage::Progress>;

    /// Cancels an attempt.
    #[method(name = "cancel")]
    async fn cancel(&self, cancel: stage::Cancel) -> RpcResult<()>;

    /// Shows the bundle in force, if its generation is at least `least`.
    #[method(name = "bundle")]
    async fn bundle(&self, least: id::Generation) -> RpcResult<Option<SignedBundle>>;

    /// Stops accepting work, as SIGTERM does, and exits when all that runs has finished.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<Report>;
}
