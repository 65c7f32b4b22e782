//! Owner of a shard: batches grants and releases into appends to the log.

use std::{
    collections,
    mem,
    pin,
    sync, //
};

use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time as clock, //
};

use laburnumcart::{
    claim::{
        log,
        record, //
    },
    id,
    unit,
    verdict, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::entry;

use crate::claims::{
    self,
    actor,
    append,
    compaction,
    takeover, //
};

type Reply = oneshot::Sender<entry::Decision>;
type DeferredClaim = (record::Grant, Reply);
type AppendFuture = pin::Pin<Box<dyn Future<Output = append::Outcome> + Send>>;

/// A shard that was just taken over, and the claim that caused the takeover.
pub(super) struct Start {
    pub(super) log: Box<log::Log>,
    pub(super) grant: record::Grant,
    pub(super) reply: Reply,
}

/// Reason for the end of an ownership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ended {
    /// Another process sealed the epoch.
    Sealed,
    /// This process sealed the epoch in a graceful shutdown.
    Drained,
    /// The service was dropped.
    Closed,
}

/// Owner of one shard.
struct Owner<'a, S> {
    context: &'a actor::Context<S>,
    log: Box<log::Log>,
    /// Replies by claim, sent when the batch of the claim is durable.
    waiting: collections::HashMap<(id::Fingerprint, id::RequestId), Vec<Reply>>,
    /// Claims on keys that the batch in flight changes, evaluated again when it is settled.
    deferred: Vec<DeferredClaim>,
    /// Decisions that are valid once the batch is durable, which proves that the ownership held.
    unconfirmed: collections::BTreeMap<log::Batch, Vec<(entry::Decision, Reply)>>,
    releases: collections::BTreeMap<log::Batch, Vec<oneshot::Sender<actor::Released>>>,
    /// Records of the append in flight.
    in_flight: Vec<record::Record>,
    segments: Vec<compaction::Superseded>,
    /// Whether the append in flight got no response and is being retried.
    in_doubt: sync::Arc<watch::Sender<bool>>,
    /// End of the time in which claims are refused, and the retry delay to suggest.
    unavailable: Option<(clock::Instant, unit::Period)>,
    /// Time that the rate limiter reserved for the next append.
    next_append: Option<clock::Instant>,
}

/// Serves the shard until it is lost or given up.
pub(super) async fn run<S: store::Store>(
    context: &actor::Context<S>,
    commands: &mut mpsc::Receiver<actor::Command>,
    start: Start,
) -> Ended {
    let mut owner = Owner {
        context,
        log: start.log,
        waiting: collections::HashMap::new(),
        deferred: Vec::new(),
        unconfirmed: collections::BTreeMap::new(),
        releases: collections::BTreeMap::new(),
        in_flight: Vec::new(),
        segments: Vec::new(),
        in_doubt: sync::Arc::new(watch::Sender::new(false)),
        unavailable: None,
        next_append: None,
    };
    owner.claim(start.grant, start.reply);
    let ended = owner.run(commands).await;
    if ended != Ended::Closed {
        owner.step_down();
    }
    ended
}

