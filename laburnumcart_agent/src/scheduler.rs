//! Scheduler of one target: admission, fair queue and execution slots, under one lock.

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

/// Quantile of a stage's execution time; an attempt with less time left is refused.
const MIN_TIME_QUANTILE: f64 = 0.05;

/// Time after a crash in which no target restarts: an attempt that starts within it and fails has met
/// a port or a connection that the crash has not closed yet.
const RESTART_MIN: time::Duration = time::Duration::from_millis(100);

/// Most failed attempts whose content is kept until their failure is explained.
const FAILED_MAX: usize = 64;

/// Limits on the work that one agent accepts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most attempts in the queue.
    pub queue: usize,
    /// Limits of the table of attempts.
    pub table: attempts::Limits,
    /// Time after which an unused lane expires.
    pub lane_idle: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 1024,
            table: attempts::Limits {
                retention: time::Duration::from_secs(60),
                bytes: 64 << 20,
                attempts: 16_384,
            },
            lane_idle: time::Duration::from_secs(600),
        }
    }
}

type SharedJob = sync::Arc<job::Job>;

/// An attempt in execution at the target.
#[derive(Debug)]
struct Running {
    job: SharedJob,
    /// Number of crashes that were recorded before it started.
    crashes: u64,
    started: time::Instant,
}
type StageKey = (id::PipelineName, id::StageName);

/// Lanes, attempts and queue of one agent.
#[derive(Debug)]
pub struct Scheduler {
    /// Sessions of the lanes.
    pub lanes: lanes::Lanes,
    /// State and results of the attempts.
    pub table: attempts::Table<SharedJob>,
    queue: fair::Queue<SharedJob>,
    teams: teams::Teams,
    /// Keys of the queued attempts in `queue`.
    entry_keys: collections::HashMap<id::AttemptId, fair::EntryKey>,
    /// Dequeued attempts with suspected content, which wait until no other suspect runs.
    held_suspects: collections::VecDeque<SharedJob>,
    running: collections::HashMap<id::AttemptId, Running>,
    /// Number of recorded crashes of the target.
    crashes: u64,
    crashed_at: Option<time::Instant>,
    limit: concurrency::Limit,
    stage_times: estimate::Estimates<StageKey>,
    throughput: estimate::Throughput,
    mean_time: Option<time::Duration>,
    /// Content of failed attempts for which it is unknown whether the target crashed.
    failed_content: Vec<id::Fingerprint>,
}

impl Scheduler {
    /// Creates the state of an idle agent.
    pub fn new(limits: Limits, now: time::Instant) -> Self {
        Self {
            lanes: lanes::Lanes::new(limits.lane_idle),
            table: attempts::Table::new(limits.table),
            queue: fair::Queue::new(limits.queue),
            teams: teams::Teams::default(),
            entry_keys: collections::HashMap::new(),
            held_suspects: collections::VecDeque::new(),
            running: collections::HashMap::new(),
            crashes: 0,
            crashed_at: None,
            limit: concurrency::Limit::new(),
            stage_times: estimate::Estimates::default(),
            throughput: estimate::Throughput::new(now),
            mean_time: None,
            failed_content: Vec::new(),
        }
    }

    /// Applies a bundle's teams and retention time.
    pub fn configure(&mut self, bundle: &bundle::Bundle) {
        self.teams.configure(bundle, &mut self.queue);
        self.table.set_retention(bundle.limits.result_retention.0);
    }

    /// Admits a call to the queue; its attempt must not be in the table yet.
    pub fn admit(
        &mut self,
        call: stage::Call,
        guard: stop::Work,
        now: time::Instant,
    ) -> Result<SharedJob, verdict::Refusal> {
        let lane::Session { lane, number } = call.session;
        self.lanes.check(lane, number, now)?;
        let stage = (call.pipeline.clone(), call.stage.clone());
        self.check_deadline(&call, &stage, now)?;
        let descriptor = attempts::Descriptor {
            request: call.request,
            attempt: call.attempt,
            lane,
            session: number,
            arrived: now,
            deadline: now + call.remaining.0,
        };
        let team = self.teams.key(&call.team, &mut self.queue);
        let cost = self.expected_cost(&stage, now);
        let job = job::Job::new(call, descriptor.deadline, team, cost, guard);
        let job = sync::Arc::new(job);
        self.table.admit(descriptor, job.clone())?;
        let pushed = self.queue.push(team, queue_request(&job));
        self.entry_keys.insert(descriptor.attempt, pushed.key);
        if let Some(dropped) = pushed.dropped {
            self.refuse(&dropped.request.value, dropped.refusal, now);
        }
        Ok(job)
    }

