//! Settings of the gateway.

use std::net;

use serde::{
    Deserialize,
    Deserializer,
    de, //
};

use laburnumcart::{
    id,
    residency,
    unit, //
};
use laburnumcart_daemon::{
    logs,
    settings, //
};

/// Settings of one gateway.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Region of each data centre; requests that are confined to regions run only where it is
    /// known.
    #[serde(default)]
    pub regions: residency::Regions,
    /// Address for callers.
    #[schemars(with = "settings::Address")]
    pub callers: net::SocketAddr,
    /// Address for readiness and metrics.
    #[schemars(with = "settings::Address")]
    pub admin: net::SocketAddr,
    /// Path on which readiness is asked beside `/readyz`.
    #[serde(default)]
    pub ready_path: Option<String>,
    /// Address for other processes of the system.
    #[schemars(with = "settings::Address")]
    pub peer: net::SocketAddr,
    /// Address of the store.
    #[schemars(with = "settings::Address")]
    pub store: net::SocketAddr,
    /// Bounds that the operator promises.
    #[serde(default)]
    pub bounds: Bounds,
    /// Processor of the instance in cores; gateways with little of it own no queues if others can.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Most open file descriptors.
    #[serde(default = "default_descriptors", deserialize_with = "whole")]
    pub descriptors: u32,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: settings::Telemetry,
}

/// Bounds that the operator promises.
#[derive(Clone, Copy, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: unit::Period,
    /// Time after which a revoked key works nowhere.
    pub revoke: unit::Period,
    /// Time after which targets of an evacuated data centre get nothing; without it none is ever
    /// evacuated.
    pub evacuation: Option<unit::Period>,
    /// Extra sends to a service as a share of its requests, over all processes.
    pub retry_ratio: f64,
    /// Extra sends beside that share in ten seconds, over all processes; a share of a
    /// larger number may have a fraction.
    pub retry_extra: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: unit::Period::from_secs(8),
            revoke: unit::Period::from_secs(5),
            evacuation: None,
            retry_ratio: 0.1,
            retry_extra: 10.0,
        }
    }
}

fn default_cores() -> f64 {
    1.0
}

fn default_descriptors() -> u32 {
    1024
}

/// Reads a whole number in any spelling that JSON allows, such as `4100`, `4100.0` or `4.1e3`.
fn whole<'de, D: Deserializer<'de>>(input: D) -> Result<u32, D::Error> {
    let value = f64::deserialize(input)?;
    if value.fract() != 0.0 || !(0.0..=f64::from(u32::MAX)).contains(&value) {
        let message = format!("{value} must be a whole number of at most {}", u32::MAX);
        return Err(de::Error::custom(message));
    }
    Ok(value as u32)
}

impl settings::Settings for Settings {
    fn telemetry(&self) -> &settings::Telemetry {
        &self.telemetry
    }

    fn output(&self) -> logs::Output {
        logs::Output::Bounded
    }

    fn check(&self) -> Vec<settings::Fault> {
        let mut faults = Vec::new();
        if self.bounds.grace < unit::Period::from_secs(1) {
            let message = "must be at least 1s, or no stop is graceful";
            faults.push(settings::Fault::new("$.bounds.grace", message));
        }
        if !(0.0..=1.0).contains(&self.bounds.retry_ratio) {
            let message = "must be between 0 and 1";
            faults.push(settings::Fault::new("$.bounds.retry_ratio", message));
        }
        if self.bounds.retry_extra < 0.0 {
            let message = "must not be negative";
            faults.push(settings::Fault::new("$.bounds.retry_extra", message));
        }
        if self.cores <= 0.0 {
            faults.push(settings::Fault::new("$.cores", "must be positive"));
        }
        if let Some(path) = &self.ready_path
            && !path.starts_with('/')
        {
            faults.push(settings::Fault::new(
                "$.ready_path",
                "must start with a slash",
            ));
        }
        faults
    }
}
