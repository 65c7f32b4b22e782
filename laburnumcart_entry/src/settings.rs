//! Settings of the entry daemon.

use std::{
    collections,
    net, //
};

use serde::Deserialize;

use laburnumcart::{
    id,
    unit, //
};

/// Settings of one entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Data centre.
    pub zone: id::DataCentre,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for other processes of the system.
    pub peer: net::SocketAddr,
    /// What all processes share.
    pub fleet: Fleet,
    /// The object service.
    pub platform: Platform,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: serde_json::Value,
    /// Longest time that a stop waits for requests in flight.
    #[serde(default = "default_stop")]
    pub stop_limit: unit::Period,
}

fn default_stop() -> unit::Period {
    unit::Period::from_secs(30)
}

/// What all processes share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Secrets of the connections between processes; the first is sent, all are accepted.
    pub secrets: Vec<String>,
    /// Keys that sign bundles.
    #[serde(default)]
    pub keys: collections::BTreeMap<id::KeyName, String>,
    /// Number of signatures that a bundle needs.
    #[serde(default)]
    pub signers: u32,
    /// Processes that are asked for the bundle while the object service is down.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
}

/// The object service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Its address.
    pub address: net::SocketAddr,
}
