//! Whether a process gets too little of its processor.
//!
//! A process that is starved does everything late. What it calls seems slow and stands idle, and what
//! it is told it reads long after it was sent.

use std::time;

/// Weight of the newest look.
const WEIGHT: f64 = 0.1;

/// Mean lateness from which a process is starved.
const STARVED: time::Duration = time::Duration::from_millis(80);

/// Mean lateness below which it is no longer.
const RECOVERED: time::Duration = time::Duration::from_millis(30);

/// How late a process gets to its work.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::starvation;
///
/// let mut strain = starvation::Detector::default();
/// assert!(!strain.record_lateness(Duration::from_millis(300)));
/// assert!((0..20).any(|_| strain.record_lateness(Duration::from_millis(300))));
/// assert!(strain.is_starved());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    /// Mean lateness in seconds.
    mean: f64,
    starved: bool,
}

impl Detector {
    /// Takes in how late a timer of the process was; returns whether it has become starved by it, or
    /// has recovered.
    pub fn record_lateness(&mut self, late: time::Duration) -> bool {
        self.mean += (late.as_secs_f64() - self.mean) * WEIGHT;
        let before = self.starved;
        self.starved = match before {
            true => self.mean > RECOVERED.as_secs_f64(),
            false => self.mean > STARVED.as_secs_f64(),
        };
        self.starved != before
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
