//! Which job goes first, and where.

use std::time;

use tokio::time::Instant;

use crate::batch::{
    Job, JobKey, Queue, Spec, TargetKey,
    turns::{
        Place,
        Turn, //
    },
};

/// By how much a job counts as due later at a target in another data centre, in milliseconds for
/// each mebibyte that would cross.
///
/// Bytes between data centres are paid for; a short delay is not, while a job has time.
const FAR_MS_PER_MIB: u64 = 35;

/// Most by which it counts as due later there.
const FAR_MAX: time::Duration = time::Duration::from_millis(150);

/// The same time from which a job is left to a free target that is nearer.
const FAR_LEFT: time::Duration = time::Duration::from_millis(15);

/// Share of the time to spare that a job waits for a nearer target.
///
/// The stages after this one need the rest for waits of their own.
const WAIT_SHARE: f64 = 0.5;

impl Queue {
    /// Lists the jobs with waiting pieces, the first to be served first.
    ///
    /// Jobs that can still be on time go before those that cannot, or under overload every job
    /// would be served just too late.
    pub(super) fn order(&self, now: Instant) -> Vec<(JobKey, Place)> {
        let horizon = self.horizon(now);
        let turn = |job: &Job| self.turns.get(job.turn).filter(|turn| turn.pieces > 0);
        let waiting = self
            .jobs
            .iter()
            .filter_map(|(key, job)| Some((key, turn(job)?)));
        let order = waiting.map(|(key, turn)| (key, turn.place(horizon)));
        let mut order: Vec<_> = order.collect();
        order.sort_unstable_by_key(|(_, place)| *place);
        order
    }

    /// Returns the place of a job that has not begun.
    pub(super) fn place(&self, spec: &Spec, now: Instant) -> Place {
        Turn::new(spec).place(self.horizon(now))
    }

    /// Returns the moment before which what is due can no longer be on time.
    pub(super) fn horizon(&self, now: Instant) -> Instant {
        now + self.shape.call_time + self.shape.piece_time
    }

    /// Returns how much later a job counts as due at a target than where it is best executed.
    pub(super) fn far(&self, engine: TargetKey, spec: &Spec) -> time::Duration {
        if !self.targets.is_far(engine, spec.near.as_ref()) {
            return time::Duration::ZERO;
        }
        let millis = spec.moved.0.saturating_mul(FAR_MS_PER_MIB) >> 20;
        time::Duration::from_millis(millis).min(FAR_MAX)
    }

    /// Reports whether a job is left to a nearer target, which is free or will be in time.
    ///
    /// Each piece reads all its inputs, so that a call in another data centre moves far more than
    /// it makes, and the next free target is seldom a near one. A job that has time waits for one
    /// that is busy instead; under congestion none has.
    pub(super) fn is_left(&self, engine: TargetKey, spec: &Spec, now: Instant) -> bool {
        if self.far(engine, spec) < FAR_LEFT {
            return false;
        }
        let Some(wait) = self.targets.wait_near(spec.near.as_ref(), spec.size, now) else {
            return false;
        };
        wait.is_zero() || wait <= self.spare(spec, now).mul_f64(WAIT_SHARE)
    }

    /// Returns the time that is left once a call that starts now has made a job's results.
    fn spare(&self, spec: &Spec, now: Instant) -> time::Duration {
        let call = self.targets.nominal_call_time(self.shape.pieces);
        spec.due.saturating_duration_since(now).saturating_sub(call)
    }

    /// Puts jobs behind of which much would cross between data centres.
    pub(super) fn order_at(
        &self,
        engine: TargetKey,
        order: &[(JobKey, Place)],
    ) -> Vec<(JobKey, Place)> {
        let far = |key: JobKey| self.far(engine, &self.jobs[key].spec);
        let moved = order
            .iter()
            .map(|(key, (late, due))| (*key, (*late, *due + far(*key))));
        let mut moved: Vec<_> = moved.collect();
        moved.sort_by_key(|(_, rank)| *rank);
        moved
    }
}
