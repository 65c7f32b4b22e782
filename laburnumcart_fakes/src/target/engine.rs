//! Calls of a model engine: each is a sequence in the batch, streamed token by token.

use std::{
    future,
    io,
    sync,
    time,
    vec, //
};

use bytes::Bytes;
use futures_util::{
    Stream,
    stream, //
};
use serde::Deserialize;
use tokio::{
    sync::Notify,
    time::Instant, //
};

use crate::{
    expected,
    target::{
        ledger,
        slots,
        state, //
    },
};

/// Share of the prefill time that remains with a cached prefix.
const CACHED_PREFILL_SHARE: f64 = 0.1;

/// Body of a call.
#[derive(Debug, Deserialize)]
pub(super) struct Body {
    pub(super) stage: String,
    pub(super) input: serde_json::Value,
    #[serde(default)]
    pub(super) previous: serde_json::Value,
    #[serde(default)]
    pub(super) received: Option<String>,
}

/// A call with its headers.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request: String,
    pub(super) attempt: String,
    pub(super) idempotent: bool,
    pub(super) rank: u8,
    pub(super) traceparent: Option<String>,
    pub(super) body: Body,
    pub(super) raw: Bytes,
}

/// Registration of a call for cancellation, removed on drop.
pub(super) struct Registration {
    state: sync::Arc<state::State>,
    attempt: String,
    notify: sync::Arc<Notify>,
}

impl Registration {
    pub(super) fn new(state: &sync::Arc<state::State>, call: &Call) -> Self {
        let notify = sync::Arc::new(Notify::new());
        let attempt = call.attempt.clone();
        state.memory().calls.insert(attempt.clone(), notify.clone());
        Self {
            state: state.clone(),
            attempt,
            notify,
        }
    }

    /// Waits until the call is cancelled.
    pub(super) async fn cancelled(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.state.memory().calls.remove(&self.attempt);
    }
}

/// Execution in the ledger, recorded as cancelled if it is dropped before its end.
pub(super) struct RunningExecution {
    state: sync::Arc<state::State>,
    id: ledger::Id,
}

impl RunningExecution {
    pub(super) fn start(state: &sync::Arc<state::State>, call: &Call) -> Self {
        let execution = ledger::Execution {
            request: call.request.clone(),
            attempt: call.attempt.clone(),
            stage: call.body.stage.clone(),
            input: expected::digest(&call.body.input.to_string()),
            idempotent: call.idempotent,
            outcome: ledger::Outcome::Running,
            busy: 0.0,
            traceparent: call.traceparent.clone(),
            cached: false,
        };
        let id = state.ledger.lock().unwrap().begin(execution);
        Self {
            state: state.clone(),
            id,
        }
    }

    pub(super) fn add_target_time(&self, time: time::Duration) {
        let mut ledger = self.state.ledger.lock().unwrap();
        ledger.add_target_time(self.id, time);
    }

    pub(super) fn mark_cached(&self) {
        self.state.ledger.lock().unwrap().mark_cached(self.id);
    }

    pub(super) fn finish(&self, outcome: ledger::Outcome) {
        self.state.ledger.lock().unwrap().finish(self.id, outcome);
    }
}

impl Drop for RunningExecution {
    fn drop(&mut self) {
        self.finish(ledger::Outcome::Cancelled);
    }
}

/// Reason why a call was not executed.
pub(super) enum Refusal {
    Full,
    Cancelled,
    /// The received text is not a prefix of the output.
    BadPrefix,
    Failed,
}

/// One sequence in the batch.
pub(super) struct Sequence {
    state: sync::Arc<state::State>,
    registration: Registration,
    execution: RunningExecution,
    _permit: slots::Permit,
    slots: sync::Arc<slots::Slots>,
    pieces: vec::IntoIter<String>,
    tokens: usize,
    prefill: Option<time::Duration>,
    /// Number of tokens after which the sequence fails.
    fail_after: Option<usize>,
    ended: bool,
}

