//! Order of the waiting jobs, and preference for targets near their inputs.

use std::time;

use tokio::time::Instant;

use crate::batch::{
    Job, JobKey, Queue, Spec, TargetKey,
    schedule::{
        Entry,
        Position, //
    },
};

/// Delay of a job's due time at a target in another data centre, in milliseconds per mebibyte
/// transferred.
///
/// Traffic between data centres is billed; a short delay is not, while a job has time.
const TRANSFER_MS_PER_MIB: u64 = 35;

/// Longest such delay.
const TRANSFER_PENALTY_MAX: time::Duration = time::Duration::from_millis(150);

/// Least delay with which a job waits for a target in its preferred data centre.
const WAIT_PENALTY_MIN: time::Duration = time::Duration::from_millis(15);

/// Share of its slack that a job waits for a target in its preferred data centre.
///
/// The later stages of the request need the rest for waits of their own.
const WAIT_SHARE: f64 = 0.5;

impl Queue {
    /// Lists the jobs with waiting pieces in the order of service.
    ///
    /// Jobs that can still be on time go before late ones; otherwise every job would be served
    /// slightly too late under overload.
    pub(super) fn sorted_jobs(&self, now: Instant) -> Vec<(JobKey, Position)> {
        let horizon = self.horizon(now);
        let entry = |job: &Job| self.schedule.get(job.entry).filter(|e| e.pieces > 0);
        let waiting = self
            .jobs
            .iter()
            .filter_map(|(key, job)| Some((key, entry(job)?)));
        let order = waiting.map(|(key, entry)| (key, self.entry_position(entry, horizon)));
        let mut order: Vec<_> = order.collect();
        order.sort_unstable_by_key(|(_, position)| *position);
        if self.is_short() {
            self.advance_floors(&mut order);
        }
        order
    }

    /// Returns the position of a job that has not started.
    pub(super) fn position(&self, spec: &Spec, now: Instant) -> Position {
        self.entry_position(&Entry::new(spec), self.horizon(now))
    }

    /// Returns the earliest due time that can still be met.
    pub(super) fn horizon(&self, now: Instant) -> Instant {
        now + self.batching.call_time + self.batching.piece_time
    }

    /// Returns by how much a job's due time is delayed at a target outside its preferred data
    /// centre.
    pub(super) fn transfer_penalty(&self, target: TargetKey, spec: &Spec) -> time::Duration {
        if !self.targets.is_remote(target, spec.near.as_ref()) {
            return time::Duration::ZERO;
        }
        let millis = spec.moved.0.saturating_mul(TRANSFER_MS_PER_MIB) >> 20;
        time::Duration::from_millis(millis).min(TRANSFER_PENALTY_MAX)
    }

    /// Reports whether a target in the job's preferred data centre is idle, or will be soon enough
    /// for the job to wait for it.
    ///
    /// Each piece reads all its inputs, so a call in another data centre transfers far more than it
    /// produces, and the next idle target is seldom a near one. A job with slack therefore waits
    /// for a near target that is busy; under congestion no job has slack.
    pub(super) fn has_nearer_target(&self, target: TargetKey, spec: &Spec, now: Instant) -> bool {
        if self.transfer_penalty(target, spec) < WAIT_PENALTY_MIN {
            return false;
        }
        let wait = self.targets.local_wait(spec.near.as_ref(), spec.size, now);
        let Some(wait) = wait else {
            return false;
        };
        wait.is_zero() || wait <= self.slack(spec, now).mul_f64(WAIT_SHARE)
    }

    /// Returns the time between the end of a full call that starts now and the due time of a job.
    fn slack(&self, spec: &Spec, now: Instant) -> time::Duration {
        let call = self.targets.nominal_call_time(self.batching.pieces);
        spec.due.saturating_duration_since(now).saturating_sub(call)
    }

    /// Sorts jobs for one target, with the transfer penalty added to their due times.
    pub(super) fn sorted_for_target(
        &self,
        target: TargetKey,
        order: &[(JobKey, Position)],
    ) -> Vec<(JobKey, Position)> {
        let penalty = |key: JobKey| self.transfer_penalty(target, &self.jobs[key].spec);
        let delayed = |key: JobKey, position: &Position| Position {
            due: position.due + penalty(key),
            ..*position
        };
        let sorted = order
            .iter()
            .map(|(key, position)| (*key, delayed(*key, position)));
        let mut sorted: Vec<_> = sorted.collect();
        sorted.sort_by_key(|(_, position)| *position);
        sorted
    }
}
