//! How long something takes just now: a mean that forgets within seconds.

use std::time;

use tokio::time::Instant;

/// Time after which a measurement counts half.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);

/// Time after which the last measurement says nothing any more.
///
/// A queue that refuses everything measures nothing; it must be tried again.
const TTL: time::Duration = time::Duration::from_millis(1500);

/// Mean of recent times, weighted by age.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::pace;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut pace = pace::Pace::default();
/// pace.record(Duration::from_millis(300), now);
/// assert_eq!(pace.mean(now), Some(Duration::from_millis(300)));
/// assert_eq!(pace.mean(now + Duration::from_secs(3)), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    sum: f64,
    weight: f64,
    last: Option<Instant>,
}

impl Pace {
    /// Takes in a time.
    pub fn record(&mut self, taken: time::Duration, now: Instant) {
        let factor = self.last.map_or(0.0, |last| decay(last, now));
        self.sum = self.sum * factor + taken.as_secs_f64();
        self.weight = self.weight * factor + 1.0;
        self.last = Some(now);
    }

    /// Returns the mean, unless nothing was measured of late.
    pub fn mean(&self, now: Instant) -> Option<time::Duration> {
        let last = self.last?;
        let fresh = now.saturating_duration_since(last) <= TTL;
        fresh.then(|| time::Duration::from_secs_f64(self.sum / self.weight))
    }
}

fn decay(last: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(last).as_secs_f64();
    0.5f64.powf(age / HALF_LIFE.as_secs_f64())
}
