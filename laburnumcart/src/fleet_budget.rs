//! Share of each process in a fleet-wide budget.
//!
//! There is no coordination: each process divides the budget by the number of processes in its
//! listing. In any window the shares add up to at most the budget, provided that every process that
//! spends is known to all others that do. Therefore a process that joins waits until the others
//! have listed it and what they spent before is out of the window; a process with an outdated
//! listing spends nothing; and a process that leaves is counted for the same time. A previous
//! incarnation of this process has spent its share as well.

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

/// Greatest age of a listing with which a process still spends its share.
pub const MAX_AGE: time::Duration = time::Duration::from_secs(12);

/// Time for which a new process waits, and for which one that left is still counted.
pub const SETTLE_TIME: time::Duration = MAX_AGE.saturating_add(budget::WINDOW);

/// Fraction of the ratio that each process applies to its own requests.
///
/// Requests can move between processes, whose windows differ: extra attempts within one window may
/// be covered by the requests of two.
const OWN_RATIO: f64 = 0.5;

/// Fraction of the reserve that is used, as attempts arrive later than they are counted.
const RESERVE_USE: f64 = 0.9;

/// Fleet-wide limit on extra attempts per window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Extra attempts per request.
    pub ratio: f64,
    /// Extra attempts beside those earned by requests.
    pub extra: f64,
}

impl Limit {
    /// Creates the budget of a process, without a reserve.
    pub fn budget(&self, now: Instant) -> budget::Budget {
        let mut budget = budget::Budget::new(unit::Share(self.ratio * OWN_RATIO), now);
        budget.set_reserve(0.0);
        budget
    }

    /// Returns the reserve of a process whose share is `fraction`, from 0 to 1.
    pub fn reserve(&self, fraction: f64) -> f64 {
        self.extra * RESERVE_USE * fraction
    }
}

/// State of this process's own entry in a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnEntry {
    /// The listing has no entry of this process.
    Absent,
    /// The entry was written by a previous incarnation of this process.
    PreviousLife,
    /// The entry is from this incarnation, so any later listing contains it.
    Present,
}

/// Membership of this process.
#[derive(Clone, Copy, Debug)]
struct Membership {
    /// Start of spending.
    spend_from: freshness::BootTime,
    /// Time of the newest listing.
    listed: freshness::BootTime,
}

/// Share of this process, derived from listings of all processes.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{fleet_budget, freshness::BootTime, id};
///
/// let other: id::InstanceName = "gateway-2".parse().unwrap();
/// let mut share = fleet_budget::Share::default();
/// let start = BootTime(Duration::from_secs(100));
/// share.update(fleet_budget::OwnEntry::Present, [&other], start);
/// assert_eq!(share.fraction(start), 0.0);
///
/// let later = BootTime(start.0 + fleet_budget::SETTLE_TIME);
/// share.update(fleet_budget::OwnEntry::Present, [&other], later);
/// assert_eq!(share.fraction(later), 0.5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Share {
    membership: Option<Membership>,
    /// Whether another process, or a previous incarnation of this one, was ever listed.
    has_predecessor: bool,
    /// Other processes; `Some` is when a process was first missing from a listing.
    others: collections::HashMap<id::InstanceName, Option<freshness::BootTime>>,
}

impl Share {
    /// Merges a listing of all processes, as it was at `at`.
    pub fn update<'a>(
        &mut self,
        own: OwnEntry,
        others: impl IntoIterator<Item = &'a id::InstanceName>,
        at: freshness::BootTime,
    ) {
        for gone_since in self.others.values_mut() {
            gone_since.get_or_insert(at);
        }
        for name in others {
            self.others.insert(name.clone(), None);
        }
        self.others
            .retain(|_, gone_since| gone_since.is_none_or(|gone| at.since(gone) < SETTLE_TIME));
        self.has_predecessor |= own == OwnEntry::PreviousLife || !self.others.is_empty();
        self.membership = match (own, self.membership) {
            (OwnEntry::Present, Some(known)) => Some(Membership {
                listed: known.listed.max(at),
                ..known
            }),
            // The first process has no earlier spending of others to wait for.
            (OwnEntry::Present, None) if !self.has_predecessor => Some(Membership {
                spend_from: at,
                listed: at,
            }),
            (OwnEntry::Present, None) => Some(Membership {
                spend_from: freshness::BootTime(at.0 + SETTLE_TIME),
                listed: at,
            }),
            (OwnEntry::Absent | OwnEntry::PreviousLife, _) => None,
        };
    }

    /// Returns this process's fraction of the fleet-wide budget, from 0 to 1.
    pub fn fraction(&self, now: freshness::BootTime) -> f64 {
        let can_spend = |membership: &Membership| {
            membership.spend_from <= now && now.since(membership.listed) <= MAX_AGE
        };
        match self.membership.filter(can_spend) {
            Some(_) => 1.0 / (self.others.len() + 1) as f64,
            None => 0.0,
        }
    }
}
