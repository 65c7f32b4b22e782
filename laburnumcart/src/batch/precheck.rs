//! Linear check whether any target can get a call, done before the jobs are sorted.

use tokio::time::Instant;

use crate::{
    batch::{
        Job,
        JobKey,
        Queue,
        TargetKey,
        builder, //
    },
    unit, //
};

impl Queue {
    /// Reports whether some target may get a call.
    ///
    /// The answer `false` is exact; `true` is confirmed only by sorting the jobs. If memory for
    /// results is the bottleneck, targets are idle but have no room for the first job. Sorting a
    /// long queue in vain on each message would starve its owner of processor time.
    pub(super) fn can_call(&self, now: Instant) -> bool {
        let horizon = self.horizon(now);
        let wanted = self.batch_size(self.waiting_pieces(), now);
        let mut targets = self.targets.roomiest(now).into_iter();
        targets.any(|target| self.can_call_target(target, wanted, horizon, now))
    }

    /// Reports whether a target may get a call with up to `wanted` pieces.
    fn can_call_target(
        &self,
        target: TargetKey,
        wanted: usize,
        horizon: Instant,
        now: Instant,
    ) -> bool {
        let mut blocked_size = None;
        while let Some(key) = self.first_job(target, blocked_size, horizon) {
            if blocked_size.is_some() && self.is_short() {
                // Only the first jobs of a rank are ahead by its floor.
                return true;
            }
            let job = &self.jobs[key];
            let is_skipped = !self.targets.is_allowed(target, &job.spec);
            if is_skipped || self.has_nearer_target(target, &job.spec, now) {
                // Another job goes first here; which one is known only after sorting.
                return true;
            }
            let mut builder = builder::CallBuilder::new(self.limits(target, wanted));
            builder.try_add(key, job.waiting.len(), job.spec.size);
            if !builder.into_jobs().is_empty() {
                return true;
            }
            blocked_size = Some(job.spec.size);
        }
        false
    }

    /// Returns the first job at a target among those with results smaller than `below`.
    ///
    /// `horizon` is the earliest due time that can still be met.
    fn first_job(
        &self,
        target: TargetKey,
        below: Option<unit::Size>,
        horizon: Instant,
    ) -> Option<JobKey> {
        let is_small = |size: unit::Size| below.is_none_or(|below| size < below);
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, job)| !job.waiting.is_empty() && is_small(job.spec.size));
        let position = |(key, job): (JobKey, &Job)| {
            let mut position = self.first_position(self.schedule.get(job.entry)?, horizon);
            let need = job.spec.size.0.saturating_mul(job.waiting.len() as u64);
            position.due += self.transfer_penalty(target, &job.spec);
            Some(((position, need), key))
        };
        let first = jobs
            .filter_map(position)
            .min_by_key(|(position, _)| *position);
        first.map(|(_, key)| key)
    }
}
