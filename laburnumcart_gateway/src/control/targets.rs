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

use laburnumcart::event;
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

/// A target and its entry.
struct Known {
    version: store::Version,
    target: view::Target,
    /// Until when it is used without an entry.
    missing: Option<Instant>,
}

/// What is known of all targets.
#[derive(Default)]
struct State {
    known: collections::HashMap<String, Known>,
    /// Last successful read.
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
    fn add(&mut self, directory: &dyn dialect::Directory, object: &store::Object) -> bool {
        let key = &object.key;
        let known = self.known.get_mut(key);
        if let Some(known) = known
            && known.version == object.version
        {
            known.missing = None;
            return false;
        }
        let name = key.rsplit_once('/').map_or(key.as_str(), |(_, name)| name);
        let mut target = match directory.target(name, &object.value) {
            Ok(target) => target,
            Err(error) => {
                event!(Warn, "target-refused", key = key, error = error);
                return false;
            }
        };
        let known = self.known.get(key);
        // A target that has begun to leave never takes work again; its next life has a new name.
        target.leaving |= known.is_some_and(|k| k.target.leaving);
        let changed = known.is_none_or(|k| k.target != target);
        if changed {
            event!(
                Info,
                "target",
                target = target.name,
                service = target.service,
                addr = target.addr,
                leaving = target.leaving,
                revision = object.version
            );
        }
        let known = Known {
            version: object.version,
            target,
            missing: None,
        };
        self.known.insert(key.clone(), known);
        changed
    }

    /// Drops the targets without an entry; after an outage they are kept until `grace`.
    fn drop_missing(
        &mut self,
        listed: &collections::BTreeMap<String, Arc<store::Object>>,
        grace: Option<Instant>,
        now: Instant,
    ) -> bool {
        for (key, known) in &mut self.known {
            if !listed.contains_key(key) {
                // An entry that is deleted after the outage has ended is not one that lapsed.
                let until = known.missing.or(grace).unwrap_or(now);
                known.missing = Some(until);
            }
        }
        self.sweep(now)
    }

    /// Drops the targets whose entry has not come back in time.
    fn sweep(&mut self, now: Instant) -> bool {
        let before = self.known.len();
        self.known.retain(|_, known| {
            let keep = known.missing.is_none_or(|until| now < until);
            if !keep {
                event!(Info, "target-gone", target = known.target.name);
            }
            keep
        });
        self.known.len() != before
    }

    fn targets(&self) -> view::Targets {
        view::Targets::new(self.known.values().map(|k| k.target.clone()))
    }
}

impl follow::Observer for Observer {
    fn ask(&mut self) {}

    fn read(&mut self, snapshot: &follow::Snapshot) {
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        let first = state.read.is_none();
        let returned = state.read.is_some_and(|at| now > at + OUTAGE);
        state.read = Some(now);
        let mut changed = first;
        for object in snapshot.objects.values() {
            changed |= state.add(&*self.directory, object);
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
