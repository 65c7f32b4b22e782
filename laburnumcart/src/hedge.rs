//! Hedging: sends a second attempt when the first one is slow.
//!
//! The calling code cancels the attempt that loses the race.

use std::time;

use tokio::time::Instant;

use crate::budget;

/// Decision on hedging an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Decide again after this time.
    Wait(time::Duration),
    /// Send a second attempt to another target.
    Hedge,
    /// Never hedge this attempt.
    Never,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the stage may be executed more than once.
    pub idempotent: bool,
    /// Whether the attempt has a hedge or is one.
    pub hedged: bool,
    /// Time since the attempt was sent.
    pub elapsed: time::Duration,
    /// Time until the deadline.
    pub remaining: time::Duration,
    /// Median duration of the stage, if measured.
    pub median: Option<time::Duration>,
    /// High quantile of the duration of the stage, if measured.
    pub quantile: Option<time::Duration>,
}

/// Decides whether to hedge an attempt; charges the budget only on [`Decision::Hedge`].
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
    // A hedge that cannot finish before the deadline would only use capacity.
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
