//! One stage of a request: its attempts until one is whole or no further is allowed.

use std::net;

use serde::Serialize;
use serde_json::value;
use tokio::time;

use laburnumcart::{
    attempt,
    bundle,
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::stage;

use crate::{
    driver::{
        Driver,
        Event,
        account, //
    },
    links::pull,
    metrics, //
};

/// Most attempts of one stage that end as "may have run".
const DOUBTS_MAX: u32 = 2;

/// Most attempts of one stage in all.
const TRIES_MAX: u32 = 8;

/// Pause before the second try of the same targets; doubles with each.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// Longest wait for a first target to appear.
const APPEAR: time::Duration = time::Duration::from_millis(500);

/// Body of a call as targets expect it.
#[derive(Serialize)]
struct Body<'a> {
    stage: &'a id::StageName,
    input: &'a value::RawValue,
    previous: Option<&'a value::RawValue>,
}

/// Progress of one stage over its attempts.
struct Tries<'a> {
    stage: &'a bundle::Stage,
    kind: bundle::Kind,
    idempotent: bool,
    /// Whether the text goes to the caller as it comes.
    streams: bool,
    body: Box<value::RawValue>,
    /// Text that earlier attempts have received; engines only.
    received: String,
    tried: Vec<net::SocketAddr>,
    doubts: u32,
}

/// How one attempt ended.
enum Ended {
    Whole(pull::Whole, id::TargetName),
    Refused(verdict::Refusal),
}

impl Driver {
    /// Runs one stage and returns its output.
    pub(super) async fn stage(
        &mut self,
        stage: &bundle::Stage,
        previous: Option<&value::RawValue>,
        last: bool,
    ) -> Result<Box<value::RawValue>, verdict::Refusal> {
        let mut tries = self.tries(stage, previous, last)?;
        loop {
            let ended = self.attempt(&mut tries).await;
            self.measure(stage, &ended);
            let refusal = match ended {
                Ended::Whole(whole, target) => {
                    self.note(verdict::Verdict::MayHaveRun);
                    return self.finish(tries, whole, target);
                }
                Ended::Refused(refusal) => refusal,
            };
            self.note(refusal.verdict);
            if !tries.again(refusal) {
                return Err(refusal);
            }
            self.pause(&tries, refusal).await?;
        }
    }

    fn measure(&self, stage: &bundle::Stage, ended: &Ended) {
        let metrics = &self.entry.metrics;
        match ended {
            Ended::Whole(whole, _) => {
                metrics.attempt(&stage.service, metrics::Ended::Whole);
                metrics.cost(&stage.service, &whole.end);
            }
            Ended::Refused(refusal) => {
                metrics.attempt(&stage.service, refusal.verdict.into());
            }
        }
    }

