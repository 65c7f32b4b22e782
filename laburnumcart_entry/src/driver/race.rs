//! Hedged attempts: a straggler is raced against a second attempt.
//!
//! The first attempt that yields text wins and the other is cancelled. The caller therefore never
//! sees text of two attempts mixed, only that of one or of one that resumes after it.

use std::pin;

use futures_util::future;
use tokio::time;
use tracing::Instrument;

use laburnumcart::{
    attempt,
    bundle,
    hedge,
    id,
    verdict, //
};

use crate::{
    driver::{
        Driver,
        Event,
        placement,
        progress::Progress, //
    },
    links::pull,
    metrics,
    policy,
    routes, //
};

/// Outcome of a race.
pub(super) enum Outcome {
    /// One attempt has a complete result.
    Complete(Box<Winner>),
    /// All attempts failed; the verdict combines theirs.
    Refused(verdict::Refusal),
    /// No attempt was sent, and the stage is not retried.
    Unplaced(verdict::Refusal),
}

/// Attempt that won the race.
pub(super) struct Winner {
    pub(super) result: pull::Completed,
    pub(super) target: id::TargetName,
    /// Time from dispatch to the complete result.
    pub(super) elapsed: time::Duration,
}

type StepFuture = pin::Pin<Box<dyn Future<Output = pull::Step> + Send>>;

/// An attempt in flight.
struct InFlight {
    next_step: StepFuture,
    canceller: pull::Canceller,
    target: id::TargetName,
    sent_at: time::Instant,
    span: tracing::Span,
}

/// Attempts in flight, at most two.
struct Race {
    attempts: Vec<InFlight>,
    /// Duration of the first attempt as estimated at its dispatch.
    expected: time::Duration,
    /// Combined verdict on the failed attempts.
    verdict: verdict::Verdict,
    /// Whether no hedge may be sent any more.
    hedging_done: bool,
    /// When to consider a hedge again.
    next_check: Option<time::Instant>,
}

/// Next event of a race.
enum RaceEvent {
    Step(usize, pull::Step),
    CheckHedge,
    Abandoned(verdict::Reason),
}

