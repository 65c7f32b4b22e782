//! Target discovery: the targets that may get work, read from the store.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    unit, //
};
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::{
    clock,
    dialect,
    view, //
};

/// Time without a successful read after which the next one ends an outage of the store.
///
/// Watches without changes end well before that.
const OUTAGE_MIN: time::Duration = time::Duration::from_millis(3500);

/// Time after an outage for which targets without an entry are still used.
///
/// Entries expire during an outage and are written again within about two seconds.
const OUTAGE_GRACE: time::Duration = time::Duration::from_millis(2200);

/// Time for which a removed target is remembered.
///
/// A target's write can take effect seconds after it was sent. Without the record, an entry from an
/// earlier run or from before the shutdown would bring the target back.
const REMOVED_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Time for which an entry with an earlier start time stays before its run is taken for the present
/// one.
///
/// A live run replaces a late entry of an earlier one at its next heartbeat, within about a second.
const OUTDATED_TIME: time::Duration = time::Duration::from_secs(3);

/// Maximum number of removed targets, and of rejected entries, that are remembered.
///
/// Another writer of the store could add any number of names.
const REMOVED_MAX: usize = 4096;

/// Longest warm-up time that an entry may state, so that a bad entry cannot slow a target down
/// indefinitely.
const COLD_MAX: time::Duration = time::Duration::from_secs(600);

/// Difference between two ends of a warm-up time up to which they count as equal.
const COLD_TOLERANCE: time::Duration = time::Duration::from_millis(500);

/// State of a target's store entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    /// The entry exists.
    Listed,
    /// The entry is missing; the target is used until this time.
    Missing(Instant),
    /// The target has not been used since this time.
    Removed(Instant),
}

/// An entry with an earlier start time than the known run has.
///
/// It is the late write of an earlier run, or the known run has ended and the clock was set back
/// since its start.
struct Outdated {
    life: id::Life,
    /// Version of the first entry of this run.
    version: store::Version,
    since: Instant,
}

/// A target and the state of its entry.
struct TargetRecord {
    version: store::Version,
    target: view::Target,
    presence: Presence,
}

impl TargetRecord {
    fn is_used(&self) -> bool {
        !matches!(self.presence, Presence::Removed(_))
    }

    /// Stops using the target.
    fn remove(&mut self, now: Instant) {
        if self.is_used() {
            event!(Info, "target-gone", target = self.target.name);
            self.presence = Presence::Removed(now);
        }
    }
}

/// Targets by key, including removed ones for a while.
#[derive(Default)]
struct State {
    records: collections::HashMap<String, TargetRecord>,
    /// Versions of rejected entries.
    rejected: collections::HashMap<String, store::Version>,
    /// Entries with an earlier start time than the known run, by key.
    outdated: collections::HashMap<String, Outdated>,
    /// Time of the last successful read, by this process or by the peer that it asked.
    last_read: Option<Instant>,
}

/// Publishes the targets.
pub(super) struct Observer {
    view: Arc<view::View>,
    layout: Arc<dyn dialect::StoreLayout>,
    state: Arc<Mutex<State>>,
}

impl Observer {
    pub(super) fn new(view: Arc<view::View>, layout: Arc<dyn dialect::StoreLayout>) -> Self {
        Self {
            view,
            layout,
            state: Arc::default(),
        }
    }
}

impl State {
    /// Applies an entry and returns whether the usable targets changed.
    fn apply_entry(
        &mut self,
        layout: &dyn dialect::StoreLayout,
        object: &store::Object,
        now: Instant,
    ) -> bool {
        let key = &object.key;
        if let Some(known) = self.records.get_mut(key)
            && known.version == object.version
        {
            let was_used = known.is_used();
            known.presence = Presence::Listed;
            return !was_used;
        }
        if self.rejected.get(key) == Some(&object.version) {
            return false;
        }
        let name = key.rsplit_once('/').map_or(key.as_str(), |(_, name)| name);
        match layout.parse_target(name, &object.value) {
            Ok(entry) => self.apply_target(entry, object, now),
            Err(error) => self.reject_entry(object, error, now),
        }
    }

    /// Applies a valid entry and returns whether the target changed.
    fn apply_target(
        &mut self,
        entry: dialect::TargetEntry,
        object: &store::Object,
        now: Instant,
    ) -> bool {
        let key = &object.key;
        self.rejected.remove(key);
        let known = self.records.get(key);
        let mut target = entry.target;
        target.cold_until =
            cold_until(entry.cold_for, known.and_then(|k| k.target.cold_until), now);
        if let Some(known) = known {
            if target.life < known.target.life
                && !is_confirmed(&mut self.outdated, known, &target, object, now)
            {
                return false;
            }
            // A run of a target that began to leave never accepts work again. An entry that says
            // otherwise was written before and took effect late.
            target.leaving |= known.target.life == target.life && known.target.leaving;
        }
        let changed = known.is_none_or(|k| k.target != target || !k.is_used());
        if changed {
            event!(
                Info,
                "target",
                target = target.name,
                life = target.life,
                service = target.service,
                version = target.version_label(),
                addr = target.addr,
                leaving = target.leaving,
                cold_ms = entry.cold_for.as_millis(),
                revision = object.version
            );
        }
        self.outdated.remove(key);
        let record = TargetRecord {
            version: object.version,
            target,
            presence: Presence::Listed,
        };
        self.records.insert(key.clone(), record);
        changed
    }

