//! Owners of queues, as they follow from the members and the configuration.

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

/// Members that may own the queue of a service, the first choice first.
pub(super) type Order = Arc<[Arc<view::Member>]>;

/// Orders of owners, worked out anew when members or configuration change.
///
/// Each job, notice and freed result asks for an owner; sorting all members of a large fleet each
/// time would take a good part of a weak instance's processor.
#[derive(Default)]
pub(super) struct Orders {
    members: Arc<Vec<view::Member>>,
    table: Option<Arc<ingress::Table>>,
    known: collections::HashMap<id::ServiceName, Order>,
}

impl Orders {
    /// Returns the order of a service.
    pub(super) fn order(&mut self, view: &view::View, service: &id::ServiceName) -> Order {
        self.refresh(view);
        if let Some(order) = self.known.get(service) {
            return order.clone();
        }
        // A service that the configuration does not name.
        self.add([service]);
        self.known.get(service).cloned().unwrap_or_default()
    }

    /// Works out the orders anew if what they rest on has changed.
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
        self.known.clear();
        if let Some(table) = &*table {
            let staged = table.services().filter(|s| s.batching.is_some());
            self.add(staged.map(|s| &s.name));
        }
    }

    fn add<'a>(&mut self, services: impl IntoIterator<Item = &'a id::ServiceName>) {
        let services: Vec<_> = services.into_iter().collect();
        let all: Vec<_> = self.members.iter().cloned().map(Arc::new).collect();
        let members = all.iter().map(|m| readers::Member {
            name: &m.instance,
            data_centre: &m.data_centre,
            cores: m.cores,
        });
        let members: Vec<_> = members.collect();
        let find = |name: &id::InstanceName| all.iter().find(|m| m.instance == *name).cloned();
        for (service, order) in owners::rankings(&members, services) {
            let order = order.iter().filter_map(|member| find(member.name));
            self.known.insert(service.clone(), order.collect());
        }
    }
}
