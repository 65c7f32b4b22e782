//! Whether any call can be made, before the jobs are sorted for it.

use tokio::time::Instant;

use crate::{
    batch::{
        JobKey,
        Queue,
        TargetKey,
        draft, //
    },
    unit, //
};

impl Queue {
    /// Reports whether some target may get a call; if not, none can.
    ///
    /// Where room binds, targets are free but have none for the job whose turn it is. A long queue
    /// that is sorted in vain at each message starves its owner.
    pub(super) fn may_call(&self, now: Instant) -> bool {
        let horizon = self.horizon(now);
        let most = self.fill(self.waiting_pieces(), now);
        let mut engines = self.targets.roomiest(now).into_iter();
        engines.any(|engine| self.may_fit(engine, most, horizon, now))
    }

    /// Reports whether a target may get a call of at most so many pieces.
    fn may_fit(&self, engine: TargetKey, most: usize, horizon: Instant, now: Instant) -> bool {
        let mut blocked = None;
        while let Some(key) = self.first(engine, blocked, horizon) {
            let job = &self.jobs[key];
            let is_passed = !self.targets.allows(engine, &job.spec);
            if is_passed || self.is_left(engine, &job.spec, now) {
                // Another job goes first here; which one, only the whole order tells.
                return true;
            }
            let mut draft = draft::Draft::new(self.bounds(engine, most));
            draft.offer(key, job.waiting.len(), job.spec.size);
            if !draft.into_jobs().is_empty() {
                return true;
            }
            blocked = Some(job.spec.size);
        }
        false
    }

    /// Returns the job whose turn it is at a target among those with results below a size.
    fn first(
        &self,
        engine: TargetKey,
        below: Option<unit::Size>,
        horizon: Instant,
    ) -> Option<JobKey> {
        let is_small = |size: unit::Size| below.is_none_or(|below| size < below);
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, job)| !job.waiting.is_empty() && is_small(job.spec.size));
        let place = |(key, job): (JobKey, &super::Job)| {
            let (late, due) = self.turns.get(job.turn)?.place(horizon);
            let need = job.spec.size.0.saturating_mul(job.waiting.len() as u64);
            Some(((late, due + self.far(engine, &job.spec), need), key))
        };
        let first = jobs.filter_map(place).min_by_key(|(place, _)| *place);
        first.map(|(_, key)| key)
    }
}
