//! A call of a model engine: one sequence in the batch, streamed token by token.

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
        core,
        gate,
        ledger, //
    },
};

/// Part of the prefill that a cached prefix leaves.
const HIT_FACTOR: f64 = 0.1;

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

/// Makes a call known to cancellation while it lives.
pub(super) struct Tracked {
    core: sync::Arc<core::Core>,
    attempt: String,
    notify: sync::Arc<Notify>,
}

impl Tracked {
    pub(super) fn new(core: &sync::Arc<core::Core>, call: &Call) -> Self {
        let notify = sync::Arc::new(Notify::new());
        let attempt = call.attempt.clone();
        core.memory().calls.insert(attempt.clone(), notify.clone());
        Self {
            core: core.clone(),
            attempt,
            notify,
        }
    }

    /// Waits until the call is cancelled.
    pub(super) async fn cancelled(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.core.memory().calls.remove(&self.attempt);
    }
}

/// An execution in the ledger; settled as cancelled if it is dropped before its end.
pub(super) struct Running {
    core: sync::Arc<core::Core>,
    number: ledger::Id,
}

impl Running {
    pub(super) fn start(core: &sync::Arc<core::Core>, call: &Call) -> Self {
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
        let number = core.ledger.lock().unwrap().begin(execution);
        Self {
            core: core.clone(),
            number,
        }
    }

    pub(super) fn charge(&self, busy: time::Duration) {
        self.core.ledger.lock().unwrap().add_busy(self.number, busy);
    }

    pub(super) fn hit(&self) {
        self.core.ledger.lock().unwrap().mark_cached(self.number);
    }

    pub(super) fn settle(&self, outcome: ledger::Outcome) {
        self.core
            .ledger
            .lock()
            .unwrap()
            .finish(self.number, outcome);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.settle(ledger::Outcome::Cancelled);
    }
}

/// Why a call was not started.
pub(super) enum Refused {
    Full,
    Cancelled,
    /// The text to resume after is not a start of the output.
    Received,
    Failed,
}

/// One sequence in the batch.
pub(super) struct Sequence {
    core: sync::Arc<core::Core>,
    tracked: Tracked,
    running: Running,
    _permit: gate::Permit,
    gate: sync::Arc<gate::Gate>,
    pieces: vec::IntoIter<String>,
    tokens: usize,
    prefill: Option<time::Duration>,
    /// Pieces after which the sequence fails.
    fails_after: Option<usize>,
    ended: bool,
}

/// Waits for a place in the batch.
pub(super) async fn start(core: &sync::Arc<core::Core>, call: Call) -> Result<Sequence, Refused> {
    let pieces = rest(&call.body, core.settings.tokens).ok_or(Refused::Received)?;
    let tracked = Tracked::new(core, &call);
    let gate = core.gate();
    let permit = tokio::select! {
        permit = gate.enter(call.rank) => permit.map_err(|_| Refused::Full)?,
        () = tracked.cancelled() => return Err(Refused::Cancelled),
    };
    let running = Running::start(core, &call);
    if core.provoke(&call.raw) {
        return future::pending().await;
    }
    let fails = core.fails();
    if fails && core.behaviour.borrow().fail_fast {
        running.settle(ledger::Outcome::Failed);
        return Err(Refused::Failed);
    }
    let hit = core
        .memory()
        .cache
        .touch(&expected::prefix_key(&call.body.input));
    if hit {
        running.hit();
    }
    let factor = if hit { HIT_FACTOR } else { 1.0 };
    Ok(Sequence {
        core: core.clone(),
        tracked,
        running,
        _permit: permit,
        gate,
        tokens: pieces.len(),
        fails_after: fails.then_some(pieces.len() / 2),
        pieces: pieces.into_iter(),
        prefill: Some(core.settings.prefill_time.mul_f64(factor)),
        ended: false,
    })
}

/// Returns the pieces after the text that was received, `None` if that is not a start of it.
fn rest(body: &Body, default: u32) -> Option<Vec<String>> {
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
    /// Returns the event stream of the sequence; it has no end event if it was cut off.
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
            && !self.step(prefill).await
        {
            return None;
        }
        if self.fails_after == Some(self.tokens - self.pieces.len()) {
            self.running.settle(ledger::Outcome::Failed);
            return None;
        }
        let Some(piece) = self.pieces.next() else {
            self.ended = true;
            self.running.settle(ledger::Outcome::Done);
            let end = serde_json::json!({ "tokens": self.tokens });
            return Some(format!("event: end\ndata: {end}\n\n"));
        };
        if !self.step(self.core.settings.token_time).await {
            return None;
        }
        let data = serde_json::json!({ "text": piece });
        Some(format!("data: {data}\n\n"))
    }

    /// Lets the time of one step pass; reports `false` when the call was cancelled.
    ///
    /// A batch beyond the slots shares their speed, so the step takes longer for each.
    async fn step(&mut self, mean: time::Duration) -> bool {
        let slots = f64::from(self.core.settings.slots);
        let crowd = (f64::from(self.gate.load().running) / slots).max(1.0);
        let start = Instant::now();
        let cancelled = tokio::select! {
            () = self.core.pass(mean.mul_f64(crowd)) => false,
            () = self.tracked.cancelled() => true,
        };
        self.running.charge(start.elapsed().div_f64(crowd * slots));
        if cancelled {
            self.running.settle(ledger::Outcome::Cancelled);
        }
        !cancelled
    }
}
