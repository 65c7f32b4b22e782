//! The queue of one service with those who wait for its jobs.

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
    dialect,
    dispatcher::Job,
    view, //
};

/// Pause between two looks for what has expired; jobs and results last for seconds.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(10);

type ResultSender = oneshot::Sender<Result<Vec<batch::Handle>, batch::Failure>>;

/// Who waits for a job, and what a call of it says.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) attempt: String,
    pub(super) stage: u32,
    pub(super) input: dialect::Input,
    pub(super) deadline: Instant,
    pub(super) since: Instant,
    /// Whether nothing else reads the inputs.
    consumes: bool,
    /// Pieces that have not read their inputs.
    unread: u32,
    sender: ResultSender,
}

impl Waiter {
    /// Takes the inputs that only this job reads.
    fn take_consumed(&mut self) -> Vec<batch::Handle> {
        let consumes = std::mem::take(&mut self.consumes);
        match &self.input {
            dialect::Input::Results(handles) if consumes => handles.clone(),
            _ => Vec::new(),
        }
    }
}

/// The queue of one service.
pub(super) struct OwnedQueue {
    pub(super) queue: batch::Queue,
    pub(super) targets: SecondaryMap<batch::EngineKey, Arc<view::Target>>,
    pub(super) waiters: SecondaryMap<batch::JobKey, Waiter>,
    engine_keys: collections::HashMap<id::TargetLife, batch::EngineKey>,
    job_keys: collections::HashMap<u64, batch::JobKey>,
    /// Results to free, by the address and the life of their target.
    pub(super) to_free: collections::HashMap<(net::SocketAddr, id::Life), Vec<batch::Handle>>,
    /// When it was last looked for what has expired.
    last_expiry: Option<Instant>,
    /// Whether a task will send them.
    pub(super) flush_scheduled: bool,
    /// Whether this process is the first choice of owner, as last looked up.
    pub(super) first_choice: bool,
}

impl OwnedQueue {
    pub(super) fn new(shape: ingress::Batching) -> Self {
        Self {
            queue: batch::Queue::new(shape),
            targets: SecondaryMap::new(),
            waiters: SecondaryMap::new(),
            engine_keys: collections::HashMap::new(),
            job_keys: collections::HashMap::new(),
            to_free: collections::HashMap::new(),
            last_expiry: None,
            flush_scheduled: false,
            first_choice: true,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes in the list of targets; what is known of those that stay is kept.
    ///
    /// `gate` returns what holds calls of one to what it takes.
    pub(super) fn update_targets(
        &mut self,
        targets: &[Arc<view::Target>],
        limiter: impl Fn(&view::Target) -> quota::Gate,
    ) {
        let (gone, new) = view::changes(self.engine_keys.keys().cloned(), targets);
        for life in gone {
            if let Some(key) = self.engine_keys.remove(&life) {
                self.queue.engines.remove(key);
                self.targets.remove(key);
            }
        }
        for target in new {
            let key = self.queue.engines.add(target.data_centre.clone());
            self.queue.engines.set_gate(key, limiter(target));
            self.engine_keys.insert(target.key(), key);
            self.targets.insert(key, target.clone());
        }
    }

    pub(super) fn push(&mut self, job: Job, done: ResultSender, now: Instant) {
        let spec = job.spec(now);
        let key = self.queue.push(spec);
        self.job_keys.insert(job.id, key);
        let waiter = Waiter {
            id: job.id,
            attempt: job.attempt,
            stage: job.stage,
            input: job.input,
            deadline: now + job.deadline.0,
            since: now,
            consumes: job.consumes,
            unread: job.pieces,
            sender: done,
        };
        self.waiters.insert(key, waiter);
    }

    pub(super) fn cancel(&mut self, id: u64, dialect: &dyn dialect::Dialect) {
        if let Some(key) = self.job_keys.remove(&id) {
            self.waiters.remove(key);
            let made = self.queue.cancel(key);
            made.into_iter()
                .for_each(|handle| self.schedule_free(handle, dialect));
        }
    }

    /// Gives up jobs whose time is over, and forgets results that have expired.
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

    /// Gives up the jobs whose inputs have gone with an earlier life of their target.
    ///
    /// Sent to a target, which asks the next life for them, they would fail after the fixed time of
    /// a call.
    pub(super) fn fail_lost(
        &mut self,
        targets: &view::Targets,
        dialect: &dyn dialect::Dialect,
    ) -> Vec<batch::Event> {
        let lost = self.waiters.iter();
        let lost = lost.filter(|(_, waiter)| waiter.input.is_lost(targets, dialect));
        let keys: Vec<_> = lost.map(|(key, _)| key).collect();
        let queue = &mut self.queue;
        let gone = keys
            .into_iter()
            .flat_map(|key| queue.fail(key, batch::Failure::Gone));
        gone.collect()
    }

    /// Takes in that the pieces of a call have read their inputs; returns what nothing else reads.
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

    /// Tells those who wait of what a call has decided.
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

    /// Collects a result that is to be freed.
    ///
    /// Its room counts as taken until the target has freed it, or the next call could come first
    /// and find no room.
    pub(super) fn schedule_free(&mut self, handle: batch::Handle, dialect: &dyn dialect::Dialect) {
        if let Some(addr) = dialect.holder(&handle) {
            let holder = (addr, handle.life);
            self.to_free.entry(holder).or_default().push(handle);
        }
    }

    /// Keeps results to be freed later, those that have not expired by themselves.
    pub(super) fn defer_free(
        &mut self,
        holder: (net::SocketAddr, id::Life),
        handles: Vec<batch::Handle>,
    ) {
        let held = |handle: &batch::Handle| self.queue.engines.holds(handle);
        let held: Vec<_> = handles.into_iter().filter(held).collect();
        if !held.is_empty() {
            self.to_free.entry(holder).or_default().extend(held);
        }
    }

    fn complete(
        &mut self,
        key: batch::JobKey,
        result: Result<Vec<batch::Handle>, batch::Failure>,
        dialect: &dyn dialect::Dialect,
    ) {
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
