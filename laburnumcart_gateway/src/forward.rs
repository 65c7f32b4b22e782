//! Forwarding of a request to targets, with retries at other targets.

mod beginning;
pub mod grants;

use std::{
    sync::Arc,
    time, //
};

use http::{
    Request,
    StatusCode, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use laburnumcart::{
    event,
    id,
    ingress,
    origin,
    retry,
    verdict, //
};

use crate::{
    admission,
    budgets,
    crashes,
    dialect,
    gateway,
    outbound,
    pipeline::Inputs,
    pool,
    view, //
};

pub(crate) use self::beginning::avoided_versions;

/// Least time left in which another attempt can still bring a response.
const ATTEMPT_MIN: time::Duration = time::Duration::from_millis(20);

/// Most attempts of one request that targets refuse without running it.
const REFUSALS_MAX: u32 = 3;

/// Response of a target, of which the head has been received.
pub struct TargetResponse {
    /// The request's assignment to the target.
    pub assignment: gateway::Assignment,
    /// Head, body and connection.
    pub response: pool::Response,
    /// The request in flight at the target.
    pub run: crashes::run::Run,
    /// Parsed header fields.
    pub head: dialect::ResponseHead,
}

/// Why an attempt brought no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The target refused the request or failed.
    Refused(verdict::Refusal),
    /// The inputs no longer exist; the target did not run the request.
    InputsGone,
}

/// Sends one request to one target after another.
pub struct Forwarder {
    gateway: Arc<gateway::Gateway>,
    request: Arc<admission::Request>,
    /// Service that was chosen for the request.
    pub service: id::ServiceName,
    /// Origin of the stream, if it has begun.
    origin: Option<origin::Origin>,
    tried: Vec<id::TargetName>,
    sent: u32,
    refused: u32,
    /// Whether any target may have received the request.
    reached: bool,
    /// Whether no target was left to choose.
    exhausted: bool,
    /// Whether an attempt awaits its response or the response is being read.
    in_flight: bool,
    /// Whether a repeat of the attempt in flight has been denied.
    denied: bool,
    /// Notified once the next attempt has a connection.
    connected: Option<Arc<Notify>>,
    attempts: retry::Attempts,
    sends: budgets::RequestSends,
}

impl Forwarder {
    /// Chooses a service for a request and counts the request in the service's retry budget.
    ///
    /// A stream that has begun goes on at the service of its origin.
    pub fn new(
        gateway: &Arc<gateway::Gateway>,
        request: &Arc<admission::Request>,
        origin: Option<origin::Origin>,
    ) -> Result<Self, verdict::Refusal> {
        let service = match &origin {
            Some(origin) => Some(&origin.service),
            None => request.route.choose_backend(rand::random()),
        };
        let missing = verdict::Refusal::not_run(verdict::Reason::NoTarget);
        let service = service.ok_or(missing)?.clone();
        // Without its limit of connections nothing may be sent to it.
        if request.table.is_unreadable(&service) {
            return Err(admission::unreadable());
        }
        gateway.budgets.record_request(&service);
        let idempotent = request.route.retry != ingress::RetryPolicy::Never;
        let budgets = gateway.budgets.clone();
        let sends = budgets::RequestSends::new(budgets, service.clone(), &request.call.attempt);
        Ok(Self {
            gateway: gateway.clone(),
            request: request.clone(),
            service,
            origin,
            tried: Vec::new(),
            sent: 0,
            refused: 0,
            reached: false,
            exhausted: false,
            in_flight: false,
            denied: false,
            connected: None,
            attempts: retry::Attempts::new(idempotent, verdict::Verdict::NotRun),
            sends,
        })
    }

    /// Reports whether the request may be sent again.
    pub fn can_retry(&self) -> bool {
        let sends = self.request.route.max_sends.max(1);
        self.sent < sends && self.refused < REFUSALS_MAX && !self.exhausted
    }

    /// Reports whether a target that was not tried yet accepts requests now.
    pub fn has_untried_target(&self) -> bool {
        self.gateway.has_target(&self.service, &self.eligible())
    }

    /// Returns the origin of the stream, if it has begun.
    pub fn origin(&self) -> Option<&origin::Origin> {
        self.origin.as_ref()
    }

    /// Sets the origin of the stream, whose first event is about to be passed on.
    pub fn set_origin(&mut self, origin: origin::Origin) {
        self.origin = Some(origin);
    }

