//! Placement of requests on the model engines of a service.

use std::{
    collections,
    sync::Arc, //
};

use slotmap::SecondaryMap;
use tokio::time::Instant;

use laburnumcart::{
    id,
    ingress,
    placement, //
};

use crate::{
    paces,
    view, //
};

/// Model engines of one service, with their targets.
#[derive(Debug)]
pub struct Engines {
    /// Load of the engines and the placement policy.
    pub placement: placement::Engines,
    targets: SecondaryMap<placement::EngineKey, Arc<view::Target>>,
    engine_keys: collections::HashMap<id::TargetLife, placement::EngineKey>,
}

impl Engines {
    /// Creates a service without engines.
    pub fn new(limits: ingress::Engine) -> Self {
        Self {
            placement: placement::Engines::new(limits),
            targets: SecondaryMap::new(),
            engine_keys: collections::HashMap::new(),
        }
    }

    /// Replaces the list of targets; the state of those that stay is kept.
    ///
    /// `limits` returns what limits the requests to a target.
    pub fn update_targets(
        &mut self,
        targets: &[Arc<view::Target>],
        limits: impl Fn(&view::Target) -> paces::Limits,
    ) {
        let (gone, new) = view::diff_targets(self.engine_keys.keys().cloned(), targets);
        for life in gone {
            if let Some(key) = self.engine_keys.remove(&life) {
                self.placement.remove(key);
                self.targets.remove(key);
            }
        }
        for target in new {
            let data_centre = target.data_centre.clone();
            let key = self.placement.add(target.name.as_str(), data_centre);
            let limits = limits(target);
            self.placement.set_limiter(key, limits.limiter);
            self.placement.set_pace(key, limits.pace);
            self.engine_keys.insert(target.key(), key);
            self.targets.insert(key, target.clone());
        }
    }

    /// Returns the engines that a request must not be placed on.
    pub fn excluded(&self, eligible: &view::Eligible<'_>) -> Vec<placement::EngineKey> {
        let targets = self.targets.iter();
        let excluded = targets.filter(|(_, target)| !eligible.contains(target));
        excluded.map(|(key, _)| key).collect()
    }

    /// Returns the target of an engine.
    pub fn target(&self, key: placement::EngineKey) -> Option<&Arc<view::Target>> {
        self.targets.get(key)
    }

    /// Returns the targets that can get a request, in the order in which they would be chosen.
    pub fn rank(
        &self,
        request: &placement::Request<'_>,
        now: Instant,
    ) -> Vec<(placement::Candidate, Arc<view::Target>)> {
        let ranked = self.placement.rank(request, now).into_iter();
        let with_target = |candidate: placement::Candidate| {
            Some((candidate, self.targets.get(candidate.engine)?.clone()))
        };
        ranked.filter_map(with_target).collect()
    }

    /// Chooses an engine and records the request as sent to it.
    pub fn assign(
        &mut self,
        request: &placement::Request<'_>,
        now: Instant,
    ) -> Option<(placement::Assignment, Arc<view::Target>)> {
        let assignment = self.placement.choose(request, now)?;
        let target = self.targets.get(assignment.engine)?.clone();
        self.placement.record_sent(request, assignment, now);
        Some((assignment, target))
    }
}