/// Waits for a slot in the batch and starts the sequence.
pub(super) async fn start_sequence(
    state: &sync::Arc<state::State>,
    call: Call,
) -> Result<Sequence, Refusal> {
    let pieces = remaining_pieces(&call.body, state.settings.tokens).ok_or(Refusal::BadPrefix)?;
    let registration = Registration::new(state, &call);
    let slots = state.slots();
    let permit = tokio::select! {
        permit = slots.acquire(call.rank) => permit.map_err(|_| Refusal::Full)?,
        () = registration.cancelled() => return Err(Refusal::Cancelled),
    };
    let execution = RunningExecution::start(state, &call);
    if state.crash_if_poison(&call.raw) {
        // The crash stops the server, which drops this call without a response.
        return future::pending().await;
    }
    let fails = state.draw_failure();
    if fails && state.behaviour.borrow().fail_fast {
        execution.finish(ledger::Outcome::Failed);
        return Err(Refusal::Failed);
    }
    let hit = state
        .memory()
        .cache
        .use_prefix(&expected::prefix_key(&call.body.input));
    if hit {
        execution.mark_cached();
    }
    let factor = if hit { CACHED_PREFILL_SHARE } else { 1.0 };
    Ok(Sequence {
        state: state.clone(),
        registration,
        execution,
        _permit: permit,
        slots,
        tokens: pieces.len(),
        fail_after: fails.then_some(pieces.len() / 2),
        pieces: pieces.into_iter(),
        prefill: Some(state.settings.prefill_time.mul_f64(factor)),
        ended: false,
    })
}

/// Returns the tokens after the received text; `None` if that is not a prefix of the output.
fn remaining_pieces(body: &Body, default: u32) -> Option<Vec<String>> {
    let tokens = expected::token_count(&body.input, default);
    let pieces = expected::engine_pieces(&body.stage, &body.input, &body.previous, tokens);
    let mut received = body.received.as_deref().unwrap_or_default();
    let mut rest = Vec::new();
    for piece in pieces {
        match received.strip_prefix(piece.as_str()) {
            Some(after) => received = after,
            None => {
                rest.push(piece.strip_prefix(received)?.into());
                received = "";
            }
        }
    }
    received.is_empty().then_some(rest)
}

impl Sequence {
    /// Returns the event stream of the sequence, without an end event if the sequence is aborted.
    pub(super) fn events(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream::unfold(self, |mut sequence| async {
            let event = sequence.next().await?;
            Some((Ok(Bytes::from(event)), sequence))
        })
    }

    async fn next(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        if let Some(prefill) = self.prefill.take()
            && !self.wait_step(prefill).await
        {
            return None;
        }
        if self.fail_after == Some(self.tokens - self.pieces.len()) {
            self.execution.finish(ledger::Outcome::Failed);
            return None;
        }
        let Some(piece) = self.pieces.next() else {
            self.ended = true;
            self.execution.finish(ledger::Outcome::Done);
            let end = serde_json::json!({ "tokens": self.tokens });
            return Some(format!("event: end\ndata: {end}\n\n"));
        };
        if !self.wait_step(self.state.settings.token_time).await {
            return None;
        }
        let data = serde_json::json!({ "text": piece });
        Some(format!("data: {data}\n\n"))
    }

    /// Waits for the time of one step; returns `false` if the call was cancelled.
    ///
    /// A batch with more sequences than slots shares their speed, so each step takes longer.
    async fn wait_step(&mut self, mean: time::Duration) -> bool {
        let count = f64::from(self.state.settings.slots);
        let slowdown = (f64::from(self.slots.load().running) / count).max(1.0);
        let start = Instant::now();
        let cancelled = tokio::select! {
            () = self.state.simulate_work(mean.mul_f64(slowdown)) => false,
            () = self.registration.cancelled() => true,
        };
        // All sequences advance at the same time, so each uses an equal share of the target.
        self.execution
            .add_target_time(start.elapsed().div_f64(slowdown * count));
        if cancelled {
            self.execution.finish(ledger::Outcome::Cancelled);
        }
        !cancelled
    }
}
