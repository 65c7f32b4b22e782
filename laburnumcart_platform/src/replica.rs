//! Replica of a mirrored prefix that other processes can list and watch instead of the service.
//!
//! A [`follow::Snapshot`] holds the present objects but not the deletions since a given revision.
//! The replica keeps these too, so that it can answer a watch from any revision since its first
//! listing.

use std::{
    collections,
    sync, //
};

use crate::{
    follow,
    store, //
};

/// Maximum number of deletions kept; a watch from an earlier revision has to list again.
const DELETIONS_MAX: usize = 1024;

/// Maximum number of gaps kept; a watch from an earlier revision has to list again.
const GAPS_MAX: usize = 16;

/// Objects under a prefix and the most recent deletions.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    snapshot: follow::Snapshot,
    /// Deleted keys by the revision at which the deletion was seen.
    deleted: collections::BTreeMap<store::Revision, Vec<String>>,
    /// Oldest revision after which every deletion is known, but for the gaps.
    floor: store::Revision,
    /// First and last revision of each listing that skipped changes, the newest last.
    gaps: collections::VecDeque<(store::Revision, store::Revision)>,
}

impl Replica {
    /// Replaces the state by a newer snapshot; returns whether any object has changed.
    pub fn apply(&mut self, snapshot: &follow::Snapshot) -> bool {
        if !self.snapshot.listed {
            self.floor = snapshot.revision;
        } else if snapshot.revision <= self.snapshot.revision {
            return false;
        } else if snapshot.listed_at > self.snapshot.revision {
            self.add_gap(self.snapshot.revision, snapshot.listed_at);
        }
        let known = self.snapshot.objects.keys().chain(&snapshot.deleted);
        let missing = known.filter(|key| !snapshot.objects.contains_key(*key));
        let missing: Vec<_> = missing.cloned().collect();
        let is_unchanged = |(key, object): (&String, &sync::Arc<store::Object>)| {
            let known = self.snapshot.objects.get(key);
            known.is_some_and(|known| known.version == object.version)
        };
        let first = !self.snapshot.listed;
        let changed = first || !missing.is_empty() || !snapshot.objects.iter().all(is_unchanged);
        if !missing.is_empty() {
            self.deleted.insert(snapshot.revision, missing);
            self.trim_deletions();
        }
        self.snapshot = snapshot.clone();
        changed
    }

    /// Records that a listing skipped the changes between two revisions.
    ///
    /// An object that was created and deleted in between is not known here. A process whose
    /// revision is in between may have it.
    fn add_gap(&mut self, start: store::Revision, end: store::Revision) {
        self.gaps.push_back((start, end));
        if self.gaps.len() > GAPS_MAX
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.floor = self.floor.max(end);
        }
    }

    fn is_in_gap(&self, revision: store::Revision) -> bool {
        let mut gaps = self.gaps.iter();
        gaps.any(|(start, end)| *start < revision && revision < *end)
    }

    /// Drops the oldest deletions beyond [`DELETIONS_MAX`].
    fn trim_deletions(&mut self) {
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

    /// Returns the object under the prefix if there is exactly one.
    pub fn only_object(&self) -> Option<sync::Arc<store::Object>> {
        let mut objects = self.snapshot.objects.values();
        let first = objects.next().cloned();
        first.filter(|_| objects.next().is_none())
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

    /// Returns the changes after a revision, complete up to the replica's own revision.
    ///
    /// There is at most one event for each key, with its present state: intermediate versions are
    /// left out, and a key that was deleted and created again has only the event of its creation.
    ///
    /// Fails with [`store::Failure::Compacted`] before the first listing, and where deletions after
    /// the revision are no longer known.
    pub fn changes(&self, after: store::Revision) -> Result<store::Changes, store::Failure> {
        if !self.snapshot.listed || after < self.floor || self.is_in_gap(after) {
            return Err(store::Failure::Compacted);
        }
        let later = self.deleted.range(after..).filter(|(at, _)| **at > after);
        let deletions = later.flat_map(|(at, keys)| keys.iter().map(move |key| (at, key)));
        // The version of the deletion itself is not known. The revision at which it was seen is
        // higher than any earlier version of the key and lower than any later one.
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
