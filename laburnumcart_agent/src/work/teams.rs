//! Teams of the queue by their names.

use std::collections;

use laburnumcart::{
    bundle,
    fair,
    id, //
};

/// Bound of a team that the bundle in force does not name; its requests came under an older one.
const QUEUE_LIMIT: usize = 64;

/// Keys of the teams that have used this target, with what the bundle says of all.
#[derive(Debug, Default)]
pub(super) struct Teams {
    keys: collections::HashMap<id::TeamName, fair::TeamKey>,
    promised: collections::HashMap<id::TeamName, (u32, usize)>,
}

impl Teams {
    /// Returns the key of a team, added to the queue when it is first seen.
    pub(super) fn key<T>(
        &mut self,
        name: &id::TeamName,
        queue: &mut fair::Queue<T>,
    ) -> fair::TeamKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let (weight, bound) = self.promise(name);
        let key = queue.add_team(weight, bound);
        self.keys.insert(name.clone(), key);
        key
    }

    /// Takes over the weights and bounds of a bundle, and removes teams that are gone.
    pub(super) fn configure<T>(&mut self, bundle: &bundle::Bundle, queue: &mut fair::Queue<T>) {
        let promise = |team: &bundle::Team| (team.weight, team.queue_limit as usize);
        let teams = bundle.teams.iter();
        self.promised = teams
            .map(|(name, team)| (name.clone(), promise(team)))
            .collect();
        let promised = &self.promised;
        self.keys.retain(|name, key| match promised.get(name) {
            Some((weight, bound)) => {
                queue.set_team(*key, *weight, *bound);
                true
            }
            // A request runs under the bundle that it was admitted with, so that what waits stays.
            None if queue.team_len(*key) > 0 => true,
            None => {
                queue.remove_team(*key);
                false
            }
        });
    }

    fn promise(&self, name: &id::TeamName) -> (u32, usize) {
        let promised = self.promised.get(name).copied();
        promised.unwrap_or((1, QUEUE_LIMIT))
    }
}
