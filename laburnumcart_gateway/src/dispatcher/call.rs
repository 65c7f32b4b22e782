//! Batch calls to the targets that execute pieces.

use std::{
    collections,
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
    budgets::{
        self,
        pieces, //
    },
    crashes,
    dialect,
    dispatcher::{
        Dispatcher,
        owned_queue::OwnedQueue, //
    },
    outbound,
    pool,
    view, //
};

/// Interval at which a call at a silent target asks again whether its pieces may be repeated.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Failure of a whole call.
enum CallError {
    /// Nothing was sent.
    Unsent(&'static str),
    /// The target proved that it did not execute the call.
    NotRun(&'static str),
    /// The target may have executed the call.
    Lost(pool::Failure),
}

/// Why a call is given up at a silent target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// Its pieces may be sent again; this has been charged.
    Granted,
    /// Nobody waits for its pieces any more.
    Unneeded,
}

/// Numbers of pieces of a call by outcome.
#[derive(Default)]
struct OutcomeCounts {
    stored: usize,
    no_room: usize,
    gone: usize,
}

fn count_outcomes(result: &Result<Vec<batch::Outcome>, CallError>) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    for outcome in result.iter().flatten() {
        match outcome {
            batch::Outcome::Stored(_) => counts.stored += 1,
            batch::Outcome::NoRoom => counts.no_room += 1,
            batch::Outcome::Gone => counts.gone += 1,
            batch::Outcome::Late | batch::Outcome::Failed => {}
        }
    }
    counts
}

/// A call that is ready to be sent.
struct PreparedCall {
    service: id::ServiceName,
    target: Arc<view::Target>,
    call: batch::Call,
    /// Those of its pieces that were sent before.
    repeated: Vec<(pieces::PieceId, pieces::Repeated)>,
    /// Contents of the stages whose pieces it carries.
    contents: Vec<id::Fingerprint>,
    /// Identifier of the call that the target must echo.
    label: String,
    request: Request<Bytes>,
    timeout: time::Duration,
    /// Time until the target has read the inputs, if it can be estimated.
    read_time: Option<time::Duration>,
    bounds: pool::Bounds,
}

impl Dispatcher {
    /// Spawns a task that sends a call and handles its outcomes.
    pub(super) fn start_call(
        self: &Arc<Self>,
        service: &id::ServiceName,
        owned: &mut OwnedQueue,
        call: batch::Call,
        now: Instant,
    ) {
        let Some(target) = owned.targets.get(call.target).cloned() else {
            return;
        };
        let waiter = |piece: &batch::Piece| &owned.waiters[piece.job];
        let item = |piece: &batch::Piece| dialect::BatchItem {
            attempt: &waiter(piece).attempt,
            stage: waiter(piece).stage,
            piece: piece.index,
            remaining: waiter(piece).deadline.saturating_duration_since(now),
            input: &waiter(piece).input,
        };
        let items: Vec<_> = call.pieces.iter().map(item).collect();
        let contents = call.pieces.iter().filter_map(|p| waiter(p).content);
        let contents: collections::BTreeSet<_> = contents.collect();
        let attempt = items.first().map_or("", |item| item.attempt);
        let oldest = call.pieces.iter().map(|p| now - waiter(p).queued_at).max();
        event!(
            Info,
            "call-sent",
            request = attempt,
            service = service,
            target = target.name,
            pieces = call.pieces.len(),
            waited_ms = oldest.unwrap_or_default().as_millis(),
            waiting = owned.queue.waiting_pieces(),
            used = owned.queue.targets.used_bytes(call.target)
        );
        // Unique for each call: a late duplicate response to an earlier call on the connection, even
        // of the same request, must not be taken for the results of this one.
        let label = format!("{:016x}", rand::random::<u64>());
        let request = self.dialect.encode_batch(&target.name, &label, &items);
        let timeout = owned
            .queue
            .targets
            .call_timeout(call.target, call.pieces.len());
        self.metrics.batch_calls.inc();
        self.metrics.pieces.inc_by(call.pieces.len() as u64);
        let life = target.key();
        let ids = call.pieces.iter().map(|piece| (piece.job, piece.index));
        let take = |id| Some((id, owned.repeats.take(id, &life)?));
        let prepared = PreparedCall {
            repeated: ids.filter_map(take).collect(),
            service: service.clone(),
            target,
            timeout,
            read_time: owned.queue.targets.input_read_time(call.target),
            bounds: self.connection_bounds(service),
            contents: contents.into_iter().collect(),
            call,
            label,
            request,
        };
        tokio::spawn(self.clone().run_call(prepared));
    }

