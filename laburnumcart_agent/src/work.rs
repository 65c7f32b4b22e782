//! Admission, queue and slots of one target, under one lock.

use std::{
    collections,
    sync, //
};

use laburnumcart::{
    attempts,
    id,
    lanes,
    unit,
    verdict, //
};
use laburnumcart_daemon::stop;
use laburnumcart_wire::{
    lane,
    stage, //
};
use tokio::{
    sync::Notify,
    time, //
};

/// An admitted attempt as its executor and its readers share it.
#[derive(Debug)]
pub struct Job {
    /// The call.
    pub call: stage::Call,
    /// Time after which the result is of no use.
    pub deadline: time::Instant,
    /// Signals a new chunk or the end.
    pub changed: Notify,
    /// Signals that chunks were acknowledged.
    pub drained: Notify,
    /// Signals that the sender gave the attempt up.
    pub cancelled: Notify,
    /// Holds up a graceful shutdown until the result is settled.
    _guard: stop::Work,
}

/// Limits of the work that one agent takes on.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts that may wait.
    pub queue: usize,
    /// Attempts that the target executes at once.
    pub slots: usize,
    /// Bounds of the table of attempts.
    pub bounds: attempts::Bounds,
    /// Time after which an unused lane is forgotten.
    pub idle: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 256,
            slots: 16,
            bounds: attempts::Bounds {
                retention: time::Duration::from_secs(60),
                bytes: 64 << 20,
                attempts: 16_384,
            },
            idle: time::Duration::from_secs(600),
        }
    }
}

/// Lanes, attempts and queue of one agent.
#[derive(Debug)]
pub struct Work {
    limits: Limits,
    /// Sessions of the lanes.
    pub lanes: lanes::Lanes,
    /// What is known of the attempts.
    pub table: attempts::Table<sync::Arc<Job>>,
    queue: collections::VecDeque<id::AttemptId>,
    running: usize,
    service: Estimate,
}

/// Smoothed mean and deviation of the time that an attempt takes.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    seen: bool,
}

impl Estimate {
    fn add(&mut self, sample: time::Duration) {
        let secs = sample.as_secs_f64();
        if !self.seen {
            *self = Self {
                mean: secs,
                deviation: secs / 2.0,
                seen: true,
            };
            return;
        }
        let error = secs - self.mean;
        self.mean += error / 8.0;
        self.deviation += (error.abs() - self.deviation) / 4.0;
    }

    /// Returns a time below which an attempt almost never finishes.
    fn least(&self) -> time::Duration {
        time::Duration::from_secs_f64((self.mean - 2.0 * self.deviation).max(0.0))
    }
}

