//! Ranking of the possible owners of each queue, derived from members and configuration.

use std::{
    collections,
    sync::Arc, //
};

use laburnumcart::{
    id,
    ingress,
    owners,
    readers, //
};

use crate::view;

/// Members that may own the queue of a service, the preferred one first.
pub(super) type OwnerRanking = Arc<[Arc<view::Member>]>;

/// Rankings of all services, recomputed when members or configuration change.
///
/// Each job, announcement and freed result needs an owner. Sorting all members of a large fleet
/// each time would take a considerable part of a small instance's processor.
#[derive(Default)]
pub(super) struct OwnerRankings {
    members: Arc<Vec<view::Member>>,
    table: Option<Arc<ingress::Table>>,
    rankings: collections::HashMap<id::ServiceName, OwnerRanking>,
}

impl OwnerRankings {
    /// Returns the ranking for a service.
    pub(super) fn get(&mut self, view: &view::View, service: &id::ServiceName) -> OwnerRanking {
        self.refresh(view);
        if let Some(ranking) = self.rankings.get(service) {
            return ranking.clone();
        }
        // The configuration doesn't contain the service.
        self.compute([service]);
        self.rankings.get(service).cloned().unwrap_or_default()
    }

    /// Recomputes the rankings if members or configuration have changed.
    fn refresh(&mut self, view: &view::View) {
        let members = view.members.load();
        let table = view.table.load();
        let is_same = match (&self.table, &*table) {
            (Some(known), Some(table)) => Arc::ptr_eq(known, table),
            (None, None) => true,
            _ => false,
        };
        if is_same && Arc::ptr_eq(&self.members, &members) {
            return;
        }
        self.members = members.clone();
        self.table = table.clone();
        self.rankings.clear();
        if let Some(table) = &*table {
            let staged = table.services().filter(|s| s.batching.is_some());
            self.compute(staged.map(|s| &s.name));
        }
    }

    fn compute<'a>(&mut self, services: impl IntoIterator<Item = &'a id::ServiceName>) {
        let services: Vec<_> = services.into_iter().collect();
        let all: Vec<_> = self.members.iter().cloned().map(Arc::new).collect();
        let members = all.iter().map(|m| readers::Member {
            name: &m.instance,
            data_centre: &m.data_centre,
            cores: m.cores,
        });
        let members: Vec<_> = members.collect();
        let find = |name: &id::InstanceName| all.iter().find(|m| m.instance == *name).cloned();
        for (service, ranking) in owners::rankings(&members, services) {
            let ranking = ranking.iter().filter_map(|member| find(member.name));
            self.rankings.insert(service.clone(), ranking.collect());
        }
    }
}
