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
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Address for entries, other agents and operators.
    #[schemars(with = "settings::Address")]
    pub peer: net::SocketAddr,
    /// Address for health checks and metrics.
    #[schemars(with = "settings::Address")]
    pub admin: net::SocketAddr,
    /// The target beside it.
    pub target: Target,
    /// What the processes of the fleet have in common.
    pub fleet: settings::Fleet,
    /// The object service.
    pub platform: settings::Platform,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: settings::Telemetry,
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