impl Work {
    /// Creates the state of an idle agent.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lanes: lanes::Lanes::new(limits.idle),
            table: attempts::Table::new(limits.bounds),
            queue: collections::VecDeque::new(),
            running: 0,
            service: Estimate::default(),
        }
    }

    /// Admits a call of an attempt that is not in the table to the queue.
    pub fn admit(
        &mut self,
        call: stage::Call,
        guard: stop::Work,
        now: time::Instant,
    ) -> Result<sync::Arc<Job>, verdict::Refusal> {
        let lane::Session { lane, number } = call.session;
        self.lanes.check(lane, number, now)?;
        if self.queue.len() >= self.limits.queue {
            return Err(verdict::Refusal::not_run(verdict::Reason::Overloaded));
        }
        if call.remaining.0 < self.service.least() {
            return Err(verdict::Refusal::not_run(verdict::Reason::DeadlineTooShort));
        }
        let ticket = attempts::Ticket {
            request: call.request,
            attempt: call.attempt,
            lane,
            sent: number,
            arrived: now,
            deadline: now + call.remaining.0,
        };
        let job = sync::Arc::new(Job {
            call,
            deadline: ticket.deadline,
            changed: Notify::new(),
            drained: Notify::new(),
            cancelled: Notify::new(),
            _guard: guard,
        });
        self.table.admit(ticket, job.clone())?;
        self.queue.push_back(ticket.attempt);
        Ok(job)
    }

    /// Takes the next attempt that can run now and marks it as running.
    pub fn next(&mut self, now: time::Instant) -> Option<sync::Arc<Job>> {
        while self.running < self.limits.slots {
            let id = self.queue.pop_front()?;
            let Some(job) = self.table.data(id).cloned() else {
                continue;
            };
            if let Some(reason) = self.hopeless(&job, now) {
                self.refuse(&job, reason, now);
                continue;
            }
            if self.table.begin(id, now) {
                self.running += 1;
                return Some(job);
            }
        }
        None
    }

    /// Refuses queued attempts that cannot finish in time any more.
    pub fn expire(&mut self, now: time::Instant) {
        let queue = std::mem::take(&mut self.queue);
        for id in queue {
            let Some(job) = self.table.data(id).cloned() else {
                continue;
            };
            match self.hopeless(&job, now) {
                Some(reason) => self.refuse(&job, reason, now),
                None => self.queue.push_back(id),
            }
        }
    }

    /// Refuses all queued attempts.
    pub fn clear(&mut self, reason: verdict::Reason, now: time::Instant) {
        for id in std::mem::take(&mut self.queue) {
            if let Some(job) = self.table.data(id).cloned() {
                self.refuse(&job, reason, now);
            }
        }
    }

    /// Gives up an attempt on behalf of its sender.
    pub fn cancel(&mut self, id: id::AttemptId, now: time::Instant) {
        let Some(job) = self.table.data(id).cloned() else {
            return;
        };
        job.cancelled.notify_one();
        self.refuse(&job, verdict::Reason::Cancelled, now);
        self.table.release(id);
        self.queue.retain(|queued| *queued != id);
    }

    /// Ends a running attempt and frees its slot.
    pub fn end(&mut self, job: &Job, outcome: Outcome, now: time::Instant) {
        let id = job.call.attempt;
        self.running -= 1;
        match outcome {
            Outcome::Whole => {
                let begun = self.table.begun(id);
                self.table.finish(id, now);
                if let Some(begun) = begun {
                    self.service.add(now - begun);
                }
            }
            Outcome::NotRun(reason, retry) => {
                self.table.refuse(id, reason, retry, true, now);
            }
            Outcome::MayHaveRun(reason) => {
                self.table.fail(id, reason, now);
            }
        }
        job.changed.notify_waiters();
    }

    /// Forgets lanes and results whose time has passed.
    pub fn sweep(&mut self, now: time::Instant) {
        for forgotten in self.table.sweep(now) {
            self.lanes.forget(forgotten.lane, forgotten.sent);
        }
        self.lanes.sweep(now);
    }

    /// Returns the attempts that the target executes.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the attempts that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the attempts that the target can execute at once.
    pub fn slots(&self) -> usize {
        self.limits.slots
    }

    /// Returns the mean time that an attempt takes.
    pub fn service(&self) -> unit::Period {
        unit::Period(time::Duration::from_secs_f64(self.service.mean))
    }

    fn hopeless(&self, job: &Job, now: time::Instant) -> Option<verdict::Reason> {
        if now >= job.deadline {
            return Some(verdict::Reason::DeadlineExceeded);
        }
        let short = job.deadline - now < self.service.least();
        short.then_some(verdict::Reason::DeadlineTooShort)
    }

    fn refuse(&mut self, job: &Job, reason: verdict::Reason, now: time::Instant) {
        self.table
            .refuse(job.call.attempt, reason, None, false, now);
        job.changed.notify_waiters();
    }
}

/// How the execution of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The whole result is in the table.
    Whole,
    /// The target proved that it did not start the attempt.
    NotRun(verdict::Reason, Option<unit::Period>),
    /// The target may have executed the attempt.
    MayHaveRun(verdict::Reason),
}
