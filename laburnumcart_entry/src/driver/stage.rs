//! Execution of one stage: attempts until one completes or no retry is allowed.

use serde::Serialize;
use serde_json::value;
use tokio::time;

use laburnumcart::{
    bundle,
    id,
    retry,
    unit,
    verdict, //
};
use laburnumcart_daemon::traces;
use laburnumcart_wire::stage;

use crate::{
    driver::{
        Driver,
        answer,
        progress::Progress, //
        race,
    },
    links::pull, //
};

/// Pause before a retry once every target was tried; doubles with each further retry.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Body of a call to a target.
#[derive(Serialize)]
struct Body<'a> {
    stage: &'a id::StageName,
    input: &'a value::RawValue,
    previous: Option<&'a value::RawValue>,
}

/// Position of a stage in its pipeline.
#[derive(Clone, Copy)]
pub(super) struct Position<'a> {
    pub(super) index: usize,
    pub(super) stage: &'a bundle::Stage,
    pub(super) is_last: bool,
}

impl Driver {
    /// Executes one stage, with retries, and returns its output.
    pub(super) async fn run_stage(
        &mut self,
        position: Position<'_>,
        previous: Option<&value::RawValue>,
    ) -> Result<Box<value::RawValue>, verdict::Refusal> {
        let mut progress = self.new_progress(position, previous)?;
        loop {
            let before = progress.received.len();
            let refusal = match self.race_attempts(&mut progress).await {
                race::Outcome::Complete(whole) => {
                    self.combine_verdict(verdict::Verdict::MayHaveRun);
                    return self.stage_output(progress, *whole);
                }
                race::Outcome::Refused(refusal) => refusal,
                race::Outcome::Unplaced(refusal) => return Err(refusal),
            };
            self.exchange_crash_facts(&progress, &refusal).await;
            let failure = retry::Failure {
                refusal,
                // A "not run" refusal comes from the agent, before its target received the call.
                reached: refusal.verdict == verdict::Verdict::MayHaveRun,
                resumable: progress.received.len() > before,
            };
            self.combine_verdict(refusal.verdict);
            self.await_retry(&mut progress, &failure).await?;
        }
    }

    fn new_progress<'a>(
        &self,
        position: Position<'a>,
        previous: Option<&value::RawValue>,
    ) -> Result<Progress<'a>, verdict::Refusal> {
        let head = &self.request.head;
        let invalid = verdict::Refusal::not_run(verdict::Reason::Invalid);
        let stage = position.stage;
        let service = head
            .rules
            .bundle
            .services
            .get(&stage.service)
            .ok_or(invalid)?;
        let body = Body {
            stage: &stage.name,
            input: &self.request.input,
            previous,
        };
        let idempotent = head.is_stage_idempotent(stage);
        Ok(Progress {
            stage,
            kind: service.kind,
            idempotent,
            streams: position.is_last && service.kind == bundle::Kind::Engine,
            body: value::to_raw_value(&body).map_err(|_| invalid)?,
            received: String::new(),
            tried: Vec::new(),
            needed: self.entry.policy.expected_rest(head, position.index),
            attempts: retry::Attempts::new(idempotent, self.verdict),
        })
    }

    /// Waits until the next attempt may be sent; fails if no retry is allowed.
    async fn await_retry(
        &self,
        progress: &mut Progress<'_>,
        failure: &retry::Failure,
    ) -> Result<(), verdict::Refusal> {
        let head = &self.request.head;
        let service = &progress.stage.service;
        let attempts = &mut progress.attempts;
        let policy = &self.entry.policy;
        let decision = policy.decide_retry(head, service, attempts, failure, progress.needed);
        if let retry::Decision::GiveUp(refusal) = decision {
            let retry = refusal.retry.or(failure.refusal.retry);
            return Err(verdict::Refusal { retry, ..refusal });
        }
        // A stream cannot be resumed after text that failed its integrity check.
        if failure.refusal.reason == verdict::Reason::Corrupt && !progress.received.is_empty() {
            return Err(failure.refusal);
        }
        let repeats = progress
            .tried
            .len()
            .saturating_sub(self.target_count(progress))
            .min(5) as u32;
        if repeats > 0 {
            time::sleep((RETRY_PAUSE * 2u32.pow(repeats)).min(head.remaining())).await;
        }
        Ok(())
    }

    /// Returns the number of targets of the stage's service.
    fn target_count(&self, progress: &Progress<'_>) -> usize {
        let view = self.entry.view.load();
        let routes = view.routes.get(&progress.stage.service);
        routes.map_or(0, |routes| routes.lanes().len())
    }

    /// Builds the call of an attempt.
    pub(super) fn build_call(
        &self,
        progress: &Progress<'_>,
        prepared: &pull::Prepared,
        span: &tracing::Span,
    ) -> stage::Call {
        let head = &self.request.head;
        let parent = traces::outgoing_parent(span, head.traceparent.as_ref());
        stage::Call {
            session: prepared.session(),
            incarnation: prepared.incarnation(),
            request: head.id,
            attempt: prepared.attempt(),
            team: head.team.clone(),
            pipeline: head.pipeline.clone(),
            stage: progress.stage.name.clone(),
            generation: head.rules.generation,
            fingerprint: self.request.fingerprint,
            priority: head.priority,
            idempotent: progress.idempotent,
            remaining: unit::Period(head.remaining()),
            traceparent: parent.map(|parent| parent.to_string()),
            received: (!progress.received.is_empty()).then(|| progress.received.clone()),
            body: progress.body.clone(),
        }
    }

    /// Records a complete result and returns the output of the stage.
    fn stage_output(
        &mut self,
        progress: Progress<'_>,
        winner: race::Winner,
    ) -> Result<Box<value::RawValue>, verdict::Refusal> {
        let end = winner.result.end;
        let head = &self.request.head;
        let policy = &self.entry.policy;
        policy.record_duration(head, &progress.stage.name, end.busy.0, winner.elapsed);
        self.entry
            .metrics
            .record_stage_time(&progress.stage.service, &end);
        self.reports.push(answer::StageReport {
            name: progress.stage.name.clone(),
            target: winner.target,
            attempts: progress.tried.len().try_into().unwrap_or(u32::MAX),
            busy: end.busy,
            queued: end.queued,
        });
        let output = match progress.kind {
            bundle::Kind::Engine => {
                let text = progress.received;
                value::to_raw_value(&serde_json::json!({ "text": text }))
            }
            bundle::Kind::Pool => value::RawValue::from_string(winner.result.text),
        };
        output.map_err(|_| verdict::Refusal::may_have_run(verdict::Reason::Corrupt))
    }
}
