//! Table of a shard's claims in its owner's memory, with their retention.

use std::{
    cmp,
    collections, //
};

use tokio::time::Instant;

use crate::{
    claim::record,
    id,
    unit, //
};

/// A claim with the time at which this process learned of it.
#[derive(Clone, Debug)]
struct Entry {
    grant: record::Grant,
    learned_at: Instant,
}

impl Entry {
    fn age(&self, now: Instant) -> unit::Period {
        let elapsed = now.saturating_duration_since(self.learned_at);
        unit::Period(self.grant.age.0.saturating_add(elapsed))
    }

    /// Returns the end of the retention time, `None` if it is beyond the clock's range.
    fn expiry(&self) -> Option<Instant> {
        let left = self.grant.keep.0.saturating_sub(self.grant.age.0);
        self.learned_at.checked_add(left)
    }
}

/// Claims by key.
///
/// The age of a claim is the sum of what successive owners measured, each by its own clock. The
/// time between an owner's last append and the replay by its successor is not counted, so that a
/// claim may be kept longer than its retention time but never shorter, whatever the clocks show.
#[derive(Clone, Debug, Default)]
pub struct Table {
    claims: collections::HashMap<id::Fingerprint, Entry>,
    expiries: collections::BinaryHeap<cmp::Reverse<(Instant, id::Fingerprint)>>,
}

impl Table {
    /// Returns the claim of a key.
    pub fn get(&self, key: id::Fingerprint) -> Option<&record::Grant> {
        self.claims.get(&key).map(|entry| &entry.grant)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Reports whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a record that was read or became durable at `now`.
    pub fn apply(&mut self, record: &record::Record, now: Instant) {
        match record {
            record::Record::Grant(grant) => self.insert(grant.clone(), now),
            record::Record::Release { key, request } => self.remove(*key, *request),
        }
    }

    /// Inserts a claim whose age at `now` is that of its record.
    pub fn insert(&mut self, grant: record::Grant, now: Instant) {
        let key = grant.key;
        let entry = Entry {
            grant,
            learned_at: now,
        };
        if let Some(expiry) = entry.expiry() {
            self.expiries.push(cmp::Reverse((expiry, key)));
        }
        self.claims.insert(key, entry);
    }

    fn remove(&mut self, key: id::Fingerprint, request: id::RequestId) {
        if self.get(key).is_some_and(|grant| grant.request == request) {
            self.claims.remove(&key);
        }
    }

    /// Drops the claims whose retention time has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some(cmp::Reverse((expiry, key))) = self.expiries.peek().copied() {
            if expiry > now {
                break;
            }
            self.expiries.pop();
            // The key may have been released and claimed again, with a later expiry.
            let entry = self.claims.get(&key);
            if entry.is_some_and(|entry| entry.expiry().is_some_and(|end| end <= now)) {
                self.claims.remove(&key);
            }
        }
    }

    /// Returns all claims with their ages at `now`.
    pub fn grants(&self, now: Instant) -> impl Iterator<Item = record::Grant> {
        self.claims.values().map(move |entry| record::Grant {
            age: entry.age(now),
            ..entry.grant.clone()
        })
    }
}
