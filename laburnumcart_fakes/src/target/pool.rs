//! A call of a pool or plain service.

use std::{
    future,
    sync,
    time, //
};

use tokio::time::Instant;

use crate::{
    expected,
    target::{
        core,
        engine,
        ledger, //
    },
};

/// How a call of a pool ended.
pub(super) enum End {
    Done(serde_json::Value),
    Full,
    CancelledQueued,
    Cancelled,
    Failed,
}

/// Executes one call.
pub(super) async fn run(core: &sync::Arc<core::Core>, call: engine::Call) -> End {
    let tracked = engine::Tracked::new(core, &call);
    let gate = core.gate();
    let permit = tokio::select! {
        permit = gate.enter(call.rank) => permit,
        () = tracked.cancelled() => return End::CancelledQueued,
    };
    let Ok(_permit) = permit else {
        return End::Full;
    };
    let running = engine::Running::start(core, &call);
    if core.provoke(&call.raw) {
        return future::pending().await;
    }
    let start = Instant::now();
    let fails = core.fails();
    let mean = match fails {
        true if core.behaviour.borrow().fail_fast => time::Duration::ZERO,
        true => core.settings.service_time / 2,
        false => core.settings.service_time,
    };
    let cancelled = tokio::select! {
        () = core.pass(mean) => false,
        () = tracked.cancelled() => true,
    };
    running.charge(start.elapsed() / core.settings.slots);
    if cancelled {
        running.settle(ledger::Outcome::Cancelled);
        return End::Cancelled;
    }
    if fails {
        running.settle(ledger::Outcome::Failed);
        return End::Failed;
    }
    running.settle(ledger::Outcome::Done);
    let body = &call.body;
    End::Done(expected::pool_output(
        &body.stage,
        &body.input,
        &body.previous,
    ))
}
