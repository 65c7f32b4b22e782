//! Settings of a client.

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
    breaker, //
    budget,
};

/// Settings that no client can be built from.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum BuildError {
    /// There is no address of the service.
    #[display("no address of the object service")]
    Addresses,
    /// No connection is allowed.
    #[display("object service client without connections")]
    Connections,
}

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct Builder {
    addrs: Vec<net::SocketAddr>,
    timeout: unit::Period,
    idle: unit::Period,
    connections: usize,
    answer_max: unit::Size,
    rates: budget::Rates,
    patience: unit::Period,
    outage: breaker::Limits,
}

impl Builder {
    pub(super) fn new(addrs: Vec<net::SocketAddr>) -> Self {
        Self {
            addrs,
            timeout: unit::Period::from_secs(2),
            // The service may close an idle connection just as a write is sent on it, which leaves
            // the write in doubt. Closing first makes that rare.
            idle: unit::Period::from_secs(3),
            connections: 8,
            answer_max: unit::Size(64 << 20),
            rates: budget::Rates::default(),
            patience: unit::Period::default(),
            outage: breaker::Limits::default(),
        }
    }

    /// Sets the longest time of a call, beside the time that a watch waits; 2 s unless set.
    pub fn timeout(mut self, timeout: unit::Period) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time after which an idle connection is closed; 3 s unless set.
    pub fn idle(mut self, idle: unit::Period) -> Self {
        self.idle = idle;
        self
    }

    /// Sets the most calls under way at once, beside watches; 8 unless set.
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the largest answer of a list or a watch; 64 MiB unless set.
    pub fn answer_max(mut self, size: unit::Size) -> Self {
        self.answer_max = size;
        self
    }

    /// Sets this process's share of the service's rates.
    pub fn rates(mut self, rates: budget::Rates) -> Self {
        self.rates = rates;
        self
    }

    /// Sets how long a call waits for this process's share of the rates; not at all unless set.
    pub fn budget_wait(mut self, patience: unit::Period) -> Self {
        self.patience = patience;
        self
    }

    /// Sets how failures of the service are met.
    pub fn outage(mut self, limits: breaker::Limits) -> Self {
        self.outage = limits;
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
            outage: breaker::CircuitBreaker::new(self.outage),
            budget: budget::Budget::new(self.rates, now),
        };
        let inner = Inner {
            http: http(self.timeout.0 / 2, self.idle.0, self.connections),
            current: atomic::AtomicUsize::new(0),
            slots: Semaphore::new(self.connections),
            timeout: self.timeout.0,
            patience: self.patience.0,
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

/// Creates the pool of connections.
///
/// A call that is dropped before its answer is complete takes its connection with it, so that no
/// later call meets a connection that went silent or holds the rest of an older answer.
fn http(connect: time::Duration, idle: time::Duration, connections: usize) -> super::Http {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect));
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_idle_timeout(idle)
        .pool_max_idle_per_host(connections)
        .build(connector)
}
