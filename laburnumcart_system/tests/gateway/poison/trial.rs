//! Gateways and targets of a trial, and callers that resend content which crashes its targets.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time,
};

use futures_util::future;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use serde_json::Value;
use tokio::time::Instant;

use crate::{
    stages::stage_response,
    support::{
        Response,
        System,
        desk_target,
        unlimited_retries, //
    },
};

/// Time after the third crash within which all gateways refuse the content.
pub(super) const SPREAD_TIME: time::Duration = time::Duration::from_secs(3);

/// Arrivals that are allowed after that time.
pub(super) const LATE_MAX: usize = 3;

/// Time for which callers go on after [`SPREAD_TIME`].
const LATE_TIME: time::Duration = time::Duration::from_secs(5);

/// Time within which three targets crash.
const CRASH_TIMEOUT: time::Duration = time::Duration::from_secs(12);

/// Pause of a caller before it sends the content again.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Number of crashes after which the content is to be refused.
const CRASHES: usize = 3;

/// Times at which content that crashes targets reached them.
#[derive(Clone, Default)]
pub(super) struct Arrivals(Arc<Mutex<Vec<Instant>>>);

impl Arrivals {
    pub(super) fn record(&self) {
        self.0.lock().unwrap().push(Instant::now());
    }

    pub(super) fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Returns the time of the third crash.
    pub(super) fn third(&self) -> Option<Instant> {
        self.0.lock().unwrap().get(CRASHES - 1).copied()
    }

    /// Returns the number of arrivals later than [`SPREAD_TIME`] after the third crash.
    pub(super) fn late(&self) -> usize {
        let Some(third) = self.third() else {
            return 0;
        };
        let all = self.0.lock().unwrap();
        all.iter().filter(|at| **at > third + SPREAD_TIME).count()
    }
}

/// Gateways that know the same targets.
pub(super) struct Trial {
    pub(super) gateways: Vec<System>,
    pub(super) targets: Vec<Target>,
    pub(super) arrivals: Arrivals,
    /// Number of requests sent so far.
    attempts: atomic::AtomicUsize,
}

/// How callers send the content.
#[derive(Clone, Copy)]
pub(super) struct Callers<'a> {
    pub(super) count: usize,
    pub(super) path: &'a str,
    /// Time after which a caller gives up a request.
    pub(super) patience: time::Duration,
}

/// Starts a target that takes `end` for content with `poison` in it, and serves all other.
pub(super) async fn poison_target(
    arrivals: &Arrivals,
    end: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> Target {
    let arrivals = arrivals.clone();
    let script = move |seen: &ReceivedRequest, _: usize| match is_poison(seen) {
        true => {
            arrivals.record();
            end(seen)
        }
        false => stage_response(seen),
    };
    Target::start(script).await.unwrap()
}

/// Reports whether the path of a request, or a piece in a batch call, is poison.
fn is_poison(seen: &ReceivedRequest) -> bool {
    let body = String::from_utf8_lossy(&seen.body);
    seen.path().contains("poison") || body.contains("poison")
}

impl Trial {
    /// Starts gateways and targets of a service; there is always one of the service `desk`.
    pub(super) async fn start(
        config: Value,
        service: &str,
        gateways: usize,
        targets: usize,
        end: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
    ) -> Self {
        let arrivals = Arrivals::default();
        let started = (0..targets).map(|_| poison_target(&arrivals, end.clone()));
        let targets = future::join_all(started).await;
        let names: Vec<_> = (0..targets.len()).map(|n| format!("i-{n}")).collect();
        let listed = names.iter().zip(&targets);
        let listed: Vec<_> = listed
            .map(|(name, target)| (name.as_str(), service, target))
            .collect();
        let desk = desk_target().await;
        let listed = match service {
            "desk" => listed,
            _ => [listed, vec![("desk", "desk", &desk)]].concat(),
        };
        let first = System::start_with_bounds(unlimited_retries(), config, &listed).await;
        let mut all = first.start_peers(2..=gateways.max(1)).await;
        all.push(first);
        Self {
            gateways: all,
            targets,
            arrivals,
            attempts: atomic::AtomicUsize::new(0),
        }
    }

    /// Sends the content through a gateway; `None` if the caller gave up.
    pub(super) async fn send(&self, gateway: usize, callers: &Callers<'_>) -> Option<Response> {
        let gateway = &self.gateways[gateway % self.gateways.len()];
        let number = self.attempts.fetch_add(1, atomic::Ordering::Relaxed);
        let attempt = format!("attempt-{number}");
        let call = gateway.call(callers.path, |headers| {
            headers.insert("x-laburnumcart-attempt-id", attempt.parse().unwrap());
            headers.insert("x-laburnumcart-deadline-ms", "2000".parse().unwrap());
            headers.insert("x-laburnumcart-chunks", "1".parse().unwrap());
            headers.insert("x-laburnumcart-chunk-key", callers.path.parse().unwrap());
        });
        tokio::time::timeout(callers.patience, call).await.ok()
    }

    /// Has all callers resend the content until some time after the third crash.
    pub(super) async fn resend(&self, callers: &Callers<'_>) {
        let start = Instant::now();
        let is_over = || match self.arrivals.third() {
            Some(third) => third.elapsed() > SPREAD_TIME + LATE_TIME,
            None => start.elapsed() > CRASH_TIMEOUT,
        };
        let caller = async |n: usize| {
            let mut gateway = n;
            while !is_over() {
                self.send(gateway, callers).await;
                gateway += 1;
                tokio::time::sleep(RESEND_PAUSE).await;
            }
        };
        future::join_all((0..callers.count).map(caller)).await;
    }

    /// Checks that the content was refused in time.
    pub(super) fn check_late(&self) {
        let (count, late) = (self.arrivals.count(), self.arrivals.late());
        println!("{count} arrivals, {late} of them late");
        assert!(count >= CRASHES, "{count} targets crashed");
        assert!(late <= LATE_MAX, "{late} late arrivals of {count}");
    }
}
