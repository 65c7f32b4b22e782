//! Evacuations of data centres, read from the store.

use std::{
    collections,
    sync::Arc, //
};

use laburnumcart::{
    evacuation,
    event,
    id,
    unit, //
};
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::view;

/// Publishes the evacuated data centres.
pub(super) struct Observer {
    view: Arc<view::View>,
    /// Versions of rejected entries, so that each is logged once.
    rejected: collections::HashMap<String, store::Version>,
}

impl Observer {
    pub(super) fn new(view: Arc<view::View>) -> Self {
        Self {
            view,
            rejected: collections::HashMap::new(),
        }
    }

    /// Returns the data centre that an entry evacuates, which is the last part of its key.
    ///
    /// The value of the entry is ignored.
    fn evacuated_place(&mut self, object: &store::Object) -> Option<id::DataCentre> {
        let name = object.key.rsplit_once('/').map(|(_, name)| name);
        let place = name.and_then(|name| name.parse().ok());
        if place.is_none() {
            let known = self.rejected.insert(object.key.clone(), object.version);
            if known != Some(object.version) {
                event!(Warn, "evacuation-refused", key = object.key);
            }
        }
        place
    }
}

impl follow::Observer for Observer {
    fn before_call(&mut self) {}

    fn after_read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let objects = &snapshot.objects;
        self.rejected.retain(|key, _| objects.contains_key(key));
        let places = objects
            .values()
            .filter_map(|object| self.evacuated_place(object));
        let evacuated: evacuation::Evacuated = places.collect();
        let known = self.view.evacuated();
        if known.as_ref() == Some(&evacuated) {
            return;
        }
        let names: Vec<&str> = evacuated.iter().map(id::DataCentre::as_str).collect();
        event!(
            Info,
            "evacuated",
            data_centres = names.join(","),
            revision = snapshot.revision,
            age_ms = age.as_millis()
        );
        self.view.set_evacuated(evacuated);
    }
}
