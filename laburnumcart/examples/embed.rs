//! Embeds admission, routing, the retry decision and its budget in a service of one's own.
//!
//! `cargo run -p laburnumcart --example embed`
//!
//! The library opens no connection: [`send`] stands for the call of a target, by whatever client the
//! service has.

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

/// What a service keeps beside its connections.
struct Service {
    admission: admission::Controller,
    targets: balancer::Table,
    budget: budget::Budget,
    rng: rand::rngs::StdRng,
}

/// Calls a target. One is stopping and refuses, one breaks the connection, one answers.
fn send(target: &balancer::Target) -> Result<String, verdict::Refusal> {
    match target.name.as_str() {
        "stopping" => Err(verdict::Refusal::not_run(verdict::Reason::Leaving)),
        "broken" => Err(verdict::Refusal::may_have_run(verdict::Reason::Lost)),
        name => Ok(format!("answer of {name}")),
    }
}

impl Service {
    /// Runs one request of a team, on as many targets as it takes and is safe.
    fn run(
        &mut self,
        team: admission::TeamKey,
        idempotent: bool,
    ) -> Result<String, verdict::Refusal> {
        let now = Instant::now();
        let priority = bundle::Priority::Normal;
        self.admission.admit(team, priority, now, &mut self.rng)?;
        let answer = self.attempts(idempotent, now + Duration::from_secs(2));
        let outcome = match &answer {
            Ok(_) => admission::Outcome::Done,
            Err(refusal) => admission::Outcome::Refused(refusal.reason),
        };
        self.admission.finish(team, outcome, Instant::now());
        answer
    }

    fn attempts(
        &mut self,
        idempotent: bool,
        deadline: Instant,
    ) -> Result<String, verdict::Refusal> {
        let mut attempts = retry::Attempts::new(idempotent, verdict::Verdict::NotRun);
        let mut tried = Vec::new();
        loop {
            let now = Instant::now();
            let ask = balancer::Request {
                tried: &tried,
                prefix: None,
                in_flight: &|_| 0,
                now,
            };
            // The verdict covers all attempts: that no target is left says nothing of earlier ones.
            let nowhere = verdict::Refusal {
                verdict: attempts.verdict(),
                ..verdict::Refusal::not_run(verdict::Reason::NoTarget)
            };
            let chosen = self.targets.choose(&ask, &mut self.rng).ok_or(nowhere)?;
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

/// Describes a target; the load comes from its reports in a real service.
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
    // The least loaded ones are those that fail, so that both decisions are seen.
    let targets = [("stopping", 0), ("broken", 1), ("sound", 40)];
    let targets = targets.map(|(name, pending)| target(name, pending, now));
    let mut service = Service {
        admission,
        targets: balancer::Table::new(targets.into()),
        budget: budget::Budget::new(unit::Share(0.1), now),
        rng: rand::rngs::StdRng::seed_from_u64(1),
    };
    let answer = service.run(team, true).expect("an answer");
    println!("idempotent: {answer}");
    assert_eq!(answer, "answer of sound");

    // The broken connection is no proof of "not run", so that another target must not be tried.
    let refusal = service.run(team, false).expect_err("a refusal");
    println!("non-idempotent: {refusal}");
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert_eq!(service.admission.in_flight(), 0);
}
