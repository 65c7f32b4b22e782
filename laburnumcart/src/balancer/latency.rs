//! Time that calls to other data centres take longer than those in the own.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Time for which a round trip counts.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Crossing to a data centre that was not measured yet.
const UNKNOWN: time::Duration = time::Duration::from_millis(1);

/// Least round trip of one connection within half a window to a whole one.
///
/// All but the least round trips hold waits at either end, which are load and not distance. The least
/// must be forgotten in time, as the path between two data centres changes.
#[derive(Clone, Copy, Debug)]
pub struct MinRtt {
    old: Option<time::Duration>,
    young: Option<time::Duration>,
    /// Start of the young half.
    since: Instant,
}

impl MinRtt {
    /// Creates the measure of a connection that has made no round trip.
    pub fn new(now: Instant) -> Self {
        Self {
            old: None,
            young: None,
            since: now,
        }
    }

    /// Takes in a round trip.
    pub fn record(&mut self, elapsed: time::Duration, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age >= WINDOW / 2 {
            let young = self.young.take();
            self.old = young.filter(|_| age < WINDOW);
            self.since = now;
        }
        self.young = Some(self.young.map_or(elapsed, |young| young.min(elapsed)));
    }

    /// Returns the least round trip, if there was one.
    pub fn get(&self) -> Option<time::Duration> {
        self.old.into_iter().chain(self.young).min()
    }
}

/// Least round trip to each data centre.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{balancer::latency, id};
///
/// let [own, far]: [id::DataCentre; 2] = ["east".parse().unwrap(), "west".parse().unwrap()];
/// let mut crossings = latency::ExtraLatency::new(own.clone());
/// crossings.record(&own, Duration::from_micros(200));
/// crossings.record(&far, Duration::from_millis(31));
/// crossings.record(&far, Duration::from_millis(30));
/// assert_eq!(crossings.to(&far), Duration::from_micros(29_800));
/// assert_eq!(crossings.to(&own), Duration::ZERO);
/// ```
#[derive(Clone, Debug)]
pub struct ExtraLatency {
    own: id::DataCentre,
    trips: collections::BTreeMap<id::DataCentre, time::Duration>,
}

impl ExtraLatency {
    /// Creates the table of a process in a data centre.
    pub fn new(own: id::DataCentre) -> Self {
        Self {
            own,
            trips: collections::BTreeMap::new(),
        }
    }

    /// Takes in the least round trip of a connection to a data centre.
    pub fn record(&mut self, data_centre: &id::DataCentre, trip: time::Duration) {
        match self.trips.get_mut(data_centre) {
            Some(least) => *least = trip.min(*least),
            None => {
                self.trips.insert(data_centre.clone(), trip);
            }
        }
    }

    /// Returns how much longer a round trip to a data centre takes than one in the own.
    ///
    /// What a round trip takes without distance is in both and falls away. Without a measure in the
    /// own data centre all others are compared by their whole round trips.
    pub fn to(&self, data_centre: &id::DataCentre) -> time::Duration {
        if *data_centre == self.own {
            return time::Duration::ZERO;
        }
        let own = self.trips.get(&self.own).copied().unwrap_or_default();
        let trip = self.trips.get(data_centre);
        trip.map_or(UNKNOWN, |trip| trip.saturating_sub(own))
    }
}
