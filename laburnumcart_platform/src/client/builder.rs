//! Builder of the object service client.

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
    budget,
    socket, //
};

/// Size of the read buffer in bytes, which also limits the head of a response.
///
/// hyper parses all that it has read before other tasks run, even the timeout of the call. With its
/// usual 400 KB, endless digits of a chunk size held up the thread for seconds.
const READ_BUFFER: usize = 8 << 10;

/// Settings with which no client can be built.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum BuildError {
    /// No address of the service is given.
    #[display("no address of the object service is configured")]
    Addresses,
    /// The maximum number of calls in flight is zero.
    #[display("object service client has a limit of 0 calls in flight")]
    MaxCalls,
}

/// Builder of a [`Client`].
#[derive(Clone, Debug)]
pub struct Builder {
    addrs: Vec<net::SocketAddr>,
    timeout: unit::Period,
    idle_timeout: unit::Period,
    max_calls: usize,
    max_response_size: unit::Size,
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
            idle_timeout: unit::Period::from_secs(3),
            max_calls: 8,
            max_response_size: unit::Size(64 << 20),
            rates: budget::Rates::default(),
            budget_wait: unit::Period::default(),
            breaker: breaker::Limits::default(),
        }
    }

    /// Sets the timeout of a call; 2 s unless set.
    ///
    /// The timeout of a watch is longer by the time that the watch waits for a change.
    pub fn timeout(mut self, timeout: unit::Period) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time after which an idle connection is closed; 3 s unless set.
    pub fn idle_timeout(mut self, timeout: unit::Period) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the maximum number of calls in flight, apart from watches; 8 unless set.
    pub fn max_calls(mut self, max_calls: usize) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Sets the maximum size of a response; 64 MiB unless set.
    pub fn max_response_size(mut self, size: unit::Size) -> Self {
        self.max_response_size = size;
        self
    }

    /// Sets this process's share of the service's rate limits, the budget of its calls.
    pub fn rates(mut self, rates: budget::Rates) -> Self {
        self.rates = rates;
        self
    }

    /// Sets how long a call waits until the limits set by [`Builder::rates`] allow it.
    ///
    /// Unless set, a call above these limits fails at once.
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
        if self.max_calls == 0 {
            return Err(BuildError::MaxCalls);
        }
        let now = Instant::now();
        let control = Control {
            breaker: breaker::CircuitBreaker::new(self.breaker),
            budget: budget::Budget::new(self.rates, now),
        };
        let max_response_size = self.max_response_size.0.try_into().unwrap_or(usize::MAX);
        let connector = socket::Connector::new(self.timeout.0 / 2).max_response(max_response_size);
        let inner = Inner {
            http: http_client(connector, self.idle_timeout.0, self.max_calls),
            current: atomic::AtomicUsize::new(0),
            slots: Semaphore::new(self.max_calls),
            timeout: self.timeout.0,
            budget_wait: self.budget_wait.0,
            max_response_size,
            control: sync::Mutex::new(control),
            metrics: metrics::Metrics::default(),
            addrs: self.addrs,
        };
        Ok(Client {
            inner: sync::Arc::new(inner),
        })
    }
}

/// Creates the hyper client with its connection pool.
///
/// A call that is dropped before its response is complete closes its connection, so that no later
/// call gets a silent connection or the rest of an earlier response.
fn http_client(connector: socket::Connector, idle: time::Duration, max_idle: usize) -> super::Http {
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_idle_timeout(idle)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(READ_BUFFER)
        .build(connector)
}
