//! When a second attempt races a slow first one.
//!
//! The caller cancels whichever attempt loses.

use std::time;

use tokio::time::Instant;

use crate::budget;

/// What to do about a slow attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Ask again after this time.
    Wait(time::Duration),
    /// Dispatch a second attempt to another target.
    Hedge,
    /// Never hedge this attempt.
    Never,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the stage may execute more than once.
    pub idempotent: bool,
    /// Whether it was hedged before, or is itself a hedge.
    pub hedged: bool,
    /// Time since it was sent.
    pub elapsed: time::Duration,
    /// Left until the deadline.
    pub remaining: time::Duration,
    /// Median time of the stage, if measured.
    pub median: Option<time::Duration>,
    /// High quantile of the time of the stage, if measured.
    pub quantile: Option<time::Duration>,
}

/// Decides on a hedge; the budget is charged only if it is dispatched.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{budget, hedge, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = budget::Budget::new(unit::Share(0.05), now);
/// let mut attempt = hedge::Attempt {
///     idempotent: true,
///     hedged: false,
///     elapsed: Duration::from_millis(30),
///     remaining: Duration::from_secs(1),
///     median: Some(Duration::from_millis(20)),
///     quantile: Some(Duration::from_millis(80)),
/// };
/// let wait = hedge::Decision::Wait(Duration::from_millis(50));
/// assert_eq!(hedge::decide(&attempt, &mut budget, now), wait);
/// attempt.elapsed = Duration::from_millis(80);
/// assert_eq!(hedge::decide(&attempt, &mut budget, now), hedge::Decision::Hedge);
/// ```
pub fn decide(attempt: &Attempt, budget: &mut budget::Budget, now: Instant) -> Decision {
    let (Some(median), Some(quantile)) = (attempt.median, attempt.quantile) else {
        return Decision::Never;
    };
    // A hedge that cannot finish in time takes a slot and saves nothing.
    if !attempt.idempotent || attempt.hedged || attempt.remaining < median {
        return Decision::Never;
    }
    if attempt.elapsed < quantile {
        return Decision::Wait(quantile - attempt.elapsed);
    }
    if budget.try_spend(now) {
        Decision::Hedge
    } else {
        Decision::Never
    }
}
