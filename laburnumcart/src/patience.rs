//! How much of its time a caller has spent before, inferred from how long it says that it will
//! wait.

use std::time;

/// Part of the longest patience by which that of first attempts differs.
///
/// Callers may begin with less than the route's longest patience. Taken for time spent, that puts
/// requests behind, or refuses them as late, that are not. Where all begin with the same patience,
/// nothing is lost by leaving small differences out.
const SPREAD: f64 = 0.16;

/// Callers of one route.
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
    /// The longest that one of them has named.
    most: time::Duration,
}

impl Patience {
    /// Takes in the patience that a caller names; returns what it has spent before this attempt.
    ///
    /// Callers that come again name what is left of the patience that they began with. That is
    /// known only up to the spread, so the middle is taken.
    pub fn estimate_spent(&mut self, named: time::Duration) -> time::Duration {
        self.most = self.most.max(named);
        if named >= self.most.mul_f64(1.0 - SPREAD) {
            return time::Duration::ZERO;
        }
        self.most.mul_f64(1.0 - SPREAD / 2.0).saturating_sub(named)
    }
}
