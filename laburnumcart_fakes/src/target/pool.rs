//! Calls of a pool or plain service.

use std::{
    future,
    sync,
    time, //
};

use tokio::time::Instant;

use crate::{
    expected,
    target::{
        engine,
        ledger,
        state, //
    },
};

/// Outcome of a call.
pub(super) enum Outcome {
    Done(serde_json::Value),
    Full,
    CancelledInQueue,
    Cancelled,
    Failed,
}

/// Executes a call.
pub(super) async fn execute(state: &sync::Arc<state::State>, call: engine::Call) -> Outcome {
    let registration = engine::Registration::new(state, &call);
    let slots = state.slots();
    let permit = tokio::select! {
        permit = slots.acquire(call.rank) => permit,
        () = registration.cancelled() => return Outcome::CancelledInQueue,
    };
    let Ok(_permit) = permit else {
        return Outcome::Full;
    };
    let execution = engine::RunningExecution::start(state, &call);
    if state.crash_if_poison(&call.raw) {
        // The crash stops the server, which drops this call without a response.
        return future::pending().await;
    }
    let start = Instant::now();
    let fails = state.draw_failure();
    let mean = match fails {
        true if state.behaviour.borrow().fail_fast => time::Duration::ZERO,
        true => state.settings.service_time / 2,
        false => state.settings.service_time,
    };
    let cancelled = tokio::select! {
        () = state.simulate_work(mean) => false,
        () = registration.cancelled() => true,
    };
    // A call occupies one slot, so it uses 1/slots of the target for its time.
    execution.add_target_time(start.elapsed() / state.settings.slots);
    if cancelled {
        execution.finish(ledger::Outcome::Cancelled);
        return Outcome::Cancelled;
    }
    if fails {
        execution.finish(ledger::Outcome::Failed);
        return Outcome::Failed;
    }
    execution.finish(ledger::Outcome::Done);
    let body = &call.body;
    Outcome::Done(expected::pool_output(
        &body.stage,
        &body.input,
        &body.previous,
    ))
}
