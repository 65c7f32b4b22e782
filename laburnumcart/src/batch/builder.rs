//! Assembly of one batch call from whole jobs, within the room for results at the target.

use crate::{
    batch::job::JobKey,
    unit, //
};

/// A call counts as full if at most one in this many pieces is missing.
const FILL_SHARE: usize = 10;

/// Limits of one call to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Free room for results at the target.
    pub(super) room: unit::Size,
    /// Room for results at a target that holds none.
    pub(super) capacity: unit::Size,
    /// Pieces at which the call is full.
    pub(super) wanted: usize,
    /// Greatest number of pieces in a call.
    pub(super) max: usize,
    /// Whether a job may be split to fill the call.
    pub(super) splits: bool,
}

/// Builder of a batch call.
///
/// Jobs are not split over calls if one call can take them whole. The results of a partial job
/// occupy room until its other pieces are done, and where room is the bottleneck, every second call
/// would be a small one that fills the remainder.
#[derive(Clone, Debug)]
pub(super) struct CallBuilder {
    limits: Limits,
    jobs: Vec<(JobKey, usize)>,
    pieces: usize,
    /// Result size of the last job that did not fit.
    blocked: Option<unit::Size>,
    /// First job that was left out because the call would have had too many pieces.
    left: Option<(JobKey, unit::Size)>,
}

impl CallBuilder {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            jobs: Vec::new(),
            pieces: 0,
            blocked: None,
            left: None,
        }
    }

    /// Adds a job with `waiting` pieces, if it fits.
    ///
    /// Once a job has found no room, only jobs with smaller results are accepted. Others of its
    /// size would use up the room that it waits for, and jobs with many pieces would starve.
    pub(super) fn try_add(&mut self, key: JobKey, waiting: usize, size: unit::Size) {
        if self.blocked.is_some_and(|blocked| size >= blocked) {
            return;
        }
        let pieces = self.pieces_per_call(waiting, size);
        if self.pieces > 0 && self.pieces + pieces > self.limits.wanted {
            self.left.get_or_insert((key, size));
            return;
        }
        let needed = size.0.saturating_mul(pieces as u64);
        // The target itself refuses a result that exceeds its whole capacity.
        let is_alone = self.limits.room == self.limits.capacity && self.pieces == 0;
        if needed > self.limits.room.0 && !is_alone {
            self.blocked = Some(size);
            return;
        }
        self.limits.room.0 = self.limits.room.0.saturating_sub(needed);
        self.jobs.push((key, pieces));
        self.pieces += pieces;
    }

    /// Returns how many pieces of a job go into one call: all of them, if any call can take them.
    fn pieces_per_call(&self, waiting: usize, size: unit::Size) -> usize {
        let fitting = self.limits.capacity.0 / size.0.max(1);
        let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
        if waiting > fitting {
            // The whole capacity is free only while the target holds no other results.
            return fitting.div_ceil(2).clamp(1, self.limits.max.max(1));
        }
        if waiting > self.limits.max {
            return self.limits.wanted;
        }
        waiting
    }

    /// Reports whether the call has as many pieces as wanted.
    pub(super) fn is_full(&self) -> bool {
        self.pieces >= self.limits.wanted
    }

    /// Fills the call with pieces of a job that was left out, if jobs may be split.
    ///
    /// A call that is a tenth empty loses more than the room that a partial job occupies for one
    /// further call, as long as most of the room is free.
    fn fill(&mut self) {
        let Some((key, size)) = self.left.filter(|_| self.limits.splits) else {
            return;
        };
        let pieces = self.limits.wanted.saturating_sub(self.pieces);
        let is_full = pieces * FILL_SHARE <= self.limits.wanted;
        let needed = size.0.saturating_mul(pieces as u64);
        if is_full || needed > self.limits.room.0 / 2 {
            return;
        }
        self.jobs.push((key, pieces));
        self.pieces += pieces;
    }

    /// Returns the jobs, each with the number of its pieces in the call.
    pub(super) fn into_jobs(mut self) -> Vec<(JobKey, usize)> {
        self.fill();
        self.jobs
    }
}