    async fn run_call(self: Arc<Self>, mut prepared: PreparedCall) {
        let count = prepared.call.pieces.len();
        let start = Instant::now();
        let contents = crashes::Content::Pieces(prepared.contents.clone());
        let detector = &self.outbound.detector;
        let run = detector.begin(&prepared.target, contents, Vec::new());
        let exchange = self.exchange(
            &prepared.target,
            prepared.request.clone(),
            &prepared.label,
            &prepared.bounds,
            count,
        );
        let exchange = self.await_granted(&prepared, exchange);
        let (result, is_granted) = match self.await_result(&prepared, exchange).await {
            Ok(result) => (result, false),
            Err(end) => (
                Err(CallError::Lost(pool::Failure::Timeout)),
                end == End::Granted,
            ),
        };
        let target = prepared.target.key();
        let is_given_up = matches!(result, Err(CallError::Lost(pool::Failure::Timeout)));
        let end = match &result {
            Err(CallError::Unsent(_)) => pieces::CallEnd::Unsent,
            _ if is_given_up && !detector.has_read(&target, start) => {
                pieces::CallEnd::GivenUp(target)
            }
            _ => pieces::CallEnd::Arrived,
        };
        match &result {
            Ok(_) => run.complete(StatusCode::OK),
            Err(CallError::Unsent(_) | CallError::NotRun(_)) => run.discard(),
            Err(CallError::Lost(_)) => run.fail(),
        }
        let now = Instant::now();
        let elapsed = now - start;
        let mut queues = view::lock(&self.queues);
        let Some(owned) = queues.get_mut(&prepared.service) else {
            return;
        };
        let counts = count_outcomes(&result);
        let (events, outcome) = match result {
            Ok(outcomes) => (
                owned.queue.complete_call(&prepared.call, outcomes, now),
                "done",
            ),
            Err(CallError::Unsent(cause)) => {
                (owned.queue.fail_call(&prepared.call, false, now), cause)
            }
            Err(CallError::NotRun(cause)) => {
                (owned.queue.fail_call(&prepared.call, false, now), cause)
            }
            Err(CallError::Lost(failure)) => {
                let cause = match failure {
                    pool::Failure::Timeout => "timeout",
                    _ => "lost",
                };
                (owned.queue.fail_call(&prepared.call, true, now), cause)
            }
        };
        event!(
            Info,
            "call-ended",
            service = prepared.service,
            target = prepared.target.name,
            pieces = count,
            outcome = outcome,
            made = counts.stored,
            no_room = counts.no_room,
            gone = counts.gone,
            taken_ms = elapsed.as_millis(),
            used = owned.queue.targets.used_bytes(prepared.call.target)
        );
        for (id, repeated) in prepared.repeated.drain(..) {
            let requeued = owned.queue.requeued_pieces().iter();
            let waits = requeued.map(|p| (p.job, p.index)).any(|other| other == id);
            owned.repeats.end_call(id, repeated, &end, waits);
        }
        owned.apply_events(events, &*self.dialect);
        if end != pieces::CallEnd::Unsent {
            let denied = self.charge_repeats(&prepared.service, owned, is_granted, &end);
            owned.apply_events(denied, &*self.dialect);
        }
        drop(queues);
        self.dispatch_calls(&prepared.service);
    }

    /// Waits for the end of a call, which is given up after its timeout once its pieces may be sent
    /// to another target, or nobody waits for them any more.
    async fn await_granted<T>(
        &self,
        prepared: &PreparedCall,
        exchange: impl Future<Output = T>,
    ) -> Result<T, End> {
        tokio::pin!(exchange);
        let mut limit = prepared.timeout;
        loop {
            if let Ok(result) = tokio::time::timeout(limit, &mut exchange).await {
                return Ok(result);
            }
            if let Some(end) = self.end_silent(prepared) {
                return Err(end);
            }
            limit = ASK_INTERVAL;
        }
    }

