//! The object service over HTTP.

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
    store, //
};

mod answer;
mod builder;
mod metrics;

pub use builder::{
    BuildError,
    Builder, //
};

type Http = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// What is decided before a call is sent.
#[derive(Debug)]
struct Control {
    outage: breaker::CircuitBreaker,
    budget: budget::Budget,
}

#[derive(Debug)]
struct Inner {
    http: Http,
    addrs: Vec<net::SocketAddr>,
    /// Index of the address in use.
    current: atomic::AtomicUsize,
    /// Connections for calls that do not wait.
    slots: Semaphore,
    timeout: time::Duration,
    /// Longest wait for the own budget.
    patience: time::Duration,
    answer_max: usize,
    control: sync::Mutex<Control>,
    metrics: metrics::Metrics,
}

/// HTTP client of the object service; clones share connections, budget and outage state.
#[derive(Clone, Debug)]
pub struct Client {
    inner: sync::Arc<Inner>,
}

/// Kind of a call, which decides about its budget and its timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cost {
    Read,
    Write,
    Wait(time::Duration),
}

/// Why a call is not sent.
enum Refused {
    /// This process has used up its own rate.
    Budget(unit::Period),
    /// The service is held to be down.
    Outage(unit::Period),
}

/// Counts a waiting watch against the budget until it ends, also when its task is dropped.
struct Held<'a>(&'a Inner);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.control().budget.reads.release(Instant::now());
    }
}

impl Client {
    /// Starts the settings of a client of the service at `addrs`, the first being preferred.
    pub fn builder(addrs: impl IntoIterator<Item = net::SocketAddr>) -> Builder {
        Builder::new(addrs.into_iter().collect())
    }

    /// Adds the client's counters to a registry.
    pub fn register(&self, registry: &mut registry::Registry) {
        self.inner.metrics.register(registry);
    }

    /// Reports whether the service is held to be down.
    pub fn is_down(&self) -> bool {
        self.inner.control().outage.is_open()
    }

    /// Makes one call and counts its outcome.
    async fn call(
        &self,
        kind: metrics::Kind,
        cost: Cost,
        request: answer::Request<'_>,
    ) -> Result<answer::Answer, store::Failure> {
        let result = self.inner.call(cost, request).await;
        self.inner.metrics.count(kind, &result);
        result
    }
}

