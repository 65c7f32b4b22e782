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
    retry,
    strikes,
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
const ATTEMPT_MIN: time::Duration = time::Duration::from_millis(20);

/// Most sends of one request that are refused without being run.
const REFUSALS_MAX: u32 = 3;

/// An answer whose head has come.
pub struct TargetResponse {
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
pub struct Forwarder {
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
    in_flight: bool,
    /// Target of the last send, and when that was.
    last_send: Option<(id::TargetLife, Instant)>,
    attempts: retry::Attempts,
}

impl Forwarder {
    /// Starts with a request that was not sent yet.
    pub fn new(
        gateway: &Arc<gateway::Gateway>,
        request: &Arc<admission::Request>,
    ) -> Result<Self, verdict::Refusal> {
        let service = request.route.backend(rand::random());
        let missing = verdict::Refusal::not_run(verdict::Reason::NoTarget);
        let service = service.ok_or(missing)?.clone();
        gateway.budgets.record_request(&service);
        let idempotent = request.route.repeat != ingress::Repeat::Never;
        Ok(Self {
            gateway: gateway.clone(),
            request: request.clone(),
            service,
            tried: Vec::new(),
            sent: 0,
            refused: 0,
            reached: false,
            exhausted: false,
            in_flight: false,
            last_send: None,
            attempts: retry::Attempts::new(idempotent, verdict::Verdict::NotRun),
        })
    }

    /// Reports whether another target may still be asked.
    pub fn can_retry(&self) -> bool {
        let sends = self.request.route.sends.max(1);
        self.sent < sends && self.refused < REFUSALS_MAX && !self.exhausted
    }

    /// Reports whether there is a target that was not asked and takes requests now.
    pub fn has_untried_target(&self) -> bool {
        let (request, service) = (&self.request, &self.service);
        self.gateway.has_target(request, service, &self.tried)
    }

    /// Reports whether another target may be asked should the next send fail.
    pub fn has_spare_attempt(&self) -> bool {
        self.sent + 1 < self.request.route.sends && self.refused < REFUSALS_MAX
    }

    /// Returns what is known of the request as a whole.
    ///
    /// The failures that were taken in do not tell of a send that is in flight. A caller whose
    /// request ends meanwhile would be told "not run" while a target begins to run it.
    pub fn verdict(&self) -> verdict::Verdict {
        match self.in_flight {
            true => verdict::Verdict::MayHaveRun,
            false => self.attempts.verdict(),
        }
    }

    /// Returns a refusal of the request as a whole.
    pub fn merge_verdict(&self, refusal: verdict::Refusal) -> verdict::Refusal {
        verdict::Refusal {
            verdict: self.verdict().and(refusal.verdict),
            ..refusal
        }
    }

