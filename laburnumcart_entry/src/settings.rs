//! Settings of the entry daemon.

use std::net;

use serde::Deserialize;

use laburnumcart::{
    id,
    unit, //
};
use laburnumcart_daemon::settings;

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Data centre of this process.
    pub data_centre: id::DataCentre,
    /// Address for callers.
    #[schemars(with = "settings::Address")]
    pub callers: net::SocketAddr,
    /// Address for other processes of the system.
    #[schemars(with = "settings::Address")]
    pub peer: net::SocketAddr,
    /// Settings that all processes share.
    pub fleet: settings::Fleet,
    /// The object service.
    pub platform: settings::Platform,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: settings::Telemetry,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    #[serde(default = "default_stop_limit")]
    pub stop_limit: unit::Period,
}

fn default_stop_limit() -> unit::Period {
    unit::Period::from_secs(30)
}

impl settings::Settings for Settings {
    fn telemetry(&self) -> &settings::Telemetry {
        &self.telemetry
    }

    fn check(&self) -> Vec<settings::Fault> {
        let mut faults = self.fleet.check("$.fleet");
        if self.callers == self.peer {
            faults.push(settings::Fault::new("$.peer", "is the callers' address"));
        }
        faults
    }
}
