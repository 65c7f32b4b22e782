//! Routes requests straight to the targets, the ways that ours is compared with.

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

/// Retries of the least-loaded baseline, whatever failed and however.
const RETRIES: u32 = 3;

/// Time between two reads of each target's load.
const POLL: time::Duration = time::Duration::from_millis(100);

/// How a baseline picks targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// In turn, without retries.
    RoundRobin,
    /// The least reported load and own calls in flight, with three blind retries.
    LeastLoaded,
}

/// Client-side routing to the targets.
pub(super) struct Baseline {
    client: client::Client,
    policy: Policy,
    services: collections::BTreeMap<id::ServiceName, Vec<Target>>,
    turn: atomic::AtomicUsize,
}

struct Target {
    address: net::SocketAddr,
    flight: atomic::AtomicU64,
    reported: atomic::AtomicU64,
}

/// Counts a call in flight while it lives.
struct Flight<'a>(&'a Target);

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.flight.fetch_sub(1, atomic::Ordering::Relaxed);
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
            flight: atomic::AtomicU64::new(0),
            reported: atomic::AtomicU64::new(0),
        };
        let service = |(name, service): (&id::ServiceName, &plan::Service)| {
            (name.clone(), service.targets.values().map(target).collect())
        };
        Self {
            client,
            policy,
            services: plan.services.iter().map(service).collect(),
            turn: atomic::AtomicUsize::new(0),
        }
    }

    /// Reads the load of all targets again and again.
    pub(super) async fn poll(self: sync::Arc<Self>) {
        if self.policy != Policy::LeastLoaded {
            return;
        }
        let mut ticks = tokio::time::interval(POLL);
        loop {
            ticks.tick().await;
            let targets = self.services.values().flatten();
            let reads = targets.map(|target| self.read(target));
            futures_util::future::join_all(reads).await;
        }
    }

    async fn read(&self, target: &Target) {
        let url = format!("http://{}/v1/load", target.address);
        let read = tokio::time::timeout(POLL, self.client.get(&url)).await;
        let Ok(Ok(answer)) = read else { return };
        if let Ok(load) = serde_json::from_slice::<Load>(&answer.body) {
            let sum = load.running + load.queued;
            target.reported.store(sum, atomic::Ordering::Relaxed);
        }
    }

    /// Calls the stages of a request one after another.
    pub(super) async fn send(&self, case: &case::Case) -> report::Outcome {
        let left = case.remaining();
        let run = tokio::time::timeout(left, self.run(case)).await;
        run.unwrap_or_else(|_| refusal("deadline-exceeded"))
    }

    async fn run(&self, case: &case::Case) -> report::Outcome {
        let request = id::RequestId::random().to_string();
        let mut previous = Value::Null;
        for step in &case.stages {
            match self.stage(case, step, &request, &previous).await {
                Some(output) => previous = output,
                None => return refusal("target-failed"),
            }
        }
        report::Outcome::Answered {
            correct: previous == case.output(),
            request,
        }
    }

    async fn stage(
        &self,
        case: &case::Case,
        step: &case::Step,
        request: &str,
        previous: &Value,
    ) -> Option<Value> {
        let tries = match self.policy {
            Policy::RoundRobin => 1,
            Policy::LeastLoaded => 1 + RETRIES,
        };
        for _ in 0..tries {
            let target = self.pick(&step.service)?;
            target.flight.fetch_add(1, atomic::Ordering::Relaxed);
            let _flight = Flight(target);
            let output = self.call(target, case, step, request, previous).await;
            if output.is_some() {
                return output;
            }
        }
        None
    }

    fn pick(&self, service: &id::ServiceName) -> Option<&Target> {
        let targets = &self.services[service];
        if targets.is_empty() {
            return None;
        }
        let turn = self.turn.fetch_add(1, atomic::Ordering::Relaxed) % targets.len();
        // Ties go to the next in turn.
        let mut order = targets[turn..].iter().chain(&targets[..turn]);
        match self.policy {
            Policy::RoundRobin => order.next(),
            Policy::LeastLoaded => order.min_by_key(|target| target.load()),
        }
    }

    async fn call(
        &self,
        target: &Target,
        case: &case::Case,
        step: &case::Step,
        request: &str,
        previous: &Value,
    ) -> Option<Value> {
        let path = match step.kind {
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
        let body = json!({ "stage": step.name, "input": case.body, "previous": previous });
        let answer = self
            .client
            .post(&url, &headers, body.to_string())
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        match step.kind {
            bundle::Kind::Pool => answer.json(),
            bundle::Kind::Engine => {
                client::join_stream(&answer.body).map(|text| json!({ "text": text }))
            }
        }
    }
}

impl Target {
    fn load(&self) -> u64 {
        let flight = self.flight.load(atomic::Ordering::Relaxed);
        flight + self.reported.load(atomic::Ordering::Relaxed)
    }
}

/// A baseline proves nothing: whatever fails may have run.
fn refusal(reason: &str) -> report::Outcome {
    report::Outcome::Refused {
        verdict: "may-have-run".into(),
        reason: reason.into(),
    }
}
