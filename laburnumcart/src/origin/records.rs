//! Records of the origins of streams, kept until no caller can take the stream up any more.

use std::{
    collections,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    freshness,
    id,
    origin::Origin,
    unit, //
};

/// Time for which an origin is kept; no caller waits longer for an answer, over all of its tries.
pub const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Largest number of records, about 300 bytes each; the oldest ones are dropped first.
const RECORDS_MAX: usize = 16_384;

/// A stream that has begun.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Begun {
    /// Digest of the team and of the attempt that brought the first event.
    pub stream: id::Fingerprint,
    /// Where the first event came from.
    pub origin: Origin,
    /// Time since the first event.
    pub age: unit::Period,
}

/// Origins of streams by their digest.
#[derive(Debug, Default)]
pub struct Records {
    origins: collections::HashMap<id::Fingerprint, (Origin, freshness::BootTime)>,
    /// Keys in the order in which they were added.
    order: collections::VecDeque<id::Fingerprint>,
}

impl Records {
    /// Adds a record; an earlier one of the same stream stays.
    pub fn insert(&mut self, begun: Begun, now: freshness::BootTime) {
        self.expire(now);
        let Begun {
            stream,
            origin,
            age,
        } = begun;
        if age.0 >= RETENTION || self.origins.contains_key(&stream) {
            return;
        }
        if self.order.len() >= RECORDS_MAX {
            self.remove_oldest();
        }
        self.origins.insert(stream, (origin, now.before(age.0)));
        self.order.push_back(stream);
    }

    /// Returns the record of a stream.
    pub fn find(&self, stream: id::Fingerprint, now: freshness::BootTime) -> Option<Begun> {
        let (origin, at) = self.origins.get(&stream)?;
        let age = now.since(*at);
        (age < RETENTION).then(|| Begun {
            stream,
            origin: origin.clone(),
            age: unit::Period(age),
        })
    }

    /// Returns all records.
    pub fn all(&self, now: freshness::BootTime) -> Vec<Begun> {
        let streams = self.order.iter();
        streams.filter_map(|s| self.find(*s, now)).collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Drops the records at the front that have expired.
    ///
    /// One that was handed over expires later than it could, behind younger ones.
    fn expire(&mut self, now: freshness::BootTime) {
        let is_expired = |(_, at): &(Origin, freshness::BootTime)| now.since(*at) >= RETENTION;
        while let Some(stream) = self.order.front()
            && self.origins.get(stream).is_none_or(is_expired)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(stream) = self.order.pop_front() {
            self.origins.remove(&stream);
        }
    }
}
