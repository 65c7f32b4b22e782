//! Budget of extra attempts, as a share of recent ones.
//!
//! Retries and hedges repair single failures. When many requests fail, they multiply the load just
//! when there is least room. A budget allows extra attempts up to a share of the successes in the
//! last [`WINDOW`], and none while the fleet refuses work as overloaded.
//!
//! Times are counted in slots. Successes count for a window at most and extra attempts for one at
//! least, so that in no window more are allowed.

use std::time;

use tokio::time::Instant;

use crate::unit;

/// Time that a success counts.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Extra attempts in a window that need no success, so that little traffic can recover too.
pub const RESERVE: u32 = 3;

/// Share of refusals as overloaded above which the budget is shut.
const OVERLOAD: f64 = 0.1;

/// Fewest refusals that shut it.
const REFUSALS: u32 = 5;

/// Slots in a window.
const WINDOW_SLOTS: usize = 10;

/// Slots that are kept: those of a window and the one that it begins in.
const SLOTS: usize = WINDOW_SLOTS + 1;

/// What decides on extra attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Extra attempts in the last window.
    pub spent: u32,
    /// Extra attempts that a window may have.
    pub allowed: f64,
    /// Whether there are none while the fleet refuses work as overloaded.
    pub suspended: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    earned: u32,
    spent: u32,
    refused: u32,
}

/// Budget of extra attempts.
///
/// ```
/// use laburnumcart::{budget, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = budget::Budget::new(unit::Share(0.1), now);
/// for _ in 0..100 {
///     budget.deposit(now);
/// }
/// let spent = (0..100).filter(|_| budget.try_spend(now)).count();
/// assert_eq!(spent, 10 + budget::RESERVE as usize);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    slots: [Slot; SLOTS],
    /// Index of the present slot, and its start.
    present: usize,
    since: Instant,
}

impl Budget {
    /// Creates a budget of a share of recent successes.
    pub fn new(ratio: unit::Share, now: Instant) -> Self {
        Self {
            ratio: ratio.0,
            reserve: f64::from(RESERVE),
            slots: [Slot::default(); SLOTS],
            present: 0,
            since: now,
        }
    }

    /// Changes the share.
    pub fn set_ratio(&mut self, ratio: unit::Share) {
        self.ratio = ratio.0;
    }

    /// Changes the extra attempts in a window that need no success.
    ///
    /// Where the fleet has a bound on extra attempts, each process gets its part of it, which may
    /// have a fraction.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Counts a success, or a request where the share is one of requests.
    pub fn deposit(&mut self, now: Instant) {
        self.slot(now).earned += 1;
    }

    /// Counts a refusal for lack of room.
    pub fn record_refusal(&mut self, now: Instant) {
        self.slot(now).refused += 1;
    }

    /// Takes one extra attempt from the budget, if it is open.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.try_spend_all(1, now)
    }

    /// Takes so many extra attempts from the budget, or none of them.
    pub fn try_spend_all(&mut self, count: u32, now: Instant) -> bool {
        let account = self.usage(now);
        if account.suspended || f64::from(account.spent + count) > account.allowed {
            return false;
        }
        self.slot(now).spent += count;
        true
    }

    /// Returns what was spent and what may be.
    pub fn usage(&mut self, now: Instant) -> Usage {
        self.slot(now);
        let sum = self.sum();
        Usage {
            spent: sum.spent,
            allowed: self.ratio * f64::from(sum.earned) + self.reserve,
            suspended: Self::is_overloaded(sum),
        }
    }

    fn is_overloaded(sum: Slot) -> bool {
        let all = f64::from(sum.earned + sum.refused);
        sum.refused >= REFUSALS && f64::from(sum.refused) > OVERLOAD * all
    }

    /// Adds up what counts at present.
    fn sum(&self) -> Slot {
        let oldest = (self.present + 1) % SLOTS;
        let mut sum = self.slots[oldest];
        (sum.earned, sum.refused) = (0, 0);
        for (_, slot) in self.slots.iter().enumerate().filter(|(i, _)| *i != oldest) {
            sum.earned += slot.earned;
            sum.spent += slot.spent;
            sum.refused += slot.refused;
        }
        sum
    }

    /// Returns the present slot, after clearing those whose time has passed.
    fn slot(&mut self, now: Instant) -> &mut Slot {
        let length = WINDOW / WINDOW_SLOTS as u32;
        let elapsed = now.saturating_duration_since(self.since);
        let steps = (elapsed.as_nanos() / length.as_nanos()) as u32;
        for _ in 0..steps.min(SLOTS as u32) {
            self.present = (self.present + 1) % SLOTS;
            self.slots[self.present] = Slot::default();
        }
        self.since += length * steps;
        &mut self.slots[self.present]
    }
}
