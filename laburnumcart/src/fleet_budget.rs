//! This process's part of what all processes of the system may spend together.
//!
//! Nothing is agreed on: each divides the whole by the processes that it knows. The parts add up to
//! no more than the whole, in any window, as long as each process that spends is known to all others
//! that do. So one that has joined waits until the others have heard of it and what they spent
//! before is out of the window; one whose knowledge is old spends nothing; and one that has left
//! still counts for that time. An earlier life of this process has spent its part as well.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    budget,
    freshness,
    id,
    unit, //
};

/// Greatest age of knowledge of the other processes with which a part is spent.
pub const MAX_AGE: time::Duration = time::Duration::from_secs(12);

/// Time for which a process that has joined waits, and one that has left counts.
pub const SETTLE_TIME: time::Duration = MAX_AGE.saturating_add(budget::WINDOW);

/// Share of the ratio that each process spends of its own requests.
///
/// Requests move between processes, and these count in windows of their own: what arrives in one
/// window may be paid for by the requests of two.
const RATIO: f64 = 0.5;

/// Share of the extra that is used; what is sent arrives later than it is counted.
const EXTRA: f64 = 0.9;

/// What all processes may spend together in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Share of the requests of a window.
    pub ratio: f64,
    /// What may be spent beside that.
    pub extra: f64,
}

impl Limit {
    /// Returns the budget of a process before it has anything of the extra.
    pub fn budget(&self, now: Instant) -> budget::Budget {
        let mut budget = budget::Budget::new(unit::Share(self.ratio * RATIO), now);
        budget.set_reserve(0.0);
        budget
    }

    /// Returns the reserve of a process with such a part.
    pub fn reserve(&self, part: f64) -> f64 {
        self.extra * EXTRA * part
    }
}

/// How a listing shows this process's own entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnEntry {
    /// There is none.
    Absent,
    /// It is of an earlier life.
    PreviousLife,
    /// It is of this life, so that all who list after this know of it.
    Present,
}

/// Since when this process may spend, and for when the listing that says so holds.
#[derive(Clone, Copy, Debug)]
struct Entered {
    from: freshness::BootTime,
    listed: freshness::BootTime,
}

/// This process's part, as the listings of all processes tell it.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{fleet_budget, freshness::BootTime, id};
///
/// let other: id::InstanceName = "gateway-2".parse().unwrap();
/// let mut allotment = fleet_budget::Share::default();
/// let start = BootTime(Duration::from_secs(100));
/// allotment.update(fleet_budget::OwnEntry::Present, [&other], start);
/// assert_eq!(allotment.fraction(start), 0.0);
///
/// let later = BootTime(start.0 + fleet_budget::SETTLE_TIME);
/// allotment.update(fleet_budget::OwnEntry::Present, [&other], later);
/// assert_eq!(allotment.fraction(later), 0.5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Share {
    entered: Option<Entered>,
    /// Whether another process, or an earlier life of this one, was ever listed.
    preceded: bool,
    /// Other processes, and since when they are listed no more.
    others: collections::HashMap<id::InstanceName, Option<freshness::BootTime>>,
}

impl Share {
    /// Takes in a listing of all processes that holds for `at`.
    pub fn update<'a>(
        &mut self,
        own: OwnEntry,
        others: impl IntoIterator<Item = &'a id::InstanceName>,
        at: freshness::BootTime,
    ) {
        for since in self.others.values_mut() {
            since.get_or_insert(at);
        }
        for name in others {
            self.others.insert(name.clone(), None);
        }
        self.others
            .retain(|_, gone| gone.is_none_or(|since| at.since(since) < SETTLE_TIME));
        self.preceded |= own == OwnEntry::PreviousLife || !self.others.is_empty();
        self.entered = match (own, self.entered) {
            (OwnEntry::Present, Some(known)) => Some(Entered {
                listed: known.listed.max(at),
                ..known
            }),
            // Who finds nobody before it has nobody to wait for.
            (OwnEntry::Present, None) if !self.preceded => Some(Entered {
                from: at,
                listed: at,
            }),
            (OwnEntry::Present, None) => Some(Entered {
                from: freshness::BootTime(at.0 + SETTLE_TIME),
                listed: at,
            }),
            (OwnEntry::Absent | OwnEntry::PreviousLife, _) => None,
        };
    }

    /// Returns this process's part of the whole, from 0 to 1.
    pub fn fraction(&self, now: freshness::BootTime) -> f64 {
        let may_spend = |entered: &Entered| {
            entered.from <= now && now.since(entered.listed) <= MAX_AGE //
        };
        match self.entered.filter(may_spend) {
            Some(_) => 1.0 / (self.others.len() + 1) as f64,
            None => 0.0,
        }
    }
}
