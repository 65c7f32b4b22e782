//! Data centres whose targets are to get no work for a while.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::id;

/// Time after the end of an evacuation for which the targets of a data centre are held to be cold.
///
/// They may have become cold while nobody sent them anything, and tell it with the next entry that
/// they write. Until it has come here, a flood would crash those that have just come back.
const RETURN: time::Duration = time::Duration::from_secs(4);

/// Names of the data centres that are evacuated.
pub type Evacuated = collections::BTreeSet<id::DataCentre>;

/// What is known of evacuations, now and a while ago.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    evacuated: Option<Evacuated>,
    /// When each evacuation in force was heard of.
    since: collections::BTreeMap<id::DataCentre, Instant>,
    /// Ends of evacuations that are held to leave targets cold.
    cold: collections::BTreeMap<id::DataCentre, Instant>,
}

impl Tracker {
    /// Takes in which data centres are evacuated.
    pub fn update(&mut self, evacuated: Evacuated, now: Instant) {
        self.since.retain(|place, _| evacuated.contains(place));
        for place in &evacuated {
            self.since.entry(place.clone()).or_insert(now);
        }
        let before = self.evacuated.replace(evacuated).unwrap_or_default();
        self.cold.retain(|_, until| *until > now);
        let returned = before.into_iter().filter(|place| !self.is_blocked(place));
        let returned: Vec<_> = returned.collect();
        let until = now + RETURN;
        self.cold
            .extend(returned.into_iter().map(|place| (place, until)));
    }

    /// Returns which data centres are evacuated, once that is known.
    pub fn evacuated(&self) -> Option<&Evacuated> {
        self.evacuated.as_ref()
    }

    /// Returns when the evacuation of a data centre was heard of.
    pub fn evacuated_since(&self, place: &id::DataCentre) -> Option<Instant> {
        self.since.get(place).copied()
    }

    /// Reports whether the targets of a data centre get no work.
    ///
    /// Before it is known which ones are evacuated, none gets any: a process that has just started
    /// would send to targets that all others avoid.
    pub fn is_blocked(&self, place: &id::DataCentre) -> bool {
        self.evacuated
            .as_ref()
            .is_none_or(|evacuated| evacuated.contains(place))
    }

    /// Returns until when the targets of a data centre are held to be cold.
    pub fn cold_until(&self, place: &id::DataCentre) -> Option<Instant> {
        self.cold.get(place).copied()
    }
}
