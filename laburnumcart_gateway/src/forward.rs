//! Sends a request to one target after another until one answers.

use std::{
    sync::Arc,
    time, //
};

use http::{
    Request,
    StatusCode, //
};
use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    ingress,
    poison,
    retry,
    verdict, //
};

use crate::{
    admission,
    budgets,
    dialect,
    gateway,
    outbound,
    pipeline::Inputs,
    pool, //
};

/// Least time in which another send can still bring an answer.
const NEEDED: time::Duration = time::Duration::from_millis(20);

/// Most sends of one request that are refused without being run.
const REFUSALS: u32 = 3;

/// An answer whose head has come.
pub struct Opened {
    /// Place at the target.
    pub seat: gateway::Seat,
    /// Answer.
    pub answer: pool::Answer,
    /// What its head says.
    pub reply: dialect::Reply,
}

/// Why a send brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The target refused or failed.
    Refused(verdict::Refusal),
    /// The inputs no longer exist; the target did not run the request.
    InputsGone,
}

/// The sends of one request.
pub struct Sends {
    gateway: Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    /// Service that was chosen for the request.
    pub service: id::ServiceName,
    tried: Vec<id::TargetName>,
    sent: u32,
    refused: u32,
    /// Whether a target has received the request, whatever came of it.
    reached: bool,
    /// Whether no target could be chosen.
    exhausted: bool,
    /// Whether a send is in flight, or its answer is being read.
    pending: bool,
    /// Target of the last send, and when that was.
    last: Option<(id::TargetLife, Instant)>,
    attempts: retry::Attempts,
}

impl Sends {
    /// Starts with a request that was not sent yet.
    pub fn new(
        gateway: &Arc<gateway::Gateway>,
        request: &Arc<admission::Request>,
    ) -> Result<Self, verdict::Refusal> {
        let service = request.route.choose_backend(rand::random());
        let missing = verdict::Refusal::not_run(verdict::Reason::NoTarget);
        let service = service.ok_or(missing)?.clone();
        gateway.budgets.earn(&service);
        let idempotent = request.route.retry != ingress::RetryPolicy::Never;
        Ok(Self {
            gateway: gateway.clone(),
            request: request.clone(),
            service,
            tried: Vec::new(),
            sent: 0,
            refused: 0,
            reached: false,
            exhausted: false,
            pending: false,
            last: None,
            attempts: retry::Attempts::new(idempotent, verdict::Verdict::NotRun),
        })
    }

    /// Reports whether another target may still be asked.
    pub fn has_more(&self) -> bool {
        let sends = self.request.route.max_sends.max(1);
        self.sent < sends && self.refused < REFUSALS && !self.exhausted
    }

    /// Reports whether there is a target that was not asked and takes requests now.
    pub fn has_target(&self) -> bool {
        let (request, service) = (&self.request, &self.service);
        self.gateway.has_target(request, service, &self.tried)
    }

    /// Reports whether another target may be asked should the next send fail.
    pub fn has_spare(&self) -> bool {
        self.sent + 1 < self.request.route.max_sends && self.refused < REFUSALS
    }

    /// Returns what is known of the request as a whole.
    ///
    /// The failures that were taken in do not tell of a send that is in flight. A caller whose
    /// request ends meanwhile would be told "not run" while a target begins to run it.
    pub fn verdict(&self) -> verdict::Verdict {
        match self.pending {
            true => verdict::Verdict::MayHaveRun,
            false => self.attempts.verdict(),
        }
    }

    /// Returns a refusal of the request as a whole.
    pub fn refuse(&self, refusal: verdict::Refusal) -> verdict::Refusal {
        verdict::Refusal {
            verdict: self.verdict().combine(refusal.verdict),
            ..refusal
        }
    }

    /// Sends the request to the next target; `limit` bounds the wait for the head.
    pub async fn next(
        &mut self,
        inputs: Option<&Inputs>,
        after: Option<u64>,
        limit: time::Duration,
    ) -> Result<Opened, Failure> {
        let request = self.request.clone();
        let mut handles = inputs.iter().flat_map(|inputs| &inputs.handles);
        if handles.any(|handle| self.gateway.is_lost(handle)) {
            return Err(Failure::InputsGone);
        }
        let places = inputs.map_or(&[][..], |inputs| &inputs.places);
        let seat = self
            .gateway
            .seat(&request, &self.service, places, &self.tried);
        let Some(mut seat) = seat else {
            self.exhausted = true;
            return Err(Failure::Refused(not_run(verdict::Reason::NoTarget)));
        };
        self.tried.push(seat.target.name.clone());
        self.sent += 1;
        let bounds = self.gateway.bounds(&request, &self.service);
        let onward = self.onward(&seat, inputs, after);
        let outbound = self.gateway.outbound.clone();
        let target = seat.target.clone();
        event!(
            Info,
            "sent",
            request = request.call.attempt,
            service = self.service,
            target = target.name,
            number = self.sent,
            left_ms = request.left().as_millis()
        );
        let start = Instant::now();
        self.last = Some((target.key(), start));
        self.pending = true;
        let label = Some(request.call.attempt.as_str());
        let sent = outbound.send(&target, onward, &bounds, label);
        let result = match tokio::time::timeout(limit, sent).await {
            Ok(result) => result,
            Err(_) => Err(pool::Failure::Timeout),
        };
        let unsent = |failure: &pool::Failure| failure.verdict() == verdict::Verdict::NotRun;
        self.reached |= !result.as_ref().is_err_and(unsent);
        match result {
            Ok(received) => self.judge(seat, received, start),
            Err(failure) => {
                if failure.verdict() == verdict::Verdict::NotRun {
                    // Nothing was sent to this target.
                    self.sent -= 1;
                    self.refused += 1;
                }
                let is_own = [pool::Failure::Exhausted, pool::Failure::Closed].contains(&failure);
                if !is_own {
                    seat.fail();
                }
                let verdict = failure.verdict();
                if verdict == verdict::Verdict::MayHaveRun {
                    self.strike();
                }
                // A target that is slow is no reason to stop while the request has time.
                let reason = match failure {
                    pool::Failure::Timeout if request.left() > NEEDED => verdict::Reason::Lost,
                    other => other.reason(),
                };
                Err(self.failed(
                    &seat,
                    verdict::Refusal {
                        verdict,
                        reason,
                        retry: None,
                    },
                ))
            }
        }
    }

