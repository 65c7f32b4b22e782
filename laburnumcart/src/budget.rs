//! Budget for retries and hedges, as a ratio of recent successes.
//!
//! Retries and hedges mask single failures. When many requests fail, they multiply the load while
//! capacity is short. A budget allows extra attempts up to a ratio of the successes in the last
//! [`WINDOW`], and none while targets refuse requests as overloaded.
//!
//! Counts are kept in slots of time. Successes count for at most one window and extra attempts for
//! at least one, so that no sliding window exceeds the budget.

use std::time;

use tokio::time::Instant;

use crate::unit;

/// Length of the sliding window.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Extra attempts per window that need no success, so that low traffic can be retried as well.
pub const RESERVE: u32 = 3;

/// Ratio of overload refusals above which the budget is suspended.
const OVERLOAD_RATIO: f64 = 0.1;

/// Fewest overload refusals that suspend the budget.
const MIN_REFUSALS: u32 = 5;

/// Slots per window.
const WINDOW_SLOTS: usize = 10;

/// Slots kept: those of a whole window and the one in which the window starts.
const SLOTS: usize = WINDOW_SLOTS + 1;

/// Use of a budget in the last window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Extra attempts made, with those that are held.
    pub spent: u32,
    /// Extra attempts whose arrival is open, of any age.
    pub held: u32,
    /// Extra attempts allowed.
    pub allowed: f64,
    /// Whether no extra attempt is allowed because of overload refusals.
    pub suspended: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    deposits: u32,
    spent: u32,
    refused: u32,
}

/// Budget for extra attempts.
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
    /// Extra attempts that count until they are released.
    held: u32,
    slots: [Slot; SLOTS],
    /// Index of the current slot.
    current: usize,
    /// Start of the current slot.
    slot_start: Instant,
}

impl Budget {
    /// Creates a budget with a ratio of extra attempts to recent successes.
    pub fn new(ratio: unit::Share, now: Instant) -> Self {
        Self {
            ratio: ratio.0,
            reserve: f64::from(RESERVE),
            held: 0,
            slots: [Slot::default(); SLOTS],
            current: 0,
            slot_start: now,
        }
    }

    /// Sets the ratio of extra attempts to recent successes.
    pub fn set_ratio(&mut self, ratio: unit::Share) {
        self.ratio = ratio.0;
    }

    /// Sets the number of extra attempts per window that need no success.
    ///
    /// Under a fleet-wide limit each process gets its share, which may be a fraction.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Records a success, or a request if the ratio is one of requests.
    pub fn deposit(&mut self, now: Instant) {
        self.slot(now).deposits += 1;
    }

    /// Records a refusal for lack of capacity.
    pub fn record_refusal(&mut self, now: Instant) {
        self.slot(now).refused += 1;
    }

    /// Spends one extra attempt; returns whether the budget allowed it.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.try_spend_all(1, now)
    }

    /// Returns whether the budget allows `count` extra attempts now.
    pub fn can_spend(&mut self, count: u32, now: Instant) -> bool {
        let usage = self.usage(now);
        !usage.suspended && f64::from(usage.spent + count) <= usage.allowed
    }

    /// Spends `count` extra attempts, or none of them; returns whether the budget allowed them.
    pub fn try_spend_all(&mut self, count: u32, now: Instant) -> bool {
        if !self.can_spend(count, now) {
            return false;
        }
        self.slot(now).spent += count;
        true
    }

    /// Lets an extra attempt that was made at `at` count until it is released.
    pub fn hold(&mut self, at: Instant, now: Instant) {
        self.slot(now);
        let length = WINDOW / WINDOW_SLOTS as u32;
        let age = self.slot_start.saturating_duration_since(at);
        let slots_back = age.as_nanos().div_ceil(length.as_nanos()) as usize;
        if slots_back < SLOTS {
            let slot = &mut self.slots[(self.current + SLOTS - slots_back) % SLOTS];
            slot.spent = slot.spent.saturating_sub(1);
        }
        self.held += 1;
    }

    /// Ends the hold of an extra attempt, which counts for another window if it has `arrived` now.
    pub fn release(&mut self, arrived: bool, now: Instant) {
        self.held = self.held.saturating_sub(1);
        self.slot(now).spent += u32::from(arrived);
    }

    /// Returns the use of the budget in the last window.
    pub fn usage(&mut self, now: Instant) -> Usage {
        self.slot(now);
        let sum = self.sum();
        Usage {
            spent: sum.spent + self.held,
            held: self.held,
            allowed: self.ratio * f64::from(sum.deposits) + self.reserve,
            suspended: Self::is_overloaded(sum),
        }
    }

    fn is_overloaded(sum: Slot) -> bool {
        let all = f64::from(sum.deposits + sum.refused);
        sum.refused >= MIN_REFUSALS && f64::from(sum.refused) > OVERLOAD_RATIO * all
    }

    /// Returns the totals of the current window.
    fn sum(&self) -> Slot {
        let oldest = (self.current + 1) % SLOTS;
        let mut sum = self.slots[oldest];
        // The oldest slot lies partly outside the window, so only its extra attempts count.
        (sum.deposits, sum.refused) = (0, 0);
        for (_, slot) in self.slots.iter().enumerate().filter(|(i, _)| *i != oldest) {
            sum.deposits += slot.deposits;
            sum.spent += slot.spent;
            sum.refused += slot.refused;
        }
        sum
    }

    /// Advances to the slot of `now`, clearing expired slots, and returns it.
    fn slot(&mut self, now: Instant) -> &mut Slot {
        let length = WINDOW / WINDOW_SLOTS as u32;
        let elapsed = now.saturating_duration_since(self.slot_start);
        let steps = (elapsed.as_nanos() / length.as_nanos()) as u32;
        for _ in 0..steps.min(SLOTS as u32) {
            self.current = (self.current + 1) % SLOTS;
            self.slots[self.current] = Slot::default();
        }
        self.slot_start += length * steps;
        &mut self.slots[self.current]
    }
}