    /// Rejects an invalid entry and removes the target that had the key before.
    ///
    /// Logged once for each key, as the writer may keep writing invalid values.
    fn reject_entry(
        &mut self,
        object: &store::Object,
        error: dialect::Malformed,
        now: Instant,
    ) -> bool {
        let key = &object.key;
        if self.rejected.len() >= REMOVED_MAX {
            self.rejected.clear();
        }
        if self.rejected.insert(key.clone(), object.version).is_none() {
            event!(Warn, "target-refused", key = key, error = error);
        }
        let known = self.records.get_mut(key).filter(|known| known.is_used());
        let was_used = known.is_some();
        if let Some(known) = known {
            known.remove(now);
        }
        was_used
    }

    /// Removes targets without an entry; after an outage they are used until `grace`.
    fn remove_missing(
        &mut self,
        listed: &collections::BTreeMap<String, Arc<store::Object>>,
        grace: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.rejected.retain(|key, _| listed.contains_key(key));
        self.outdated.retain(|key, _| listed.contains_key(key));
        for (key, known) in &mut self.records {
            if known.presence == Presence::Listed && !listed.contains_key(key) {
                // Without `grace` the entry was deleted and did not expire in an outage.
                known.presence = Presence::Missing(grace.unwrap_or(now));
            }
        }
        self.sweep(now)
    }

    /// Removes targets whose entry was not restored in time and forgets those removed long ago.
    fn sweep(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for known in self.records.values_mut() {
            if matches!(known.presence, Presence::Missing(until) if until <= now) {
                known.remove(now);
                changed = true;
            }
        }
        let removed = self
            .records
            .values()
            .filter(|known| !known.is_used())
            .count();
        let retention = match removed > REMOVED_MAX {
            true => time::Duration::ZERO,
            false => REMOVED_RETENTION,
        };
        self.records.retain(|_, known| match known.presence {
            Presence::Removed(since) => now.saturating_duration_since(since) < retention,
            _ => true,
        });
        changed
    }

    fn used(&self) -> impl Iterator<Item = &view::Target> {
        let used = self.records.values().filter(|known| known.is_used());
        used.map(|known| &known.target)
    }

    fn used_targets(&self) -> Vec<view::Target> {
        self.used().cloned().collect()
    }
}

/// Reports whether a run with an earlier start time than the known one has taken its place: it has
/// written again, or its entry has stayed.
///
/// A run that leaves is not replaced by one that doesn't, as two late entries would bring it back.
fn is_confirmed(
    outdated: &mut collections::HashMap<String, Outdated>,
    known: &TargetRecord,
    target: &view::Target,
    object: &store::Object,
    now: Instant,
) -> bool {
    let first = outdated.get(&object.key).filter(|o| o.life == target.life);
    let Some(first) = first else {
        event!(
            Info,
            "target-outdated",
            target = target.name,
            life = target.life,
            known = known.target.life
        );
        let entry = Outdated {
            life: target.life,
            version: object.version,
            since: now,
        };
        outdated.insert(object.key.clone(), entry);
        return false;
    };
    let has_written = first.version != object.version;
    let has_stayed = now >= first.since + OUTDATED_TIME;
    let reverts = known.target.leaving && !target.leaving;
    (has_written || has_stayed) && !reverts
}

/// Returns the end of a target's warm-up time from the rest in its entry and the known end.
///
/// Entries state the rest as of their writing, so that the computed end varies a little. A small
/// difference keeps the known end, or each entry would cause an update of all targets.
fn cold_until(rest: time::Duration, known: Option<Instant>, now: Instant) -> Option<Instant> {
    if rest.is_zero() {
        return None;
    }
    let until = now + rest.min(COLD_MAX);
    let is_close = |known: &Instant| {
        *known >= until && *known <= until + COLD_TOLERANCE
            || *known < until && *known + COLD_TOLERANCE >= until
    };
    Some(known.filter(is_close).unwrap_or(until))
}

impl follow::Observer for Observer {
    fn before_call(&mut self) {}

    fn after_read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        let first = state.last_read.is_none();
        // Data from a peer counts from the peer's read, or an outage would seem shorter here.
        let read = now.checked_sub(age.0).unwrap_or(now);
        let is_restored = state.last_read.is_some_and(|at| read > at + OUTAGE_MIN);
        state.last_read = state.last_read.max(Some(read));
        let mut changed = first;
        for object in snapshot.objects.values() {
            changed |= state.apply_entry(&*self.layout, object, now);
        }
        let grace = is_restored.then_some(now + OUTAGE_GRACE);
        changed |= state.remove_missing(&snapshot.objects, grace, now);
        // Recorded before a target can be used.
        let versions = state.used().map(|t| (&t.service, &t.version));
        self.view
            .record_versions(versions, clock::now().before(age.0));
        if changed {
            self.view.set_targets(state.used_targets());
        }
        if is_restored {
            event!(Info, "store-returned", targets = state.records.len());
            let (state, view) = (self.state.clone(), self.view.clone());
            tokio::spawn(async move {
                tokio::time::sleep(OUTAGE_GRACE).await;
                let mut state = view::lock(&state);
                if state.sweep(Instant::now()) {
                    view.set_targets(state.used_targets());
                }
            });
        }
    }
}
