//! Batch queue of one service, with its targets and the callers that wait for its jobs.

use std::{
    collections,
    net,
    sync::Arc,
    time, //
};

use slotmap::SecondaryMap;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use laburnumcart::{
    batch,
    id,
    ingress,
    quota, //
};

use crate::{
    budgets::pieces,
    dialect,
    dispatcher::{
        Arrival,
        Job, //
    },
    view, //
};

/// Interval at which expired jobs and results are dropped; both last for seconds.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(10);

type ResultSender = oneshot::Sender<Result<Vec<batch::Handle>, batch::Failure>>;

/// Caller that waits for a job, and the data that calls with its pieces carry.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) attempt: String,
    pub(super) stage: u32,
    pub(super) input: dialect::Input,
    pub(super) deadline: Instant,
    pub(super) queued_at: Instant,
    pub(super) content: Option<id::Fingerprint>,
    /// Whether no other stage reads the inputs, and they were not reported as read yet.
    consumes: bool,
    /// Number of pieces that have not read their inputs.
    unread: u32,
    sender: ResultSender,
}

impl Waiter {
    /// Returns the inputs that only this job reads, once.
    fn take_consumed(&mut self) -> Vec<batch::Handle> {
        let consumes = std::mem::take(&mut self.consumes);
        match &self.input {
            dialect::Input::Results(handles) if consumes => handles.clone(),
            _ => Vec::new(),
        }
    }
}

/// Batch queue of one service and its state in this process.
pub(super) struct OwnedQueue {
    pub(super) queue: batch::Queue,
    pub(super) targets: SecondaryMap<batch::TargetKey, Arc<view::Target>>,
    pub(super) waiters: SecondaryMap<batch::JobKey, Waiter>,
    target_keys: collections::HashMap<id::TargetLife, batch::TargetKey>,
    job_keys: collections::HashMap<u64, batch::JobKey>,
    /// Repeated pieces that wait.
    pub(super) repeats: pieces::PieceSends,
    /// Results to free, by the address and start time of their target.
    pub(super) to_free: collections::HashMap<(net::SocketAddr, id::Life), Vec<batch::Handle>>,
    /// When expired jobs and results were last dropped.
    last_expiry: Option<Instant>,
    /// Whether a task is scheduled that frees the collected results.
    pub(super) flush_scheduled: bool,
    /// Whether this process was the first choice of owner at the last check.
    pub(super) first_choice: bool,
}

