//! Batch queue of one service: pieces of jobs wait for targets that execute them in batches.
//!
//! A call has a fixed time besides that of its pieces, so targets keep up only with well filled
//! calls. One queue for the callers of all instances fills them. A result occupies room at its
//! target until it is freed, and a call without room for its results wastes its fixed time;
//! therefore room is reserved before a call is sent.

mod builder;
mod estimate;
mod job;
pub(crate) mod load;
mod ordering;
mod precheck;
mod schedule;
mod shortage;
mod targets;

use std::collections;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    ingress,
    shedding,
    unit, //
};

pub use self::{
    job::{
        Handle,
        Job,
        JobKey,
        Outcome,
        Piece,
        Rank,
        Spec, //
    },
    targets::{
        TargetKey,
        Targets, //
    },
};

/// Failed sends per piece, on average over a job, after which the job fails.
const MAX_FAILED_SENDS: u32 = 4;

/// Reason why a job failed; its results are freed.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The deadline passed.
    #[display("late")]
    Late,
    /// The job would miss its objective or deadline; a retry after this many milliseconds may not.
    #[display("busy")]
    Busy(u32),
    /// An input no longer exists.
    #[display("gone")]
    Gone,
    /// Too many sends of its pieces failed.
    #[display("failed")]
    Failed,
    /// This process does not own the queue of the service, and no piece was sent.
    #[display("unavailable")]
    Unavailable,
    /// Another process takes over the rest of the job; some pieces were sent.
    #[display("moved")]
    Moved,
}

/// Consequence of a call's outcome or of a failed job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A job is done, with its results in the order of its pieces.
    Done(JobKey, Vec<Handle>),
    /// A job has failed.
    Failed(JobKey, Failure),
    /// A result is no longer needed and should be freed at its target.
    Orphan(Handle),
}

/// A call to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Target that executes the call.
    pub target: TargetKey,
    /// Pieces in the order in which they are sent.
    pub pieces: Vec<Piece>,
}

/// Queue of the jobs for one service and the targets that execute them.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{batch, id, ingress, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let batching = ingress::Batching {
///     pieces: 8,
///     call_time: Duration::from_millis(200),
///     piece_time: Duration::from_millis(20),
///     capacity: unit::Size(1 << 20),
///     ttl: Duration::from_secs(4),
/// };
/// let mut queue = batch::Queue::new(batching);
/// let target = queue.targets.add("north".parse().unwrap());
/// let spec = batch::Spec::new(2, unit::Size(1000), now + Duration::from_secs(1));
/// let job = queue.push(spec);
/// let call = queue.next_call(now).unwrap();
/// assert_eq!((call.target, call.pieces.len()), (target, 2));
/// let stored = |i| batch::Outcome::Stored(batch::Handle::new(format!("result-{i}"), id::Life(1)));
/// let events = queue.complete_call(&call, vec![stored(0), stored(1)], now);
/// assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == job));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    batching: ingress::Batching,
    jobs: SlotMap<JobKey, Job>,
    /// Entries of the jobs.
    schedule: schedule::Schedule,
    /// Announced jobs by the id of their announcement.
    announced_ids: collections::HashMap<u64, schedule::EntryKey>,
    /// Entries of the announced jobs.
    announced: schedule::Schedule,
    /// Recent throughput of jobs on time.
    load: load::Load,
    /// Shares of the ranks during a shortage; `None` if the queue serves by due time always.
    shedding: Option<shedding::Shedding>,
    /// Pieces that were queued again after the last call.
    requeued: Vec<Piece>,
    /// Time of the last search for jobs that would miss their deadline.
    last_check: Option<Instant>,
    /// Targets with their room and speed.
    pub targets: Targets,
}

impl Queue {
    /// Creates a queue without targets.
    pub fn new(batching: ingress::Batching) -> Self {
        Self {
            batching,
            jobs: SlotMap::with_key(),
            schedule: schedule::Schedule::default(),
            announced_ids: collections::HashMap::new(),
            announced: schedule::Schedule::default(),
            load: load::Load::default(),
            shedding: None,
            requeued: Vec::new(),
            last_check: None,
            targets: Targets::new(batching),
        }
    }

    /// Changes the batching parameters; calls in flight are not affected.
    pub fn set_batching(&mut self, batching: ingress::Batching) {
        self.batching = batching;
        self.targets.set_batching(batching);
    }

    /// Adds a job.
    pub fn push(&mut self, spec: Spec) -> JobKey {
        let entry = self.schedule.add(schedule::Entry::new(&spec));
        self.jobs.insert(Job::new(spec, entry))
    }

    /// Returns the number of waiting pieces.
    pub fn waiting_pieces(&self) -> usize {
        self.schedule.pieces()
    }

