//! HTTP client of the target: stages, orders, cancellation and state.

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

/// Timeout of connecting to the target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Timeout of a state or cancel call.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Client of the target beside this agent.
#[derive(Debug)]
pub struct Target {
    http: http::Client,
}

/// State that the target reports.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct State {
    /// Identifies one run of the target; differs after a restart.
    pub boot: String,
    /// Loaded models.
    #[serde(default)]
    pub models: Vec<String>,
    /// Term of the last order that the target accepted.
    #[serde(default)]
    pub term: id::Term,
    /// Sequence number of that order within the term.
    #[serde(default)]
    pub sequence: u64,
}

#[derive(Serialize)]
struct Cancel {
    attempt: id::AttemptId,
}

impl Target {
    /// Creates a client, without connecting yet.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            http: http::Client::new(address, CONNECT_TIMEOUT),
        }
    }

    /// Closes the idle connections to the target, which has crashed.
    pub fn drop_idle_connections(&self) {
        self.http.drop_idle_connections();
    }

    /// Cancels an attempt at the target.
    pub async fn cancel(&self, attempt: id::AttemptId) -> Result<(), http::Failure> {
        let body = serde_json::to_vec(&Cancel { attempt }).unwrap_or_default();
        self.http.call("/v1/cancel", body, CONTROL_TIMEOUT).await?;
        Ok(())
    }

    /// Sends an order and waits until the target has carried it out, for at most `limit`.
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