    /// Sends the request to the next target; `limit` bounds the wait for the head.
    pub async fn send_next(
        &mut self,
        inputs: Option<&Inputs>,
        after: Option<u64>,
        limit: time::Duration,
    ) -> Result<TargetResponse, Failure> {
        let request = self.request.clone();
        let mut handles = inputs.iter().flat_map(|inputs| &inputs.handles);
        if handles.any(|handle| self.gateway.is_lost(handle)) {
            return Err(Failure::InputsGone);
        }
        let places = inputs.map_or(&[][..], |inputs| &inputs.locations);
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
        let onward = self.build_request(&seat, inputs, after);
        let outbound = self.gateway.outbound.clone();
        let target = seat.target.clone();
        event!(
            Info,
            "sent",
            request = request.call.attempt,
            service = self.service,
            target = target.name,
            number = self.sent,
            left_ms = request.remaining().as_millis()
        );
        let start = Instant::now();
        self.last_send = Some((target.key(), start));
        self.in_flight = true;
        let label = Some(request.call.attempt.as_str());
        let sent = outbound.send(&target, onward, &bounds, label);
        let result = match tokio::time::timeout(limit, sent).await {
            Ok(result) => result,
            Err(_) => Err(pool::Failure::Timeout),
        };
        let unsent = |failure: &pool::Failure| failure.verdict() == verdict::Verdict::NotRun;
        self.reached |= !result.as_ref().is_err_and(unsent);
        match result {
            Ok(received) => self.check_response(seat, received, start),
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
                    self.record_target_failure();
                }
                // A target that is slow is no reason to stop while the request has time.
                let reason = match failure {
                    pool::Failure::Timeout if request.remaining() > ATTEMPT_MIN => {
                        verdict::Reason::Lost
                    }
                    other => other.reason(),
                };
                Err(self.send_failure(
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
    pub fn decide_retry(
        &mut self,
        failure: verdict::Refusal,
        way: budgets::RepeatKind,
    ) -> retry::Decision {
        let time = retry::Time {
            remaining: self.request.remaining(),
            needed: ATTEMPT_MIN,
            now: Instant::now(),
        };
        let failure = retry::Failure {
            refusal: failure,
            reached: self.reached,
            resumable: false,
        };
        self.in_flight = false;
        // Charged for sends that nobody makes, the budget would be gone for all other requests.
        let more = self.can_retry() && self.has_untried_target();
        let attempts = &mut self.attempts;
        let budgets = &self.gateway.budgets;
        let decision = budgets.with_budget(&self.service, |budget, now| match more {
            true => attempts.decide(&failure, retry::Time { now, ..time }, budget),
            false => retry::Decision::GiveUp(attempts.end(failure.refusal, now, budget)),
        });
        self.record_decision(&decision, way);
        if let retry::Decision::GiveUp(refusal) = decision {
            let refusal = self.gateway.advise(&self.request, &self.service, refusal);
            return retry::Decision::GiveUp(refusal);
        }
        self.gateway.metrics.resent.inc();
        decision
    }

    /// Tells all processes that the target of the last send has failed under this request.
    pub fn record_target_failure(&mut self) {
        let Some((target, sent)) = self.last_send.take() else {
            return;
        };
        let strike = strikes::Strike {
            content: self.request.fingerprint(),
            sent,
            failed: Instant::now(),
        };
        self.gateway.outbound.quotas.signals.fail(&target, strike);
    }

    /// Logs a decision on what would reach a target once more.
    fn record_decision(&self, decision: &retry::Decision, way: budgets::RepeatKind) {
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
            kind: way,
            count: 1,
        };
        let cause = self.attempts.cause();
        self.gateway
            .budgets
            .record_decision(&repeat, outcome, cause);
    }

    fn build_request(
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
            left: request.remaining(),
            inputs: inputs.map(|i| i.handles.as_slice()),
            after,
            rank: request.rank,
        };
        self.gateway.dialect.onward(onward.headers_mut(), &told);
        onward
    }

    /// Tells an answer of the target from its refusals.
    fn check_response(
        &mut self,
        mut seat: gateway::Seat,
        received: outbound::Received,
        start: Instant,
    ) -> Result<TargetResponse, Failure> {
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
            return Err(self.send_failure(&seat, may_have_run(verdict::Reason::Corrupt)));
        }
        seat.report(&reply);
        if reply.misdirected {
            self.sent -= 1;
            self.refused += 1;
            return Err(self.send_failure(&seat, not_run(verdict::Reason::WrongIncarnation)));
        }
        if reply.not_run {
            self.refused += 1;
            if status == StatusCode::CONFLICT {
                return Err(Failure::InputsGone);
            }
            return Err(self.send_failure(&seat, not_run(verdict::Reason::Overloaded)));
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
            return Err(self.send_failure(&seat, may_have_run(verdict::Reason::TargetFailed)));
        }
        Ok(TargetResponse {
            seat,
            answer,
            reply,
        })
    }

    fn send_failure(&self, seat: &gateway::Seat, refusal: verdict::Refusal) -> Failure {
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
