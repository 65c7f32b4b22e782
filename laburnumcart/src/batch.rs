//! Queue of the pieces of stages before the targets that execute them in batches.
//!
//! A call costs a fixed time beside its pieces, so that a target keeps up only with well filled
//! calls. One queue for the callers of all instances fills them. A result takes room at its target
//! until it is freed; a call for which there is no room wastes the call's fixed time, so room is
//! accounted before a call is made.

mod draft;
mod estimate;
mod fit;
mod job;
mod load;
mod order;
mod targets;
mod turns;

use std::collections;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    ingress,
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

/// Most times that a piece is sent to a target before its job fails.
const TRIES: u32 = 4;

/// Why a job was given up; what it made is freed.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Its deadline passed, or will before it can be done.
    #[display("late")]
    Late,
    /// It would be late; after so many milliseconds a new try may not be.
    #[display("busy")]
    Busy(u32),
    /// An input no longer exists.
    #[display("gone")]
    Gone,
    /// Its pieces failed time and again.
    #[display("failed")]
    Failed,
    /// Nobody executes the pieces of this service here, and none were sent.
    #[display("unavailable")]
    Unavailable,
    /// Another process executes the rest of it; some pieces were sent.
    #[display("moved")]
    Moved,
}

/// What the end of a call decides.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// All results of a job, in the order of its pieces.
    Done(JobKey, Vec<Handle>),
    /// A job has failed.
    Failed(JobKey, Failure),
    /// A result that nobody needs any more.
    Orphan(Handle),
}

/// A call to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Target.
    pub target: TargetKey,
    /// Its pieces, in order.
    pub pieces: Vec<Piece>,
}

/// Jobs that wait for one service, and the targets that execute them.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{batch, id, ingress, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let shape = ingress::Batching {
///     pieces: 8,
///     call_time: Duration::from_millis(200),
///     piece_time: Duration::from_millis(20),
///     capacity: unit::Size(1 << 20),
///     ttl: Duration::from_secs(4),
/// };
/// let mut queue = batch::Queue::new(shape);
/// let engine = queue.targets.add("north".parse().unwrap());
/// let spec = batch::Spec::new(2, unit::Size(1000), now + Duration::from_secs(1));
/// let job = queue.push(spec);
/// let call = queue.next_call(now).unwrap();
/// assert_eq!((call.target, call.pieces.len()), (engine, 2));
/// let made = |i| batch::Outcome::Stored(batch::Handle::new(format!("result-{i}"), id::Life(1)));
/// let events = queue.complete_call(&call, vec![made(0), made(1)], now);
/// assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == job));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    shape: ingress::Batching,
    jobs: SlotMap<JobKey, Job>,
    /// Turns of the jobs.
    turns: turns::Turns,
    /// Jobs that will come, by the identity that was announced.
    expected: collections::HashMap<u64, turns::TurnKey>,
    /// Turns of the jobs that will come.
    coming: turns::Turns,
    /// Pieces of jobs on time that calls have taken of late.
    load: load::Load,
    /// Jobs whose pieces wait once more after the last call, with the number of these pieces.
    repeated: Vec<(JobKey, u32)>,
    /// When it was last looked for jobs to give up.
    checked: Option<Instant>,
    /// Targets with their room and speed.
    pub targets: Targets,
}

impl Queue {
    /// Creates a queue without targets.
    pub fn new(shape: ingress::Batching) -> Self {
        Self {
            shape,
            jobs: SlotMap::with_key(),
            turns: turns::Turns::default(),
            expected: collections::HashMap::new(),
            coming: turns::Turns::default(),
            load: load::Load::default(),
            repeated: Vec::new(),
            checked: None,
            targets: Targets::new(shape),
        }
    }

    /// Changes the shape of the calls; those in progress keep theirs.
    pub fn set_batching(&mut self, shape: ingress::Batching) {
        self.shape = shape;
        self.targets.set_shape(shape);
    }

    /// Adds a job.
    pub fn push(&mut self, spec: Spec) -> JobKey {
        let turn = self.turns.add(turns::Turn::new(&spec));
        self.jobs.insert(Job::new(spec, turn))
    }

    /// Returns the number of pieces that wait.
    pub fn waiting_pieces(&self) -> usize {
        self.turns.pieces()
    }

