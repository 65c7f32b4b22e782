//! The task of a shard while this process owns it.

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
type Asked = (record::Grant, Reply);
type Call = pin::Pin<Box<dyn Future<Output = append::Outcome> + Send>>;

/// A shard just taken over, and the claim that it was taken for.
pub(super) struct Start {
    pub(super) log: Box<log::Log>,
    pub(super) grant: record::Grant,
    pub(super) reply: Reply,
}

/// Why the ownership ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ended {
    /// Another process has sealed the epoch.
    Sealed,
    /// This process has sealed it on its way out.
    Drained,
    /// The service was dropped.
    Closed,
}

/// State of the owner beside its log.
struct Owner<'a, S> {
    context: &'a actor::Context<S>,
    log: Box<log::Log>,
    /// Replies by claim, sent when its batch is durable.
    waiting: collections::HashMap<(id::Fingerprint, id::RequestId), Vec<Reply>>,
    /// Claims of keys that a batch changes, asked again when it is settled.
    parked: Vec<Asked>,
    /// Decisions that hold if this process still is the owner when the batch is durable.
    unconfirmed: collections::BTreeMap<log::Batch, Vec<(entry::Decision, Reply)>>,
    releases: collections::BTreeMap<log::Batch, Vec<oneshot::Sender<actor::Released>>>,
    flight: Vec<record::Record>,
    segments: Vec<compaction::Superseded>,
    /// Whether an append has had no answer and is being settled.
    doubt: sync::Arc<watch::Sender<bool>>,
    down: Option<(clock::Instant, unit::Period)>,
    /// Time reserved for the next append.
    slot: Option<clock::Instant>,
}

/// Serves the shard until it is lost or given up.
pub(super) async fn run<S: store::Store>(
    context: &actor::Context<S>,
    inbox: &mut mpsc::Receiver<actor::Command>,
    start: Start,
) -> Ended {
    let mut owner = Owner {
        context,
        log: start.log,
        waiting: collections::HashMap::new(),
        parked: Vec::new(),
        unconfirmed: collections::BTreeMap::new(),
        releases: collections::BTreeMap::new(),
        flight: Vec::new(),
        segments: Vec::new(),
        doubt: sync::Arc::new(watch::Sender::new(false)),
        down: None,
        slot: None,
    };
    owner.claim(start.grant, start.reply);
    let ended = owner.serve(inbox).await;
    if ended != Ended::Closed {
        owner.step_down();
    }
    ended
}

