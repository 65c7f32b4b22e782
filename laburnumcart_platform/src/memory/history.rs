//! Objects with a bounded history of changes, from which earlier states can be restored.

use std::{
    collections,
    sync, //
};

use tokio::time::Instant;

use crate::store;

/// Default number of changes kept.
pub(super) const DEFAULT_CHANGES: usize = 8192;

/// Maximum size of the changes kept, in bytes.
const HISTORY_MAX: usize = 64 << 20;

/// Size of a watch's answer in bytes at which the rest is left to the next watch.
const ANSWER_MAX: usize = 4 << 20;

type Text = sync::Arc<str>;

#[derive(Clone, Debug)]
struct Entry {
    version: store::Version,
    value: Text,
}

#[derive(Debug)]
struct Change {
    revision: store::Revision,
    at: Instant,
    key: String,
    before: Option<Entry>,
    after: Option<Text>,
}

impl Change {
    fn size(&self) -> usize {
        let before = self.before.as_ref().map_or(0, |entry| entry.value.len());
        before + self.after.as_ref().map_or(0, |text| text.len()) + self.key.len()
    }

    fn event(&self) -> store::Event {
        store::Event {
            key: self.key.clone(),
            version: store::Version(self.revision.0),
            value: self.after.as_deref().map(str::to_owned),
        }
    }
}

#[derive(Debug)]
pub(super) struct History {
    objects: collections::BTreeMap<String, Entry>,
    changes: collections::VecDeque<Change>,
    revision: store::Revision,
    floor: store::Revision,
    limit: usize,
    bytes: usize,
}

impl History {
    pub(super) fn new(start: store::Revision, limit: usize) -> Self {
        Self {
            objects: collections::BTreeMap::new(),
            changes: collections::VecDeque::new(),
            revision: start,
            floor: start,
            limit,
            bytes: 0,
        }
    }

    pub(super) fn revision(&self) -> store::Revision {
        self.revision
    }

    /// Returns the oldest revision whose state can be restored.
    pub(super) fn floor(&self) -> store::Revision {
        self.floor
    }

    /// Returns the revision at a past time, or the oldest one that can be restored.
    pub(super) fn revision_at(&self, then: Instant) -> store::Revision {
        let known = self.changes.iter().rev().find(|change| change.at <= then);
        known.map_or(self.floor, |change| change.revision)
    }

    /// Returns the time of the first change after a revision.
    pub(super) fn next_change(&self, revision: store::Revision) -> Option<Instant> {
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|change| change.revision > revision);
        newer.last().map(|change| change.at)
    }

    pub(super) fn get(&self, key: &str, visible: store::Revision) -> Option<store::Object> {
        let undone = self.changes.iter().rev();
        let undone = undone.take_while(|change| change.revision > visible);
        let first = undone.filter(|change| change.key == key).last();
        let entry = match first {
            Some(change) => change.before.as_ref(),
            None => self.objects.get(key),
        };
        entry.map(|entry| object(key, entry))
    }

    pub(super) fn list(&self, prefix: &str, visible: store::Revision) -> store::Listing {
        let range = self.objects.range(prefix.to_owned()..);
        let range = range.take_while(|(key, _)| key.starts_with(prefix));
        let mut view: collections::BTreeMap<&str, &Entry> =
            range.map(|(key, entry)| (key.as_str(), entry)).collect();
        let undone = self.changes.iter().rev();
        let undone = undone.take_while(|change| change.revision > visible);
        for change in undone.filter(|change| change.key.starts_with(prefix)) {
            match &change.before {
                Some(entry) => view.insert(&change.key, entry),
                None => view.remove(change.key.as_str()),
            };
        }
        let objects = view.iter().map(|(key, entry)| object(key, entry)).collect();
        store::Listing {
            revision: visible,
            objects,
            ..store::Listing::default()
        }
    }

    /// Returns the changes under `prefix` after revision `after`, up to revision `visible`.
    pub(super) fn changes(
        &self,
        prefix: &str,
        after: store::Revision,
        visible: store::Revision,
    ) -> Result<store::Changes, store::Failure> {
        // A revision above the current one is from before the service lost its objects.
        if after < self.floor || after > self.revision {
            return Err(store::Failure::Compacted);
        }
        let mut answer = store::Changes {
            revision: visible.max(after),
            ..store::Changes::default()
        };
        let from = self.changes.partition_point(|c| c.revision <= after);
        let to = self.changes.partition_point(|c| c.revision <= visible);
        let mut size = 0;
        for change in self.changes.range(from..to.max(from)) {
            if !change.key.starts_with(prefix) {
                continue;
            }
            answer.events.push(change.event());
            size += change.size();
            if size >= ANSWER_MAX {
                answer.revision = change.revision;
                break;
            }
        }
        Ok(answer)
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        expect: store::Expect,
        value: &str,
        now: Instant,
    ) -> Result<store::Version, store::Failure> {
        let found = self.objects.get(key).map(|entry| entry.version);
        let wanted = match expect {
            store::Expect::Absent => None,
            store::Expect::Version(version) => Some(version),
        };
        if found != wanted {
            return Err(store::Failure::Conflict);
        }
        let value: Text = value.into();
        Ok(self.apply(key, Some(value), now))
    }

    pub(super) fn delete(
        &mut self,
        key: &str,
        version: store::Version,
        now: Instant,
    ) -> Result<bool, store::Failure> {
        match self.objects.get(key) {
            None => Ok(false),
            Some(entry) if entry.version != version => Err(store::Failure::Conflict),
            Some(_) => {
                self.apply(key, None, now);
                Ok(true)
            }
        }
    }

    pub(super) fn compact(&mut self) {
        self.changes.clear();
        self.bytes = 0;
        self.floor = self.revision;
    }

    fn apply(&mut self, key: &str, after: Option<Text>, now: Instant) -> store::Version {
        self.revision.0 += 1;
        let version = store::Version(self.revision.0);
        let before = match after.clone() {
            Some(value) => self.objects.insert(key.into(), Entry { version, value }),
            None => self.objects.remove(key),
        };
        let change = Change {
            revision: self.revision,
            at: now,
            key: key.into(),
            before,
            after,
        };
        self.bytes += change.size();
        self.changes.push_back(change);
        self.trim();
        version
    }

    fn trim(&mut self) {
        while self.changes.len() > self.limit || self.bytes > HISTORY_MAX {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.size();
            self.floor = oldest.revision;
        }
    }
}

fn object(key: &str, entry: &Entry) -> store::Object {
    store::Object {
        key: key.into(),
        version: entry.version,
        value: entry.value.as_ref().into(),
    }
}