    /// Reports whether a full call waits, so that room is wanted.
    pub fn has_full_batch(&self) -> bool {
        self.waiting_pieces() >= self.shape.pieces
    }

    /// Drops a job that nobody waits for; returns what it has made.
    pub fn cancel(&mut self, key: JobKey) -> Vec<Handle> {
        self.remove(key).map(Job::made).unwrap_or_default()
    }

    fn remove(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.turns.remove(job.turn);
        Some(job)
    }

    /// Gives up the jobs whose deadline has passed, and forgets results that have expired.
    pub fn expire(&mut self, now: Instant) -> Vec<Event> {
        self.targets.expire(now);
        // The process that has announced it may be gone.
        let coming = &mut self.coming;
        self.expected.retain(|_, turn| {
            let comes = coming.get(*turn).is_some_and(|turn| turn.due > now);
            if !comes {
                coming.remove(*turn);
            }
            comes
        });
        let mut events = self.give_up(now);
        let passed = |j: &Job| !j.waiting.is_empty() && j.spec.deadline <= now;
        let keys: Vec<_> = self.jobs.iter().filter(|(_, j)| passed(j)).collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| key).collect();
        let passed = keys.into_iter();
        events.extend(passed.flat_map(|key| self.fail_job(key, Failure::Late)));
        events
    }

    /// Gives up the jobs that are not wholly in calls, so that another owner takes them.
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

    /// Lists the jobs whose pieces wait once more after the last call, with the number of these
    /// pieces. Who has a bound on that gives up what exceeds it before the next call.
    pub fn requeued_pieces(&self) -> &[(JobKey, u32)] {
        &self.repeated
    }

    /// Chooses the next call, if a target is free and has room.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        let smallest = self.turns.smallest()?;
        if !self.targets.is_any_free(smallest, now) || !self.may_call(now) {
            return None;
        }
        let order = self.order(now);
        let waiting = self.waiting_pieces();
        let mut tried = Vec::new();
        // Size for which no target is left.
        let mut blocked: Option<unit::Size> = None;
        for (first, _) in &order {
            let spec = &self.jobs[*first].spec;
            let size = spec.size;
            if blocked.is_some_and(|blocked| size >= blocked) {
                continue;
            }
            let near = spec.near.clone();
            while let Some(engine) = self.targets.choose(near.as_ref(), size, &tried, now) {
                let most = self.fill(waiting, now);
                let order = self.order_at(engine, &order);
                if let Some(call) = self.call(&order, engine, most, now) {
                    return Some(call);
                }
                tried.push(engine);
            }
            blocked = Some(size);
        }
        None
    }

    /// Makes a call to a free target, if a job fits there.
    fn call(
        &mut self,
        order: &[(JobKey, turns::Place)],
        engine: TargetKey,
        most: usize,
        now: Instant,
    ) -> Option<Call> {
        let mut draft = draft::Draft::new(self.bounds(engine, most));
        for (key, _) in order {
            let job = &self.jobs[*key];
            if !self.targets.allows(engine, &job.spec) || self.is_left(engine, &job.spec, now) {
                continue;
            }
            draft.offer(*key, job.waiting.len(), job.spec.size);
            if draft.is_full() {
                break;
            }
        }
        let jobs = draft.into_jobs();
        self.load.add(self.on_time(&jobs, now), now);
        let pieces = self.reserve(engine, jobs);
        if pieces.is_empty() {
            return None;
        }
        if self.waiting_pieces() >= self.shape.pieces {
            self.targets.filled(pieces.len());
        }
        self.targets.start(engine, pieces.len(), now);
        Some(Call {
            target: engine,
            pieces,
        })
    }

    /// Returns what a target can take in a call of at most so many pieces.
    fn bounds(&self, engine: TargetKey, most: usize) -> draft::Bounds {
        draft::Bounds {
            room: self.targets.room(engine),
            whole: self.shape.capacity,
            most,
            limit: self.shape.pieces,
        }
    }

    /// Takes pieces out of their jobs and reserves room for their results.
    fn reserve(&mut self, engine: TargetKey, jobs: Vec<(JobKey, usize)>) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for (key, count) in jobs {
            let job = &mut self.jobs[key];
            for _ in 0..count {
                self.targets.reserve(engine, job.spec.size);
                pieces.extend(job.take(key));
            }
            self.count(key);
        }
        pieces
    }

    /// Takes in how many pieces of a job wait now.
    fn count(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get(key) {
            let waiting = job.waiting.len() as u32;
            self.turns.set(job.turn, waiting, job.is_started());
        }
    }

    /// Takes the outcomes of a call, one for each of its pieces.
    pub fn complete_call(
        &mut self,
        call: &Call,
        outcomes: Vec<Outcome>,
        now: Instant,
    ) -> Vec<Event> {
        self.targets.finish(call.target, call.pieces.len(), now);
        self.repeated.clear();
        let mut events = Vec::new();
        for (piece, outcome) in call.pieces.iter().zip(outcomes) {
            self.settle(call.target, piece, outcome, now, &mut events);
        }
        events
    }

    /// Takes the failure of a whole call, after which its pieces go elsewhere.
    ///
    /// A call that may have been executed has results at the target that nobody can name. Their
    /// room stays accounted for as long as the target keeps them.
    pub fn fail_call(&mut self, call: &Call, ran: bool, now: Instant) -> Vec<Event> {
        self.targets.fail(call.target, now);
        self.repeated.clear();
        let mut events = Vec::new();
        for piece in &call.pieces {
            match ran {
                true => self.targets.strand(call.target, piece.size, now),
                false => self.targets.release(call.target, piece.size),
            }
            self.again(piece, ran, &mut events);
        }
        events
    }

    /// Frees a result; returns the target that holds it, if it is known.
    pub fn free_result(&mut self, handle: &Handle) -> Option<TargetKey> {
        self.targets.free(handle)
    }

    /// Returns how many pieces the next call should take.
    ///
    /// What waits is spread over the free targets, as smaller calls end sooner; but a call is at
    /// least half full where there is that much, as the fixed time of calls binds the service.
    fn fill(&self, waiting: usize, now: Instant) -> usize {
        let free = self.targets.free_count(now).max(1);
        let half = self.shape.pieces.div_ceil(2);
        waiting
            .div_ceil(free)
            .clamp(half.min(waiting).max(1), self.shape.pieces.max(1))
    }

    fn settle(
        &mut self,
        engine: TargetKey,
        piece: &Piece,
        outcome: Outcome,
        now: Instant,
        events: &mut Vec<Event>,
    ) {
        let Outcome::Stored(handle) = outcome else {
            self.targets.release(engine, piece.size);
            match outcome {
                Outcome::Late => events.extend(self.fail_job(piece.job, Failure::Late)),
                Outcome::Gone => events.extend(self.fail_job(piece.job, Failure::Gone)),
                Outcome::NoRoom => {
                    self.targets.crowd(engine, piece.size, now);
                    self.again(piece, false, events);
                }
                _ => self.again(piece, true, events),
            }
            return;
        };
        self.targets.hold(engine, &handle, piece.size, now);
        let Some(job) = self.jobs.get_mut(piece.job) else {
            events.push(Event::Orphan(handle));
            return;
        };
        job.done[piece.index as usize] = Some(handle);
        if job.is_done()
            && let Some(job) = self.remove(piece.job)
        {
            events.push(Event::Done(piece.job, job.made()));
        }
    }

    /// Queues a piece once more; `counts` says whether a target may have worked on it.
    fn again(&mut self, piece: &Piece, counts: bool, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(piece.job) else {
            return;
        };
        job.waiting.push_front(piece.index);
        match self.repeated.last_mut() {
            Some((key, count)) if *key == piece.job => *count += 1,
            _ => self.repeated.push((piece.job, 1)),
        }
        if counts {
            job.tries += 1;
        }
        let is_spent = job.tries >= TRIES * job.spec.pieces;
        self.count(piece.job);
        if is_spent {
            events.extend(self.fail_job(piece.job, Failure::Failed));
        }
    }

    /// Gives up a job.
    pub fn fail_job(&mut self, key: JobKey, failure: Failure) -> Vec<Event> {
        let Some(job) = self.remove(key) else {
            return Vec::new();
        };
        let orphans = job.made().into_iter().map(Event::Orphan);
        orphans.chain([Event::Failed(key, failure)]).collect()
    }
}