    fn eligible(&self) -> view::Eligible<'_> {
        view::Eligible {
            data_centres: self.request.data_centres.as_deref(),
            tried: &self.tried,
            origin: self.origin.as_ref(),
            avoided: &[],
        }
    }

    /// Reports whether another attempt is left if the next one fails.
    pub fn has_spare_attempt(&self) -> bool {
        self.sent + 1 < self.request.route.max_sends && self.refused < REFUSALS_MAX
    }

    /// Returns the verdict on all attempts of the request.
    ///
    /// Recorded failures do not cover an attempt in flight: a caller whose request ends during it
    /// would be told "not run" while a target begins to run the request.
    pub fn verdict(&self) -> verdict::Verdict {
        match self.in_flight {
            true => verdict::Verdict::MayHaveRun,
            false => self.attempts.verdict(),
        }
    }

    /// Combines the verdict of a refusal with that on all earlier attempts.
    pub fn merge_verdict(&self, refusal: verdict::Refusal) -> verdict::Refusal {
        verdict::Refusal {
            verdict: self.verdict().combine(refusal.verdict),
            ..refusal
        }
    }

    /// Sends the request to the next target and waits up to `limit` for the response head.
    ///
    /// `after` is the last event that was passed on, if a stream is resumed.
    pub async fn send_next(
        &mut self,
        inputs: Option<&Inputs>,
        after: Option<u64>,
        limit: time::Duration,
    ) -> Result<TargetResponse, Failure> {
        let request = self.request.clone();
        let mut handles = inputs.iter().flat_map(|inputs| &inputs.handles);
        if handles.any(|handle| self.gateway.is_result_lost(handle)) {
            return Err(Failure::InputsGone);
        }
        let locations = inputs.map_or(&[][..], |inputs| &inputs.locations);
        // The content may have become known to crash targets since the request was admitted.
        let trials = match self.gateway.admit_run(&request, &self.service).await {
            Ok(trials) => trials,
            Err(refusal) => {
                self.exhausted = true;
                return Err(Failure::Refused(refusal));
            }
        };
        let Some(mut assignment) = self.assign(locations).await else {
            self.exhausted = true;
            return Err(Failure::Refused(not_run(verdict::Reason::NoTarget)));
        };
        self.tried.push(assignment.target.name.clone());
        self.sent += 1;
        let bounds = self.gateway.bounds(&request, &self.service);
        let forwarded = self.build_request(&assignment, inputs, after);
        let outbound = self.gateway.outbound.clone();
        let target = assignment.target.clone();
        event!(
            Info,
            "sent",
            request = request.call.attempt,
            service = self.service,
            target = target.name,
            version = target.version_label(),
            number = self.sent,
            left_ms = request.remaining().as_millis()
        );
        let start = Instant::now();
        self.in_flight = true;
        self.denied = false;
        self.sends.begin(target.key());
        let content = crashes::Content::Request(request.clone());
        let run = outbound.detector.begin(&target, content, trials);
        let outgoing = outbound::Outgoing {
            request: forwarded,
            label: Some(&request.call.attempt),
            deadline: Some(start + request.remaining()),
            connected: self.connected.take(),
        };
        let exchange = outbound.send(&target, outgoing, &bounds);
        let kind = match after {
            Some(_) => budgets::RepeatKind::Stream,
            None => budgets::RepeatKind::Request,
        };
        let result = self.await_granted(exchange, limit, kind).await;
        let result = result.unwrap_or(Err(pool::Failure::Timeout));
        let is_unsent = |failure: &pool::Failure| failure.verdict() == verdict::Verdict::NotRun;
        self.reached |= !result.as_ref().is_err_and(is_unsent);
        let detector = &outbound.detector;
        match &result {
            Err(failure) if is_unsent(failure) => self.sends.record_unsent(),
            Err(pool::Failure::Timeout) if !detector.has_read(&target.key(), start) => {
                self.sends.give_up();
            }
            // A connection that broke was read by its target, or never will be.
            Ok(_) | Err(_) => self.sends.record_arrival(),
        }
        match result {
            Ok(received) => self.check_response(assignment, received, run, start),
            Err(failure) => {
                if failure.verdict() == verdict::Verdict::NotRun {
                    // The target did not receive the request.
                    self.sent -= 1;
                    self.refused += 1;
                }
                let is_local = matches!(
                    failure,
                    pool::Failure::Exhausted | pool::Failure::Full | pool::Failure::Closed
                );
                if failure == pool::Failure::Unreached {
                    assignment.record_unreached();
                }
                if !is_local {
                    assignment.record_failure();
                }
                let verdict = failure.verdict();
                match verdict {
                    verdict::Verdict::NotRun => run.discard(),
                    verdict::Verdict::MayHaveRun => run.fail(),
                }
                // A slow target does not end the request while there is time for another one.
                let reason = match failure {
                    pool::Failure::Timeout if request.remaining() > ATTEMPT_MIN => {
                        verdict::Reason::Lost
                    }
                    other => other.reason(),
                };
                let refusal = verdict::Refusal {
                    verdict,
                    reason,
                    retry: None,
                };
                Err(self.send_failure(&assignment, refusal, Some(failure)))
            }
        }
    }

    /// Records a failure and decides whether the request is sent to another target.
    pub fn decide_retry(
        &mut self,
        failure: verdict::Refusal,
        kind: budgets::RepeatKind,
    ) -> retry::Decision {
        let time = self.time_budget();
        let was_granted = self.attempts.is_granted();
        let failure = retry::Failure {
            refusal: failure,
            reached: self.reached,
            resumable: false,
        };
        self.in_flight = false;
        // The budget is charged only if another attempt will be made, or it would be exhausted for
        // all other requests.
        let can_continue = self.can_retry() && self.has_untried_target();
        let attempts = &mut self.attempts;
        let budgets = &self.gateway.budgets;
        let decision = budgets.with_budget(&self.service, |budget, now| match can_continue {
            true => attempts.decide(&failure, retry::TimeBudget { now, ..time }, budget),
            false => retry::Decision::GiveUp(attempts.record_failure(failure.refusal, now, budget)),
        });
        if !was_granted {
            self.record_decision(&decision, kind);
        }
        if let retry::Decision::GiveUp(refusal) = decision {
            let refusal = self
                .gateway
                .add_retry_after(&self.request, &self.service, refusal);
            return retry::Decision::GiveUp(refusal);
        }
        if self.attempts.cause() == retry::Cause::Budget {
            self.sends.charge();
        }
        self.gateway.metrics.resent.inc();
        decision
    }

    fn build_request(
        &self,
        assignment: &gateway::Assignment,
        inputs: Option<&Inputs>,
        after: Option<u64>,
    ) -> Request<bytes::Bytes> {
        let request = &self.request;
        let mut forwarded = Request::new(request.body.clone());
        *forwarded.method_mut() = request.method.clone();
        *forwarded.uri_mut() = request
            .path
            .parse()
            .expect("the path was parsed from a valid URI");
        *forwarded.headers_mut() = request.headers.clone();
        let fields = dialect::TargetHeaders {
            target: &assignment.target.name,
            team: request.team.as_ref(),
            remaining: request.remaining(),
            inputs: inputs.map(|i| i.handles.as_slice()),
            last_event: after,
            rank: request.rank,
        };
        self.gateway
            .dialect
            .rewrite_headers(forwarded.headers_mut(), &fields);
        forwarded
    }

    /// Returns the response of a target, or a failure if the target refused or failed.
    fn check_response(
        &mut self,
        mut assignment: gateway::Assignment,
        received: outbound::Received,
        run: crashes::run::Run,
        start: Instant,
    ) -> Result<TargetResponse, Failure> {
        let outbound::Received { response, head } = received;
        let status = response.head.status;
        event!(
            Info,
            "head",
            request = self.request.call.attempt,
            target = assignment.target.name,
            status = status.as_u16(),
            not_run = head.not_run,
            taken_ms = start.elapsed().as_millis()
        );
        let is_echoed = head.attempt.as_ref() == Some(&self.request.call.attempt);
        // A response to an earlier request on this connection, one that lacks the target's stamp,
        // or a change of the protocol that nobody asked for, must not reach the caller, and a refusal
        // in it proves nothing about this request. Whether this request has run is unknown.
        let is_unstamped = status.is_success() && !head.stamped;
        if !is_echoed || is_unstamped || status.is_informational() {
            assignment.record_failure();
            run.fail();
            let corrupt = may_have_run(verdict::Reason::Corrupt);
            return Err(self.send_failure(&assignment, corrupt, None));
        }
        assignment.record_load(&head);
        if head.misdirected {
            run.discard();
            self.sent -= 1;
            self.refused += 1;
            let refusal = not_run(verdict::Reason::WrongIncarnation);
            return Err(self.send_failure(&assignment, refusal, None));
        }
        if head.not_run {
            run.discard();
            self.refused += 1;
            if status == StatusCode::CONFLICT {
                return Err(Failure::InputsGone);
            }
            assignment.record_refusal();
            let refusal = not_run(verdict::Reason::Overloaded);
            return Err(self.send_failure(&assignment, refusal, None));
        }
        // A caller takes these statuses as proof that the request has not run, which this response
        // does not give.
        let not_run_statuses = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if not_run_statuses.contains(&status) {
            assignment.record_failure();
            run.fail();
            let refusal = may_have_run(verdict::Reason::TargetFailed);
            return Err(self.send_failure(&assignment, refusal, None));
        }
        Ok(TargetResponse {
            assignment,
            response,
            run,
            head,
        })
    }

    /// Logs a failed send; `failure` is that of the connection, if there was no response.
    fn send_failure(
        &self,
        assignment: &gateway::Assignment,
        refusal: verdict::Refusal,
        failure: Option<pool::Failure>,
    ) -> Failure {
        event!(
            Info,
            "send-failed",
            request = self.request.call.attempt,
            target = assignment.target.name,
            life = assignment.target.life,
            reason = refusal.reason,
            verdict = refusal.verdict,
            failure = failure.map_or("none", pool::Failure::name)
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
