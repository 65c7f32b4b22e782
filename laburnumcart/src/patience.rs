//! Estimate of the time that a caller spent on earlier attempts, from the time that it says it will
//! wait.

use std::time;

/// Spread of the patience of first attempts, as a share of the longest patience of the route.
///
/// Callers may start with less than the longest patience. If that difference counted as time spent,
/// requests that are not late would be delayed or refused. Where all callers start with the same
/// patience, ignoring small differences does no harm.
const SPREAD: f64 = 0.16;

/// Patience of the callers of one route.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::patience;
///
/// let mut callers = patience::Patience::default();
/// assert_eq!(callers.estimate_spent(Duration::from_secs(10)), Duration::ZERO);
/// assert_eq!(callers.estimate_spent(Duration::from_secs(9)), Duration::ZERO);
/// assert!(callers.estimate_spent(Duration::from_secs(5)) > Duration::from_secs(4));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    /// Longest patience of any caller.
    longest: time::Duration,
}

impl Patience {
    /// Records the patience of a caller; returns the estimated time that it spent on earlier
    /// attempts.
    ///
    /// Callers that retry state the remainder of their initial patience. That is known only up to
    /// the spread, so the middle of the range is assumed.
    pub fn estimate_spent(&mut self, patience: time::Duration) -> time::Duration {
        self.longest = self.longest.max(patience);
        if patience >= self.longest.mul_f64(1.0 - SPREAD) {
            return time::Duration::ZERO;
        }
        self.longest
            .mul_f64(1.0 - SPREAD / 2.0)
            .saturating_sub(patience)
    }
}
