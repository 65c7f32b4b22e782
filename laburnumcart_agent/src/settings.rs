//! Settings of an agent.

use std::net;

use laburnumcart::{
    id,
    unit, //
};
use serde::Deserialize;

/// Settings of one agent.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Its data centre.
    pub zone: id::DataCentre,
    /// Address for entries, other agents and operators.
    pub peer: net::SocketAddr,
    /// Address for health checks and metrics.
    pub admin: net::SocketAddr,
    /// The target beside it.
    pub target: Target,
    /// Longest time that a planned stop may take.
    #[serde(default = "default_stop")]
    pub stop_limit: unit::Period,
}

/// The target of an agent.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique in the fleet.
    pub name: id::TargetName,
    /// Service that it belongs to.
    pub service: id::ServiceName,
    /// Address of its HTTP port.
    pub address: net::SocketAddr,
}

fn default_stop() -> unit::Period {
    unit::Period::from_secs(30)
}