    /// Marks the next attempt that can start now as running and returns it.
    pub fn start_next(
        &mut self,
        suspects: &suspects::Suspects,
        now: time::Instant,
    ) -> Option<SharedJob> {
        while self.running.len() < self.limit.get() as usize {
            let job = match self.pop_held(suspects, now) {
                Some(job) => job,
                None => self.queue.pop(now)?.request.value,
            };
            self.entry_keys.remove(&job.call.attempt);
            if let Some(refusal) = self.start_refusal(&job, suspects, now) {
                self.refuse(&job, refusal, now);
            } else if !self.can_run(&job, suspects, now) {
                self.held_suspects.push_back(job);
            } else if self.table.mark_running(job.call.attempt, now) {
                let running = Running {
                    job: job.clone(),
                    crashes: self.crashes,
                    started: now,
                };
                self.running.insert(job.call.attempt, running);
                return Some(job);
            }
        }
        None
    }

    /// Cancels an attempt for its sender and drops its result.
    pub fn cancel(&mut self, id: id::AttemptId, now: time::Instant) {
        let Some(job) = self.table.data(id).cloned() else {
            return;
        };
        job.cancelled.notify_one();
        let refusal = verdict::Refusal::not_run(verdict::Reason::Cancelled);
        self.refuse(&job, refusal, now);
        self.table.forget(id);
    }

