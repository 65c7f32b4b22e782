//! Table of the merged facts of one process.

use std::{
    collections,
    hash,
    time, //
};

use tokio::time::Instant;

use crate::{
    facts,
    id,
    unit, //
};

/// Largest number of facts of a kind; beyond it the one that expires first is dropped.
const FACTS_MAX: usize = 4096;

/// Largest number of suspects of a crash.
const SUSPECTS_MAX: usize = 256;

/// Upper limit of a fact's time to live, whatever its sender states.
const TTL_MAX: time::Duration = time::Duration::from_secs(3600);

/// Time for which an incarnation is remembered as leaving; longer than any graceful shutdown.
const LEAVING_TTL: time::Duration = time::Duration::from_secs(600);

/// Differences of expiry up to this one are taken for message latency and not for a change.
const EXPIRY_TOLERANCE: time::Duration = time::Duration::from_secs(1);

/// Version of a table, which identifies the changes that a peer has received.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Version(u64);

#[derive(Clone, Debug)]
struct Fact<T> {
    value: T,
    expiry: Instant,
    version: Version,
}

type FactMap<K, V> = collections::HashMap<K, Fact<V>>;

/// Facts of one process, merged with those of its peers.
///
/// Merging takes the highest generation, the union of the lists, and the earliest expiry of each
/// fact. It is commutative, associative and idempotent, so that facts may arrive in any order, over
/// any path and any number of times.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{facts, id};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut table = facts::Table::default();
/// let mut peer = facts::Table::default();
/// let sent = facts::Version::default();
/// table.set_leaving(id::Incarnation(7), now);
/// peer.merge(&table.changes(sent, now).unwrap(), now);
/// assert!(peer.is_leaving(id::Incarnation(7), now));
/// // Only later changes are sent.
/// assert_eq!(table.changes(table.version(), now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: Version,
    generation: (id::Generation, Version),
    leaving: FactMap<id::Incarnation, ()>,
    crashes: FactMap<id::Incarnation, Vec<id::Fingerprint>>,
    cleared: FactMap<(id::Fingerprint, id::Incarnation), ()>,
}

impl Table {
    /// Returns the current version, to be remembered for a peer that has received all changes.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the highest generation seen.
    pub fn generation(&self) -> id::Generation {
        self.generation.0
    }

    /// Reports whether an incarnation accepts no new work.
    pub fn is_leaving(&self, incarnation: id::Incarnation, now: Instant) -> bool {
        let fact = self.leaving.get(&incarnation);
        fact.is_some_and(|f| f.expiry > now)
    }

