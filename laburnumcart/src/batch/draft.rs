//! A call that is being put together: whole jobs, as far as there is room for their results.

use crate::{
    batch::job::JobKey,
    unit, //
};

/// What a target can take in one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Room for results that is left at the target.
    pub(super) room: unit::Size,
    /// Room for results of a target that holds none.
    pub(super) whole: unit::Size,
    /// Pieces that the call should take.
    pub(super) most: usize,
    /// Most pieces that a call may take.
    pub(super) limit: usize,
}

/// Pieces that a call will take.
///
/// Jobs are not split over calls: the results of one part would take room until the other part is
/// made, and where room binds, every second call would be a small one that fills what is left.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    bounds: Bounds,
    jobs: Vec<(JobKey, usize)>,
    pieces: usize,
    /// Size of the results that found no room.
    blocked: Option<unit::Size>,
}

impl Draft {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            jobs: Vec::new(),
            pieces: 0,
            blocked: None,
        }
    }

    /// Takes a job with so many waiting pieces, if it fits.
    ///
    /// Once a job has found no room, only smaller results are taken. Others of its size would take
    /// the room that it waits for, and jobs of many pieces would starve.
    pub(super) fn offer(&mut self, key: JobKey, waiting: usize, size: unit::Size) {
        if self.blocked.is_some_and(|blocked| size >= blocked) {
            return;
        }
        let pieces = self.portion(waiting, size);
        if self.pieces > 0 && self.pieces + pieces > self.bounds.most {
            return;
        }
        let needed = size.0.saturating_mul(pieces as u64);
        // A result larger than all the room is left to the target to refuse.
        let alone = self.bounds.room == self.bounds.whole && self.pieces == 0;
        if needed > self.bounds.room.0 && !alone {
            self.blocked = Some(size);
            return;
        }
        self.bounds.room.0 = self.bounds.room.0.saturating_sub(needed);
        self.jobs.push((key, pieces));
        self.pieces += pieces;
    }

    /// Returns how many of a job's pieces go into one call: all of them, if any call can take them.
    fn portion(&self, waiting: usize, size: unit::Size) -> usize {
        let whole = usize::try_from(self.bounds.whole.0 / size.0.max(1)).unwrap_or(usize::MAX);
        if waiting > whole {
            // All the room at once is there only when the target holds nothing else.
            return whole.div_ceil(2).clamp(1, self.bounds.limit.max(1));
        }
        if waiting > self.bounds.limit {
            return self.bounds.most;
        }
        waiting
    }

    /// Reports whether the call has all that it should take.
    pub(super) fn is_full(&self) -> bool {
        self.pieces >= self.bounds.most
    }

    /// Returns the jobs, with the number of pieces of each.
    pub(super) fn into_jobs(self) -> Vec<(JobKey, usize)> {
        self.jobs
    }
}
