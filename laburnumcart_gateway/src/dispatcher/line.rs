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
const EXPIRE: time::Duration = time::Duration::from_millis(10);

type Done = oneshot::Sender<Result<Vec<batch::Handle>, batch::Failure>>;

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
    done: Done,
}

impl Waiter {
    /// Takes the inputs that only this job reads.
    fn consumed(&mut self) -> Vec<batch::Handle> {
        let consumes = std::mem::take(&mut self.consumes);
        match &self.input {
            dialect::Input::Results(handles) if consumes => handles.clone(),
            _ => Vec::new(),
        }
    }
}

/// The queue of one service.
pub(super) struct Line {
    pub(super) queue: batch::Queue,
    pub(super) targets: SecondaryMap<batch::TargetKey, Arc<view::Target>>,
    pub(super) waiters: SecondaryMap<batch::JobKey, Waiter>,
    keys: collections::HashMap<id::TargetLife, batch::TargetKey>,
    ids: collections::HashMap<u64, batch::JobKey>,
    /// Results to free, by the address and the life of their target.
    pub(super) frees: collections::HashMap<(net::SocketAddr, id::Life), Vec<batch::Handle>>,
    /// When it was last looked for what has expired.
    expired: Option<Instant>,
    /// Whether a task will send them.
    pub(super) flushing: bool,
    /// Whether this process is the first choice of owner, as last looked up.
    pub(super) first: bool,
}

impl Line {
    pub(super) fn new(shape: ingress::Batching) -> Self {
        Self {
            queue: batch::Queue::new(shape),
            targets: SecondaryMap::new(),
            waiters: SecondaryMap::new(),
            keys: collections::HashMap::new(),
            ids: collections::HashMap::new(),
            frees: collections::HashMap::new(),
            expired: None,
            flushing: false,
            first: true,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes in the list of targets; what is known of those that stay is kept.
    ///
    /// `gate` returns what holds calls of one to what it takes.
    pub(super) fn update(
        &mut self,
        targets: &[Arc<view::Target>],
        gate: impl Fn(&view::Target) -> quota::Limiter,
    ) {
        let (gone, new) = view::changes(self.keys.keys().cloned(), targets);
        for life in gone {
            if let Some(key) = self.keys.remove(&life) {
                self.queue.targets.remove(key);
                self.targets.remove(key);
            }
        }
        for target in new {
            let key = self.queue.targets.add(target.data_centre.clone());
            self.queue.targets.set_limiter(key, gate(target));
            self.keys.insert(target.key(), key);
            self.targets.insert(key, target.clone());
        }
    }

    pub(super) fn push(&mut self, job: Job, done: Done, now: Instant) {
        let spec = job.spec(now);
        let key = self.queue.push(spec);
        self.ids.insert(job.id, key);
        let waiter = Waiter {
            id: job.id,
            attempt: job.attempt,
            stage: job.stage,
            input: job.input,
            deadline: now + job.deadline.0,
            since: now,
            consumes: job.consumes,
            unread: job.pieces,
            done,
        };
        self.waiters.insert(key, waiter);
    }

    pub(super) fn cancel(&mut self, id: u64, dialect: &dyn dialect::Dialect) {
        if let Some(key) = self.ids.remove(&id) {
            self.waiters.remove(key);
            let made = self.queue.cancel(key);
            made.into_iter()
                .for_each(|handle| self.free(handle, dialect));
        }
    }

    /// Gives up jobs whose time is over, and forgets results that have expired.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<batch::Event> {
        if self.expired.is_some_and(|at| now < at + EXPIRE) {
            return Vec::new();
        }
        self.expired = Some(now);
        self.queue.expire(now)
    }

    /// Gives up the jobs whose inputs have gone with an earlier life of their target.
    ///
    /// Sent to a target, which asks the next life for them, they would fail after the fixed time of
    /// a call.
    pub(super) fn drop_lost(
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
            .flat_map(|key| queue.fail_job(key, batch::Failure::Gone));
        gone.collect()
    }

    /// Takes in that the pieces of a call have read their inputs; returns what nothing else reads.
    pub(super) fn read(&mut self, pieces: &[batch::Piece]) -> Vec<batch::Handle> {
        let mut read = Vec::new();
        for piece in pieces {
            let Some(waiter) = self.waiters.get_mut(piece.job) else {
                continue;
            };
            waiter.unread = waiter.unread.saturating_sub(1);
            if waiter.unread == 0 {
                read.extend(waiter.consumed());
            }
        }
        read
    }

    /// Tells those who wait of what a call has decided.
    pub(super) fn settle(&mut self, events: Vec<batch::Event>, dialect: &dyn dialect::Dialect) {
        for event in events {
            match event {
                batch::Event::Done(key, handles) => self.done(key, Ok(handles), dialect),
                batch::Event::Failed(key, failure) => self.done(key, Err(failure), dialect),
                batch::Event::Orphan(handle) => self.free(handle, dialect),
            }
        }
    }

    /// Collects a result that is to be freed.
    ///
    /// Its room counts as taken until the target has freed it, or the next call could come first
    /// and find no room.
    pub(super) fn free(&mut self, handle: batch::Handle, dialect: &dyn dialect::Dialect) {
        if let Some(addr) = dialect.holder(&handle) {
            let holder = (addr, handle.life);
            self.frees.entry(holder).or_default().push(handle);
        }
    }

    /// Keeps results to be freed later, those that have not expired by themselves.
    pub(super) fn keep(
        &mut self,
        holder: (net::SocketAddr, id::Life),
        handles: Vec<batch::Handle>,
    ) {
        let held = |handle: &batch::Handle| self.queue.targets.has_result(handle);
        let held: Vec<_> = handles.into_iter().filter(held).collect();
        if !held.is_empty() {
            self.frees.entry(holder).or_default().extend(held);
        }
    }

    fn done(
        &mut self,
        key: batch::JobKey,
        result: Result<Vec<batch::Handle>, batch::Failure>,
        dialect: &dyn dialect::Dialect,
    ) {
        let Some(waiter) = self.waiters.remove(key) else {
            for handle in result.unwrap_or_default() {
                self.free(handle, dialect);
            }
            return;
        };
        self.ids.remove(&waiter.id);
        if let Err(Ok(unwanted)) = waiter.done.send(result) {
            unwanted
                .into_iter()
                .for_each(|handle| self.free(handle, dialect));
        }
    }
}
