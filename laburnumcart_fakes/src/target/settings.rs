//! Settings of a fake target.

use std::{
    net,
    str,
    time, //
};

use laburnumcart::{
    bundle,
    id, //
};

/// Settings of one fake target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name in logs.
    pub name: id::TargetName,
    /// Protocol of the target.
    pub kind: bundle::Kind,
    /// Listening address; port 0 selects a free port.
    pub address: net::SocketAddr,
    /// Number of calls that run at full speed.
    pub slots: u32,
    /// Number of calls that wait for a slot before the target responds with 503.
    pub queue_limit: u32,
    /// Mean time of a call; pools only.
    pub service_time: time::Duration,
    /// Mean time of a token while the batch fits the slots.
    pub token_time: time::Duration,
    /// Mean prefill time of a prompt whose prefix is not cached.
    pub prefill_time: time::Duration,
    /// Number of tokens that an engine generates unless the input sets it.
    pub tokens: u32,
    /// Maximum relative deviation of times, from 0 to 1.
    pub spread: f64,
    /// Whether the target rejects (fences) orders with a stale number.
    pub order_fencing: bundle::Orders,
    /// Capacity of the prefix cache.
    pub cached_prefixes: usize,
    /// Age of the reported load.
    pub load_lag: time::Duration,
    /// Delay of cache events.
    pub cache_lag: time::Duration,
    /// Downtime after a crash.
    pub restart_time: time::Duration,
    /// Whether a crash exits the process.
    pub exit_on_crash: bool,
}

impl Settings {
    /// Creates settings with default values.
    pub fn new(name: id::TargetName, kind: bundle::Kind, address: net::SocketAddr) -> Self {
        Self {
            name,
            kind,
            address,
            slots: 4,
            queue_limit: 64,
            service_time: time::Duration::from_millis(20),
            token_time: time::Duration::from_millis(2),
            prefill_time: time::Duration::from_millis(20),
            tokens: 20,
            spread: 0.2,
            order_fencing: bundle::Orders::Fenced,
            cached_prefixes: 64,
            load_lag: time::Duration::from_millis(500),
            cache_lag: time::Duration::from_secs(1),
            restart_time: time::Duration::from_millis(500),
            exit_on_crash: false,
        }
    }
}

impl str::FromStr for Settings {
    type Err = id::ParseError;

    /// Parses `NAME=engine@IP:PORT` or `NAME=pool@IP:PORT`.
    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        let error = || id::ParseError::new("target", text);
        let (name, rest) = text.split_once('=').ok_or_else(error)?;
        let (kind, address) = rest.split_once('@').ok_or_else(error)?;
        let kind = match kind {
            "engine" => bundle::Kind::Engine,
            "pool" => bundle::Kind::Pool,
            _ => return Err(error()),
        };
        let address = address.parse().map_err(|_| error())?;
        Ok(Self::new(name.parse()?, kind, address))
    }
}
