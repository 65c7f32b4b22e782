//! Keys, weights and queue limits of teams in the fair queue, by team name.

use std::collections;

use laburnumcart::{
    bundle,
    fair,
    id, //
};

/// Queue limit of a team that is not in the current bundle; its requests were admitted under an
/// older one.
const QUEUE_LIMIT: usize = 64;

/// Keys of the teams that have used this target, and the weights and limits of all teams.
#[derive(Debug, Default)]
pub(super) struct Teams {
    keys: collections::HashMap<id::TeamName, fair::TeamKey>,
    configured: collections::HashMap<id::TeamName, (u32, usize)>,
}

impl Teams {
    /// Returns the key of a team; adds the team to the queue on first use.
    pub(super) fn key<T>(
        &mut self,
        name: &id::TeamName,
        queue: &mut fair::Queue<T>,
    ) -> fair::TeamKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let (weight, queue_limit) = self.team_limits(name);
        let key = queue.add_team(weight, queue_limit);
        self.keys.insert(name.clone(), key);
        key
    }

    /// Applies the weights and queue limits of a bundle, and removes teams that it no longer has.
    pub(super) fn configure<T>(&mut self, bundle: &bundle::Bundle, queue: &mut fair::Queue<T>) {
        let limits = |team: &bundle::Team| (team.weight, team.queue_limit as usize);
        let teams = bundle.teams.iter();
        self.configured = teams
            .map(|(name, team)| (name.clone(), limits(team)))
            .collect();
        let configured = &self.configured;
        self.keys.retain(|name, key| match configured.get(name) {
            Some((weight, queue_limit)) => {
                queue.set_team(*key, *weight, *queue_limit);
                true
            }
            // Waiting requests stay: each runs under the bundle that it was admitted with.
            None if queue.team_len(*key) > 0 => true,
            None => {
                queue.remove_team(*key);
                false
            }
        });
    }

    fn team_limits(&self, name: &id::TeamName) -> (u32, usize) {
        let configured = self.configured.get(name).copied();
        configured.unwrap_or((1, QUEUE_LIMIT))
    }
}