impl<S: store::Store> Owner<'_, S> {
    async fn run(&mut self, commands: &mut mpsc::Receiver<actor::Command>) -> Ended {
        let mut call: Option<AppendFuture> = None;
        let mut in_doubt = self.in_doubt.subscribe();
        loop {
            if call.is_none() && self.log.wants_snapshot() && !self.write_snapshot().await {
                return Ended::Sealed;
            }
            let now = clock::Instant::now();
            if call.is_none() && self.next_append_time(now).is_some_and(|slot| slot <= now) {
                self.next_append = None;
                call = self.start_append();
            }
            let slot = self.next_append.filter(|_| call.is_none());
            tokio::select! {
                appended = append_outcome(&mut call) => {
                    call = None;
                    if !self.handle_append(appended) {
                        return Ended::Sealed;
                    }
                }
                Ok(()) = in_doubt.changed() => {
                    if *in_doubt.borrow_and_update() {
                        self.refuse_queued();
                    }
                }
                () = clock::sleep_until(slot.unwrap_or(now)), if slot.is_some() => {}
                command = commands.recv() => match command {
                    None => return Ended::Closed,
                    Some(actor::Command::Claim { grant, reply, .. }) => self.claim(grant, reply),
                    Some(actor::Command::Release { key, request, reply }) => {
                        self.release(key, request, reply);
                    }
                    Some(actor::Command::Drain { reply }) => {
                        let ended = self.drain(call).await;
                        reply.send(()).ok();
                        return ended;
                    }
                },
            }
        }
    }

    /// Returns the time reserved for the next append, if any records are queued.
    fn next_append_time(&mut self, now: clock::Instant) -> Option<clock::Instant> {
        if self.next_append.is_none() && self.log.wants_append() {
            let mut limiter = self.context.appends.lock().expect("lock is not poisoned");
            let slot = limiter.reserve_slot(now);
            // While the object service is unavailable, releases wait: claims are refused then, and
            // each attempt would otherwise be a call for the releases alone.
            self.next_append = Some(self.unavailable.map_or(slot, |(until, _)| slot.max(until)));
        }
        self.next_append
    }

    /// Starts the next append with the queued records, except for claims whose caller has gone.
    fn start_append(&mut self) -> Option<AppendFuture> {
        let waiting = &mut self.waiting;
        self.log.retain_pending(|key, request| {
            let waits = waiting
                .get(&(key, request))
                .is_some_and(|replies| replies.iter().any(|reply| !reply.is_closed()));
            if !waits {
                waiting.remove(&(key, request));
            }
            waits
        });
        let now = clock::Instant::now();
        let append = self.log.begin_append(now)?;
        if let record::Segment::Batch { records, .. } = &append.segment {
            self.in_flight = records.clone();
        }
        let store = self.context.store.clone();
        let timeout = self.context.store_timeout;
        let in_doubt = self.in_doubt.clone();
        let key = record::segment_key(self.context.shard, self.log.epoch(), append.number);
        Some(Box::pin(async move {
            append::append_segment(&*store, &key, &append.segment, timeout, &in_doubt).await
        }))
    }

    fn claim(&mut self, grant: record::Grant, reply: Reply) {
        if reply.is_closed() {
            return;
        }
        let now = clock::Instant::now();
        let unavailable = self.unavailable.filter(|(until, _)| now < *until);
        if let Some((_, retry)) = unavailable {
            let reason = verdict::Reason::ClaimUnavailable;
            return self.context.refuse(reply, reason, retry);
        }
        // The wait for an append without a response is not bounded.
        if *self.in_doubt.borrow() {
            let reason = verdict::Reason::ClaimUnavailable;
            return self.context.refuse(reply, reason, claims::RETRY_DELAY);
        }
        match self.log.claim(grant.clone(), now) {
            log::Outcome::Granted => self.reply_when_confirmed(entry::Decision::Granted, reply),
            log::Outcome::Queued(_) => {
                let waiting = self.waiting.entry((grant.key, grant.request));
                waiting.or_default().push(reply);
            }
            log::Outcome::Wait(_) => self.deferred.push((grant, reply)),
            log::Outcome::Taken(old) => {
                self.context.metrics.taken.inc();
                let taken = entry::Decision::Taken {
                    request: old.request,
                    content: old.content,
                    holder: old.holder,
                };
                self.reply_when_confirmed(taken, reply);
            }
            log::Outcome::Full => {
                let reason = verdict::Reason::Overloaded;
                self.context.refuse(reply, reason, claims::RETRY_DELAY);
            }
        }
    }

    /// Sends a decision taken from the table once an append proves that the ownership still holds.
    ///
    /// The table of an owner that was replaced while paused is stale. A resend could be directed to
    /// a request that released the key, and be refused as "not run" although another request has
    /// executed under the key since.
    fn reply_when_confirmed(&mut self, decision: entry::Decision, reply: Reply) {
        let batch = self.log.confirm_ownership();
        let waiting = self.unconfirmed.entry(batch).or_default();
        waiting.push((decision, reply));
    }

    fn release(
        &mut self,
        key: id::Fingerprint,
        request: id::RequestId,
        reply: oneshot::Sender<actor::Released>,
    ) {
        // Without a reply to send, a queued grant is withdrawn and a durable one released.
        self.waiting.remove(&(key, request));
        match self.log.release(key, request) {
            Some(batch) => self.releases.entry(batch).or_default().push(reply),
            None => {
                reply.send(actor::Released::Here(false)).ok();
            }
        }
    }

    /// Handles the outcome of the append in flight; returns `false` if the shard is lost.
    fn handle_append(&mut self, appended: append::Outcome) -> bool {
        if self.in_doubt.send_replace(false) {
            self.context.metrics.unanswered.inc();
        }
        match appended {
            append::Outcome::Durable(version) => self.append_succeeded(version),
            append::Outcome::Refused(retry) => {
                self.append_refused(retry.unwrap_or(claims::RETRY_DELAY))
            }
            append::Outcome::Sealed => return false,
        }
        for (grant, reply) in mem::take(&mut self.deferred) {
            self.claim(grant, reply);
        }
        true
    }

    fn append_succeeded(&mut self, version: store::Version) {
        self.context.metrics.appends.inc();
        let (shard, epoch) = (self.context.shard, self.log.epoch());
        let key = record::segment_key(shard, epoch, self.log.next_segment());
        self.segments.push(compaction::Superseded { key, version });
        self.log.append_succeeded(clock::Instant::now());
        for record in mem::take(&mut self.in_flight) {
            match record {
                record::Record::Grant(grant) => self.reply_granted(&grant),
                record::Record::Release { .. } => {
                    self.context.metrics.released.inc();
                }
            }
        }
        self.answer_releases(true);
        for (decision, reply) in self.take_confirmed() {
            reply.send(decision).ok();
        }
    }

    fn take_confirmed(&mut self) -> Vec<(entry::Decision, Reply)> {
        let later = self.unconfirmed.split_off(&self.log.first_unsettled());
        let done = mem::replace(&mut self.unconfirmed, later);
        done.into_values().flatten().collect()
    }

    /// Takes the replies of all undecided claims.
    fn take_waiting(&mut self) -> Vec<Reply> {
        let waiting = mem::take(&mut self.waiting).into_values().flatten();
        let deferred = mem::take(&mut self.deferred).into_iter();
        let unconfirmed = mem::take(&mut self.unconfirmed).into_values().flatten();
        let deferred = deferred.map(|(_, reply)| reply);
        let unconfirmed = unconfirmed.map(|(_, reply)| reply);
        waiting.chain(deferred).chain(unconfirmed).collect()
    }

    /// Replies to a durable grant, or releases it if no caller is left to execute the request.
    fn reply_granted(&mut self, grant: &record::Grant) {
        let replies = self.waiting.remove(&(grant.key, grant.request));
        let mut is_delivered = false;
        for reply in replies.into_iter().flatten() {
            is_delivered |= reply.send(entry::Decision::Granted).is_ok();
        }
        if is_delivered {
            self.context.metrics.granted.inc();
        } else {
            self.log.release(grant.key, grant.request);
        }
    }

    /// Refuses all undecided claims, as the object service refuses writes.
    fn append_refused(&mut self, retry: unit::Period) {
        self.log.append_rejected();
        self.log.retain_pending(|_, _| false);
        self.in_flight.clear();
        self.unavailable = Some((
            clock::Instant::now() + actor::UNAVAILABLE_TIME.min(retry.0),
            retry,
        ));
        for reply in self.take_waiting() {
            let reason = verdict::Reason::ClaimUnavailable;
            self.context.refuse(reply, reason, retry);
        }
        self.answer_releases(false);
    }

    /// Refuses the claims queued behind an append that got no response.
    fn refuse_queued(&mut self) {
        self.log.retain_pending(|_, _| false);
        let sent = |record: &record::Record| (record.key(), record.request());
        let sent: collections::HashSet<_> = self.in_flight.iter().map(sent).collect();
        let queued = self.waiting.extract_if(|claim, _| !sent.contains(claim));
        let queued: Vec<_> = queued.flat_map(|(_, replies)| replies).collect();
        let deferred = mem::take(&mut self.deferred);
        let deferred = deferred.into_iter().map(|(_, reply)| reply);
        let unconfirmed = self
            .unconfirmed
            .split_off(&(self.log.first_unsettled() + 1));
        let unconfirmed = unconfirmed.into_values().flatten();
        let unconfirmed = unconfirmed.map(|(_, reply)| reply);
        for reply in queued.into_iter().chain(deferred).chain(unconfirmed) {
            let reason = verdict::Reason::ClaimUnavailable;
            self.context.refuse(reply, reason, claims::RETRY_DELAY);
        }
    }

    fn answer_releases(&mut self, recorded: bool) {
        let settled = self.log.first_unsettled();
        let later = self.releases.split_off(&settled);
        let done = mem::replace(&mut self.releases, later);
        for reply in done.into_values().flatten() {
            reply.send(actor::Released::Here(recorded)).ok();
        }
    }

    /// Appends a snapshot and starts the deletion of the segments that it supersedes.
    ///
    /// Returns `false` if the shard is lost.
    async fn write_snapshot(&mut self) -> bool {
        let now = clock::Instant::now();
        let mut parts = Vec::new();
        for (number, segment) in self.log.snapshot(now) {
            let key = record::segment_key(self.context.shard, self.log.epoch(), number);
            let (store, timeout) = (&*self.context.store, self.context.store_timeout);
            match append::append_segment(store, &key, &segment, timeout, &self.in_doubt).await {
                append::Outcome::Durable(version) => {
                    self.log.snapshot_part_succeeded(&segment);
                    parts.push(compaction::Superseded { key, version });
                }
                append::Outcome::Sealed => return false,
                append::Outcome::Refused(_) => {
                    // An incomplete snapshot is ignored by replay and deleted with the next one.
                    self.segments.append(&mut parts);
                    self.log.postpone_snapshot();
                    break;
                }
            }
            self.in_doubt.send_replace(false);
        }
        if parts.is_empty() {
            return true;
        }
        let old = mem::replace(&mut self.segments, parts);
        let store = self.context.store.clone();
        let limiter = self.context.deletions.clone();
        let deletions =
            compaction::delete_superseded(store, old, None, limiter, self.context.store_timeout);
        self.context.runtime.spawn(deletions);
        true
    }

    /// Waits for the append in flight, seals the epoch and removes the owner from the head.
    async fn drain(&mut self, mut call: Option<AppendFuture>) -> Ended {
        if call.is_some() {
            let appended = append_outcome(&mut call).await;
            if !self.handle_append(appended) {
                return Ended::Sealed;
            }
        }
        let store = &*self.context.store;
        let timeout = self.context.store_timeout;
        let (shard, epoch) = (self.context.shard, self.log.epoch());
        let key = record::segment_key(shard, epoch, self.log.next_segment());
        let seal = serde_json::to_string(&record::Segment::Seal(epoch)).expect("seals serialize");
        let call = store.put(&key, store::Expect::Absent, &seal);
        // If the seal is lost, the next owner writes it.
        append::with_timeout(timeout, call).await.ok();
        if let Ok(Some((head, version))) = takeover::read_head(store, shard, timeout).await
            && head.owner == Some(self.context.holder)
        {
            let head = record::Head {
                owner: None,
                ..head
            };
            let value = serde_json::to_string(&head).expect("heads serialize");
            let key = record::head_key(shard);
            let call = store.put(&key, store::Expect::Version(version), &value);
            append::with_timeout(timeout, call).await.ok();
        }
        Ended::Drained
    }

    /// Redirects all undecided claims and releases to the new owner; none of them is in the log.
    fn step_down(&mut self) {
        for reply in self.take_waiting() {
            reply.send(entry::Decision::Elsewhere { owner: None }).ok();
        }
        let releases = mem::take(&mut self.releases);
        for reply in releases.into_values().flatten() {
            reply.send(actor::Released::Elsewhere(None)).ok();
        }
    }
}

/// Waits for the append in flight; never completes if there is none.
async fn append_outcome(call: &mut Option<AppendFuture>) -> append::Outcome {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
