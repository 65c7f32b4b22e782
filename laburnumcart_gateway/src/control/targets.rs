//! Which targets may get work, as the store lists them.

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
    unit, //
};
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::{
    dialect,
    view, //
};

/// Time without a successful read after which the next one counts as the end of an outage.
///
/// Watches that nothing happens in end well before that.
const OUTAGE: time::Duration = time::Duration::from_millis(3500);

/// Time after an outage in which targets that are missing are still used.
///
/// Their entries lapse while the store is away, and are back within about two seconds.
const RETURN: time::Duration = time::Duration::from_millis(2200);

/// Time for which a target is remembered whose entry is gone or names no target any more.
///
/// A write of the target itself can take effect seconds after it was sent, and an entry of an
/// earlier life or from before it began to leave would give it work again.
const REMEMBERED: time::Duration = time::Duration::from_secs(60);

/// Most targets that are remembered beside those in use; another writer could add names without
/// end.
const REMEMBERED_MAX: usize = 4096;

/// Longest time that an entry may call its target cold, so that another writer's cannot do so for
/// ever.
const COLD_MAX: time::Duration = time::Duration::from_secs(600);

/// Least difference between two ends of a cold time that counts as a change.
const COLD_DIFFERENCE: time::Duration = time::Duration::from_millis(500);

/// Whether a target may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// Its entry names it.
    Listed,
    /// It has no entry and is used until this moment.
    Missing(Instant),
    /// It is not used since this moment; what it was is kept.
    Gone(Instant),
}

/// A target and its entry.
struct Known {
    version: store::Version,
    target: view::Target,
    standing: Standing,
}

impl Known {
    fn is_used(&self) -> bool {
        !matches!(self.standing, Standing::Gone(_))
    }

    /// Stops its use.
    fn leave(&mut self, now: Instant) {
        if self.is_used() {
            event!(Info, "target-gone", target = self.target.name);
            self.standing = Standing::Gone(now);
        }
    }
}

/// What is known of all targets.
#[derive(Default)]
struct State {
    known: collections::HashMap<String, Known>,
    /// Versions of the entries that name no target.
    refused: collections::HashMap<String, store::Version>,
    /// Moment for which the last successful read holds.
    read: Option<Instant>,
}

/// Publishes the targets.
pub(super) struct Observer {
    view: Arc<view::View>,
    directory: Arc<dyn dialect::Directory>,
    state: Arc<Mutex<State>>,
}

impl Observer {
    pub(super) fn new(view: Arc<view::View>, directory: Arc<dyn dialect::Directory>) -> Self {
        Self {
            view,
            directory,
            state: Arc::default(),
        }
    }
}

impl State {
    /// Takes in an entry; returns whether anything has changed.
    fn add(
        &mut self,
        directory: &dyn dialect::Directory,
        object: &store::Object,
        now: Instant,
    ) -> bool {
        let key = &object.key;
        if let Some(known) = self.known.get_mut(key)
            && known.version == object.version
        {
            let was_used = known.is_used();
            known.standing = Standing::Listed;
            return !was_used;
        }
        if self.refused.get(key) == Some(&object.version) {
            return false;
        }
        let name = key.rsplit_once('/').map_or(key.as_str(), |(_, name)| name);
        match directory.parse_target(name, &object.value) {
            Ok(entry) => self.accept(entry, object, now),
            Err(error) => self.refuse(object, error, now),
        }
    }

