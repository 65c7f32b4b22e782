//! Times until targets are idle.

use std::time;

use tokio::time::Instant;

use crate::{
    id,
    unit, //
};

use super::{
    MIN_REMAINING,
    PROMPT_SLOWDOWN,
    SLOW,
    Target,
    TargetKey,
    Targets, //
};

impl Targets {
    /// Returns the time until a healthy target with room for a result is idle in the preferred data
    /// centre, `None` if there is no such target.
    pub(in crate::batch) fn local_wait(
        &self,
        near: Option<&id::DataCentre>,
        size: unit::Size,
        now: Instant,
    ) -> Option<time::Duration> {
        let is_near = |t: &&Target| near.is_some_and(|near| t.data_centre == *near);
        let fits = |t: &&Target| t.failures == 0 && t.slowdown < SLOW && self.has_room(t, size);
        let near = self.targets.values().filter(is_near).filter(fits);
        near.filter_map(|t| self.wait_time(t, now)).min()
    }

    /// Reports whether another target has room for a result and can take a piece of a silent target:
    /// it is idle or works as fast as expected.
    pub fn can_replace(&self, silent: TargetKey, size: unit::Size, now: Instant) -> bool {
        let mut others = self.targets.iter().filter(|(key, _)| *key != silent);
        others.any(|(_, t)| self.has_room(t, size) && self.wait_time(t, now).is_some())
    }

    /// Returns the time until a target is idle, `None` if its call takes far longer than expected
    /// or if its limiter allows no calls.
    fn wait_time(&self, target: &Target, now: Instant) -> Option<time::Duration> {
        let limited = target.limiter.wait_time(now);
        if limited == time::Duration::MAX {
            return None;
        }
        let Some((start, pieces)) = target.call else {
            return Some(limited);
        };
        let expected = self.nominal_call_time(pieces);
        let expected = expected.mul_f64(target.slowdown.max(1.0));
        let is_overdue = now > start + expected.mul_f64(PROMPT_SLOWDOWN);
        let remaining = || self.remaining_call_time(target, now).max(MIN_REMAINING);
        (!is_overdue).then(|| remaining().max(limited))
    }

    /// Returns the expected time until a target ends its call.
    pub(super) fn remaining_call_time(&self, target: &Target, now: Instant) -> time::Duration {
        let Some((start, pieces)) = target.call else {
            return time::Duration::ZERO;
        };
        let end = start + self.nominal_call_time(pieces).mul_f64(target.slowdown);
        end.saturating_duration_since(now)
    }
}
