//! How much of its time a caller has spent before, inferred from how long it says that it will wait.

use std::time;

/// Part of the longest patience by which that of first attempts differs.
///
/// Callers of one user began with 85% to 100% of the route's longest patience, evenly spread (1,053
/// attempts of the first 4 s of a day). Taken for time spent, that was half a second in the mean
/// where 1.9 s count as on time: requests were put behind or refused as late that were not. The
/// mean worth of two days near capacity rose from 0.33 to 0.42 and from 0.20 to 0.37 without this
/// mistake. Where all begin with the same patience, to leave differences up to this one out costs
/// nothing that could be measured (mean worth of six kinds of day alike).
const SPREAD: f64 = 0.16;

/// Callers of one route.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::patience;
///
/// let mut callers = patience::Patience::default();
/// assert_eq!(callers.spent(Duration::from_secs(10)), Duration::ZERO);
/// assert_eq!(callers.spent(Duration::from_secs(9)), Duration::ZERO);
/// assert!(callers.spent(Duration::from_secs(5)) > Duration::from_secs(4));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    /// The longest that one of them has named.
    most: time::Duration,
}

impl Patience {
    /// Takes in the patience that a caller names; returns what it has spent before this attempt.
    ///
    /// Callers that come again name what is left of the patience that they began with. That is known
    /// only up to the spread, so the middle is taken.
    pub fn spent(&mut self, named: time::Duration) -> time::Duration {
        self.most = self.most.max(named);
        if named >= self.most.mul_f64(1.0 - SPREAD) {
            return time::Duration::ZERO;
        }
        self.most.mul_f64(1.0 - SPREAD / 2.0).saturating_sub(named)
    }
}
