//! HTTP client of the target.

pub mod events;
pub mod http;
pub mod run;

use std::{
    net,
    time, //
};

use laburnumcart::{
    id,
    orders, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Longest time that a connect to the target may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Longest time that a call of control may take.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The target beside this agent.
#[derive(Debug)]
pub struct Target {
    http: http::Client,
}

/// State of the target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct State {
    /// Differs after a restart.
    pub boot: String,
    /// Models that are loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// Term of the last order that it took.
    #[serde(default)]
    pub term: id::Term,
    /// Number of that order within the term.
    #[serde(default)]
    pub sequence: u64,
}

#[derive(Serialize)]
struct Cancel {
    attempt: id::AttemptId,
}

impl Target {
    /// Creates a client; nothing is connected yet.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            http: http::Client::new(address, CONNECT_TIMEOUT),
        }
    }

    /// Stops an attempt at the target.
    pub async fn cancel(&self, attempt: id::AttemptId) -> Result<(), http::Failure> {
        let body = serde_json::to_vec(&Cancel { attempt }).unwrap_or_default();
        self.http.call("/v1/cancel", body, CONTROL_TIMEOUT).await?;
        Ok(())
    }

    /// Gives an order, which takes at most `limit`.
    pub async fn send_order(
        &self,
        order: &orders::Order,
        limit: time::Duration,
    ) -> Result<(), http::Failure> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        self.http.call("/v1/orders", body, limit).await?;
        Ok(())
    }

    /// Reads the state of the target.
    pub async fn read_state(&self) -> Result<State, http::Failure> {
        let body = self.http.get("/v1/state", CONTROL_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|_| http::Failure::Malformed)
    }
}
