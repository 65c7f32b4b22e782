//! An attempt, raced by a second one when it is a straggler.
//!
//! The first of the two that yields text has won; the other is cancelled. So the text that a caller
//! has seen always comes from one attempt, or from one that goes on after it.

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
        place,
        tries::Tries, //
    },
    links::pull,
    metrics,
    policy,
    routes, //
};

/// How a race ended.
pub(super) enum Ended {
    /// One attempt is whole.
    Whole(Box<Won>),
    /// All attempts failed; the verdict covers them all.
    Refused(verdict::Refusal),
    /// No attempt was made, and none can be.
    Unplaced(verdict::Refusal),
}

/// The attempt that is whole.
pub(super) struct Won {
    pub(super) whole: pull::Whole,
    pub(super) target: id::TargetName,
    /// Time since it was sent.
    pub(super) elapsed: time::Duration,
}

type Stepping = pin::Pin<Box<dyn Future<Output = pull::Step> + Send>>;

/// An attempt in flight.
struct Runner {
    stepping: Stepping,
    canceller: pull::Canceller,
    target: id::TargetName,
    begun: time::Instant,
    span: tracing::Span,
}

/// Attempts in flight, two at most.
struct Race {
    runners: Vec<Runner>,
    /// Time that the first was expected to take when it was sent.
    expected: time::Duration,
    /// Verdict on the attempts that have failed.
    verdict: verdict::Verdict,
    hedged: bool,
    /// When to think about a second attempt.
    check: Option<time::Instant>,
}

/// What happens next in a race.
enum Next {
    Step(usize, pull::Step),
    Check,
    GivenUp(verdict::Reason),
}

impl Driver {
    /// Makes an attempt, and a second one if the first is slow.
    pub(super) async fn race(&mut self, tries: &mut Tries<'_>) -> Ended {
        let place::Placed {
            ready,
            chosen,
            suspect,
        } = match self.place(tries).await {
            Ok(placed) => placed,
            Err(refusal) => return Ended::Unplaced(refusal),
        };
        let runner = match self.launch(tries, ready) {
            Ok(runner) => runner,
            Err(refusal) => return Ended::Refused(refusal),
        };
        let mut race = Race {
            runners: vec![runner],
            expected: chosen.expected,
            verdict: verdict::Verdict::NotRun,
            // A suspect that is slow to crash its target would crash a second one.
            hedged: !tries.idempotent || suspect,
            check: None,
        };
        loop {
            if !race.hedged {
                self.consider(tries, &mut race);
            }
            match self.next(tries, &mut race).await {
                Next::Step(index, step) => {
                    if let Some(ended) = self.advance(tries, &mut race, index, step) {
                        return ended;
                    }
                }
                Next::Check => {}
                Next::GivenUp(reason) => {
                    race.cancel();
                    return Ended::Refused(verdict::Refusal::may_have_run(reason));
                }
            }
        }
    }

    /// Sends an attempt.
    fn launch(
        &self,
        tries: &mut Tries<'_>,
        ready: pull::Ready,
    ) -> Result<Runner, verdict::Refusal> {
        let missing = verdict::Refusal::not_run(verdict::Reason::Lost);
        let target = ready.target().ok_or(missing)?;
        let span = tracing::info_span!(
            parent: &self.span,
            "attempt",
            otel.kind = "client",
            stage = tries.stage.name.as_str(),
            target = target.as_str(),
            attempt = %ready.attempt(),
        );
        let call = self.call(tries, &ready, &span);
        tries.tried.push(ready.addr());
        self.entry.policy.started(&tries.stage.service, &target);
        let pull = ready.send(call).map_err(refusal)?;
        Ok(Runner {
            canceller: pull.canceller(),
            stepping: Box::pin(pull.step().instrument(span.clone())),
            target,
            begun: time::Instant::now(),
            span,
        })
    }

