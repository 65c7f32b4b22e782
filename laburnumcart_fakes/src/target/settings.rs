//! How a stand-in target is set up.

use std::{
    net,
    str,
    time, //
};

use laburnumcart::{
    bundle,
    id, //
};

/// Settings of one stand-in target.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, shown in logs.
    pub name: id::TargetName,
    /// Protocol that it speaks.
    pub kind: bundle::Kind,
    /// Where it listens; port 0 picks a free one.
    pub address: net::SocketAddr,
    /// Calls that run side by side at full speed.
    pub slots: u32,
    /// Calls that wait for a slot before it answers 503.
    pub queue_limit: u32,
    /// Mean time of a pool's call.
    pub service_time: time::Duration,
    /// Time of one token while the batch fits the slots.
    pub token_time: time::Duration,
    /// Time to read a prompt whose prefix is not cached.
    pub prefill_time: time::Duration,
    /// Tokens that an engine generates if the input names no number.
    pub tokens: u32,
    /// Part by which times vary both ways, 0 to 1.
    pub spread: f64,
    /// Whether orders with an old number are refused.
    pub orders: bundle::Orders,
    /// Prompt prefixes that fit in the cache.
    pub cached_prefixes: usize,
    /// Age of the load that is reported.
    pub load_lag: time::Duration,
    /// Delay of cache events.
    pub cache_lag: time::Duration,
    /// Time for which connections are refused after a crash.
    pub restart_time: time::Duration,
    /// Whether a crash ends the process.
    pub exit_on_crash: bool,
}

impl Settings {
    /// Creates settings with the default times; the fields may then be changed.
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
            orders: bundle::Orders::Fenced,
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

    /// Reads `NAME=engine@IP:PORT` or `NAME=pool@IP:PORT`.
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
