//! Calls of the targets that execute pieces.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use tokio::time::Instant;

use laburnumcart::{
    batch,
    event,
    id, //
};

use crate::{
    budgets,
    dialect,
    dispatcher::{
        Dispatcher,
        line::Line, //
    },
    outbound,
    pool,
    view, //
};

/// Time that a call may take, as a multiple of what is expected.
const PATIENCE: f64 = 2.5;

/// Time that a call may take beside that.
const GRACE: time::Duration = time::Duration::from_millis(300);

/// Why a call brought no outcomes.
enum Failed {
    /// Nothing was sent.
    Unsent(&'static str),
    /// The target proves that it did nothing.
    NotRun(&'static str),
    /// It may have executed the pieces.
    Lost(pool::Failure),
}

/// How many pieces of a call ended in which way.
#[derive(Default)]
struct Tally {
    made: usize,
    full: usize,
    gone: usize,
}

fn tally(result: &Result<Vec<batch::Outcome>, Failed>) -> Tally {
    let mut tally = Tally::default();
    for outcome in result.iter().flatten() {
        match outcome {
            batch::Outcome::Stored(_) => tally.made += 1,
            batch::Outcome::NoRoom => tally.full += 1,
            batch::Outcome::Gone => tally.gone += 1,
            batch::Outcome::Late | batch::Outcome::Failed => {}
        }
    }
    tally
}

/// A call that is ready to be sent.
struct Ready {
    service: id::ServiceName,
    target: Arc<view::Target>,
    call: batch::Call,
    /// What the target must echo.
    label: String,
    request: Request<Bytes>,
    limit: time::Duration,
    /// When its inputs have been read, if that can be told.
    reading: Option<time::Duration>,
    bounds: pool::Bounds,
}

impl Dispatcher {
    /// Sends a call on a task of its own.
    pub(super) fn start(
        self: &Arc<Self>,
        service: &id::ServiceName,
        line: &Line,
        call: batch::Call,
        now: Instant,
    ) {
        let Some(target) = line.targets.get(call.target).cloned() else {
            return;
        };
        let waiter = |piece: &batch::Piece| &line.waiters[piece.job];
        let item = |piece: &batch::Piece| dialect::Item {
            attempt: &waiter(piece).attempt,
            stage: waiter(piece).stage,
            piece: piece.index,
            left: waiter(piece).deadline.saturating_duration_since(now),
            input: &waiter(piece).input,
        };
        let items: Vec<_> = call.pieces.iter().map(item).collect();
        let attempt = items.first().map_or("", |item| item.attempt);
        let oldest = call.pieces.iter().map(|p| now - waiter(p).since).max();
        event!(
            Info,
            "call-sent",
            request = attempt,
            service = service,
            target = target.name,
            pieces = call.pieces.len(),
            waited_ms = oldest.unwrap_or_default().as_millis(),
            waiting = line.queue.waiting_pieces(),
            used = line.queue.targets.used_bytes(call.target)
        );
        // Drawn for each call: a late second answer to an earlier one on the connection, perhaps of
        // the same request, must not be taken for this one's results.
        let label = format!("{:016x}", rand::random::<u64>());
        let request = self.dialect.batch(&target.name, &label, &items);
        let expected = line
            .queue
            .targets
            .expected_call_time(call.target, call.pieces.len());
        self.metrics.calls.inc();
        self.metrics.pieces.inc_by(call.pieces.len() as u64);
        let ready = Ready {
            service: service.clone(),
            target,
            limit: expected.mul_f64(PATIENCE) + GRACE,
            reading: line.queue.targets.input_read_time(call.target),
            bounds: self.bounds(service),
            call,
            label,
            request,
        };
        tokio::spawn(self.clone().execute(ready));
    }

    async fn execute(self: Arc<Self>, ready: Ready) {
        let count = ready.call.pieces.len();
        let start = Instant::now();
        let sent = self.exchange(
            &ready.target,
            ready.request.clone(),
            &ready.label,
            &ready.bounds,
            count,
        );
        let sent = tokio::time::timeout(ready.limit, sent);
        let result = match self.watch(&ready, sent).await {
            Ok(result) => result,
            Err(_) => Err(Failed::Lost(pool::Failure::Timeout)),
        };
        let now = Instant::now();
        let taken = now - start;
        let mut lines = view::lock(&self.lines);
        let Some(line) = lines.get_mut(&ready.service) else {
            return;
        };
        let tally = tally(&result);
        let reached = !matches!(result, Err(Failed::Unsent(_)));
        let (events, outcome) = match result {
            Ok(outcomes) => (line.queue.complete_call(&ready.call, outcomes, now), "done"),
            Err(Failed::Unsent(cause)) => (line.queue.fail_call(&ready.call, false, now), cause),
            Err(Failed::NotRun(cause)) => (line.queue.fail_call(&ready.call, false, now), cause),
            Err(Failed::Lost(failure)) => {
                let cause = match failure {
                    pool::Failure::Timeout => "timeout",
                    _ => "lost",
                };
                (line.queue.fail_call(&ready.call, true, now), cause)
            }
        };
        event!(
            Info,
            "call-ended",
            service = ready.service,
            target = ready.target.name,
            pieces = count,
            outcome = outcome,
            made = tally.made,
            no_room = tally.full,
            gone = tally.gone,
            taken_ms = taken.as_millis(),
            used = line.queue.targets.used_bytes(ready.call.target)
        );
        line.settle(events, &*self.dialect);
        if reached {
            let denied = self.charge(&ready.service, line);
            line.settle(denied, &*self.dialect);
        }
        drop(lines);
        self.pump(&ready.service);
    }

    /// Takes the pieces that wait once more from the budget; gives up the jobs that exceed it.
    fn charge(&self, service: &id::ServiceName, line: &mut Line) -> Vec<batch::Event> {
        let mut denied = Vec::new();
        for (key, count) in line.queue.requeued_pieces() {
            // A job that nobody waits for any more has failed already.
            let Some(waiter) = line.waiters.get(*key) else {
                continue;
            };
            let repeat = budgets::Repeat {
                request: &waiter.attempt,
                service,
                way: budgets::Way::Pieces,
                count: *count,
            };
            if !self.budgets.spend(&repeat) {
                denied.push(*key);
            }
        }
        let queue = &mut line.queue;
        let denied = denied.into_iter();
        denied
            .flat_map(|key| queue.fail_job(key, batch::Failure::Failed))
            .collect()
    }

    /// Waits for a call to end, and passes on when the inputs of its pieces have been read.
    async fn watch<T>(&self, ready: &Ready, sent: impl Future<Output = T>) -> T {
        tokio::pin!(sent);
        let Some(reading) = ready.reading else {
            return sent.await;
        };
        tokio::select! {
            result = &mut sent => return result,
            () = tokio::time::sleep(reading) => {}
        }
        if let Some(line) = view::lock(&self.lines).get_mut(&ready.service) {
            let read = line.read(&ready.call.pieces);
            // Without a receiver the process is about to end; the results expire by themselves.
            let _ = self.consumed.send(read);
        }
        sent.await
    }

    async fn exchange(
        &self,
        target: &view::Target,
        request: Request<Bytes>,
        label: &str,
        bounds: &pool::Bounds,
        count: usize,
    ) -> Result<Vec<batch::Outcome>, Failed> {
        let sent = self
            .outbound
            .send(target, request, bounds, Some(label))
            .await;
        let outbound::Received { answer, reply } = sent.map_err(|failure| match failure {
            pool::Failure::Unreached | pool::Failure::Exhausted => Failed::Unsent("unreached"),
            pool::Failure::Closed => Failed::Unsent("closed"),
            failure => Failed::Lost(failure),
        })?;
        let answer = match reply.attempt.as_deref() {
            Some(echoed) if echoed == label => answer,
            // The connection ends here, as the answer to this call may still come on it.
            Some(_) => return Err(Failed::Lost(pool::Failure::Malformed)),
            // Nothing tells a late second answer on this connection from the next one's, which
            // would give a request the results of another; so there is no next one.
            None => answer.last(),
        };
        let (head, body) = answer.whole(reply.idle).await.map_err(Failed::Lost)?;
        if reply.not_run || reply.misdirected {
            return Err(Failed::NotRun("refused"));
        }
        if head.status != StatusCode::OK {
            return Err(Failed::Lost(pool::Failure::Malformed));
        }
        let outcomes = self.dialect.outcomes(&body, count, target.life);
        outcomes.map_err(|_| Failed::Lost(pool::Failure::Malformed))
    }
}