    fn tries<'a>(
        &self,
        stage: &'a bundle::Stage,
        previous: Option<&value::RawValue>,
        last: bool,
    ) -> Result<Tries<'a>, verdict::Refusal> {
        let head = &self.request.head;
        let invalid = verdict::Refusal::not_run(verdict::Reason::Invalid);
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
        Ok(Tries {
            stage,
            kind: service.kind,
            idempotent: head.stage_idempotent(stage),
            streams: last && service.kind == bundle::Kind::Engine,
            body: value::to_raw_value(&body).map_err(|_| invalid)?,
            received: String::new(),
            tried: Vec::new(),
            doubts: 0,
        })
    }

    /// Makes one attempt on one target.
    async fn attempt(&mut self, tries: &mut Tries<'_>) -> Ended {
        let Some(ready) = self.ready(tries).await else {
            return Ended::Refused(verdict::Refusal::not_run(verdict::Reason::NoTarget));
        };
        let Some(target) = ready.target() else {
            return Ended::Refused(verdict::Refusal::not_run(verdict::Reason::NoTarget));
        };
        let call = self.call(tries, &ready);
        tries.tried.push(ready.addr());
        let pull = match ready.send(call) {
            Ok(pull) => pull,
            Err(settled) => return Ended::from(settled),
        };
        self.pull(tries, pull, target).await
    }

    /// Waits for a target, for a short time only.
    async fn ready(&self, tries: &Tries<'_>) -> Option<pull::Ready> {
        let until = self
            .request
            .head
            .deadline
            .min(time::Instant::now() + APPEAR);
        loop {
            let view = self.entry.view.load();
            let routes = view.routes.get(&tries.stage.service);
            let lane = routes.and_then(|routes| routes.choose(&tries.tried, None));
            if let Some(ready) = lane.as_ref().and_then(pull::Ready::new) {
                return Some(ready);
            }
            if time::Instant::now() >= until {
                return None;
            }
            time::sleep(PAUSE).await;
        }
    }

    fn call(&self, tries: &Tries<'_>, ready: &pull::Ready) -> stage::Call {
        let head = &self.request.head;
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
            traceparent: head.traceparent.clone(),
            received: (!tries.received.is_empty()).then(|| tries.received.clone()),
            body: tries.body.clone(),
        }
    }

    /// Reads a result to its end, the deadline, or the caller's going away.
    async fn pull(
        &mut self,
        tries: &mut Tries<'_>,
        mut pull: pull::Pull,
        target: id::TargetName,
    ) -> Ended {
        let canceller = pull.canceller();
        loop {
            let step = tokio::select! {
                biased;
                step = pull.step() => step,
                reason = self.given_up(tries) => {
                    tokio::spawn(canceller.cancel());
                    return Ended::Refused(verdict::Refusal::may_have_run(reason));
                }
            };
            match step {
                pull::Step::More(rest, text) => {
                    self.forward(tries, &text);
                    pull = rest;
                }
                pull::Step::Whole(whole) => {
                    self.forward(tries, &whole.tail);
                    return Ended::Whole(whole, target);
                }
                pull::Step::Refused(settled) => return Ended::from(settled),
            }
        }
    }

    /// Waits until the attempt has lost its purpose.
    async fn given_up(&self, tries: &Tries<'_>) -> verdict::Reason {
        let deadline = time::sleep_until(self.request.head.deadline);
        if !self.request.head.idempotent || !tries.idempotent {
            // A caller that went away sends again and must find the answer of the one execution.
            deadline.await;
            return verdict::Reason::DeadlineExceeded;
        }
        tokio::select! {
            () = deadline => verdict::Reason::DeadlineExceeded,
            () = self.events.closed() => verdict::Reason::Cancelled,
        }
    }

    /// Keeps new text of an engine for a resumption and passes it to the caller.
    fn forward(&self, tries: &mut Tries<'_>, text: &str) {
        if tries.kind != bundle::Kind::Engine || text.is_empty() {
            return;
        }
        tries.received.push_str(text);
        if tries.streams {
            let _ = self.events.send(Event::Piece(text.to_owned()));
        }
    }

    /// Turns a whole result into the stage's output.
    fn finish(
        &mut self,
        tries: Tries<'_>,
        whole: pull::Whole,
        target: id::TargetName,
    ) -> Result<Box<value::RawValue>, verdict::Refusal> {
        self.accounts.push(account::Account {
            name: tries.stage.name.clone(),
            target,
            attempts: tries.tried.len().try_into().unwrap_or(u32::MAX),
            busy: whole.end.busy,
            queued: whole.end.queued,
        });
        let output = match tries.kind {
            bundle::Kind::Engine => {
                let text = tries.received;
                value::to_raw_value(&serde_json::json!({ "text": text }))
            }
            bundle::Kind::Pool => value::RawValue::from_string(whole.text),
        };
        output.map_err(|_| verdict::Refusal::may_have_run(verdict::Reason::Corrupt))
    }

    /// Waits before the next try; fails when the deadline comes first.
    async fn pause(
        &self,
        tries: &Tries<'_>,
        refusal: verdict::Refusal,
    ) -> Result<(), verdict::Refusal> {
        let step = tries.tried.len().saturating_sub(1).min(5) as u32;
        let pause = if tries.tried.is_empty() {
            PAUSE
        } else {
            PAUSE * 2u32.pow(step)
        };
        if pause >= self.remaining() {
            return Err(refusal);
        }
        time::sleep(pause).await;
        Ok(())
    }
}

impl Tries<'_> {
    /// Decides whether another attempt is allowed after this refusal.
    fn again(&mut self, refusal: verdict::Refusal) -> bool {
        if is_final(refusal.reason) || self.tried.len() as u32 >= TRIES_MAX {
            return false;
        }
        if refusal.verdict == verdict::Verdict::NotRun {
            return true;
        }
        self.doubts += 1;
        self.idempotent && self.doubts <= DOUBTS_MAX
    }
}

impl From<attempt::Settled> for Ended {
    fn from(settled: attempt::Settled) -> Self {
        let refusal = settled.refusal;
        let lost = verdict::Refusal::may_have_run(verdict::Reason::Lost);
        Self::Refused(refusal.unwrap_or(lost))
    }
}

/// Returns whether another target would refuse for the same reason.
fn is_final(reason: verdict::Reason) -> bool {
    matches!(
        reason,
        verdict::Reason::Invalid
            | verdict::Reason::TargetRefused
            | verdict::Reason::DeadlineExceeded
            | verdict::Reason::Cancelled
            | verdict::Reason::Quarantined
            | verdict::Reason::NoTarget
    )
}
