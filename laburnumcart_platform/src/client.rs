//! HTTP client of the object service.

use std::{
    net,
    sync::{
        self,
        atomic, //
    },
    time,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy;
use prometheus_client::registry;
use tokio::{
    sync::Semaphore,
    time::Instant, //
};

use laburnumcart::unit;

use crate::{
    breaker,
    budget,
    socket,
    store, //
};

mod builder;
mod metrics;
mod protocol;

pub use builder::{
    BuildError,
    Builder, //
};

type Http = legacy::Client<socket::Connector, Full<Bytes>>;

/// State that decides whether a call may be sent.
#[derive(Debug)]
struct Control {
    breaker: breaker::CircuitBreaker,
    budget: budget::Budget,
}

#[derive(Debug)]
struct Inner {
    http: Http,
    addrs: Vec<net::SocketAddr>,
    /// Index of the address in use, modulo the number of addresses.
    current: atomic::AtomicUsize,
    /// Limits the calls in flight, apart from watches.
    slots: Semaphore,
    timeout: time::Duration,
    /// Longest time that a call waits for the budget.
    budget_wait: time::Duration,
    max_response_size: usize,
    control: sync::Mutex<Control>,
    metrics: metrics::Metrics,
}

/// HTTP client of the object service; clones share connections, budget and circuit breaker.
#[derive(Clone, Debug)]
pub struct Client {
    inner: sync::Arc<Inner>,
}

/// Cost of a call, which decides on its budget and timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cost {
    Read,
    Write,
    /// A watch that waits for this time.
    Watch(time::Duration),
}

/// Why a call is not sent, with the time after which to try again.
enum Refused {
    /// The process has used up its rate.
    Budget(unit::Period),
    /// The circuit breaker is open.
    Breaker(unit::Period),
}

/// Guard that releases the budget of a watch when it ends, also if its future is dropped.
struct WatchGuard<'a>(&'a Inner);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.control().budget.reads.release(Instant::now());
    }
}

impl Client {
    /// Returns a builder for a client of the service at `addrs`, of which the first is tried first.
    pub fn builder(addrs: impl IntoIterator<Item = net::SocketAddr>) -> Builder {
        Builder::new(addrs.into_iter().collect())
    }

    /// Registers the client's metrics.
    pub fn register(&self, registry: &mut registry::Registry) {
        self.inner.metrics.register(registry);
    }

    /// Reports whether the circuit breaker is open or half-open.
    pub fn is_down(&self) -> bool {
        self.inner.control().breaker.is_open()
    }

    /// Makes one call and records its outcome in the metrics.
    async fn call(
        &self,
        kind: metrics::Kind,
        cost: Cost,
        request: protocol::Request<'_>,
    ) -> Result<protocol::Response, store::Failure> {
        let result = self.inner.call(cost, request).await;
        self.inner.metrics.record_call(kind, &result);
        result
    }
}

