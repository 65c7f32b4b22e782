//! Baselines for comparison, which route requests directly to the targets.

use std::{
    collections,
    net,
    sync::{
        self,
        atomic, //
    },
    time, //
};

use laburnumcart::{
    bundle,
    id, //
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

use crate::{
    client,
    load::{
        case,
        plan,
        report, //
    },
};

/// Maximum retries of the least-loaded baseline after any failure.
const MAX_RETRIES: u32 = 3;

/// Interval between two reads of each target's load.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Selection of targets by a baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Round robin without retries.
    RoundRobin,
    /// Lowest sum of reported load and own calls in flight, with three blind retries.
    LeastLoaded,
}

/// Client-side routing to the targets.
pub(super) struct Baseline {
    client: client::Client,
    policy: Policy,
    services: collections::BTreeMap<id::ServiceName, Vec<Target>>,
    next: atomic::AtomicUsize,
}

struct Target {
    address: net::SocketAddr,
    in_flight: atomic::AtomicU64,
    reported: atomic::AtomicU64,
}

/// Guard that counts a call in flight until it is dropped.
struct InFlight<'a>(&'a Target);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

#[derive(Deserialize)]
struct Load {
    running: u64,
    queued: u64,
}

impl Baseline {
    pub(super) fn new(client: client::Client, plan: &plan::Plan, policy: Policy) -> Self {
        let target = |address: &net::SocketAddr| Target {
            address: *address,
            in_flight: atomic::AtomicU64::new(0),
            reported: atomic::AtomicU64::new(0),
        };
        let service = |(name, service): (&id::ServiceName, &plan::Service)| {
            (name.clone(), service.targets.values().map(target).collect())
        };
        Self {
            client,
            policy,
            services: plan.services.iter().map(service).collect(),
            next: atomic::AtomicUsize::new(0),
        }
    }

    /// Polls the load of all targets for the least-loaded policy.
    pub(super) async fn poll_loads(self: sync::Arc<Self>) {
        if self.policy != Policy::LeastLoaded {
            return;
        }
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        loop {
            ticks.tick().await;
            let targets = self.services.values().flatten();
            let reads = targets.map(|target| self.read_load(target));
            futures_util::future::join_all(reads).await;
        }
    }

    async fn read_load(&self, target: &Target) {
        let url = format!("http://{}/v1/load", target.address);
        let read = tokio::time::timeout(POLL_INTERVAL, self.client.get(&url)).await;
        let Ok(Ok(answer)) = read else { return };
        if let Ok(load) = serde_json::from_slice::<Load>(&answer.body) {
            let sum = load.running + load.queued;
            target.reported.store(sum, atomic::Ordering::Relaxed);
        }
    }

    /// Calls the stages of a request in sequence within its deadline.
    pub(super) async fn send(&self, case: &case::Case) -> report::Outcome {
        let left = case.remaining();
        let outcome = tokio::time::timeout(left, self.call_stages(case)).await;
        outcome.unwrap_or_else(|_| refusal("deadline-exceeded"))
    }

    async fn call_stages(&self, case: &case::Case) -> report::Outcome {
        let request = id::RequestId::random().to_string();
        let mut previous = Value::Null;
        for stage in &case.stages {
            match self.call_stage(case, stage, &request, &previous).await {
                Some(output) => previous = output,
                None => return refusal("target-failed"),
            }
        }
        report::Outcome::Answered {
            correct: previous == case.output(),
            request,
        }
    }

    async fn call_stage(
        &self,
        case: &case::Case,
        stage: &case::StageCall,
        request: &str,
        previous: &Value,
    ) -> Option<Value> {
        let attempts = match self.policy {
            Policy::RoundRobin => 1,
            Policy::LeastLoaded => 1 + MAX_RETRIES,
        };
        for _ in 0..attempts {
            let target = self.pick_target(&stage.service)?;
            target.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
            let _guard = InFlight(target);
            let output = self
                .call_target(target, case, stage, request, previous)
                .await;
            if output.is_some() {
                return output;
            }
        }
        None
    }

    fn pick_target(&self, service: &id::ServiceName) -> Option<&Target> {
        let targets = &self.services[service];
        if targets.is_empty() {
            return None;
        }
        let start = self.next.fetch_add(1, atomic::Ordering::Relaxed) % targets.len();
        // Of equally loaded targets, the next in round-robin order is picked.
        let mut order = targets[start..].iter().chain(&targets[..start]);
        match self.policy {
            Policy::RoundRobin => order.next(),
            Policy::LeastLoaded => order.min_by_key(|target| target.load()),
        }
    }

    async fn call_target(
        &self,
        target: &Target,
        case: &case::Case,
        stage: &case::StageCall,
        request: &str,
        previous: &Value,
    ) -> Option<Value> {
        let path = match stage.kind {
            bundle::Kind::Pool => "run",
            bundle::Kind::Engine => "generate",
        };
        let url = format!("http://{}/v1/{path}", target.address);
        let attempt = id::AttemptId::random().to_string();
        let left = case.remaining().as_millis().to_string();
        let headers = [
            ("x-request-id", request),
            ("x-attempt-id", attempt.as_str()),
            ("x-team", case.team.as_str()),
            ("x-priority", "normal"),
            (
                "x-idempotent",
                if case.key.is_some() { "false" } else { "true" },
            ),
            ("x-deadline-ms", left.as_str()),
        ];
        let body = json!({ "stage": stage.name, "input": case.body, "previous": previous });
        let answer = self
            .client
            .post(&url, &headers, body.to_string())
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        match stage.kind {
            bundle::Kind::Pool => answer.json(),
            bundle::Kind::Engine => {
                client::join_stream(&answer.body).map(|text| json!({ "text": text }))
            }
        }
    }
}

impl Target {
    fn load(&self) -> u64 {
        let in_flight = self.in_flight.load(atomic::Ordering::Relaxed);
        in_flight + self.reported.load(atomic::Ordering::Relaxed)
    }
}

/// Returns a refusal; a baseline can never rule out that the request has run.
fn refusal(reason: &str) -> report::Outcome {
    report::Outcome::Refused {
        verdict: "may-have-run".into(),
        reason: reason.into(),
    }
}
