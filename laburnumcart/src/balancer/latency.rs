//! Extra latency of calls to other data centres, measured by round-trip times.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Length of the sliding window of round-trip times.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Assumed extra latency to a data centre before any measurement.
const UNMEASURED: time::Duration = time::Duration::from_millis(1);

/// Minimum round-trip time of one connection over the last half to whole window.
///
/// Longer round trips include queueing at either end, which is load and not distance. The minimum
/// expires, as the network path between two data centres can change.
#[derive(Clone, Copy, Debug)]
pub struct MinRtt {
    previous: Option<time::Duration>,
    current: Option<time::Duration>,
    /// Start of the current half window.
    half_start: Instant,
}

impl MinRtt {
    /// Creates the measurement of a connection without round trips.
    pub fn new(now: Instant) -> Self {
        Self {
            previous: None,
            current: None,
            half_start: now,
        }
    }

    /// Records a round-trip time.
    pub fn record(&mut self, elapsed: time::Duration, now: Instant) {
        let age = now.saturating_duration_since(self.half_start);
        if age >= WINDOW / 2 {
            let current = self.current.take();
            self.previous = current.filter(|_| age < WINDOW);
            self.half_start = now;
        }
        self.current = Some(self.current.map_or(elapsed, |min| min.min(elapsed)));
    }

    /// Returns the minimum round-trip time, or `None` before the first.
    pub fn get(&self) -> Option<time::Duration> {
        self.previous.into_iter().chain(self.current).min()
    }
}

/// Extra latency to each data centre compared with the local one.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{balancer::latency, id};
///
/// let [own, far]: [id::DataCentre; 2] = ["east".parse().unwrap(), "west".parse().unwrap()];
/// let mut latencies = latency::ExtraLatency::new(own.clone());
/// latencies.record(&own, Duration::from_micros(200));
/// latencies.record(&far, Duration::from_millis(31));
/// latencies.record(&far, Duration::from_millis(30));
/// assert_eq!(latencies.to(&far), Duration::from_micros(29_800));
/// assert_eq!(latencies.to(&own), Duration::ZERO);
/// ```
#[derive(Clone, Debug)]
pub struct ExtraLatency {
    own: id::DataCentre,
    min_rtts: collections::BTreeMap<id::DataCentre, time::Duration>,
}

impl ExtraLatency {
    /// Creates the measurement of a process in the data centre `own`.
    pub fn new(own: id::DataCentre) -> Self {
        Self {
            own,
            min_rtts: collections::BTreeMap::new(),
        }
    }

    /// Records the minimum round-trip time of a connection to a data centre.
    pub fn record(&mut self, data_centre: &id::DataCentre, rtt: time::Duration) {
        match self.min_rtts.get_mut(data_centre) {
            Some(min) => *min = rtt.min(*min),
            None => {
                self.min_rtts.insert(data_centre.clone(), rtt);
            }
        }
    }

    /// Returns how much longer a round trip to a data centre takes than a local one.
    ///
    /// The difference cancels the part of a round trip that does not depend on distance. Without a
    /// local measurement the whole round-trip time counts.
    pub fn to(&self, data_centre: &id::DataCentre) -> time::Duration {
        if *data_centre == self.own {
            return time::Duration::ZERO;
        }
        let local = self.min_rtts.get(&self.own).copied().unwrap_or_default();
        let rtt = self.min_rtts.get(data_centre);
        rtt.map_or(UNMEASURED, |rtt| rtt.saturating_sub(local))
    }
}
