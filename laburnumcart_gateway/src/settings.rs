//! Settings of the gateway, as written by operators.

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

/// Settings of a gateway process.
#[derive(Clone, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Data centre that this process runs in.
    pub data_centre: id::DataCentre,
    /// Region of each data centre; requests restricted to regions run only in data centres whose
    /// region is known.
    #[serde(default)]
    pub regions: residency::Regions,
    /// Address for callers' requests.
    #[schemars(with = "settings::Address")]
    pub callers: net::SocketAddr,
    /// Address for readiness checks and metrics.
    #[schemars(with = "settings::Address")]
    pub admin: net::SocketAddr,
    /// Path of the readiness check in addition to `/readyz`.
    #[serde(default)]
    pub ready_path: Option<String>,
    /// Address for calls from other gateways.
    #[schemars(with = "settings::Address")]
    pub peer: net::SocketAddr,
    /// Address of the store.
    #[schemars(with = "settings::Address")]
    pub store: net::SocketAddr,
    /// Write calls a second that the store accepts from all processes together.
    #[serde(default = "default_store_writes")]
    pub store_writes: f64,
    /// Bounds that the operator guarantees.
    #[serde(default)]
    pub bounds: Bounds,
    /// Processor capacity of the instance in cores; gateways with little of it own no queues if
    /// others can.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Maximum number of open file descriptors.
    #[serde(default = "default_descriptors", deserialize_with = "whole_number")]
    pub descriptors: u32,
    /// Optional behaviour, off by default.
    #[serde(default)]
    pub features: Features,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: settings::Telemetry,
}

/// Behaviour that a deployment asks for.
#[derive(Clone, Copy, Debug, Default, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Whether targets are chosen by their estimated speed, where they report how long work takes.
    pub target_speed: bool,
    /// Admission by rank while a stage is short of capacity.
    pub shedding: Option<Shedding>,
    /// Whether targets that have just started or recovered get requests at the pace of their
    /// answers.
    pub pace: bool,
}

/// Admission by rank while a stage is short of capacity.
#[derive(Clone, Copy, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Shedding {
    /// Share of the capacity that each lower rank keeps, from 0 to 0.5.
    pub floor: f64,
}

impl Default for Shedding {
    fn default() -> Self {
        Self { floor: 0.1 }
    }
}

/// Bounds that the operator guarantees.
#[derive(Clone, Copy, Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: unit::Period,
    /// Time after which a revoked key is rejected everywhere.
    pub revoke: unit::Period,
    /// Time after which targets of an evacuated data centre get no work; without it, evacuations
    /// are disabled.
    pub evacuation: Option<unit::Period>,
    /// Extra attempts at a service as a fraction of its requests, over all processes.
    pub retry_ratio: f64,
    /// Extra attempts beyond that fraction in ten seconds, over all processes; need not be a whole
    /// number.
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

fn default_store_writes() -> f64 {
    200.0
}

fn default_cores() -> f64 {
    1.0
}

fn default_descriptors() -> u32 {
    1024
}

/// Deserializes a whole number in any JSON notation, such as `4100`, `4100.0` or `4.1e3`.
fn whole_number<'de, D: Deserializer<'de>>(input: D) -> Result<u32, D::Error> {
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
        logs::Output::BoundedStdout
    }

    fn check(&self) -> Vec<settings::Fault> {
        let mut faults = Vec::new();
        if self.bounds.grace < unit::Period::from_secs(1) {
            let message = "must be at least 1s for a graceful shutdown";
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
        if let Some(shedding) = &self.features.shedding
            && !(0.0..=0.5).contains(&shedding.floor)
        {
            let message = "must be between 0 and 0.5";
            faults.push(settings::Fault::new("$.features.shedding.floor", message));
        }
        if self.store_writes <= 0.0 {
            let message = "must be positive";
            faults.push(settings::Fault::new("$.store_writes", message));
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