impl Inner {
    fn control(&self) -> sync::MutexGuard<'_, Control> {
        // Nothing in a locked section panics between two changes that belong together.
        let poisoned = sync::PoisonError::into_inner;
        self.control.lock().unwrap_or_else(poisoned)
    }

    async fn call(
        &self,
        cost: Cost,
        mut request: answer::Request<'_>,
    ) -> Result<answer::Answer, store::Failure> {
        let start = Instant::now();
        let admission = self.admitted(cost, start).await?;
        let _held = matches!(cost, Cost::Wait(_)).then_some(Held(self));
        let (_slot, limit) = match cost {
            Cost::Read | Cost::Write => (Some(self.slot().await?), self.timeout),
            // A watch that waits tells only at its end that the service is back.
            Cost::Wait(_) if admission == breaker::Admission::Probe => {
                request.wait = Some(time::Duration::ZERO);
                (None, self.timeout)
            }
            Cost::Wait(wait) => (None, self.timeout + wait),
        };
        let index = self.current.load(atomic::Ordering::Relaxed) % self.addrs.len();
        let sent = answer::send(&self.http, self.addrs[index], request, self.answer_max);
        let result = match tokio::time::timeout(limit, sent).await {
            Ok(result) => result,
            Err(_) => Err(store::Failure::Unanswered),
        };
        self.settle(cost, index, &result);
        result.and_then(answer::Answer::check)
    }

    /// Waits for the own budget as long as that is worth it.
    ///
    /// A burst of calls, such as taking over several shards, exceeds the budget for milliseconds.
    /// Refused at once, it would look like an outage. The wait is bounded, so calls cannot pile up.
    async fn admitted(
        &self,
        cost: Cost,
        start: Instant,
    ) -> Result<breaker::Admission, store::Failure> {
        loop {
            let now = Instant::now();
            let retry = match self.admit(cost, now) {
                Ok(admission) => return Ok(admission),
                Err(Refused::Outage(retry)) => return Err(unavailable(retry)),
                Err(Refused::Budget(retry)) => retry,
            };
            if now + retry.0 > start + self.patience || self.control().outage.is_open() {
                return Err(unavailable(retry));
            }
            tokio::time::sleep(retry.0).await;
        }
    }

    fn admit(&self, cost: Cost, now: Instant) -> Result<breaker::Admission, Refused> {
        let mut control = self.control();
        // The budget goes first: a call that it refuses must not count as the probe.
        match cost {
            Cost::Read => control.budget.reads.try_take(now),
            Cost::Write => control.budget.writes.try_take(now),
            Cost::Wait(_) => control.budget.reads.try_hold(now),
        }
        .map_err(Refused::Budget)?;
        let admission = control.outage.admit(now);
        if let breaker::Admission::Refuse(retry) = admission {
            if matches!(cost, Cost::Wait(_)) {
                control.budget.reads.release(now);
            }
            return Err(Refused::Outage(retry));
        }
        Ok(admission)
    }

    /// Waits for a connection; nothing has been sent when none comes free in time.
    async fn slot(&self) -> Result<tokio::sync::SemaphorePermit<'_>, store::Failure> {
        let slot = tokio::time::timeout(self.timeout, self.slots.acquire()).await;
        slot.ok()
            .and_then(Result::ok)
            .ok_or(store::Failure::Unavailable { retry: None })
    }

    /// Records what an answer, or its absence, says of the service.
    fn settle(&self, cost: Cost, index: usize, result: &Result<answer::Answer, store::Failure>) {
        let now = Instant::now();
        let mut control = self.control();
        let before = control.outage.is_open();
        match result {
            Ok(answer) if answer.is_working() => control.outage.record_success(),
            _ => {
                control.outage.record_failure(now, rand::random());
                self.rotate(index);
            }
        }
        if result.as_ref().is_ok_and(answer::Answer::is_limited) {
            match cost {
                Cost::Write => control.budget.writes.empty(now),
                Cost::Read | Cost::Wait(_) => control.budget.reads.empty(now),
            }
        }
        let open = control.outage.is_open();
        self.metrics.down(open);
        if before != open {
            laburnumcart::event!(Warn, "object-service", state = state(open));
        }
    }

    /// Turns from a failed address to the next one.
    fn rotate(&self, failed: usize) {
        let next = (failed + 1) % self.addrs.len();
        let order = atomic::Ordering::Relaxed;
        // Another call may have turned already; its choice stands.
        let _ = self.current.compare_exchange(failed, next, order, order);
    }
}

fn unavailable(retry: unit::Period) -> store::Failure {
    store::Failure::Unavailable { retry: Some(retry) }
}

fn state(open: bool) -> &'static str {
    if open { "down" } else { "working" }
}

impl store::Store for Client {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        let request = answer::Request::object(http::Method::GET, key)?;
        let answer = self.call(metrics::Kind::Get, Cost::Read, request).await?;
        answer.object(key)
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
        let mut request = answer::Request::object(http::Method::PUT, key)?;
        request.expect = Some(expect);
        request.body = Bytes::copy_from_slice(value.as_bytes());
        let answer = self.call(metrics::Kind::Put, Cost::Write, request).await?;
        answer.version()
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        let mut request = answer::Request::object(http::Method::DELETE, key)?;
        request.expect = Some(store::Expect::Version(version));
        let answer = self.call(metrics::Kind::Delete, Cost::Write, request).await;
        answer.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        let request = answer::Request::list(prefix)?;
        let answer = self.call(metrics::Kind::List, Cost::Read, request).await?;
        answer.parse()
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        let request = answer::Request::watch(prefix, after, wait)?;
        let kind = metrics::Kind::Watch;
        let answer = self.call(kind, Cost::Wait(wait), request).await?;
        answer.parse()
    }
}

/// Reads the period of a `retry-after` header in seconds.
fn retry_after(headers: &http::HeaderMap) -> Option<unit::Period> {
    let text = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(unit::Period::from_secs)
}