impl<S: store::Store> Owner<'_, S> {
    async fn serve(&mut self, inbox: &mut mpsc::Receiver<actor::Command>) -> Ended {
        let mut call: Option<Call> = None;
        let mut doubt = self.doubt.subscribe();
        loop {
            if call.is_none() && self.log.wants_snapshot() && !self.snapshot().await {
                return Ended::Sealed;
            }
            let now = clock::Instant::now();
            if call.is_none() && self.slot(now).is_some_and(|slot| slot <= now) {
                self.slot = None;
                call = self.begin();
            }
            let slot = self.slot.filter(|_| call.is_none());
            tokio::select! {
                appended = in_flight(&mut call) => {
                    call = None;
                    if !self.settle(appended) {
                        return Ended::Sealed;
                    }
                }
                Ok(()) = doubt.changed() => {
                    if *doubt.borrow_and_update() {
                        self.refuse_gathered();
                    }
                }
                () = clock::sleep_until(slot.unwrap_or(now)), if slot.is_some() => {}
                command = inbox.recv() => match command {
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

    /// Returns the time reserved for the next append, if anything waits for one.
    fn slot(&mut self, now: clock::Instant) -> Option<clock::Instant> {
        if self.slot.is_none() && self.log.wants_append() {
            let mut pace = self.context.appends.lock().expect("lock is not poisoned");
            let slot = pace.reserve_slot(now);
            // Releases wait through an outage; they are not worth a call of their own each time.
            self.slot = Some(self.down.map_or(slot, |(until, _)| slot.max(until)));
        }
        self.slot
    }

    /// Starts the next append with what has gathered, without those who no longer wait.
    fn begin(&mut self) -> Option<Call> {
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
            self.flight = records.clone();
        }
        let store = self.context.store.clone();
        let limit = self.context.store_timeout;
        let doubt = self.doubt.clone();
        let key = record::segment_key(self.context.shard, self.log.epoch(), append.number);
        Some(Box::pin(async move {
            append::append_segment(&*store, &key, &append.segment, limit, &doubt).await
        }))
    }

    fn claim(&mut self, grant: record::Grant, reply: Reply) {
        if reply.is_closed() {
            return;
        }
        let now = clock::Instant::now();
        let down = self.down.filter(|(until, _)| now < *until);
        if let Some((_, retry)) = down {
            let reason = verdict::Reason::ClaimUnavailable;
            return self.context.refuse(reply, reason, retry);
        }
        // Behind an append without an answer there is no telling how long a claim would wait.
        if *self.doubt.borrow() {
            let reason = verdict::Reason::ClaimUnavailable;
            return self.context.refuse(reply, reason, claims::RETRY_DELAY);
        }
        match self.log.claim(grant.clone(), now) {
            log::Outcome::Granted => self.confirm(entry::Decision::Granted, reply),
            log::Outcome::Queued(_) => {
                let waiting = self.waiting.entry((grant.key, grant.request));
                waiting.or_default().push(reply);
            }
            log::Outcome::Wait(_) => self.parked.push((grant, reply)),
            log::Outcome::Taken(old) => {
                self.context.metrics.taken.inc();
                let taken = entry::Decision::Taken {
                    request: old.request,
                    content: old.content,
                    holder: old.holder,
                };
                self.confirm(taken, reply);
            }
            log::Outcome::Full => {
                let reason = verdict::Reason::Overloaded;
                self.context.refuse(reply, reason, claims::RETRY_DELAY);
            }
        }
    }

    /// Answers from the table once an append has proved that the table is still in force.
    ///
    /// From a paused owner's table, a resend would be sent to a request that gave the key back,
    /// and be told "not run" although another request has run under the key since.
    fn confirm(&mut self, decision: entry::Decision, reply: Reply) {
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
        // Without a reply the grant is withdrawn, or given back once it is durable.
        self.waiting.remove(&(key, request));
        match self.log.release(key, request) {
            Some(batch) => self.releases.entry(batch).or_default().push(reply),
            None => {
                reply.send(actor::Released::Here(false)).ok();
            }
        }
    }

    /// Takes the outcome of the append in flight; `false` when the shard is lost.
    fn settle(&mut self, appended: append::Outcome) -> bool {
        if self.doubt.send_replace(false) {
            self.context.metrics.unanswered.inc();
        }
        match appended {
            append::Outcome::Durable(version) => self.durable(version),
            append::Outcome::Refused(retry) => self.refused(retry.unwrap_or(claims::RETRY_DELAY)),
            append::Outcome::Sealed => return false,
        }
        for (grant, reply) in mem::take(&mut self.parked) {
            self.claim(grant, reply);
        }
        true
    }

    fn durable(&mut self, version: store::Version) {
        self.context.metrics.appends.inc();
        let (shard, epoch) = (self.context.shard, self.log.epoch());
        let key = record::segment_key(shard, epoch, self.log.next_segment());
        self.segments.push(compaction::Superseded { key, version });
        self.log.append_succeeded(clock::Instant::now());
        for record in mem::take(&mut self.flight) {
            match record {
                record::Record::Grant(grant) => self.granted(&grant),
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

    /// Takes everyone who waits for a decision.
    fn take_waiting(&mut self) -> Vec<Reply> {
        let waiting = mem::take(&mut self.waiting).into_values().flatten();
        let parked = mem::take(&mut self.parked).into_iter();
        let unconfirmed = mem::take(&mut self.unconfirmed).into_values().flatten();
        let parked = parked.map(|(_, reply)| reply);
        let unconfirmed = unconfirmed.map(|(_, reply)| reply);
        waiting.chain(parked).chain(unconfirmed).collect()
    }

    /// Answers a grant, or gives it back if nobody is there to execute under it.
    fn granted(&mut self, grant: &record::Grant) {
        let replies = self.waiting.remove(&(grant.key, grant.request));
        let mut heard = false;
        for reply in replies.into_iter().flatten() {
            heard |= reply.send(entry::Decision::Granted).is_ok();
        }
        if heard {
            self.context.metrics.granted.inc();
        } else {
            self.log.release(grant.key, grant.request);
        }
    }

    /// Refuses everything that waits: the object service takes no writes.
    fn refused(&mut self, retry: unit::Period) {
        self.log.append_rejected();
        self.log.retain_pending(|_, _| false);
        self.flight.clear();
        self.down = Some((
            clock::Instant::now() + actor::UNAVAILABLE_TIME.min(retry.0),
            retry,
        ));
        for reply in self.take_waiting() {
            let reason = verdict::Reason::ClaimUnavailable;
            self.context.refuse(reply, reason, retry);
        }
        self.answer_releases(false);
    }

    /// Refuses what is in no append, as one before it has had no answer.
    fn refuse_gathered(&mut self) {
        self.log.retain_pending(|_, _| false);
        let sent = |record: &record::Record| (record.key(), record.request());
        let sent: collections::HashSet<_> = self.flight.iter().map(sent).collect();
        let gathered = self.waiting.extract_if(|claim, _| !sent.contains(claim));
        let gathered: Vec<_> = gathered.flat_map(|(_, replies)| replies).collect();
        let parked = mem::take(&mut self.parked);
        let parked = parked.into_iter().map(|(_, reply)| reply);
        let unconfirmed = self
            .unconfirmed
            .split_off(&(self.log.first_unsettled() + 1));
        let unconfirmed = unconfirmed.into_values().flatten();
        let unconfirmed = unconfirmed.map(|(_, reply)| reply);
        for reply in gathered.into_iter().chain(parked).chain(unconfirmed) {
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

    /// Appends a snapshot and has the segments before it deleted; `false` when the shard is lost.
    async fn snapshot(&mut self) -> bool {
        let now = clock::Instant::now();
        let mut parts = Vec::new();
        for (number, segment) in self.log.snapshot(now) {
            let key = record::segment_key(self.context.shard, self.log.epoch(), number);
            let (store, limit) = (&*self.context.store, self.context.store_timeout);
            match append::append_segment(store, &key, &segment, limit, &self.doubt).await {
                append::Outcome::Durable(version) => {
                    self.log.snapshot_part_succeeded(&segment);
                    parts.push(compaction::Superseded { key, version });
                }
                append::Outcome::Sealed => return false,
                append::Outcome::Refused(_) => {
                    // What is there of it is ignored and deleted with the next one.
                    self.segments.append(&mut parts);
                    self.log.postpone_snapshot();
                    break;
                }
            }
            self.doubt.send_replace(false);
        }
        if parts.is_empty() {
            return true;
        }
        let old = mem::replace(&mut self.segments, parts);
        let store = self.context.store.clone();
        let pace = self.context.deletions.clone();
        let sweep =
            compaction::delete_superseded(store, old, None, pace, self.context.store_timeout);
        self.context.runtime.spawn(sweep);
        true
    }

    /// Finishes the append in flight, seals the epoch and leaves the shard without an owner.
    async fn drain(&mut self, mut call: Option<Call>) -> Ended {
        if call.is_some() {
            let appended = in_flight(&mut call).await;
            if !self.settle(appended) {
                return Ended::Sealed;
            }
        }
        let store = &*self.context.store;
        let limit = self.context.store_timeout;
        let (shard, epoch) = (self.context.shard, self.log.epoch());
        let key = record::segment_key(shard, epoch, self.log.next_segment());
        let seal = serde_json::to_string(&record::Segment::Seal(epoch)).expect("seals serialize");
        let call = store.put(&key, store::Expect::Absent, &seal);
        // The next owner seals the epoch itself if this is lost.
        append::with_timeout(limit, call).await.ok();
        if let Ok(Some((head, version))) = takeover::read_head(store, shard, limit).await
            && head.owner == Some(self.context.holder)
        {
            let head = record::Head {
                owner: None,
                ..head
            };
            let value = serde_json::to_string(&head).expect("heads serialize");
            let key = record::head_key(shard);
            let call = store.put(&key, store::Expect::Version(version), &value);
            append::with_timeout(limit, call).await.ok();
        }
        Ended::Drained
    }

    /// Sends everyone who waits to the new owner; nothing of theirs is in the log.
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

/// Waits for the append in flight, or for ever without one.
async fn in_flight(call: &mut Option<Call>) -> append::Outcome {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