impl Driver {
    /// Sends an attempt, and a hedge if it is a straggler; returns the outcome of both.
    pub(super) async fn race_attempts(&mut self, progress: &mut Progress<'_>) -> Outcome {
        let placement::Placement {
            prepared,
            chosen,
            suspect,
        } = match self.place_attempt(progress).await {
            Ok(placement) => placement,
            Err(refusal) => return Outcome::Unplaced(refusal),
        };
        let attempt = match self.send_attempt(progress, prepared) {
            Ok(attempt) => attempt,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        let mut race = Race {
            attempts: vec![attempt],
            expected: chosen.expected,
            verdict: verdict::Verdict::NotRun,
            // A hedge of suspect content could crash a second target.
            hedging_done: !progress.idempotent || suspect,
            next_check: None,
        };
        loop {
            if !race.hedging_done {
                self.hedge_if_slow(progress, &mut race);
            }
            match self.next_event(progress, &mut race).await {
                RaceEvent::Step(index, step) => {
                    if let Some(outcome) = self.handle_step(progress, &mut race, index, step) {
                        return outcome;
                    }
                }
                RaceEvent::CheckHedge => {}
                RaceEvent::Abandoned(reason) => {
                    race.cancel_all();
                    return Outcome::Refused(verdict::Refusal::may_have_run(reason));
                }
            }
        }
    }

    /// Starts an attempt and records it as sent.
    fn send_attempt(
        &self,
        progress: &mut Progress<'_>,
        prepared: pull::Prepared,
    ) -> Result<InFlight, verdict::Refusal> {
        let missing = verdict::Refusal::not_run(verdict::Reason::Lost);
        let target = prepared.target().ok_or(missing)?;
        let span = tracing::info_span!(
            parent: &self.span,
            "attempt",
            otel.kind = "client",
            stage = progress.stage.name.as_str(),
            target = target.as_str(),
            attempt = %prepared.attempt(),
        );
        let call = self.build_call(progress, &prepared, &span);
        progress.tried.push(prepared.addr());
        self.entry
            .policy
            .record_sent(&progress.stage.service, &target);
        let pull = prepared.send(call).map_err(refusal)?;
        Ok(InFlight {
            canceller: pull.canceller(),
            next_step: Box::pin(pull.step().instrument(span.clone())),
            target,
            sent_at: time::Instant::now(),
            span,
        })
    }

    /// Sends a hedge if the policy allows one now.
    fn hedge_if_slow(&self, progress: &mut Progress<'_>, race: &mut Race) {
        let now = time::Instant::now();
        if race.next_check.is_some_and(|check| now < check) {
            return;
        }
        let elapsed = race.attempts[0].sent_at.elapsed();
        let head = &self.request.head;
        match self
            .entry
            .policy
            .decide_hedge(head, progress.stage, elapsed, race.expected)
        {
            hedge::Decision::Wait(wait) => race.next_check = Some(now + wait),
            hedge::Decision::Never => race.hedging_done = true,
            hedge::Decision::Hedge => {
                race.hedging_done = true;
                // A hedge that has to queue, or goes to the same target, would not win.
                let fits = |c: &routes::Chosen| c.is_free && !progress.tried.contains(&c.lane.addr);
                let other = self.choose_target(progress).filter(fits);
                let prepared = other.and_then(|chosen| pull::Prepared::new(&chosen.lane));
                let attempt =
                    prepared.and_then(|prepared| self.send_attempt(progress, prepared).ok());
                self.entry.metrics.hedges.inc_by(attempt.is_some().into());
                race.attempts.extend(attempt);
            }
        }
    }

    async fn next_event(&self, progress: &Progress<'_>, race: &mut Race) -> RaceEvent {
        let check = race.next_check.filter(|_| !race.hedging_done);
        let checked = async {
            match check {
                Some(check) => time::sleep_until(check).await,
                None => std::future::pending().await,
            }
        };
        let steps = race
            .attempts
            .iter_mut()
            .map(|attempt| &mut attempt.next_step);
        tokio::select! {
            biased;
            (step, index, _) = future::select_all(steps) => RaceEvent::Step(index, step),
            reason = self.abandoned(progress) => RaceEvent::Abandoned(reason),
            () = checked => RaceEvent::CheckHedge,
        }
    }

    /// Applies a step of an attempt; returns the outcome if the race has ended.
    fn handle_step(
        &mut self,
        progress: &mut Progress<'_>,
        race: &mut Race,
        index: usize,
        step: pull::Step,
    ) -> Option<Outcome> {
        match step {
            pull::Step::More(rest, text) => {
                let span = race.attempts[index].span.clone();
                race.attempts[index].next_step = Box::pin(rest.step().instrument(span));
                if !text.is_empty() {
                    race.cancel_losers(index);
                    self.forward_text(progress, &text);
                }
                None
            }
            pull::Step::Complete(completed) => {
                let attempt = race.cancel_losers(index);
                // Acknowledges the result, which the agent keeps until then.
                tokio::spawn(attempt.canceller.clone().cancel());
                let (target, elapsed) = (attempt.target.clone(), attempt.sent_at.elapsed());
                self.forward_text(progress, &completed.tail);
                self.record_attempt(progress, &target, elapsed, None);
                Some(Outcome::Complete(Box::new(Winner {
                    result: completed,
                    target,
                    elapsed,
                })))
            }
            pull::Step::Refused(settled) => {
                let refusal = refusal(settled);
                let attempt = race.attempts.swap_remove(index);
                self.record_attempt(
                    progress,
                    &attempt.target,
                    attempt.sent_at.elapsed(),
                    Some(refusal),
                );
                race.verdict = race.verdict.combine(refusal.verdict);
                let verdict = race.verdict;
                race.attempts
                    .is_empty()
                    .then_some(Outcome::Refused(verdict::Refusal { verdict, ..refusal }))
            }
        }
    }

    fn record_attempt(
        &self,
        progress: &Progress<'_>,
        target: &id::TargetName,
        elapsed: time::Duration,
        refusal: Option<verdict::Refusal>,
    ) {
        let service = &progress.stage.service;
        let outcome = refusal.map_or(metrics::Ended::Whole, |r| r.verdict.into());
        self.entry.metrics.record_attempt(service, outcome);
        self.entry.policy.record_end(&policy::AttemptEnd {
            service,
            target,
            elapsed,
            refusal,
        });
    }

    /// Waits for the deadline or, if the request may be cancelled, for the caller to disconnect.
    async fn abandoned(&self, progress: &Progress<'_>) -> verdict::Reason {
        let deadline = time::sleep_until(self.request.head.deadline);
        if !self.request.head.idempotent || !progress.idempotent {
            // A caller that disconnected may resend, and must get the answer of the one execution.
            deadline.await;
            return verdict::Reason::DeadlineExceeded;
        }
        tokio::select! {
            () = deadline => verdict::Reason::DeadlineExceeded,
            () = self.events.closed() => verdict::Reason::Cancelled,
        }
    }

    /// Stores new text of an engine, to resume after it, and streams it to the caller.
    fn forward_text(&mut self, progress: &mut Progress<'_>, text: &str) {
        if progress.kind != bundle::Kind::Engine || text.is_empty() {
            return;
        }
        progress.received.push_str(text);
        if progress.streams {
            self.streamed = true;
            // The receiver is closed if the caller has disconnected.
            let _ = self.events.send(Event::Piece(text.to_owned()));
        }
    }
}

impl Race {
    /// Cancels all attempts but that at `index` and returns it.
    fn cancel_losers(&mut self, index: usize) -> &InFlight {
        self.hedging_done = true;
        if self.attempts.len() > 1 {
            self.attempts.swap(0, index);
            for loser in self.attempts.drain(1..) {
                tokio::spawn(loser.canceller.cancel());
            }
        }
        &self.attempts[0]
    }

    fn cancel_all(self) {
        for attempt in self.attempts {
            tokio::spawn(attempt.canceller.cancel());
        }
    }
}

fn refusal(settled: attempt::Settled) -> verdict::Refusal {
    let lost = verdict::Refusal::may_have_run(verdict::Reason::Lost);
    settled.refusal.unwrap_or(lost)
}
