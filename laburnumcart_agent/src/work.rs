//! Admission, queue and slots of one target, under one lock.

mod teams;

use std::{
    collections,
    sync, //
};

use laburnumcart::{
    attempts,
    bundle,
    concurrency,
    estimate,
    fair,
    id,
    lanes,
    suspects,
    unit,
    verdict, //
};
use laburnumcart_daemon::stop;
use laburnumcart_wire::{
    lane,
    stage, //
};
use tokio::time;

use crate::job;

/// Quantile of a stage's time below which an attempt is hopeless.
const LEAST: f64 = 0.05;

/// Content of failed attempts that is remembered until the target is seen well again.
const LOST_MAX: usize = 64;

/// Limits of the work that one agent takes on.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts that may wait.
    pub queue: usize,
    /// Bounds of the table of attempts.
    pub bounds: attempts::Limits,
    /// Time after which an unused lane is forgotten.
    pub idle: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 1024,
            bounds: attempts::Limits {
                retention: time::Duration::from_secs(60),
                bytes: 64 << 20,
                attempts: 16_384,
            },
            idle: time::Duration::from_secs(600),
        }
    }
}

type Shared = sync::Arc<job::Job>;
type Stage = (id::PipelineName, id::StageName);

/// Lanes, attempts and queue of one agent.
#[derive(Debug)]
pub struct Work {
    /// Sessions of the lanes.
    pub lanes: lanes::Lanes,
    /// What is known of the attempts.
    pub table: attempts::Table<Shared>,
    queue: fair::Queue<Shared>,
    teams: teams::Teams,
    /// Places in the queue.
    waiting: collections::HashMap<id::AttemptId, fair::EntryKey>,
    /// Suspects that wait until no other suspect runs.
    held: collections::VecDeque<Shared>,
    running: collections::HashMap<id::AttemptId, Shared>,
    limit: concurrency::Limit,
    times: estimate::Estimates<Stage>,
    drain: estimate::Throughput,
    mean: Option<time::Duration>,
    /// Content of attempts that the target has failed since it was last seen well.
    lost: Vec<id::Fingerprint>,
}

impl Work {
    /// Creates the state of an idle agent.
    pub fn new(limits: Limits, now: time::Instant) -> Self {
        Self {
            lanes: lanes::Lanes::new(limits.idle),
            table: attempts::Table::new(limits.bounds),
            queue: fair::Queue::new(limits.queue),
            teams: teams::Teams::default(),
            waiting: collections::HashMap::new(),
            held: collections::VecDeque::new(),
            running: collections::HashMap::new(),
            limit: concurrency::Limit::new(),
            times: estimate::Estimates::default(),
            drain: estimate::Throughput::new(now),
            mean: None,
            lost: Vec::new(),
        }
    }

    /// Takes over what a bundle says of teams and retention.
    pub fn configure(&mut self, bundle: &bundle::Bundle) {
        self.teams.configure(bundle, &mut self.queue);
        self.table.set_retention(bundle.limits.result_retention.0);
    }

    /// Admits a call of an attempt that is not in the table to the queue.
    pub fn admit(
        &mut self,
        call: stage::Call,
        guard: stop::Work,
        now: time::Instant,
    ) -> Result<Shared, verdict::Refusal> {
        let lane::Session { lane, number } = call.session;
        self.lanes.check(lane, number, now)?;
        let stage = (call.pipeline.clone(), call.stage.clone());
        self.check(&call, &stage, now)?;
        let ticket = attempts::Descriptor {
            request: call.request,
            attempt: call.attempt,
            lane,
            session: number,
            arrived: now,
            deadline: now + call.remaining.0,
        };
        let team = self.teams.key(&call.team, &mut self.queue);
        let cost = self.cost(&stage, now);
        let job = job::Job::new(call, ticket.deadline, team, cost, guard);
        let job = sync::Arc::new(job);
        self.table.admit(ticket, job.clone())?;
        let pushed = self.queue.push(team, request(&job));
        self.waiting.insert(ticket.attempt, pushed.key);
        if let Some(dropped) = pushed.dropped {
            self.refuse(&dropped.request.value, dropped.refusal, now);
        }
        Ok(job)
    }

