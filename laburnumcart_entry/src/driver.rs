//! Runs the stages of one request, each on a target of its service.

pub mod account;
mod place;
mod race;
mod stage;
mod tries;

use std::sync::Arc;

use serde_json::value;
use tokio::sync::mpsc;

use laburnumcart::{
    bundle,
    verdict, //
};
use laburnumcart_daemon::{
    stop,
    traces, //
};

use crate::{
    claimed,
    entry,
    metrics::{
        self,
        cost, //
    },
    policy,
    request, //
};

/// What a caller is told while its request runs.
#[derive(Debug)]
pub enum Event {
    /// A piece of the last stage's text.
    Piece(String),
    /// The final answer; nothing follows. The request is in flight until it was written.
    End(Outcome, stop::Work),
}

/// Final answer of a request: the JSON text of its body, or a refusal.
pub type Outcome = Result<String, verdict::Refusal>;

/// A request that runs in a task of its own.
///
/// The channel is not bounded: it holds at most one result, which the driver holds anyway, and a
/// caller that reads slowly must not keep others' work waiting at the agent.
#[derive(Debug)]
pub struct Driven {
    /// Pieces and the end.
    pub events: mpsc::UnboundedReceiver<Event>,
}

/// Starts a request on the traffic runtime.
pub fn start(
    entry: &Arc<entry::Entry>,
    request: request::Request,
    mut admitted: policy::Admitted,
    work: stop::Work,
) -> Driven {
    let head = &request.head;
    let span = tracing::info_span!(
        "request",
        otel.kind = "server",
        request = %head.id,
        team = head.team.as_str(),
        pipeline = head.pipeline.as_str(),
    );
    traces::set_parent(&span, head.traceparent.as_ref());
    let (sender, events) = mpsc::unbounded_channel();
    let mut driver = Driver {
        entry: entry.clone(),
        request,
        events: sender,
        accounts: Vec::new(),
        verdict: verdict::Verdict::NotRun,
        streamed: false,
        span,
    };
    entry.traffic.spawn(async move {
        driver.entry.metrics.running.inc();
        let outcome = driver.answer().await;
        driver.entry.metrics.running.dec();
        driver.count(&outcome);
        admitted.end(outcome.as_ref().err());
        drop(admitted);
        // Nobody listens if the caller has gone.
        let _ = driver.events.send(Event::End(outcome, work));
    });
    Driven { events }
}

/// State of a request that runs.
#[derive(Debug)]
struct Driver {
    entry: Arc<entry::Entry>,
    request: request::Request,
    events: mpsc::UnboundedSender<Event>,
    accounts: Vec<account::Account>,
    /// Whether anything of the request may have executed so far.
    verdict: verdict::Verdict,
    /// Whether pieces of the answer went to the caller.
    streamed: bool,
    span: tracing::Span,
}

impl Driver {
    /// Runs the request, under a claim if it must execute at most once.
    async fn answer(&mut self) -> Outcome {
        if self.request.head.idempotent {
            return self.run().await;
        }
        let (entry, head) = (self.entry.clone(), self.request.head.clone());
        let content = self.request.fingerprint;
        let outcome = claimed::run(&entry, &head, content, self.run()).await;
        if let Ok(body) = &outcome {
            self.replay(body);
        }
        outcome
    }

    /// Sends the text of a kept answer as one piece.
    ///
    /// The pieces went to whoever sent the request first. A caller that sends it again and shows
    /// the pieces would show nothing of the answer.
    fn replay(&self, body: &str) {
        let head = &self.request.head;
        let bundle = &head.rules.bundle;
        let last = bundle.pipelines[&head.pipeline].stages.last();
        let service = last.and_then(|stage| bundle.services.get(&stage.service));
        let is_text = service.is_some_and(|service| service.kind == bundle::Kind::Engine);
        if !self.streamed
            && is_text
            && let Some(text) = account::generated(body)
        {
            // Nobody listens if the caller has gone.
            let _ = self.events.send(Event::Piece(text));
        }
    }

    async fn run(&mut self) -> Outcome {
        let rules = self.request.head.rules.clone();
        let stages = &rules.bundle.pipelines[&self.request.head.pipeline].stages;
        let mut previous: Option<Box<value::RawValue>> = None;
        for (index, stage) in stages.iter().enumerate() {
            let place = stage::Place {
                index,
                stage,
                last: index + 1 == stages.len(),
            };
            let output = self.stage(place, previous.as_deref()).await;
            previous = Some(output.map_err(|refusal| self.judge(refusal))?);
        }
        account::Answer::text(&self.request.head, previous, &self.accounts)
    }

    fn count(&self, outcome: &Outcome) {
        let head = &self.request.head;
        let ended = match outcome {
            Ok(_) if head.remaining().is_zero() => metrics::Ended::Late,
            Ok(_) => metrics::Ended::Whole,
            Err(refusal) => refusal.verdict.into(),
        };
        let took = head.arrived.elapsed();
        let metrics = &self.entry.metrics;
        metrics.request(&head.team, &head.pipeline, ended, took);
        let spent = match ended {
            metrics::Ended::Whole => cost::Spent::Useful,
            _ => cost::Spent::Wasted,
        };
        for account in &self.accounts {
            let cost = &metrics.cost;
            cost.add(&head.team, &account.name, spent, account.busy);
        }
    }

    /// Widens the verdict on one stage to the whole request and says when to come again.
    fn judge(&self, mut refusal: verdict::Refusal) -> verdict::Refusal {
        refusal.verdict = refusal.verdict.combine(self.verdict);
        refusal.retry = refusal.retry.or(Some(RETRY));
        refusal
    }

    /// Remembers what an attempt's end proves.
    fn note(&mut self, verdict: verdict::Verdict) {
        self.verdict = self.verdict.combine(verdict);
    }
}

/// When a caller should come again if nothing better is known.
const RETRY: laburnumcart::unit::Period = laburnumcart::unit::Period::from_secs(1);
