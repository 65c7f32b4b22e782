//! Settings of an agent.

use std::net;

use laburnumcart::{
    id,
    unit, //
};
use laburnumcart_daemon::settings;
use serde::Deserialize;

/// Settings of one agent.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: id::InstanceName,
    /// Data centre of this instance.
    pub data_centre: id::DataCentre,
    /// Address of the interface for entries, other agents and operators.
    #[schemars(with = "settings::Address")]
    pub peer: net::SocketAddr,
    /// Address of the health checks and metrics.
    #[schemars(with = "settings::Address")]
    pub admin: net::SocketAddr,
    /// The target beside this agent.
    pub target: Target,
    /// Settings that all processes of the fleet share.
    pub fleet: settings::Fleet,
    /// Access to the object service.
    pub platform: settings::Platform,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: settings::Telemetry,
    /// Longest time that a graceful shutdown may take.
    #[serde(default = "default_stop")]
    pub stop_limit: unit::Period,
}

/// The target of an agent.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, unique in the fleet.
    pub name: id::TargetName,
    /// Service that the target belongs to.
    pub service: id::ServiceName,
    /// Address of the target's HTTP server.
    #[schemars(with = "settings::Address")]
    pub address: net::SocketAddr,
}

impl settings::Settings for Settings {
    fn telemetry(&self) -> &settings::Telemetry {
        &self.telemetry
    }

    fn check(&self) -> Vec<settings::Fault> {
        self.fleet.check("$.fleet")
    }
}

fn default_stop() -> unit::Period {
    unit::Period::from_secs(30)
}