    /// Takes in a target.
    fn accept(
        &mut self,
        entry: dialect::TargetEntry,
        object: &store::Object,
        now: Instant,
    ) -> bool {
        let key = &object.key;
        self.refused.remove(key);
        let known = self.known.get(key);
        let mut target = entry.target;
        target.cold_until = cold(entry.cold_for, known.and_then(|k| k.target.cold_until), now);
        if let Some(known) = known {
            // A write of an earlier life that took effect late tells nothing of the present one.
            if target.life < known.target.life {
                let (life, known) = (target.life, known.target.life);
                event!(
                    Info,
                    "target-outdated",
                    target = target.name,
                    life = life,
                    known = known
                );
                self.refused.insert(key.clone(), object.version);
                return false;
            }
            // A life that has begun to leave never takes work again, whatever an entry says that
            // was written before and took effect late.
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
                addr = target.addr,
                leaving = target.leaving,
                cold_ms = entry.cold_for.as_millis(),
                revision = object.version
            );
        }
        let known = Known {
            version: object.version,
            target,
            standing: Standing::Listed,
        };
        self.known.insert(key.clone(), known);
        changed
    }

    /// Takes in an entry that names no target, also where one stood before.
    ///
    /// It is said once for each key that turns bad, as its writer may go on to write it.
    fn refuse(&mut self, object: &store::Object, error: dialect::Malformed, now: Instant) -> bool {
        let key = &object.key;
        if self.refused.len() >= REMEMBERED_MAX {
            self.refused.clear();
        }
        if self.refused.insert(key.clone(), object.version).is_none() {
            event!(Warn, "target-refused", key = key, error = error);
        }
        let known = self.known.get_mut(key).filter(|known| known.is_used());
        let was_used = known.is_some();
        if let Some(known) = known {
            known.leave(now);
        }
        was_used
    }

    /// Drops the targets without an entry; after an outage they are kept until `grace`.
    fn drop_missing(
        &mut self,
        listed: &collections::BTreeMap<String, Arc<store::Object>>,
        grace: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.refused.retain(|key, _| listed.contains_key(key));
        for (key, known) in &mut self.known {
            if known.standing == Standing::Listed && !listed.contains_key(key) {
                // An entry that is deleted after the outage has ended is not one that lapsed.
                known.standing = Standing::Missing(grace.unwrap_or(now));
            }
        }
        self.sweep(now)
    }

    /// Drops the targets whose entry has not come back in time, and forgets those long gone.
    fn sweep(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for known in self.known.values_mut() {
            if matches!(known.standing, Standing::Missing(until) if until <= now) {
                known.leave(now);
                changed = true;
            }
        }
        let gone = self.known.values().filter(|known| !known.is_used()).count();
        let remembered = match gone > REMEMBERED_MAX {
            true => time::Duration::ZERO,
            false => REMEMBERED,
        };
        self.known.retain(|_, known| match known.standing {
            Standing::Gone(since) => now.saturating_duration_since(since) < remembered,
            _ => true,
        });
        changed
    }

    fn targets(&self) -> Vec<view::Target> {
        let used = self.known.values().filter(|known| known.is_used());
        used.map(|k| k.target.clone()).collect()
    }
}

/// Returns until when a target is cold, given what its entry says and what was known before.
///
/// Entries tell the time that was left when they were written, and each puts the end a little later
/// or sooner. Only a difference that matters is a change, or each would have all targets looked
/// over anew.
fn cold(left: time::Duration, known: Option<Instant>, now: Instant) -> Option<Instant> {
    if left.is_zero() {
        return None;
    }
    let until = now + left.min(COLD_MAX);
    let near = |known: &Instant| {
        *known >= until && *known <= until + COLD_DIFFERENCE
            || *known < until && *known + COLD_DIFFERENCE >= until
    };
    Some(known.filter(near).unwrap_or(until))
}

impl follow::Observer for Observer {
    fn ask(&mut self) {}

    fn read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        let first = state.read.is_none();
        // What was read by others counts from when they read it, or outages would seem shorter here
        // than there.
        let read = now.checked_sub(age.0).unwrap_or(now);
        let returned = state.read.is_some_and(|at| read > at + OUTAGE);
        state.read = state.read.max(Some(read));
        let mut changed = first;
        for object in snapshot.objects.values() {
            changed |= state.add(&*self.directory, object, now);
        }
        let grace = returned.then_some(now + RETURN);
        changed |= state.drop_missing(&snapshot.objects, grace, now);
        if changed {
            self.view.set_targets(state.targets());
        }
        if returned {
            event!(Info, "store-returned", targets = state.known.len());
            let (state, view) = (self.state.clone(), self.view.clone());
            tokio::spawn(async move {
                tokio::time::sleep(RETURN).await;
                let mut state = view::lock(&state);
                if state.sweep(Instant::now()) {
                    view.set_targets(state.targets());
                }
            });
        }
    }
}