    /// Records the outcome of a running attempt and releases its slot.
    ///
    /// An attempt that the target failed stays unsettled until [`Scheduler::record_failure`].
    pub fn record_outcome(&mut self, job: &job::Job, outcome: job::Outcome, now: time::Instant) {
        let id = job.call.attempt;
        let in_flight = self.running.len() as u32;
        let running = self.running.remove(&id);
        // The content of an attempt that ran at a crash belongs to that crash already.
        let is_explained = running.is_some_and(|running| self.is_part_of_crash(&running));
        let started = self.table.started_at(id).unwrap_or(now);
        self.charge_team(job, now - started);
        match outcome {
            job::Outcome::Completed => {
                self.record_duration(job, now - started, in_flight, now);
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
                    self.record_failure(job, reason, now);
                } else if !is_explained && self.failed_content.len() < FAILED_MAX {
                    self.failed_content.push(job.call.fingerprint);
                }
            }
        }
        job.changed.notify_waiters();
    }

    /// Settles an attempt as failed and possibly executed, which its sender then sees.
    ///
    /// For an attempt that the target failed this comes after [`Scheduler::record_outcome`], once it
    /// is known whether the target crashed.
    pub fn record_failure(&mut self, job: &job::Job, reason: verdict::Reason, now: time::Instant) {
        self.table.fail(job.call.attempt, reason, now);
        job.changed.notify_waiters();
    }

    /// Refuses waiting attempts past their deadline, and drops expired lanes and results.
    pub fn expire(&mut self, now: time::Instant) {
        self.queue.expire(now);
        for dropped in self.queue.take_expired() {
            self.refuse(&dropped.request.value, dropped.refusal, now);
        }
        let held = std::mem::take(&mut self.held_suspects);
        let late: Vec<SharedJob>;
        (late, self.held_suspects) = split_late(held, now);
        for job in late {
            let reason = verdict::Reason::DeadlineExceeded;
            self.refuse(&job, verdict::Refusal::not_run(reason), now);
        }
        for forgotten in self.table.expire(now) {
            self.lanes.record_expired(forgotten.lane, forgotten.session);
        }
        self.lanes.expire(now);
    }

    /// Refuses all waiting attempts.
    pub fn refuse_queued(&mut self, reason: verdict::Reason, now: time::Instant) {
        let held = std::mem::take(&mut self.held_suspects);
        let queued = std::iter::from_fn(|| self.queue.pop(now).map(|p| p.request.value));
        let queued: Vec<SharedJob> = queued.collect();
        for job in held.into_iter().chain(queued) {
            self.refuse(&job, verdict::Refusal::not_run(reason), now);
        }
    }

    /// Returns the number of failures for which it is still unknown whether the target crashed.
    pub fn unexplained_failures(&self) -> usize {
        self.failed_content.len()
    }

    /// Drops the oldest failures, now explained: the target is healthy or its crash is recorded.
    pub fn mark_explained(&mut self, failures: usize) {
        self.failed_content
            .drain(..failures.min(self.failed_content.len()));
    }

    /// Records a crash of the target; returns the content of all attempts that ran there.
    ///
    /// None of it starts until [`Scheduler::mark_explained`] is told of all failures.
    pub fn record_crash(&mut self, now: time::Instant) -> Vec<id::Fingerprint> {
        self.crashes += 1;
        self.crashed_at = Some(now);
        let running = self
            .running
            .values()
            .map(|other| other.job.call.fingerprint);
        let suspects: collections::BTreeSet<_> =
            running.chain(self.failed_content.drain(..)).collect();
        self.failed_content.extend(&suspects);
        suspects.into_iter().collect()
    }

    /// Reports whether there are failures that are not explained yet.
    pub fn has_unexplained(&self) -> bool {
        self.unexplained_failures() > 0
    }

    /// Reports whether there are unexplained failures and no attempt is running.
    pub fn has_failed_all(&self) -> bool {
        self.has_unexplained() && self.running.is_empty()
    }

    /// Returns the number of attempts in execution at the target.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting attempts, including held suspects.
    pub fn queued_count(&self) -> usize {
        self.queue.len() + self.held_suspects.len()
    }

    /// Returns the concurrency limit: how many attempts the target can execute at once without
    /// slowing down.
    pub fn concurrency_limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the moving average of an attempt's execution time at the target.
    pub fn mean_service_time(&self) -> unit::Period {
        unit::Period(self.mean_time.unwrap_or_default())
    }

    /// Refuses a call that cannot meet its deadline behind the waiting attempts.
    fn check_deadline(
        &mut self,
        call: &stage::Call,
        stage: &StageKey,
        now: time::Instant,
    ) -> Result<(), verdict::Refusal> {
        let remaining = estimate::Remaining {
            time_left: call.remaining.0,
            // The order depends on team and priority, which only the queue knows.
            queued: 0,
            stage_time: self
                .stage_times
                .quantile(stage, MIN_TIME_QUANTILE, now)
                .unwrap_or_default(),
        };
        estimate::check_deadline(&remaining, &mut self.throughput, now, &mut rand::rng())
    }

    /// Reports whether the failure of an attempt belongs to the last recorded crash.
    fn is_part_of_crash(&self, running: &Running) -> bool {
        let is_early = |crashed: time::Instant| running.started < crashed + RESTART_MIN;
        running.crashes < self.crashes || self.crashed_at.is_some_and(is_early)
    }

    fn expected_cost(&self, stage: &StageKey, now: time::Instant) -> u32 {
        let median = self.stage_times.quantile(stage, 0.5, now);
        median.map_or(1, millis)
    }

    fn pop_held(&mut self, suspects: &suspects::Suspects, now: time::Instant) -> Option<SharedJob> {
        // An attempt that must be refused by now is taken too, so that the caller refuses it.
        let is_ready = |job: &SharedJob| {
            self.can_run(job, suspects, now) || self.start_refusal(job, suspects, now).is_some()
        };
        let index = self.held_suspects.iter().position(is_ready)?;
        self.held_suspects.remove(index)
    }

    fn can_run(&self, job: &job::Job, suspects: &suspects::Suspects, now: time::Instant) -> bool {
        let fingerprint = job.call.fingerprint;
        // While failures are unexplained, a crash is not among the facts yet. Content that just
        // crashed the target would otherwise start again as soon as the target is back.
        let is_suspect = suspects.status(fingerprint, now) != suspects::Status::Clean;
        if self.has_unexplained() && (is_suspect || self.failed_content.contains(&fingerprint)) {
            return false;
        }
        let running = self.running.values();
        let running = running.map(|other| other.job.call.fingerprint);
        suspects.can_run(fingerprint, running, now)
    }

    /// Returns the refusal of a waiting attempt that must not start any more.
    fn start_refusal(
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
        let min_time = self
            .stage_times
            .quantile(&stage, MIN_TIME_QUANTILE, now)
            .unwrap_or_default();
        let is_short = job.deadline - now < min_time;
        is_short.then(|| verdict::Refusal::not_run(verdict::Reason::DeadlineTooShort))
    }

    fn refuse(&mut self, job: &job::Job, refusal: verdict::Refusal, now: time::Instant) {
        if let Some(key) = self.entry_keys.remove(&job.call.attempt) {
            self.queue.remove(key);
        }
        self.table.refuse(job.call.attempt, refusal, false, now);
        job.changed.notify_waiters();
    }

    /// Corrects the cost charged to a team to the measured time of its attempt.
    fn charge_team(&mut self, job: &job::Job, busy: time::Duration) {
        self.queue.correct_cost(job.team, job.cost_ms, millis(busy));
    }

    fn record_duration(
        &mut self,
        job: &job::Job,
        busy: time::Duration,
        in_flight: u32,
        now: time::Instant,
    ) {
        // The duration of a stream grows with its length; the time per piece is comparable.
        let pieces = self.table.chunk_count(job.call.attempt).max(1);
        self.limit.record_latency(busy / pieces, in_flight, now);
        let stage = (job.call.pipeline.clone(), job.call.stage.clone());
        self.stage_times.record(stage, busy, now);
        self.throughput.record(now);
        self.mean_time = Some(self.mean_time.map_or(busy, |mean| (mean * 7 + busy) / 8));
    }
}

/// Splits jobs into those past their deadline and the others.
fn split_late(
    jobs: collections::VecDeque<SharedJob>,
    now: time::Instant,
) -> (Vec<SharedJob>, collections::VecDeque<SharedJob>) {
    let (late, rest): (Vec<_>, Vec<_>) = jobs.into_iter().partition(|job| job.deadline <= now);
    (late, rest.into())
}

fn millis(period: time::Duration) -> u32 {
    period.as_millis().try_into().unwrap_or(u32::MAX).max(1)
}

fn queue_request(job: &SharedJob) -> fair::Request<SharedJob> {
    fair::Request {
        priority: job.call.priority,
        deadline: job.deadline,
        cost: job.cost_ms,
        value: job.clone(),
    }
}