impl Inner {
    fn control(&self) -> sync::MutexGuard<'_, Control> {
        // No locked section panics halfway through an update, so the state is consistent.
        let poisoned = sync::PoisonError::into_inner;
        self.control.lock().unwrap_or_else(poisoned)
    }

    async fn call(
        &self,
        cost: Cost,
        mut request: protocol::Request<'_>,
    ) -> Result<protocol::Response, store::Failure> {
        let start = Instant::now();
        let admission = self.wait_for_budget(cost, start).await?;
        let _guard = matches!(cost, Cost::Watch(_)).then_some(WatchGuard(self));
        let (_slot, limit) = match cost {
            Cost::Read | Cost::Write => (Some(self.acquire_slot().await?), self.timeout),
            // A probe must not wait: a waiting watch would show only at its end that the service
            // has recovered.
            Cost::Watch(_) if admission == breaker::Admission::Probe => {
                request.wait = Some(time::Duration::ZERO);
                (None, self.timeout)
            }
            Cost::Watch(wait) => (None, self.timeout + wait),
        };
        let index = self.current.load(atomic::Ordering::Relaxed) % self.addrs.len();
        let sent = protocol::send(
            &self.http,
            self.addrs[index],
            request,
            self.max_response_size,
        );
        let result = match tokio::time::timeout(limit, sent).await {
            Ok(result) => result,
            Err(_) => Err(store::Failure::Unanswered),
        };
        self.record_result(cost, index, &result);
        result.and_then(protocol::Response::into_result)
    }

    /// Admits a call, waiting for the budget up to the configured time.
    ///
    /// A burst of calls, such as a takeover of several shards, exceeds the budget for milliseconds;
    /// refused at once, it would look like an outage. The wait is bounded so that calls cannot pile
    /// up.
    async fn wait_for_budget(
        &self,
        cost: Cost,
        start: Instant,
    ) -> Result<breaker::Admission, store::Failure> {
        loop {
            let now = Instant::now();
            let retry_after = match self.admit(cost, now) {
                Ok(admission) => return Ok(admission),
                Err(Refused::Breaker(retry_after)) => return Err(unavailable(retry_after)),
                Err(Refused::Budget(retry_after)) => retry_after,
            };
            if now + retry_after.0 > start + self.budget_wait || self.control().breaker.is_open() {
                return Err(unavailable(retry_after));
            }
            tokio::time::sleep(retry_after.0).await;
        }
    }

    fn admit(&self, cost: Cost, now: Instant) -> Result<breaker::Admission, Refused> {
        let mut control = self.control();
        // The budget is checked first: a call that it refuses must not be taken as the probe.
        match cost {
            Cost::Read => control.budget.reads.try_take(now),
            Cost::Write => control.budget.writes.try_take(now),
            Cost::Watch(_) => control.budget.reads.try_hold(now),
        }
        .map_err(Refused::Budget)?;
        let admission = control.breaker.admit(now);
        if let breaker::Admission::Refuse(retry) = admission {
            if matches!(cost, Cost::Watch(_)) {
                control.budget.reads.release(now);
            }
            return Err(Refused::Breaker(retry));
        }
        Ok(admission)
    }

    /// Waits for a slot up to the timeout; an error means that nothing was sent.
    async fn acquire_slot(&self) -> Result<tokio::sync::SemaphorePermit<'_>, store::Failure> {
        let slot = tokio::time::timeout(self.timeout, self.slots.acquire()).await;
        slot.ok()
            .and_then(Result::ok)
            .ok_or(store::Failure::Unavailable { retry: None })
    }

    /// Records the result of a call in the circuit breaker, the budget and the metrics.
    fn record_result(
        &self,
        cost: Cost,
        index: usize,
        result: &Result<protocol::Response, store::Failure>,
    ) {
        let now = Instant::now();
        let mut control = self.control();
        let before = control.breaker.is_open();
        match result {
            Ok(response) if response.is_available() => control.breaker.record_success(),
            _ => {
                control.breaker.record_failure(now, rand::random());
                self.select_next(index);
            }
        }
        if result
            .as_ref()
            .is_ok_and(protocol::Response::is_rate_limited)
        {
            match cost {
                Cost::Write => control.budget.writes.drop_tokens(now),
                Cost::Read | Cost::Watch(_) => control.budget.reads.drop_tokens(now),
            }
        }
        let open = control.breaker.is_open();
        self.metrics.set_down(open);
        if before != open {
            laburnumcart::event!(Warn, "object-service", state = state_name(open));
        }
    }

    /// Selects the address after a failed one.
    fn select_next(&self, failed: usize) {
        let next = (failed + 1) % self.addrs.len();
        let order = atomic::Ordering::Relaxed;
        // An error means that another call has already selected a new address.
        let _ = self.current.compare_exchange(failed, next, order, order);
    }
}

fn unavailable(retry: unit::Period) -> store::Failure {
    store::Failure::Unavailable { retry: Some(retry) }
}

fn state_name(open: bool) -> &'static str {
    if open { "down" } else { "working" }
}

impl store::Store for Client {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        let request = protocol::Request::object(http::Method::GET, key)?;
        let response = self.call(metrics::Kind::Get, Cost::Read, request).await?;
        response.parse_object(key)
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        if value.len() > store::VALUE_MAX {
            return Err(store::Failure::Invalid);
        }
        let mut request = protocol::Request::object(http::Method::PUT, key)?;
        request.expect = Some(expect);
        request.body = Bytes::copy_from_slice(value.as_bytes());
        let response = self.call(metrics::Kind::Put, Cost::Write, request).await?;
        response.parse_version()
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        let mut request = protocol::Request::object(http::Method::DELETE, key)?;
        request.expect = Some(store::Expect::Version(version));
        let response = self.call(metrics::Kind::Delete, Cost::Write, request).await;
        response.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        let request = protocol::Request::list(prefix)?;
        let response = self.call(metrics::Kind::List, Cost::Read, request).await?;
        response.parse_listing()
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        let request = protocol::Request::watch(prefix, after, wait)?;
        let kind = metrics::Kind::Watch;
        let response = self.call(kind, Cost::Watch(wait), request).await?;
        response.parse_changes()
    }
}

/// Parses a `retry-after` header in seconds.
fn retry_after(headers: &http::HeaderMap) -> Option<unit::Period> {
    let text = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(unit::Period::from_secs)
}
