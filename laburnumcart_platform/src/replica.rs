//! A mirrored prefix as other processes can follow it in place of the service.
//!
//! A [`follow::Snapshot`] tells what there is, not what was deleted since a revision. The replica
//! remembers deletions, so that it can answer a watch from any revision after its first listing.

use std::{
    collections,
    sync, //
};

use crate::{
    follow,
    store, //
};

/// Most deletions that are remembered; whoever is further behind takes a listing.
const DELETIONS_MAX: usize = 1024;

/// Objects under a prefix and the deletions among them.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    snapshot: follow::Snapshot,
    /// Deleted keys by the revision at which they were missed.
    deleted: collections::BTreeMap<store::Revision, Vec<String>>,
    /// Revision from which on all deletions are known.
    floor: store::Revision,
}

impl Replica {
    /// Takes in what the process knows now; returns whether anything has changed for others.
    pub fn apply(&mut self, snapshot: &follow::Snapshot) -> bool {
        if !self.snapshot.listed {
            self.floor = snapshot.revision;
        } else if snapshot.revision <= self.snapshot.revision {
            return false;
        }
        let known = self.snapshot.objects.keys().chain(&snapshot.deleted);
        let gone = known.filter(|key| !snapshot.objects.contains_key(*key));
        let gone: Vec<_> = gone.cloned().collect();
        let same = |(key, object): (&String, &sync::Arc<store::Object>)| {
            let known = self.snapshot.objects.get(key);
            known.is_some_and(|known| known.version == object.version)
        };
        let first = !self.snapshot.listed;
        let changed = first || !gone.is_empty() || !snapshot.objects.iter().all(same);
        if !gone.is_empty() {
            self.deleted.insert(snapshot.revision, gone);
            self.forget();
        }
        self.snapshot = snapshot.clone();
        changed
    }

    /// Forgets the oldest deletions where there are too many.
    fn forget(&mut self) {
        while self.deleted.values().map(Vec::len).sum::<usize>() > DELETIONS_MAX
            && let Some((revision, _)) = self.deleted.pop_first()
        {
            self.floor = revision;
        }
    }

    /// Returns the revision up to which the objects are complete.
    pub fn revision(&self) -> store::Revision {
        self.snapshot.revision
    }

    /// Returns all objects, or `None` before the first listing.
    pub fn listing(&self) -> Option<store::Listing> {
        let objects = self.snapshot.objects.values();
        self.snapshot.listed.then(|| store::Listing {
            revision: self.snapshot.revision,
            objects: objects.map(|object| object.as_ref().clone()).collect(),
            ..store::Listing::default()
        })
    }

    /// Returns what has changed after a revision, complete up to the replica's own.
    ///
    /// It is told as the present state of what differs. Changes between that were undone again are
    /// left out, and a key that was deleted and created anew comes with its new version alone.
    pub fn changes(&self, after: store::Revision) -> Result<store::Changes, store::Failure> {
        if !self.snapshot.listed || after < self.floor {
            return Err(store::Failure::Compacted);
        }
        let later = self.deleted.range(after..).filter(|(at, _)| **at > after);
        let deletions = later.flat_map(|(at, keys)| keys.iter().map(move |key| (at, key)));
        // The deletion's own version is not known. The revision at which it was missed is later than
        // any version that the key had before it, and earlier than any that it gets afterwards.
        let deletions = deletions
            .filter(|(_, key)| !self.snapshot.objects.contains_key(*key))
            .map(|(at, key)| store::Event {
                key: key.clone(),
                version: store::Version(at.0),
                value: None,
            });
        let objects = self.snapshot.objects.values();
        let changed = objects.filter(|object| object.version.0 > after.0);
        let changed = changed.map(|object| store::Event {
            key: object.key.clone(),
            version: object.version,
            value: Some(object.value.clone()),
        });
        Ok(store::Changes {
            revision: self.snapshot.revision.max(after),
            events: deletions.chain(changed).collect(),
            ..store::Changes::default()
        })
    }
}
