//! One stage of a request: its attempts until one is whole or no further is allowed.

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
        account,
        race,
        tries::Tries, //
    },
    links::pull, //
};

/// Pause before a try after every target was tried; doubles with each further one.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// Body of a call as targets expect it.
#[derive(Serialize)]
struct Body<'a> {
    stage: &'a id::StageName,
    input: &'a value::RawValue,
    previous: Option<&'a value::RawValue>,
}

/// A stage within its pipeline.
#[derive(Clone, Copy)]
pub(super) struct Place<'a> {
    pub(super) index: usize,
    pub(super) stage: &'a bundle::Stage,
    pub(super) last: bool,
}

impl Driver {
    /// Runs one stage and returns its output.
    pub(super) async fn stage(
        &mut self,
        place: Place<'_>,
        previous: Option<&value::RawValue>,
    ) -> Result<Box<value::RawValue>, verdict::Refusal> {
        let mut tries = self.tries(place, previous)?;
        loop {
            let before = tries.received.len();
            let refusal = match self.race(&mut tries).await {
                race::Ended::Whole(whole) => {
                    self.note(verdict::Verdict::MayHaveRun);
                    return self.finish(tries, *whole);
                }
                race::Ended::Refused(refusal) => refusal,
                race::Ended::Unplaced(refusal) => return Err(refusal),
            };
            self.learn(&tries, &refusal).await;
            let failure = retry::Failure {
                refusal,
                // Agents refuse before their target gets anything.
                reached: refusal.verdict == verdict::Verdict::MayHaveRun,
                resumable: tries.received.len() > before,
            };
            self.note(refusal.verdict);
            self.again(&mut tries, &failure).await?;
        }
    }

    fn tries<'a>(
        &self,
        place: Place<'a>,
        previous: Option<&value::RawValue>,
    ) -> Result<Tries<'a>, verdict::Refusal> {
        let head = &self.request.head;
        let invalid = verdict::Refusal::not_run(verdict::Reason::Invalid);
        let stage = place.stage;
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
        let idempotent = head.stage_idempotent(stage);
        Ok(Tries {
            stage,
            kind: service.kind,
            idempotent,
            streams: place.last && service.kind == bundle::Kind::Engine,
            body: value::to_raw_value(&body).map_err(|_| invalid)?,
            received: String::new(),
            tried: Vec::new(),
            needed: self.entry.policy.rest(head, place.index),
            attempts: retry::Attempts::new(idempotent, self.verdict),
        })
    }

    /// Decides on another attempt and waits for its time.
    async fn again(
        &self,
        tries: &mut Tries<'_>,
        failure: &retry::Failure,
    ) -> Result<(), verdict::Refusal> {
        let head = &self.request.head;
        let service = &tries.stage.service;
        let attempts = &mut tries.attempts;
        let policy = &self.entry.policy;
        let decision = policy.retry(head, service, attempts, failure, tries.needed);
        if let retry::Decision::GiveUp(refusal) = decision {
            let retry = refusal.retry.or(failure.refusal.retry);
            return Err(verdict::Refusal { retry, ..refusal });
        }
        // Text of an attempt whose result was found broken cannot be gone on after.
        if failure.refusal.reason == verdict::Reason::Corrupt && !tries.received.is_empty() {
            return Err(failure.refusal);
        }
        let again = tries.tried.len().saturating_sub(self.width(tries)).min(5) as u32;
        if again > 0 {
            time::sleep((PAUSE * 2u32.pow(again)).min(head.remaining())).await;
        }
        Ok(())
    }

    /// Returns the number of targets there are.
    fn width(&self, tries: &Tries<'_>) -> usize {
        let view = self.entry.view.load();
        let routes = view.routes.get(&tries.stage.service);
        routes.map_or(0, |routes| routes.lanes().len())
    }

    /// Writes the call of an attempt.
    pub(super) fn call(
        &self,
        tries: &Tries<'_>,
        ready: &pull::Ready,
        span: &tracing::Span,
    ) -> stage::Call {
        let head = &self.request.head;
        let parent = traces::outgoing_parent(span, head.traceparent.as_ref());
        stage::Call {
            session: ready.session(),
            incarnation: ready.incarnation(),
            request: head.id,
            attempt: ready.attempt(),
            team: head.team.clone(),
            pipeline: head.pipeline.clone(),
            stage: tries.stage.name.clone(),
            generation: head.rules.generation,
            fingerprint: self.request.fingerprint,
            priority: head.priority,
            idempotent: tries.idempotent,
            remaining: unit::Period(head.remaining()),
            traceparent: parent.map(|parent| parent.to_string()),
            received: (!tries.received.is_empty()).then(|| tries.received.clone()),
            body: tries.body.clone(),
        }
    }

    /// Turns a whole result into the stage's output.
    fn finish(
        &mut self,
        tries: Tries<'_>,
        won: race::Won,
    ) -> Result<Box<value::RawValue>, verdict::Refusal> {
        let end = won.whole.end;
        let head = &self.request.head;
        let policy = &self.entry.policy;
        policy.took(head, &tries.stage.name, end.busy.0, won.elapsed);
        self.entry.metrics.cost(&tries.stage.service, &end);
        self.accounts.push(account::Account {
            name: tries.stage.name.clone(),
            target: won.target,
            attempts: tries.tried.len().try_into().unwrap_or(u32::MAX),
            busy: end.busy,
            queued: end.queued,
        });
        let output = match tries.kind {
            bundle::Kind::Engine => {
                let text = tries.received;
                value::to_raw_value(&serde_json::json!({ "text": text }))
            }
            bundle::Kind::Pool => value::RawValue::from_string(won.whole.text),
        };
        output.map_err(|_| verdict::Refusal::may_have_run(verdict::Reason::Corrupt))
    }
}
