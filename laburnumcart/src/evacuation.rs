//! Evacuated data centres, whose targets get no work.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Time after the end of an evacuation for which the targets of a data centre count as cold, and so
/// get work only at the low rate of targets that are warming up.
///
/// Targets can become cold while they get no work, and report it only when they next update their
/// entry in the store. Until then, full load could crash them.
const COLD_TIME: time::Duration = time::Duration::from_secs(4);

/// Names of the evacuated data centres.
pub type Evacuated = collections::BTreeSet<id::DataCentre>;

/// Tracks the evacuated data centres and those whose evacuation has ended recently.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    evacuated: Option<Evacuated>,
    /// When this process learned of each current evacuation.
    since: collections::BTreeMap<id::DataCentre, Instant>,
    /// Until when the targets of data centres whose evacuation has ended count as cold.
    cold: collections::BTreeMap<id::DataCentre, Instant>,
}

impl Tracker {
    /// Replaces the set of evacuated data centres.
    pub fn update(&mut self, evacuated: Evacuated, now: Instant) {
        self.since
            .retain(|data_centre, _| evacuated.contains(data_centre));
        for data_centre in &evacuated {
            self.since.entry(data_centre.clone()).or_insert(now);
        }
        let previous = self.evacuated.replace(evacuated).unwrap_or_default();
        self.cold.retain(|_, until| *until > now);
        let returned = previous
            .into_iter()
            .filter(|data_centre| !self.is_blocked(data_centre));
        let returned: Vec<_> = returned.collect();
        let until = now + COLD_TIME;
        self.cold
            .extend(returned.into_iter().map(|data_centre| (data_centre, until)));
    }

    /// Returns the evacuated data centres, or `None` before the first update.
    pub fn evacuated(&self) -> Option<&Evacuated> {
        self.evacuated.as_ref()
    }

    /// Returns when this process learned that a data centre is evacuated.
    pub fn evacuated_since(&self, data_centre: &id::DataCentre) -> Option<Instant> {
        self.since.get(data_centre).copied()
    }

    /// Reports whether the targets of a data centre get no work.
    ///
    /// Before the first update all data centres are blocked: a process that has just started would
    /// otherwise send to targets that all others avoid.
    pub fn is_blocked(&self, data_centre: &id::DataCentre) -> bool {
        self.evacuated
            .as_ref()
            .is_none_or(|evacuated| evacuated.contains(data_centre))
    }

    /// Returns until when the targets of a data centre count as cold after an evacuation.
    pub fn cold_until(&self, data_centre: &id::DataCentre) -> Option<Instant> {
        self.cold.get(data_centre).copied()
    }
}