    /// Takes the next attempt that can run now and marks it as running.
    pub fn next(&mut self, suspects: &suspects::Suspects, now: time::Instant) -> Option<Shared> {
        while self.running.len() < self.limit.get() as usize {
            let job = match self.take_held(suspects, now) {
                Some(job) => job,
                None => self.queue.pop(now)?.request.value,
            };
            self.waiting.remove(&job.call.attempt);
            if let Some(refusal) = self.hopeless(&job, suspects, now) {
                self.refuse(&job, refusal, now);
            } else if !self.may_run(&job, suspects, now) {
                self.held.push_back(job);
            } else if self.table.mark_running(job.call.attempt, now) {
                self.running.insert(job.call.attempt, job.clone());
                return Some(job);
            }
        }
        None
    }

    /// Gives up an attempt on behalf of its sender.
    pub fn cancel(&mut self, id: id::AttemptId, now: time::Instant) {
        let Some(job) = self.table.data(id).cloned() else {
            return;
        };
        job.cancelled.notify_one();
        let refusal = verdict::Refusal::not_run(verdict::Reason::Cancelled);
        self.refuse(&job, refusal, now);
        self.table.forget(id);
    }

    /// Ends a running attempt and frees its slot.
    pub fn end(&mut self, job: &job::Job, outcome: job::Outcome, now: time::Instant) {
        let id = job.call.attempt;
        let in_flight = self.running.len() as u32;
        self.running.remove(&id);
        let begun = self.table.started_at(id).unwrap_or(now);
        self.account(job, now - begun);
        match outcome {
            job::Outcome::Whole => {
                self.measure(job, now - begun, in_flight, now);
                self.table.finish(id, now);
            }
            job::Outcome::NotRun(reason, retry) => {
                if reason == verdict::Reason::Overloaded {
                    self.limit.record_refusal();
                }
                let refusal = verdict::Refusal::not_run(reason);
                self.table
                    .refuse(id, verdict::Refusal { retry, ..refusal }, true, now);
            }
            job::Outcome::MayHaveRun(reason) => {
                if reason != verdict::Reason::TargetFailed {
                    self.fail(job, reason, now);
                } else if self.lost.len() < LOST_MAX {
                    self.lost.push(job.call.fingerprint);
                }
            }
        }
        job.changed.notify_waiters();
    }

    /// Tells the sender that an attempt may have run.
    ///
    /// An attempt that the target failed has ended before: its sender is told only when it is known
    /// whether the target crashed.
    pub fn fail(&mut self, job: &job::Job, reason: verdict::Reason, now: time::Instant) {
        self.table.fail(job.call.attempt, reason, now);
        job.changed.notify_waiters();
    }

    /// Ends what waits in vain, and forgets lanes and results whose time has passed.
    pub fn sweep(&mut self, now: time::Instant) {
        self.queue.expire(now);
        for dropped in self.queue.take_expired() {
            self.refuse(&dropped.request.value, dropped.refusal, now);
        }
        let held = std::mem::take(&mut self.held);
        let late: Vec<Shared>;
        (late, self.held) = split(held, now);
        for job in late {
            let reason = verdict::Reason::DeadlineExceeded;
            self.refuse(&job, verdict::Refusal::not_run(reason), now);
        }
        for forgotten in self.table.expire(now) {
            self.lanes.record_expired(forgotten.lane, forgotten.session);
        }
        self.lanes.expire(now);
    }

    /// Refuses all that waits.
    pub fn clear(&mut self, reason: verdict::Reason, now: time::Instant) {
        let held = std::mem::take(&mut self.held);
        let queued = std::iter::from_fn(|| self.queue.pop(now).map(|p| p.request.value));
        let queued: Vec<Shared> = queued.collect();
        for job in held.into_iter().chain(queued) {
            self.refuse(&job, verdict::Refusal::not_run(reason), now);
        }
    }

    /// Returns the number of failed attempts of which it is not known yet why the target failed them.
    pub fn unexplained(&self) -> usize {
        self.lost.len()
    }

    /// Takes note that it is known of the oldest failures why: the target is well, or its crash a fact.
    pub fn explain(&mut self, failures: usize) {
        self.lost.drain(..failures.min(self.lost.len()));
    }

    /// Returns the content of all that ran on the target when it went down.
    pub fn suspects(&self) -> Vec<id::Fingerprint> {
        let lost = self.lost.iter().copied();
        let running = self.running.values().map(|job| job.call.fingerprint);
        let all: collections::BTreeSet<_> = running.chain(lost).collect();
        all.into_iter().collect()
    }

    /// Reports whether attempts have failed since the target was last seen well.
    pub fn is_doubtful(&self) -> bool {
        self.unexplained() > 0
    }

    /// Reports whether attempts have failed since the target was last seen well and none runs.
    pub fn is_struck(&self) -> bool {
        self.is_doubtful() && self.running.is_empty()
    }

