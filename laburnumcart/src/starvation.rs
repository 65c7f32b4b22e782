//! Detection of processor starvation by the lateness of timers.
//!
//! A starved process does everything late: targets that it calls seem slow but are idle, and it
//! reads messages long after they were sent.

use std::time;

/// Weight of the newest measurement in the moving average.
const WEIGHT: f64 = 0.1;

/// Mean lateness above which a process is starved.
const STARVED_LATENESS: time::Duration = time::Duration::from_millis(80);

/// Mean lateness below which a starved process has recovered.
const RECOVERED_LATENESS: time::Duration = time::Duration::from_millis(30);

/// Starvation detector of a process.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::starvation;
///
/// let mut detector = starvation::Detector::default();
/// assert!(!detector.record_lateness(Duration::from_millis(300)));
/// assert!((0..20).any(|_| detector.record_lateness(Duration::from_millis(300))));
/// assert!(detector.is_starved());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    /// Mean lateness in seconds.
    mean: f64,
    starved: bool,
}

impl Detector {
    /// Records how late a timer fired; returns whether the process has become starved or has
    /// recovered.
    pub fn record_lateness(&mut self, lateness: time::Duration) -> bool {
        self.mean += (lateness.as_secs_f64() - self.mean) * WEIGHT;
        let was_starved = self.starved;
        self.starved = match was_starved {
            true => self.mean > RECOVERED_LATENESS.as_secs_f64(),
            false => self.mean > STARVED_LATENESS.as_secs_f64(),
        };
        self.starved != was_starved
    }

    /// Returns the mean lateness.
    pub fn lateness(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.mean)
    }

    /// Reports whether the process is starved.
    pub fn is_starved(&self) -> bool {
        self.starved
    }
}
