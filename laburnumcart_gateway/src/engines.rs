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
    pub placement: placement::Fleet,
    targets: SecondaryMap<placement::EngineKey, Arc<view::Target>>,
    engine_keys: collections::HashMap<id::TargetLife, placement::EngineKey>,
}

impl Engines {
    /// Creates a service without engines.
    pub fn new(limits: ingress::Engine) -> Self {
        Self {
            placement: placement::Fleet::new(limits),
            targets: SecondaryMap::new(),
            engine_keys: collections::HashMap::new(),
        }
    }

    /// Takes in the list of targets; what is known of those that stay is kept.
    ///
    /// `gate` returns what holds requests for one to what it takes.
    pub fn update_targets(
        &mut self,
        targets: &[Arc<view::Target>],
        limiter: impl Fn(&view::Target) -> quota::Gate,
    ) {
        let (gone, new) = view::changes(self.engine_keys.keys().cloned(), targets);
        for life in gone {
            if let Some(key) = self.engine_keys.remove(&life) {
                self.placement.remove(key);
                self.targets.remove(key);
            }
        }
        for target in new {
            let zone = target.data_centre.clone();
            let key = self.placement.add(target.name.as_str(), zone);
            self.placement.set_gate(key, limiter(target));
            self.engine_keys.insert(target.key(), key);
            self.targets.insert(key, target.clone());
        }
    }

    /// Returns the keys of the engines that have these names, or stand where a request may not run.
    pub fn excluded(
        &self,
        names: &[id::TargetName],
        places: Option<&[id::DataCentre]>,
    ) -> Vec<placement::EngineKey> {
        let is_avoided = |target: &view::Target| {
            names.contains(&target.name) || !residency::allows(places, &target.data_centre)
        };
        let avoided = self.targets.iter().filter(|(_, target)| is_avoided(target));
        avoided.map(|(key, _)| key).collect()
    }

    /// Chooses an engine and counts the request there.
    pub fn assign(
        &mut self,
        ask: &placement::Ask<'_>,
        now: Instant,
    ) -> Option<(placement::Place, Arc<view::Target>)> {
        let place = self.placement.choose(ask, now)?;
        let target = self.targets.get(place.engine)?.clone();
        self.placement.start(ask, place, now);
        Some((place, target))
    }
}
