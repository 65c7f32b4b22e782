//! The turns of what waits in a queue or will come, and the pieces of each.
//!
//! For each job that comes or is announced all turns before it are added up, thousands of times in a
//! second of overload. So they are kept apart from the jobs, close together in memory.

use std::time;

use slotmap::DenseSlotMap;
use tokio::time::Instant;

use crate::{
    batch::job::Spec,
    unit, //
};

/// By how much a job of the next lower rank counts as due later.
///
/// Under overload the urgent ranks go first, and the others wait longer by this time; they do not
/// starve, as what is due moves on.
const RANK_STEP: time::Duration = time::Duration::from_millis(400);

/// The same for the next lower rank of routes within a team's.
const MINOR_STEP: time::Duration = time::Duration::from_millis(120);

slotmap::new_key_type! {
    /// A turn in the list.
    pub struct TurnKey;
}

/// Place in the order of a queue: whether it is behind all that can be on time, and when it counts
/// as due.
pub(super) type Place = (bool, Instant);

/// When a job goes, and how much of it waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// When its results are due.
    pub(super) due: Instant,
    /// When it counts as due by its rank.
    ranked: Instant,
    /// Pieces in no call.
    pub(super) pieces: u32,
    /// Size of one result.
    size: unit::Size,
    /// Whether any of its pieces is in a call or done.
    started: bool,
}

impl Turn {
    pub(super) fn new(spec: &Spec) -> Self {
        let rank = spec.rank;
        let later = RANK_STEP * u32::from(rank.major) + MINOR_STEP * u32::from(rank.minor);
        Self {
            due: spec.due,
            ranked: spec.due + later,
            pieces: spec.pieces,
            size: spec.size,
            started: false,
        }
    }

    /// Returns its place; what is due before `horizon` can no longer be on time.
    ///
    /// A job that has begun holds room for its results that others wait for. Put behind once it is
    /// late, it would hold it to its deadline, and the room fills with jobs that do not go on. Jobs
    /// that only work on the results of others do not go first: most of them are late then, and
    /// those that can still be on time would wait behind them.
    pub(super) fn place(&self, horizon: Instant) -> Place {
        match self.started {
            true => (false, self.due),
            false => (self.due < horizon, self.ranked),
        }
    }
}

/// Turns, in no order.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    turns: DenseSlotMap<TurnKey, Turn>,
    /// Pieces of all of them.
    pieces: usize,
}

impl Turns {
    pub(super) fn add(&mut self, turn: Turn) -> TurnKey {
        self.pieces += turn.pieces as usize;
        self.turns.insert(turn)
    }

    pub(super) fn remove(&mut self, key: TurnKey) {
        if let Some(turn) = self.turns.remove(key) {
            self.pieces -= turn.pieces as usize;
        }
    }

    /// Takes in how many pieces of a job wait.
    pub(super) fn set(&mut self, key: TurnKey, pieces: u32, started: bool) {
        if let Some(turn) = self.turns.get_mut(key) {
            self.pieces = self.pieces - turn.pieces as usize + pieces as usize;
            turn.pieces = pieces;
            turn.started = started;
        }
    }

    pub(super) fn get(&self, key: TurnKey) -> Option<&Turn> {
        self.turns.get(key)
    }

    /// Returns the pieces of all.
    pub(super) fn pieces(&self) -> usize {
        self.pieces
    }

    /// Returns the size of the smallest result that waits to be made.
    pub(super) fn smallest(&self) -> Option<unit::Size> {
        let waiting = self.turns.values().filter(|turn| turn.pieces > 0);
        waiting.map(|turn| turn.size).min()
    }

    /// Returns the pieces that are not behind each of these places.
    pub(super) fn ahead<const N: usize>(&self, places: [Place; N], horizon: Instant) -> [usize; N] {
        let mut ahead = [0; N];
        for turn in self.turns.values() {
            let place = turn.place(horizon);
            for (sum, own) in ahead.iter_mut().zip(&places) {
                if place <= *own {
                    *sum += turn.pieces as usize;
                }
            }
        }
        ahead
    }
}