    /// Takes in a failure and decides whether the request goes to another target.
    pub fn decide(&mut self, failure: verdict::Refusal, way: budgets::Way) -> retry::Decision {
        let time = retry::TimeBudget {
            remaining: self.request.left(),
            needed: NEEDED,
            now: Instant::now(),
        };
        let failure = retry::Failure {
            refusal: failure,
            reached: self.reached,
            resumable: false,
        };
        self.pending = false;
        // Charged for sends that nobody makes, the budget would be gone for all other requests.
        let more = self.has_more() && self.has_target();
        let attempts = &mut self.attempts;
        let budgets = &self.gateway.budgets;
        let decision = budgets.with(&self.service, |budget, now| match more {
            true => attempts.decide(&failure, retry::TimeBudget { now, ..time }, budget),
            false => retry::Decision::GiveUp(attempts.record_failure(failure.refusal, now, budget)),
        });
        self.note(&decision, way);
        if let retry::Decision::GiveUp(refusal) = decision {
            let refusal = self.gateway.advise(&self.request, &self.service, refusal);
            return retry::Decision::GiveUp(refusal);
        }
        self.gateway.metrics.resent.inc();
        decision
    }

    /// Tells all processes that the target of the last send has failed under this request.
    pub fn strike(&mut self) {
        let Some((target, sent)) = self.last.take() else {
            return;
        };
        let strike = poison::Failure {
            content: self.request.content(),
            sent,
            failed: Instant::now(),
        };
        self.gateway.outbound.quotas.signals.fail(&target, strike);
    }

    /// Logs a decision on what would reach a target once more.
    fn note(&self, decision: &retry::Decision, way: budgets::Way) {
        if !self.reached {
            return;
        }
        let outcome = match decision {
            retry::Decision::GiveUp(_) => budgets::Outcome::Denied,
            _ => budgets::Outcome::Granted,
        };
        let repeat = budgets::Repeat {
            request: &self.request.call.attempt,
            service: &self.service,
            way,
            count: 1,
        };
        let cause = self.attempts.cause();
        self.gateway.budgets.note(&repeat, outcome, cause);
    }

    fn onward(
        &self,
        seat: &gateway::Seat,
        inputs: Option<&Inputs>,
        after: Option<u64>,
    ) -> Request<bytes::Bytes> {
        let request = &self.request;
        let mut onward = Request::new(request.body.clone());
        *onward.method_mut() = request.method.clone();
        *onward.uri_mut() = request.path.parse().expect("it was a path before");
        *onward.headers_mut() = request.headers.clone();
        let told = dialect::Onward {
            target: &seat.target.name,
            team: request.team.as_ref(),
            left: request.left(),
            inputs: inputs.map(|i| i.handles.as_slice()),
            after,
            rank: request.rank,
        };
        self.gateway.dialect.onward(onward.headers_mut(), &told);
        onward
    }

    /// Tells an answer of the target from its refusals.
    fn judge(
        &mut self,
        mut seat: gateway::Seat,
        received: outbound::Received,
        start: Instant,
    ) -> Result<Opened, Failure> {
        let outbound::Received { answer, reply } = received;
        let status = answer.head.status;
        event!(
            Info,
            "head",
            request = self.request.call.attempt,
            target = seat.target.name,
            status = status.as_u16(),
            not_run = reply.not_run,
            taken_ms = start.elapsed().as_millis()
        );
        let own = reply.attempt.as_ref() == Some(&self.request.call.attempt);
        // An answer to an earlier request on this connection, or none that the target vouches for,
        // must not reach the caller, and its refusal proves nothing of this request. What became of
        // this one is not known then.
        if !own || status.is_success() && !reply.signed {
            seat.fail();
            return Err(self.failed(&seat, may_have_run(verdict::Reason::Corrupt)));
        }
        seat.report(&reply);
        if reply.misdirected {
            self.sent -= 1;
            self.refused += 1;
            return Err(self.failed(&seat, not_run(verdict::Reason::WrongIncarnation)));
        }
        if reply.not_run {
            self.refused += 1;
            if status == StatusCode::CONFLICT {
                return Err(Failure::InputsGone);
            }
            return Err(self.failed(&seat, not_run(verdict::Reason::Overloaded)));
        }
        // These promise that the request has not run, which this answer does not prove.
        let promises = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if promises.contains(&status) {
            seat.fail();
            return Err(self.failed(&seat, may_have_run(verdict::Reason::TargetFailed)));
        }
        Ok(Opened {
            seat,
            answer,
            reply,
        })
    }

    fn failed(&self, seat: &gateway::Seat, refusal: verdict::Refusal) -> Failure {
        event!(
            Info,
            "send-failed",
            request = self.request.call.attempt,
            target = seat.target.name,
            reason = refusal.reason,
            verdict = refusal.verdict
        );
        Failure::Refused(refusal)
    }
}

fn not_run(reason: verdict::Reason) -> verdict::Refusal {
    verdict::Refusal::not_run(reason)
}

fn may_have_run(reason: verdict::Reason) -> verdict::Refusal {
    verdict::Refusal::may_have_run(reason)
}
