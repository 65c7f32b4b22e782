//! Embeds admission control, load balancing, retry decisions and the retry budget in another
//! service.
//!
//! `cargo run -p laburnumcart --example embed`
//!
//! The library opens no connections; [`send`] stands for a call to a target by the service's own
//! client.

use std::time::Duration;

use rand::SeedableRng;
use tokio::time::Instant;

use laburnumcart::{
    admission,
    balancer,
    budget,
    bundle,
    retry,
    unit,
    verdict, //
};

/// State of the service besides its connections.
struct Service {
    admission: admission::Controller,
    targets: balancer::Table,
    budget: budget::Budget,
    rng: rand::rngs::StdRng,
}

/// Calls a target: one is shutting down and refuses, one breaks the connection, and one answers.
fn send(target: &balancer::Target) -> Result<String, verdict::Refusal> {
    match target.name.as_str() {
        "stopping" => Err(verdict::Refusal::not_run(verdict::Reason::Leaving)),
        "broken" => Err(verdict::Refusal::may_have_run(verdict::Reason::Lost)),
        name => Ok(format!("answer of {name}")),
    }
}

impl Service {
    /// Runs a request of a team and retries it at other targets while that is safe.
    fn run_request(
        &mut self,
        team: admission::TeamKey,
        idempotent: bool,
    ) -> Result<String, verdict::Refusal> {
        let now = Instant::now();
        let priority = bundle::Priority::Normal;
        self.admission.admit(team, priority, now, &mut self.rng)?;
        let answer = self.try_targets(idempotent, now + Duration::from_secs(2));
        let outcome = match &answer {
            Ok(_) => admission::Outcome::Done,
            Err(refusal) => admission::Outcome::Refused(refusal.reason),
        };
        self.admission.finish(team, outcome, Instant::now());
        answer
    }

    fn try_targets(
        &mut self,
        idempotent: bool,
        deadline: Instant,
    ) -> Result<String, verdict::Refusal> {
        let mut attempts = retry::Attempts::new(idempotent, verdict::Verdict::NotRun);
        let mut tried = Vec::new();
        loop {
            let now = Instant::now();
            let request = balancer::Request {
                tried: &tried,
                prefix: None,
                in_flight: &|_| 0,
                now,
            };
            // The verdict must cover all attempts; an earlier one may have run although no target
            // is left.
            let no_target = verdict::Refusal {
                verdict: attempts.verdict(),
                ..verdict::Refusal::not_run(verdict::Reason::NoTarget)
            };
            let chosen = self
                .targets
                .choose(&request, &mut self.rng)
                .ok_or(no_target)?;
            let refusal = match send(&self.targets.targets()[chosen]) {
                Ok(answer) => {
                    self.budget.deposit(now);
                    return Ok(answer);
                }
                Err(refusal) => refusal,
            };
            tried.push(chosen);
            let failure = retry::Failure {
                reached: false,
                refusal,
                resumable: false,
            };
            let time = retry::TimeBudget {
                remaining: deadline - now,
                needed: Duration::from_millis(100),
                now,
            };
            if let retry::Decision::GiveUp(refusal) =
                attempts.decide(&failure, time, &mut self.budget)
            {
                return Err(refusal);
            }
        }
    }
}

/// Creates a target; in a real service its load is taken from its reports.
fn target(name: &str, pending: u32, now: Instant) -> balancer::Target {
    balancer::Target {
        name: name.parse().expect("a name"),
        state: balancer::State::Ready,
        load: balancer::Load {
            pending,
            own_pending: 0,
            limit: 4,
            service_time: Duration::from_millis(50),
            at: now,
        },
        local: true,
        extra_latency: Duration::ZERO,
    }
}

fn main() {
    let now = Instant::now();
    let mut admission = admission::Controller::new(now);
    let team = admission.add_team(1);
    // The least loaded targets are those that fail, so that both retry decisions are shown.
    let targets = [("stopping", 0), ("broken", 1), ("sound", 40)];
    let targets = targets.map(|(name, pending)| target(name, pending, now));
    let mut service = Service {
        admission,
        targets: balancer::Table::new(targets.into()),
        budget: budget::Budget::new(unit::Share(0.1), now),
        rng: rand::rngs::StdRng::seed_from_u64(1),
    };
    let answer = service.run_request(team, true).expect("an answer");
    println!("idempotent: {answer}");
    assert_eq!(answer, "answer of sound");

    // The broken connection does not prove that the request did not run, so it must not be retried.
    let refusal = service.run_request(team, false).expect_err("a refusal");
    println!("non-idempotent: {refusal}");
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert_eq!(service.admission.in_flight(), 0);
}