    /// Reports whether enough pieces wait to fill a call.
    pub fn has_full_batch(&self) -> bool {
        self.waiting_pieces() >= self.batching.pieces
    }

    /// Removes a job whose caller has gone; returns its results, which should be freed.
    pub fn cancel(&mut self, key: JobKey) -> Vec<Handle> {
        self.remove(key).map(Job::into_results).unwrap_or_default()
    }

    fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.schedule.remove(job.entry);
        Some(job)
    }

    /// Fails the jobs that have passed or would miss their deadline; drops expired results and
    /// announcements.
    pub fn expire(&mut self, now: Instant) -> Vec<Event> {
        self.targets.expire(now);
        self.update_shortage(now);
        // The process that announced the job may have crashed before it withdrew the announcement.
        let announced = &mut self.announced;
        self.announced_ids.retain(|_, entry| {
            let is_current = announced.get(*entry).is_some_and(|entry| entry.due > now);
            if !is_current {
                announced.remove(*entry);
            }
            is_current
        });
        let mut events = self.fail_hopeless(now);
        let passed = |j: &Job| !j.waiting.is_empty() && j.spec.deadline <= now;
        let keys: Vec<_> = self.jobs.iter().filter(|(_, j)| passed(j)).collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| key).collect();
        let passed = keys.into_iter();
        events.extend(passed.flat_map(|key| self.fail_job(key, Failure::Late)));
        events
    }

    /// Fails the jobs with waiting pieces, so that the next owner of the queue takes them.
    pub fn release_unstarted(&mut self) -> Vec<Event> {
        let waiting = self.jobs.iter().filter(|(_, j)| !j.waiting.is_empty());
        let keys: Vec<_> = waiting.map(|(key, _)| key).collect();
        keys.into_iter()
            .flat_map(|key| {
                let failure = match self.jobs[key].sent {
                    true => Failure::Moved,
                    false => Failure::Unavailable,
                };
                self.fail_job(key, failure)
            })
            .collect()
    }

    /// Lists the pieces that were queued again after the last call, those of a job together.
    ///
    /// A caller with a retry budget fails the jobs that exceed it before the next call.
    pub fn requeued_pieces(&self) -> &[Piece] {
        &self.requeued
    }

    /// Returns the next call, if some target is idle and has room for the results.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        self.update_shortage(now);
        let smallest = self.schedule.smallest_result()?;
        if !self.targets.is_any_free(smallest, now) || !self.can_call(now) {
            return None;
        }
        let order = self.sorted_jobs(now);
        let waiting = self.waiting_pieces();
        let mut tried = Vec::new();
        // Result size from which no target is left to try.
        let mut blocked: Option<unit::Size> = None;
        for (first, _) in &order {
            let spec = &self.jobs[*first].spec;
            let size = spec.size;
            if blocked.is_some_and(|blocked| size >= blocked) {
                continue;
            }
            let near = spec.near.clone();
            while let Some(target) = self.targets.choose(near.as_ref(), size, &tried, now) {
                let wanted = self.batch_size(waiting, now);
                let order = self.sorted_for_target(target, &order);
                if let Some(call) = self.build_call(&order, target, wanted, now) {
                    return Some(call);
                }
                tried.push(target);
            }
            blocked = Some(size);
        }
        None
    }

    /// Builds a call to an idle target, if any job fits there.
    fn build_call(
        &mut self,
        order: &[(JobKey, schedule::Position)],
        target: TargetKey,
        wanted: usize,
        now: Instant,
    ) -> Option<Call> {
        let mut builder = builder::CallBuilder::new(self.limits(target, wanted));
        for (key, _) in order {
            let job = &self.jobs[*key];
            let is_allowed = self.targets.is_allowed(target, &job.spec);
            if !is_allowed || self.has_nearer_target(target, &job.spec, now) {
                continue;
            }
            builder.try_add(*key, job.waiting.len(), job.spec.size);
            if builder.is_full() {
                break;
            }
        }
        let jobs = builder.into_jobs();
        self.record_shares(&jobs, now);
        self.load.add(self.pieces_on_time(&jobs, now), now);
        let pieces = self.take_pieces(target, jobs);
        if pieces.is_empty() {
            return None;
        }
        if self.waiting_pieces() >= self.batching.pieces {
            self.targets.record_batch_size(pieces.len());
        }
        self.targets.record_start(target, pieces.len(), now);
        Some(Call { target, pieces })
    }

    /// Returns the limits of a call to a target that should take `wanted` pieces.
    fn limits(&self, target: TargetKey, wanted: usize) -> builder::Limits {
        builder::Limits {
            room: self.targets.room(target),
            capacity: self.batching.capacity,
            wanted,
            max: self.batching.pieces,
            splits: self.is_short(),
        }
    }

    /// Takes pieces from their jobs and reserves room for their results.
    fn take_pieces(&mut self, target: TargetKey, jobs: Vec<(JobKey, usize)>) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for (key, count) in jobs {
            let job = &mut self.jobs[key];
            for _ in 0..count {
                self.targets.reserve(target, job.spec.size);
                pieces.extend(job.take_piece(key));
            }
            self.update_schedule(key);
        }
        pieces
    }

    /// Updates the schedule entry of a job after its waiting pieces have changed.
    fn update_schedule(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get(key) {
            let waiting = job.waiting.len() as u32;
            self.schedule.update(job.entry, waiting, job.is_started());
        }
    }

    /// Records the outcomes of a call, one for each of its pieces.
    pub fn complete_call(
        &mut self,
        call: &Call,
        outcomes: Vec<Outcome>,
        now: Instant,
    ) -> Vec<Event> {
        let pieces = call.pieces.len();
        self.targets.record_completion(call.target, pieces, now);
        self.requeued.clear();
        let mut events = Vec::new();
        for (piece, outcome) in call.pieces.iter().zip(outcomes) {
            self.record_outcome(call.target, piece, outcome, now, &mut events);
        }
        events
    }

    /// Records the failure of a whole call and queues its pieces again.
    ///
    /// A call that may have been executed may have left results at the target whose names are
    /// unknown. Their room stays reserved for as long as the target keeps them.
    pub fn fail_call(&mut self, call: &Call, may_have_run: bool, now: Instant) -> Vec<Event> {
        self.targets.record_failure(call.target, now);
        self.requeued.clear();
        let mut events = Vec::new();
        for piece in &call.pieces {
            match may_have_run {
                true => self.targets.add_unnamed(call.target, piece.size, now),
                false => self.targets.release(call.target, piece.size),
            }
            self.requeue(piece, may_have_run, &mut events);
        }
        events
    }

    /// Releases the room of a result; returns the target that stores it, if the result is known.
    pub fn free_result(&mut self, handle: &Handle) -> Option<TargetKey> {
        self.targets.free_result(handle)
    }

    /// Returns the number of pieces that the next call should have.
    ///
    /// The waiting pieces are spread over the idle targets, because smaller calls end sooner. But a
    /// call is at least half full if that many pieces wait, because the fixed time of calls limits
    /// the throughput of the service. During a shortage it is full if enough pieces wait.
    fn batch_size(&self, waiting: usize, now: Instant) -> usize {
        let free = self.targets.free_count(now).max(1);
        if self.is_short() {
            return self.batching.pieces.max(1);
        }
        let half = self.batching.pieces.div_ceil(2);
        waiting
            .div_ceil(free)
            .clamp(half.min(waiting).max(1), self.batching.pieces.max(1))
    }

    fn record_outcome(
        &mut self,
        target: TargetKey,
        piece: &Piece,
        outcome: Outcome,
        now: Instant,
        events: &mut Vec<Event>,
    ) {
        let Outcome::Stored(handle) = outcome else {
            self.targets.release(target, piece.size);
            match outcome {
                Outcome::Late => events.extend(self.fail_job(piece.job, Failure::Late)),
                Outcome::Gone => events.extend(self.fail_job(piece.job, Failure::Gone)),
                Outcome::NoRoom => {
                    self.targets.record_no_room(target, piece.size, now);
                    self.requeue(piece, false, events);
                }
                _ => self.requeue(piece, true, events),
            }
            return;
        };
        self.targets.add_result(target, &handle, piece.size, now);
        let Some(job) = self.jobs.get_mut(piece.job) else {
            events.push(Event::Orphan(handle));
            return;
        };
        job.results[piece.index as usize] = Some(handle);
        if job.is_done()
            && let Some(job) = self.remove(piece.job)
        {
            events.push(Event::Done(piece.job, job.into_results()));
        }
    }

    /// Queues a piece again; `is_failure` if the target may have worked on it.
    fn requeue(&mut self, piece: &Piece, is_failure: bool, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(piece.job) else {
            return;
        };
        job.waiting.push_front(piece.index);
        self.requeued.push(piece.clone());
        if is_failure {
            job.failed_sends += 1;
        }
        let is_spent = job.failed_sends >= MAX_FAILED_SENDS * job.spec.pieces;
        self.update_schedule(piece.job);
        if is_spent {
            events.extend(self.fail_job(piece.job, Failure::Failed));
        }
    }

    /// Fails a job; its results become orphans.
    pub fn fail_job(&mut self, key: JobKey, failure: Failure) -> Vec<Event> {
        let Some(job) = self.remove(key) else {
            return Vec::new();
        };
        let orphans = job.into_results().into_iter().map(Event::Orphan);
        orphans.chain([Event::Failed(key, failure)]).collect()
    }
}