impl OwnedQueue {
    pub(super) fn new(batching: ingress::Batching, repeats: pieces::PieceSends) -> Self {
        Self {
            queue: batch::Queue::new(batching),
            targets: SecondaryMap::new(),
            waiters: SecondaryMap::new(),
            target_keys: collections::HashMap::new(),
            job_keys: collections::HashMap::new(),
            repeats,
            to_free: collections::HashMap::new(),
            last_expiry: None,
            flush_scheduled: false,
            first_choice: true,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Replaces the list of targets; the state of those that stay is kept.
    ///
    /// `limiter` returns the rate limiter of calls to a target.
    pub(super) fn update_targets(
        &mut self,
        targets: &[Arc<view::Target>],
        limiter: impl Fn(&view::Target) -> quota::Limiter,
    ) {
        let (gone, new) = view::diff_targets(self.target_keys.keys().cloned(), targets);
        for life in gone {
            if let Some(key) = self.target_keys.remove(&life) {
                self.queue.targets.remove(key);
                self.targets.remove(key);
            }
        }
        for target in new {
            let key = self.queue.targets.add(target.data_centre.clone());
            self.queue.targets.set_limiter(key, limiter(target));
            self.target_keys.insert(target.key(), key);
            self.targets.insert(key, target.clone());
        }
    }

    pub(super) fn push(&mut self, job: Job, sender: ResultSender, now: Instant) {
        let spec = job.spec(now);
        let key = self.queue.push(spec);
        if job.arrival == Arrival::Repeated {
            let before = pieces::CallEnd::Arrived;
            for index in 0..job.pieces {
                self.repeats.charge((key, index), &job.attempt, &before);
            }
        }
        self.job_keys.insert(job.id, key);
        let waiter = Waiter {
            id: job.id,
            attempt: job.attempt,
            stage: job.stage,
            input: job.input,
            deadline: now + job.deadline.0,
            queued_at: now,
            content: job.content,
            consumes: job.consumes,
            unread: job.pieces,
            sender,
        };
        self.waiters.insert(key, waiter);
    }

    pub(super) fn cancel(&mut self, id: u64, dialect: &dyn dialect::Dialect) {
        if let Some(key) = self.job_keys.remove(&id) {
            self.waiters.remove(key);
            self.repeats.end_job(key);
            let results = self.queue.cancel(key);
            results
                .into_iter()
                .for_each(|handle| self.schedule_free(handle, dialect));
        }
    }

    /// Fails jobs past their deadline and drops results that have expired.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<batch::Event> {
        if self
            .last_expiry
            .is_some_and(|at| now < at + EXPIRY_INTERVAL)
        {
            return Vec::new();
        }
        self.last_expiry = Some(now);
        self.queue.expire(now)
    }

    /// Fails the jobs whose inputs were lost in a restart of the target that held them.
    ///
    /// In a call they would fail as well, but only after its fixed time.
    pub(super) fn fail_lost_inputs(
        &mut self,
        targets: &view::Targets,
        dialect: &dyn dialect::Dialect,
    ) -> Vec<batch::Event> {
        let lost = self.waiters.iter();
        let lost = lost.filter(|(_, waiter)| waiter.input.is_lost(targets, dialect));
        let keys: Vec<_> = lost.map(|(key, _)| key).collect();
        let queue = &mut self.queue;
        let events = keys
            .into_iter()
            .flat_map(|key| queue.fail_job(key, batch::Failure::Gone));
        events.collect()
    }

    /// Fails the jobs whose content is refused because it crashes targets.
    pub(super) fn fail_refused(
        &mut self,
        is_refused: impl Fn(id::Fingerprint) -> bool,
    ) -> Vec<batch::Event> {
        let refused = self.waiters.iter();
        let refused = refused.filter(|(_, waiter)| waiter.content.is_some_and(&is_refused));
        let keys: Vec<_> = refused.map(|(key, _)| key).collect();
        let queue = &mut self.queue;
        let events = keys
            .into_iter()
            .flat_map(|key| queue.fail_job(key, batch::Failure::Failed));
        events.collect()
    }

    /// Records that the pieces of a call have read their inputs; returns those that are not needed
    /// any more.
    pub(super) fn record_read(&mut self, pieces: &[batch::Piece]) -> Vec<batch::Handle> {
        let mut read = Vec::new();
        for piece in pieces {
            let Some(waiter) = self.waiters.get_mut(piece.job) else {
                continue;
            };
            waiter.unread = waiter.unread.saturating_sub(1);
            if waiter.unread == 0 {
                read.extend(waiter.take_consumed());
            }
        }
        read
    }

    /// Sends results and failures to the waiting callers, and frees results without one.
    pub(super) fn apply_events(
        &mut self,
        events: Vec<batch::Event>,
        dialect: &dyn dialect::Dialect,
    ) {
        for event in events {
            match event {
                batch::Event::Done(key, handles) => self.complete(key, Ok(handles), dialect),
                batch::Event::Failed(key, failure) => self.complete(key, Err(failure), dialect),
                batch::Event::Orphan(handle) => self.schedule_free(handle, dialect),
            }
        }
    }

    /// Adds a result to those that the next call frees.
    ///
    /// Its room stays accounted until the target has freed it, or a batch call could arrive first
    /// and find no room.
    pub(super) fn schedule_free(&mut self, handle: batch::Handle, dialect: &dyn dialect::Dialect) {
        if let Some(addr) = dialect.result_addr(&handle) {
            let holder = (addr, handle.life);
            self.to_free.entry(holder).or_default().push(handle);
        }
    }

    /// Puts back results that could not be freed yet, except those that have expired.
    pub(super) fn defer_free(
        &mut self,
        holder: (net::SocketAddr, id::Life),
        handles: Vec<batch::Handle>,
    ) {
        let is_kept = |handle: &batch::Handle| self.queue.targets.has_result(handle);
        let kept: Vec<_> = handles.into_iter().filter(is_kept).collect();
        if !kept.is_empty() {
            self.to_free.entry(holder).or_default().extend(kept);
        }
    }

    fn complete(
        &mut self,
        key: batch::JobKey,
        result: Result<Vec<batch::Handle>, batch::Failure>,
        dialect: &dyn dialect::Dialect,
    ) {
        self.repeats.end_job(key);
        let Some(waiter) = self.waiters.remove(key) else {
            for handle in result.unwrap_or_default() {
                self.schedule_free(handle, dialect);
            }
            return;
        };
        self.job_keys.remove(&waiter.id);
        if let Err(Ok(unwanted)) = waiter.sender.send(result) {
            unwanted
                .into_iter()
                .for_each(|handle| self.schedule_free(handle, dialect));
        }
    }
}