    /// Charges the repeats of a call's pieces at a silent target; returns why the call may be given
    /// up, or `None` if it has to be waited for.
    fn end_silent(&self, prepared: &PreparedCall) -> Option<End> {
        let mut queues = view::lock(&self.queues);
        let Some(owned) = queues.get_mut(&prepared.service) else {
            return Some(End::Unneeded);
        };
        let pieces = &prepared.call.pieces;
        let mut waiters = pieces.iter().filter_map(|p| owned.waiters.get(p.job));
        let Some(attempt) = waiters.next().map(|waiter| &waiter.attempt) else {
            return Some(End::Unneeded);
        };
        let count = 1 + waiters.count();
        let smallest = pieces.iter().map(|piece| piece.size).min()?;
        let targets = &owned.queue.targets;
        // Without another target, the pieces would wait for this one again.
        if !targets.can_replace(prepared.call.target, smallest, Instant::now()) {
            return None;
        }
        let repeat = budgets::Repeat {
            attempt,
            service: &prepared.service,
            kind: budgets::RepeatKind::Pieces,
            count: count as u32,
        };
        self.budgets.try_spend(&repeat).then_some(End::Granted)
    }

    /// Charges requeued pieces to the retry budget; fails the jobs that exceed it.
    ///
    /// `is_granted` tells that the repeats were charged before the call was given up.
    fn charge_repeats(
        &self,
        service: &id::ServiceName,
        owned: &mut OwnedQueue,
        is_granted: bool,
        end: &pieces::CallEnd,
    ) -> Vec<batch::Event> {
        let mut denied = Vec::new();
        let requeued = owned.queue.requeued_pieces();
        for pieces in requeued.chunk_by(|a, b| a.job == b.job) {
            let key = pieces[0].job;
            // A job without a waiter has failed already.
            let Some(waiter) = owned.waiters.get(key) else {
                continue;
            };
            let repeat = budgets::Repeat {
                attempt: &waiter.attempt,
                service,
                kind: budgets::RepeatKind::Pieces,
                count: pieces.len() as u32,
            };
            if !is_granted && !self.budgets.try_spend(&repeat) {
                denied.push(key);
                continue;
            }
            for piece in pieces {
                let id = (key, piece.index);
                owned.repeats.charge(id, &waiter.attempt, end);
            }
        }
        let queue = &mut owned.queue;
        let denied = denied.into_iter();
        denied
            .flat_map(|key| queue.fail_job(key, batch::Failure::Failed))
            .collect()
    }

    /// Waits for the result of a call, and reports its inputs as read after the estimated time.
    async fn await_result<T>(
        &self,
        prepared: &PreparedCall,
        exchange: impl Future<Output = T>,
    ) -> T {
        tokio::pin!(exchange);
        let Some(read_time) = prepared.read_time else {
            return exchange.await;
        };
        tokio::select! {
            result = &mut exchange => return result,
            () = tokio::time::sleep(read_time) => {}
        }
        if let Some(owned) = view::lock(&self.queues).get_mut(&prepared.service) {
            let read = owned.record_read(&prepared.call.pieces);
            // The receiver is dropped only at exit; the results then expire at their targets.
            let _ = self.consumed.send(read);
        }
        exchange.await
    }

    async fn exchange(
        &self,
        target: &view::Target,
        request: Request<Bytes>,
        label: &str,
        bounds: &pool::Bounds,
        count: usize,
    ) -> Result<Vec<batch::Outcome>, CallError> {
        let outgoing = outbound::Outgoing {
            request,
            label: Some(label),
            deadline: None,
            connected: None,
        };
        let sent = self.outbound.send(target, outgoing, bounds).await;
        let outbound::Received { response, head } = sent.map_err(|failure| match failure {
            pool::Failure::Unreached | pool::Failure::Exhausted | pool::Failure::Full => {
                CallError::Unsent("unreached")
            }
            pool::Failure::Closed => CallError::Unsent("closed"),
            failure => CallError::Lost(failure),
        })?;
        let response = match head.attempt.as_deref() {
            Some(echoed) if echoed == label => response,
            // Dropping the response closes the connection, on which the response to this call may
            // still arrive.
            Some(_) => return Err(CallError::Lost(pool::Failure::Malformed)),
            // Without an echo, a late duplicate of this response would pass for the response to
            // the next call and give a request the results of another. The connection is not
            // used again.
            None => response.close_after(),
        };
        let (parts, body) = response
            .read_all(head.idle_timeout)
            .await
            .map_err(CallError::Lost)?;
        if head.not_run || head.misdirected {
            return Err(CallError::NotRun("refused"));
        }
        if parts.status != StatusCode::OK {
            return Err(CallError::Lost(pool::Failure::Malformed));
        }
        let outcomes = self.dialect.decode_batch(&body, count, target.life);
        outcomes.map_err(|_| CallError::Lost(pool::Failure::Malformed))
    }
}