    /// Sends a second attempt if it is time for one.
    fn consider(&self, tries: &mut Tries<'_>, race: &mut Race) {
        let now = time::Instant::now();
        if race.check.is_some_and(|check| now < check) {
            return;
        }
        let elapsed = race.runners[0].begun.elapsed();
        let head = &self.request.head;
        match self
            .entry
            .policy
            .hedge(head, tries.stage, elapsed, race.expected)
        {
            hedge::Decision::Wait(wait) => race.check = Some(now + wait),
            hedge::Decision::Never => race.hedged = true,
            hedge::Decision::Hedge => {
                race.hedged = true;
                // A second attempt that waits, or waits behind the first, would not win.
                let fits = |c: &routes::Chosen| c.is_free && !tries.tried.contains(&c.lane.addr);
                let other = self.choose(tries).filter(fits);
                let ready = other.and_then(|chosen| pull::Ready::new(&chosen.lane));
                let runner = ready.and_then(|ready| self.launch(tries, ready).ok());
                self.entry.metrics.hedges.inc_by(runner.is_some().into());
                race.runners.extend(runner);
            }
        }
    }

    async fn next(&self, tries: &Tries<'_>, race: &mut Race) -> Next {
        let check = race.check.filter(|_| !race.hedged);
        let checked = async {
            match check {
                Some(check) => time::sleep_until(check).await,
                None => std::future::pending().await,
            }
        };
        let steps = race.runners.iter_mut().map(|runner| &mut runner.stepping);
        tokio::select! {
            biased;
            (step, index, _) = future::select_all(steps) => Next::Step(index, step),
            reason = self.given_up(tries) => Next::GivenUp(reason),
            () = checked => Next::Check,
        }
    }

    /// Takes in a step; returns how the race ended, if it did.
    fn advance(
        &mut self,
        tries: &mut Tries<'_>,
        race: &mut Race,
        index: usize,
        step: pull::Step,
    ) -> Option<Ended> {
        match step {
            pull::Step::More(rest, text) => {
                let span = race.runners[index].span.clone();
                race.runners[index].stepping = Box::pin(rest.step().instrument(span));
                if !text.is_empty() {
                    race.win(index);
                    self.forward(tries, &text);
                }
                None
            }
            pull::Step::Whole(whole) => {
                let runner = race.win(index);
                // The agent keeps the result until it hears that it was received.
                tokio::spawn(runner.canceller.clone().cancel());
                let (target, elapsed) = (runner.target.clone(), runner.begun.elapsed());
                self.forward(tries, &whole.tail);
                self.measure(tries, &target, elapsed, None);
                Some(Ended::Whole(Box::new(Won {
                    whole,
                    target,
                    elapsed,
                })))
            }
            pull::Step::Refused(settled) => {
                let refusal = refusal(settled);
                let runner = race.runners.swap_remove(index);
                self.measure(tries, &runner.target, runner.begun.elapsed(), Some(refusal));
                race.verdict = race.verdict.combine(refusal.verdict);
                let verdict = race.verdict;
                race.runners
                    .is_empty()
                    .then_some(Ended::Refused(verdict::Refusal { verdict, ..refusal }))
            }
        }
    }

    fn measure(
        &self,
        tries: &Tries<'_>,
        target: &id::TargetName,
        elapsed: time::Duration,
        refusal: Option<verdict::Refusal>,
    ) {
        let service = &tries.stage.service;
        let ended = refusal.map_or(metrics::Ended::Whole, |r| r.verdict.into());
        self.entry.metrics.record_attempt(service, ended);
        self.entry.policy.ended(&policy::Ended {
            service,
            target,
            elapsed,
            refusal,
        });
    }

    /// Waits until the stage has lost its purpose.
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
    fn forward(&mut self, tries: &mut Tries<'_>, text: &str) {
        if tries.kind != bundle::Kind::Engine || text.is_empty() {
            return;
        }
        tries.received.push_str(text);
        if tries.streams {
            self.streamed = true;
            // Nobody listens if the caller has gone.
            let _ = self.events.send(Event::Piece(text.to_owned()));
        }
    }
}

impl Race {
    /// Cancels all attempts but one.
    fn win(&mut self, index: usize) -> &Runner {
        self.hedged = true;
        if self.runners.len() > 1 {
            self.runners.swap(0, index);
            for loser in self.runners.drain(1..) {
                tokio::spawn(loser.canceller.cancel());
            }
        }
        &self.runners[0]
    }

    fn cancel(self) {
        for runner in self.runners {
            tokio::spawn(runner.canceller.cancel());
        }
    }
}

fn refusal(settled: attempt::Settled) -> verdict::Refusal {
    let lost = verdict::Refusal::may_have_run(verdict::Reason::Lost);
    settled.refusal.unwrap_or(lost)
}
