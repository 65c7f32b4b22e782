//! Execution of a request: runs its stages in order, each on a target of its service.

pub mod answer;
mod placement;
mod progress;
mod race;
mod stage;

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
    at_most_once,
    entry,
    metrics::{
        self,
        cost, //
    },
    policy,
    request, //
};

/// Events of a request in flight, for its caller.
#[derive(Debug)]
pub enum Event {
    /// Part of the last stage's text.
    Piece(String),
    /// The final answer; no event follows. The request stays in flight until `Work` is dropped,
    /// which the receiver does after writing the answer.
    End(Outcome, stop::Work),
}

/// Outcome of a request: the JSON body of its answer, or a refusal.
pub type Outcome = Result<String, verdict::Refusal>;

/// Handle of a request that runs in its own task.
///
/// The channel is unbounded: it holds at most one result, which the driver keeps anyway, and a slow
/// caller must not block an agent that others use.
#[derive(Debug)]
pub struct Execution {
    /// Events in order, ending with [`Event::End`].
    pub events: mpsc::UnboundedReceiver<Event>,
}

/// Starts a request in a task on the traffic runtime.
pub fn start(
    entry: &Arc<entry::Entry>,
    request: request::Request,
    mut admitted: policy::Admitted,
    work: stop::Work,
) -> Execution {
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
        reports: Vec::new(),
        verdict: verdict::Verdict::NotRun,
        streamed: false,
        span,
    };
    entry.traffic.spawn(async move {
        driver.entry.metrics.running.inc();
        let outcome = driver.execute().await;
        driver.entry.metrics.running.dec();
        driver.record_metrics(&outcome);
        admitted.set_outcome(outcome.as_ref().err());
        drop(admitted);
        // The receiver is closed if the caller has disconnected.
        let _ = driver.events.send(Event::End(outcome, work));
    });
    Execution { events }
}

/// State of a request in flight.
#[derive(Debug)]
struct Driver {
    entry: Arc<entry::Entry>,
    request: request::Request,
    events: mpsc::UnboundedSender<Event>,
    reports: Vec<answer::StageReport>,
    /// Whether any part of the request may have executed so far.
    verdict: verdict::Verdict,
    /// Whether any piece was sent to the caller.
    streamed: bool,
    span: tracing::Span,
}

impl Driver {
    /// Executes the request, under a claim if it must run at most once.
    async fn execute(&mut self) -> Outcome {
        if self.request.head.idempotent {
            return self.run_stages().await;
        }
        let (entry, head) = (self.entry.clone(), self.request.head.clone());
        let content = self.request.fingerprint;
        let outcome = at_most_once::execute(&entry, &head, content, self.run_stages()).await;
        if let Ok(body) = &outcome {
            self.send_stored_text(body);
        }
        outcome
    }

    /// Sends the text of a stored answer as one piece.
    ///
    /// The pieces went to the caller of the original request. A caller that resends it and displays
    /// only pieces would otherwise display nothing.
    fn send_stored_text(&self, body: &str) {
        let head = &self.request.head;
        let bundle = &head.rules.bundle;
        let last = bundle.pipelines[&head.pipeline].stages.last();
        let service = last.and_then(|stage| bundle.services.get(&stage.service));
        let is_text = service.is_some_and(|service| service.kind == bundle::Kind::Engine);
        if !self.streamed
            && is_text
            && let Some(text) = answer::generated_text(body)
        {
            // The receiver is closed if the caller has disconnected.
            let _ = self.events.send(Event::Piece(text));
        }
    }

    async fn run_stages(&mut self) -> Outcome {
        let rules = self.request.head.rules.clone();
        let stages = &rules.bundle.pipelines[&self.request.head.pipeline].stages;
        let mut previous: Option<Box<value::RawValue>> = None;
        for (index, stage) in stages.iter().enumerate() {
            let position = stage::Position {
                index,
                stage,
                is_last: index + 1 == stages.len(),
            };
            let output = self.run_stage(position, previous.as_deref()).await;
            previous = Some(output.map_err(|refusal| self.complete_refusal(refusal))?);
        }
        answer::Answer::to_json(&self.request.head, previous, &self.reports)
    }

    fn record_metrics(&self, outcome: &Outcome) {
        let head = &self.request.head;
        let ended = match outcome {
            Ok(_) if head.remaining().is_zero() => metrics::Ended::Late,
            Ok(_) => metrics::Ended::Whole,
            Err(refusal) => refusal.verdict.into(),
        };
        let took = head.arrived.elapsed();
        let metrics = &self.entry.metrics;
        metrics.record_request(&head.team, &head.pipeline, ended, took);
        let spent = match ended {
            metrics::Ended::Whole => cost::Spent::Useful,
            _ => cost::Spent::Wasted,
        };
        for report in &self.reports {
            let cost = &metrics.cost;
            cost.record(&head.team, &report.name, spent, report.busy);
        }
    }

    /// Extends the verdict on one stage to the whole request and sets a retry delay if it has none.
    fn complete_refusal(&self, mut refusal: verdict::Refusal) -> verdict::Refusal {
        refusal.verdict = refusal.verdict.combine(self.verdict);
        refusal.retry = refusal.retry.or(Some(DEFAULT_RETRY));
        refusal
    }

    /// Combines the verdict on an attempt into that on the request.
    fn combine_verdict(&mut self, verdict: verdict::Verdict) {
        self.verdict = self.verdict.combine(verdict);
    }
}

/// Retry delay for callers if the refusal has none.
const DEFAULT_RETRY: laburnumcart::unit::Period = laburnumcart::unit::Period::from_secs(1);
