//! Due times and piece counts of waiting and announced jobs.
//!
//! Each arrival or announcement sums up all entries ahead of it, thousands of times per second
//! under overload. Entries are therefore stored apart from the jobs, contiguously in memory.

use std::time;

use slotmap::DenseSlotMap;
use tokio::time::Instant;

use crate::{
    batch::job::{
        Rank,
        Spec, //
    },
    unit, //
};

/// Delay of the due time for each step of the major rank.
///
/// Under overload urgent ranks go first and the others wait longer by this time. They do not
/// starve, because the due times of new jobs advance.
const MAJOR_DELAY: time::Duration = time::Duration::from_millis(400);

/// Delay of the due time for each step of the minor rank.
const MINOR_DELAY: time::Duration = time::Duration::from_millis(120);

slotmap::new_key_type! {
    /// Key of an entry in a schedule.
    pub struct EntryKey;
}

/// Sort key in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Position {
    /// Turn of the rank during a shortage, otherwise zero.
    pub(super) turn: u32,
    /// Whether the job goes behind the started ones of its rank during a shortage.
    pub(super) fresh: bool,
    /// Whether the job is late, so that it goes behind all that can be on time.
    pub(super) late: bool,
    /// Due time with all delays.
    pub(super) due: Instant,
}

impl Position {
    /// Returns the position behind all jobs on time.
    pub(super) fn after_on_time(now: Instant) -> Self {
        Self {
            turn: 0,
            fresh: false,
            late: true,
            due: now,
        }
    }

    /// Moves the position to the turn of a rank.
    pub(super) fn within_rank(self, rank: Rank, started: bool) -> Self {
        Self {
            // The first turn is kept for jobs within the floor of their rank.
            turn: 1 + u32::from(rank.major) * 256 + u32::from(rank.minor),
            fresh: !started,
            ..self
        }
    }
}

/// Scheduling data of one job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) due: Instant,
    /// Due time with the delay of the rank.
    ranked_due: Instant,
    /// Waiting pieces.
    pub(super) pieces: u32,
    /// Size of one result.
    size: unit::Size,
    pub(super) rank: Rank,
    /// Whether any piece is in flight or done.
    started: bool,
}

impl Entry {
    pub(super) fn new(spec: &Spec) -> Self {
        let rank = spec.rank;
        let delay = MAJOR_DELAY * u32::from(rank.major) + MINOR_DELAY * u32::from(rank.minor);
        Self {
            due: spec.due,
            ranked_due: spec.due + delay,
            pieces: spec.pieces,
            size: spec.size,
            rank,
            started: false,
        }
    }

    /// Returns the sort key; a job that is due before `horizon` is late.
    ///
    /// A started job never counts as late: it occupies room for its results that other jobs wait
    /// for, and if it went last it would do so until its deadline, until stalled jobs fill all
    /// room. Jobs that only read the results of others get no such preference, because under load
    /// most of them are late, and those that can still be on time would wait behind them.
    pub(super) fn position(&self, horizon: Instant) -> Position {
        let (late, due) = match self.started {
            true => (false, self.due),
            false => (self.due < horizon, self.ranked_due),
        };
        Position {
            turn: 0,
            fresh: false,
            late,
            due,
        }
    }

    /// Returns the sort key during a shortage: by rank, and started jobs first within a rank.
    pub(super) fn ranked_position(&self, horizon: Instant) -> Position {
        self.position(horizon).within_rank(self.rank, self.started)
    }
}

/// Unordered set of entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule {
    entries: DenseSlotMap<EntryKey, Entry>,
    /// Sum of the waiting pieces.
    pieces: usize,
}

impl Schedule {
    pub(super) fn add(&mut self, entry: Entry) -> EntryKey {
        self.pieces += entry.pieces as usize;
        self.entries.insert(entry)
    }

    pub(super) fn remove(&mut self, key: EntryKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.pieces -= entry.pieces as usize;
        }
    }

    /// Updates the number of waiting pieces and whether the job is started.
    pub(super) fn update(&mut self, key: EntryKey, pieces: u32, started: bool) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.pieces = self.pieces - entry.pieces as usize + pieces as usize;
            entry.pieces = pieces;
            entry.started = started;
        }
    }

    pub(super) fn get(&self, key: EntryKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the number of waiting pieces of all jobs.
    pub(super) fn pieces(&self) -> usize {
        self.pieces
    }

    /// Returns the smallest result size among jobs with waiting pieces.
    pub(super) fn smallest_result(&self) -> Option<unit::Size> {
        let waiting = self.entries.values().filter(|entry| entry.pieces > 0);
        waiting.map(|entry| entry.size).min()
    }

    /// Returns the ranks of the jobs with waiting pieces, with repetitions.
    pub(super) fn ranks(&self) -> impl Iterator<Item = Rank> {
        let waiting = self.entries.values().filter(|entry| entry.pieces > 0);
        waiting.map(|entry| entry.rank)
    }

    /// Returns for each position the number of waiting pieces of its rank at or ahead of it, and the
    /// number of those of more urgent ranks.
    pub(super) fn ranked_pieces_ahead<const N: usize>(
        &self,
        rank: Rank,
        positions: [Position; N],
        horizon: Instant,
    ) -> ([usize; N], usize) {
        let (mut ahead, mut higher) = ([0; N], 0);
        for entry in self.entries.values().filter(|entry| entry.rank <= rank) {
            if entry.rank < rank {
                higher += entry.pieces as usize;
                continue;
            }
            let position = entry.ranked_position(horizon);
            for (sum, limit) in ahead.iter_mut().zip(&positions) {
                if position <= *limit {
                    *sum += entry.pieces as usize;
                }
            }
        }
        (ahead, higher)
    }

    /// Returns for each position the number of waiting pieces at or ahead of it.
    pub(super) fn pieces_ahead<const N: usize>(
        &self,
        positions: [Position; N],
        horizon: Instant,
    ) -> [usize; N] {
        let mut ahead = [0; N];
        for entry in self.entries.values() {
            let position = entry.position(horizon);
            for (sum, limit) in ahead.iter_mut().zip(&positions) {
                if position <= *limit {
                    *sum += entry.pieces as usize;
                }
            }
        }
        ahead
    }
}