    /// Returns the attempts that the target executes.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the attempts that wait.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.held.len()
    }

    /// Returns the attempts that the target can execute at once without slowing down.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the smoothed mean of the time that an attempt takes at the target.
    pub fn service(&self) -> unit::Period {
        unit::Period(self.mean.unwrap_or_default())
    }

    /// Refuses a call that can't finish in time behind what waits.
    fn check(
        &mut self,
        call: &stage::Call,
        stage: &Stage,
        now: time::Instant,
    ) -> Result<(), verdict::Refusal> {
        let outlook = estimate::Remaining {
            time_left: call.remaining.0,
            // The queue decides by team and priority who waits for whom.
            queued: 0,
            stage_time: self.times.quantile(stage, LEAST, now).unwrap_or_default(),
        };
        estimate::check_deadline(&outlook, &mut self.drain, now, &mut rand::rng())
    }

    fn cost(&self, stage: &Stage, now: time::Instant) -> u32 {
        let median = self.times.quantile(stage, 0.5, now);
        median.map_or(1, millis)
    }

    fn take_held(&mut self, suspects: &suspects::Suspects, now: time::Instant) -> Option<Shared> {
        // One that was found guilty while it was held can never run; it is taken to be refused.
        let fits = |job: &Shared| {
            self.may_run(job, suspects, now) || self.hopeless(job, suspects, now).is_some()
        };
        let place = self.held.iter().position(fits)?;
        self.held.remove(place)
    }

    fn may_run(&self, job: &job::Job, suspects: &suspects::Suspects, now: time::Instant) -> bool {
        let print = job.call.fingerprint;
        // Until it is known why the target failed, its end is not among the facts: content that has
        // just crashed it would start again at once when it comes back.
        let known = suspects.status(print, now) != suspects::Status::Clean;
        if self.is_doubtful() && (known || self.lost.contains(&print)) {
            return false;
        }
        let running = self.running.values().map(|other| other.call.fingerprint);
        suspects.can_run(print, running, now)
    }

    /// Returns why an attempt that waited must not start any more.
    fn hopeless(
        &self,
        job: &job::Job,
        suspects: &suspects::Suspects,
        now: time::Instant,
    ) -> Option<verdict::Refusal> {
        let refusal = suspects.refusal(job.call.fingerprint, now);
        if refusal.is_some() {
            return refusal;
        }
        if now >= job.deadline {
            return Some(verdict::Refusal::not_run(verdict::Reason::DeadlineExceeded));
        }
        let stage = (job.call.pipeline.clone(), job.call.stage.clone());
        let least = self.times.quantile(&stage, LEAST, now).unwrap_or_default();
        let short = job.deadline - now < least;
        short.then(|| verdict::Refusal::not_run(verdict::Reason::DeadlineTooShort))
    }

    fn refuse(&mut self, job: &job::Job, refusal: verdict::Refusal, now: time::Instant) {
        if let Some(place) = self.waiting.remove(&job.call.attempt) {
            self.queue.remove(place);
        }
        self.table.refuse(job.call.attempt, refusal, false, now);
        job.changed.notify_waiters();
    }

    /// Charges a team what its attempt has really cost.
    fn account(&mut self, job: &job::Job, busy: time::Duration) {
        self.queue.correct_cost(job.team, job.cost, millis(busy));
    }

    fn measure(
        &mut self,
        job: &job::Job,
        busy: time::Duration,
        in_flight: u32,
        now: time::Instant,
    ) {
        // The time of a stream goes by its length; per piece, streams can be compared.
        let pieces = self.table.chunk_count(job.call.attempt).max(1);
        self.limit.record_latency(busy / pieces, in_flight, now);
        let stage = (job.call.pipeline.clone(), job.call.stage.clone());
        self.times.record(stage, busy, now);
        self.drain.record(now);
        self.mean = Some(self.mean.map_or(busy, |mean| (mean * 7 + busy) / 8));
    }
}

/// Parts the jobs whose deadline has passed from the others.
fn split(
    jobs: collections::VecDeque<Shared>,
    now: time::Instant,
) -> (Vec<Shared>, collections::VecDeque<Shared>) {
    let (late, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(|job| job.deadline <= now);
    (late, rest.into())
}

fn millis(period: time::Duration) -> u32 {
    period.as_millis().try_into().unwrap_or(u32::MAX).max(1)
}

fn request(job: &Shared) -> fair::Request<Shared> {
    fair::Request {
        priority: job.call.priority,
        deadline: job.deadline,
        cost: job.cost,
        value: job.clone(),
    }
}
