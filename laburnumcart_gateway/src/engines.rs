//! Choice among the model engines of a service, over the list of targets.

use std::{
    collections,
    sync::Arc, //
};

use slotmap::SecondaryMap;
use tokio::time::Instant;

use laburnumcart::{
    id,
    ingress,
    placement,
    quota,
    residency, //
};

use crate::view;

/// Engines of one service and their targets.
#[derive(Debug)]
pub struct Engines {
    /// What decides.
    pub fleet: placement::Engines,
    targets: SecondaryMap<placement::EngineKey, Arc<view::Target>>,
    keys: collections::HashMap<id::TargetLife, placement::EngineKey>,
}

impl Engines {
    /// Creates a service without engines.
    pub fn new(limits: ingress::Engine) -> Self {
        Self {
            fleet: placement::Engines::new(limits),
            targets: SecondaryMap::new(),
            keys: collections::HashMap::new(),
        }
    }

    /// Takes in the list of targets; what is known of those that stay is kept.
    ///
    /// `gate` returns what holds requests for one to what it takes.
    pub fn update(
        &mut self,
        targets: &[Arc<view::Target>],
        gate: impl Fn(&view::Target) -> quota::Limiter,
    ) {
        let (gone, new) = view::diff_targets(self.keys.keys().cloned(), targets);
        for life in gone {
            if let Some(key) = self.keys.remove(&life) {
                self.fleet.remove(key);
                self.targets.remove(key);
            }
        }
        for target in new {
            let zone = target.data_centre.clone();
            let key = self.fleet.add(target.name.as_str(), zone);
            self.fleet.set_limiter(key, gate(target));
            self.keys.insert(target.key(), key);
            self.targets.insert(key, target.clone());
        }
    }

    /// Returns the keys of the engines that have these names, or stand where a request may not run.
    pub fn avoided(
        &self,
        names: &[id::TargetName],
        places: Option<&[id::DataCentre]>,
    ) -> Vec<placement::EngineKey> {
        let is_avoided = |target: &view::Target| {
            names.contains(&target.name) || !residency::is_allowed(places, &target.data_centre)
        };
        let avoided = self.targets.iter().filter(|(_, target)| is_avoided(target));
        avoided.map(|(key, _)| key).collect()
    }

    /// Chooses an engine and counts the request there.
    pub fn start(
        &mut self,
        ask: &placement::Request<'_>,
        now: Instant,
    ) -> Option<(placement::Assignment, Arc<view::Target>)> {
        let place = self.fleet.choose(ask, now)?;
        let target = self.targets.get(place.engine)?.clone();
        self.fleet.record_sent(ask, place, now);
        Some((place, target))
    }
}
