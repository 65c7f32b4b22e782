//! Builder of the HTTP client.

use std::{
    net,
    sync::{
        self,
        atomic, //
    },
    time,
};

use derive_more::{
    Display,
    Error, //
};
use hyper_util::{
    client::legacy,
    rt, //
};
use tokio::{
    sync::Semaphore,
    time::Instant, //
};

use laburnumcart::unit;

use super::{
    Client,
    Control,
    Inner,
    metrics, //
};
use crate::{
    breaker,
    budget, //
};

/// Settings with which no client can be built.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum BuildError {
    /// No address of the service is given.
    #[display("no address of the object service is configured")]
    Addresses,
    /// The number of connections is zero.
    #[display("object service client has a limit of 0 connections")]
    Connections,
}

/// Builder of a [`Client`].
#[derive(Clone, Debug)]
pub struct Builder {
    addrs: Vec<net::SocketAddr>,
    timeout: unit::Period,
    idle: unit::Period,
    connections: usize,
    answer_max: unit::Size,
    rates: budget::Rates,
    budget_wait: unit::Period,
    breaker: breaker::Limits,
}

impl Builder {
    pub(super) fn new(addrs: Vec<net::SocketAddr>) -> Self {
        Self {
            addrs,
            timeout: unit::Period::from_secs(2),
            // If the service closes an idle connection while a write is sent on it, the outcome of
            // the write is unknown. Closing idle connections first makes that rare.
            idle: unit::Period::from_secs(3),
            connections: 8,
            answer_max: unit::Size(64 << 20),
            rates: budget::Rates::default(),
            budget_wait: unit::Period::default(),
            breaker: breaker::Limits::default(),
        }
    }

    /// Sets the timeout of a call, to which a watch adds its wait; 2 s unless set.
    pub fn timeout(mut self, timeout: unit::Period) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time after which an idle connection is closed; 3 s unless set.
    pub fn idle(mut self, idle: unit::Period) -> Self {
        self.idle = idle;
        self
    }

    /// Sets the maximum number of calls in flight, apart from watches; 8 unless set.
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the maximum size of a response; 64 MiB unless set.
    pub fn answer_max(mut self, size: unit::Size) -> Self {
        self.answer_max = size;
        self
    }

    /// Sets this process's share of the service's rate limits.
    pub fn rates(mut self, rates: budget::Rates) -> Self {
        self.rates = rates;
        self
    }

    /// Sets how long a call waits for the process's own budget; not at all unless set.
    pub fn budget_wait(mut self, wait: unit::Period) -> Self {
        self.budget_wait = wait;
        self
    }

    /// Sets the limits of the circuit breaker.
    pub fn breaker(mut self, limits: breaker::Limits) -> Self {
        self.breaker = limits;
        self
    }

    /// Creates the client; no connection is made before the first call.
    pub fn build(self) -> Result<Client, BuildError> {
        if self.addrs.is_empty() {
            return Err(BuildError::Addresses);
        }
        if self.connections == 0 {
            return Err(BuildError::Connections);
        }
        let now = Instant::now();
        let control = Control {
            breaker: breaker::CircuitBreaker::new(self.breaker),
            budget: budget::Budget::new(self.rates, now),
        };
        let inner = Inner {
            http: http_client(self.timeout.0 / 2, self.idle.0, self.connections),
            current: atomic::AtomicUsize::new(0),
            slots: Semaphore::new(self.connections),
            timeout: self.timeout.0,
            budget_wait: self.budget_wait.0,
            answer_max: self.answer_max.0.try_into().unwrap_or(usize::MAX),
            control: sync::Mutex::new(control),
            metrics: metrics::Metrics::default(),
            addrs: self.addrs,
        };
        Ok(Client {
            inner: sync::Arc::new(inner),
        })
    }
}

/// Creates the HTTP client with its connection pool.
///
/// A call that is dropped before its response is complete closes its connection, so that no later
/// call gets a silent connection or the rest of an earlier response.
fn http_client(connect: time::Duration, idle: time::Duration, connections: usize) -> super::Http {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect));
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_idle_timeout(idle)
        .pool_max_idle_per_host(connections)
        .build(connector)
}