    /// Returns the valid crashes with their suspects and expiry.
    pub fn crashes(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (id::Incarnation, &[id::Fingerprint], Instant)> {
        let valid = self.crashes.iter().filter(move |(_, f)| f.expiry > now);
        valid.map(|(id, f)| (*id, f.value.as_slice(), f.expiry))
    }

    /// Reports whether a request's content is cleared of a crash.
    pub fn is_cleared(
        &self,
        fingerprint: id::Fingerprint,
        crash: id::Incarnation,
        now: Instant,
    ) -> bool {
        let fact = self.cleared.get(&(fingerprint, crash));
        fact.is_some_and(|f| f.expiry > now)
    }

    /// Returns the changes since a version, with the remaining time to live of each fact.
    pub fn changes(&self, since: Version, now: Instant) -> Option<facts::Facts> {
        if self.version <= since {
            return None;
        }
        let leaving = changed_facts(&self.leaving, since, now);
        let crashes = changed_facts(&self.crashes, since, now);
        let cleared = changed_facts(&self.cleared, since, now);
        Some(facts::Facts {
            generation: self.generation.0,
            leaving: leaving.map(|(incarnation, _)| *incarnation).collect(),
            crashes: crashes
                .map(|(id, fact)| facts::Crash {
                    id: *id,
                    suspects: fact.value.clone(),
                    ttl: remaining_ttl(fact.expiry, now),
                })
                .collect(),
            cleared: cleared
                .map(|((fingerprint, crash), fact)| facts::Cleared {
                    fingerprint: *fingerprint,
                    crash: *crash,
                    ttl: remaining_ttl(fact.expiry, now),
                })
                .collect(),
        })
    }

    /// Raises the generation; a lower one has no effect.
    pub fn set_generation(&mut self, generation: id::Generation) {
        if generation > self.generation.0 {
            self.version = Version(self.version.0 + 1);
            self.generation = (generation, self.version);
        }
    }

    /// Adds an incarnation that accepts no new work.
    pub fn set_leaving(&mut self, incarnation: id::Incarnation, now: Instant) {
        // A leaving incarnation never accepts work again, so that the fact carries no time to live.
        if !self.is_leaving(incarnation, now) {
            insert(
                &mut self.leaving,
                incarnation,
                (),
                now + LEAVING_TTL,
                &mut self.version,
            );
        }
    }

    /// Adds a crash.
    pub fn add_crash(&mut self, crash: &facts::Crash, now: Instant) {
        let expiry = expiry_time(crash.ttl, now);
        let suspects = || crash.suspects.iter().take(SUSPECTS_MAX).copied().collect();
        if should_replace(&self.crashes, &crash.id, expiry) {
            insert(
                &mut self.crashes,
                crash.id,
                suspects(),
                expiry,
                &mut self.version,
            );
        }
    }

    /// Adds a clearance.
    pub fn add_cleared(&mut self, cleared: &facts::Cleared, now: Instant) {
        let key = (cleared.fingerprint, cleared.crash);
        let expiry = expiry_time(cleared.ttl, now);
        if should_replace(&self.cleared, &key, expiry) {
            insert(&mut self.cleared, key, (), expiry, &mut self.version);
        }
    }

    /// Merges the facts of a peer; returns whether anything changed.
    pub fn merge(&mut self, facts: &facts::Facts, now: Instant) -> bool {
        let before = self.version;
        self.set_generation(facts.generation);
        for incarnation in &facts.leaving {
            self.set_leaving(*incarnation, now);
        }
        for crash in &facts.crashes {
            self.add_crash(crash, now);
        }
        for cleared in &facts.cleared {
            self.add_cleared(cleared, now);
        }
        self.version != before
    }

    /// Drops expired facts.
    pub fn expire(&mut self, now: Instant) {
        self.leaving.retain(|_, fact| fact.expiry > now);
        self.crashes.retain(|_, fact| fact.expiry > now);
        self.cleared.retain(|_, fact| fact.expiry > now);
    }
}

fn expiry_time(ttl: unit::Period, now: Instant) -> Instant {
    now + ttl.0.min(TTL_MAX)
}

fn remaining_ttl(expiry: Instant, now: Instant) -> unit::Period {
    unit::Period(expiry.saturating_duration_since(now))
}

/// Returns the valid facts that changed since a version.
fn changed_facts<K, V>(
    kind: &FactMap<K, V>,
    since: Version,
    now: Instant,
) -> impl Iterator<Item = (&K, &Fact<V>)> {
    kind.iter()
        .filter(move |(_, fact)| fact.version > since && fact.expiry > now)
}

/// Reports whether a fact is unknown or expires earlier than the known one by more than the
/// tolerance.
///
/// If the later expiry were kept, the latency of each message would prolong a fact that circulates
/// among peers, and it would never expire.
fn should_replace<K: Eq + hash::Hash, V>(kind: &FactMap<K, V>, key: &K, expiry: Instant) -> bool {
    kind.get(key)
        .is_none_or(|fact| expiry + EXPIRY_TOLERANCE < fact.expiry)
}

fn insert<K: Copy + Eq + hash::Hash, V>(
    kind: &mut FactMap<K, V>,
    key: K,
    value: V,
    expiry: Instant,
    version: &mut Version,
) {
    if kind.len() >= FACTS_MAX && !kind.contains_key(&key) {
        let first = kind.iter().min_by_key(|(_, fact)| fact.expiry);
        let first = first.map(|(key, _)| *key);
        first.and_then(|key| kind.remove(&key));
    }
    *version = Version(version.0 + 1);
    let version = *version;
    let fact = Fact {
        value,
        expiry,
        version,
    };
    kind.insert(key, fact);
}
