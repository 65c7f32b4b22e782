//! The control thread: follows the store and keeps this process's own entry there.

use std::{
    collections,
    sync::Arc,
    time, //
};

use laburnumcart::{
    event,
    freshness,
    id,
    unit, //
};
use laburnumcart_platform::{
    follow,
    store, //
};
use tokio::time::Instant;

use crate::{
    clock,
    dialect,
    view, //
};

/// Wait of a watch of the configuration.
///
/// Each end of a watch confirms that nothing has changed. Two of them fit into the bound on
/// configurations of 2 s, also when a connection goes silent in one.
const TABLE_WAIT: unit::Period = unit::Period::from_millis(1000);

/// Wait of a watch of the targets; a silent connection hides changes for as long.
const TARGETS_WAIT: unit::Period = unit::Period::from_millis(1500);

/// Wait of a watch of the members, whose changes are seen on connections as well.
const MEMBERS_WAIT: unit::Period = unit::Period::from_secs(5);

/// Longest pause between tries while the store is down.
const PAUSE: unit::Period = unit::Period::from_millis(400);

/// Least time between two calls.
const INTERVAL: unit::Period = unit::Period::from_millis(20);

/// Time without the store after which its return counts as the end of an outage.
const OUTAGE: time::Duration = time::Duration::from_millis(2500);

/// Time after an outage in which targets that are missing are still used.
///
/// Their entries lapse while the store is away, and are back within about two seconds.
const RETURN: time::Duration = time::Duration::from_millis(2300);

/// Pause before the own entry is written again after a failure.
const ENTRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Starts the followers on the current thread and returns when the process ends.
pub async fn run<S: store::Store + Clone>(
    store: S,
    directory: Arc<dyn dialect::Directory>,
    view: Arc<view::View>,
    own: view::Member,
) {
    let settings = |wait| follow::Settings {
        wait,
        interval: INTERVAL,
        longest: PAUSE,
    };
    let table = Table {
        view: view.clone(),
        directory: directory.clone(),
        asked: freshness::Moment::default(),
        version: store::Version::default(),
    };
    let key = directory.table_key();
    let (follower, _table) = follow::follower(store.clone(), key, settings(TABLE_WAIT));
    let table = follower.observe(table);
    let targets = Targets {
        view: view.clone(),
        directory: directory.clone(),
        known: collections::HashMap::new(),
        read: None,
        returned: None,
    };
    let prefix = directory.targets_prefix();
    let (follower, _targets) = follow::follower(store.clone(), prefix, settings(TARGETS_WAIT));
    let targets = follower.observe(targets);
    let members = Members {
        view: view.clone(),
        own: own.clone(),
    };
    let prefix = directory.members_prefix();
    let (follower, _members) = follow::follower(store.clone(), prefix, settings(MEMBERS_WAIT));
    let members = follower.observe(members);
    let entry = enter(store, format!("{prefix}/{}", own.instance), own);
    tokio::join!(table.run(), targets.run(), members.run(), entry);
}

/// Writes the own entry until it is there.
async fn enter<S: store::Store>(store: S, key: String, own: view::Member) {
    let value = serde_json::to_string(&own).expect("a member is valid JSON");
    loop {
        let result = match store.get(&key).await {
            Ok(None) => store.put(&key, store::Expect::Absent, &value).await,
            Ok(Some(object)) => {
                let expect = store::Expect::Version(object.version);
                store.put(&key, expect, &value).await
            }
            Err(failure) => Err(failure),
        };
        match result {
            Ok(_) => {
                event!(Info, "entered", key = key);
                return;
            }
            Err(failure) => event!(Warn, "entry-failed", key = key, error = failure),
        }
        tokio::time::sleep(ENTRY_PAUSE).await;
    }
}

/// Puts configurations in force.
struct Table {
    view: Arc<view::View>,
    directory: Arc<dyn dialect::Directory>,
    /// When the call in progress was sent.
    asked: freshness::Moment,
    version: store::Version,
}

impl follow::Observer for Table {
    fn ask(&mut self) {
        self.asked = clock::now();
    }

    fn read(&mut self, snapshot: &follow::Snapshot) {
        let object = snapshot.objects.values().next();
        if let Some(object) = object.filter(|o| o.version > self.version) {
            self.version = object.version;
            match self.directory.table(&object.value) {
                Ok(table) => {
                    let (version, routes) = (table.version, table.routes());
                    let taken = self.view.set_table(table);
                    event!(
                        Info,
                        "table",
                        version = version,
                        routes = routes,
                        taken = taken
                    );
                }
                // The one in force stays; it is not confirmed any more.
                Err(error) => {
                    event!(
                        Error,
                        "table-refused",
                        revision = object.version,
                        error = error
                    );
                    return;
                }
            }
        }
        self.view.freshness.confirm(self.asked);
    }
}

/// Publishes targets.
struct Targets {
    view: Arc<view::View>,
    directory: Arc<dyn dialect::Directory>,
    known: collections::HashMap<String, Known>,
    /// Last successful read.
    read: Option<Instant>,
    /// End of the last outage.
    returned: Option<Instant>,
}

struct Known {
    version: store::Version,
    target: view::Target,
    /// Whether its entry is there.
    listed: bool,
}

impl Targets {
    fn apply(&mut self, snapshot: &follow::Snapshot) -> bool {
        let mut changed = false;
        for (key, object) in &snapshot.objects {
            let known = self.known.get_mut(key);
            if let Some(known) = known
                && known.version == object.version
            {
                changed |= !known.listed;
                known.listed = true;
                continue;
            }
            changed |= self.add(key, object);
        }
        changed
    }

    fn add(&mut self, key: &str, object: &store::Object) -> bool {
        let name = key.rsplit_once('/').map_or(key, |(_, name)| name);
        let mut target = match self.directory.target(name, &object.value) {
            Ok(target) => target,
            Err(error) => {
                event!(Warn, "target-refused", key = key, error = error);
                return false;
            }
        };
        let known = self.known.get(key);
        // A target that has begun to leave never takes work again; its next life has a new name.
        target.leaving |= known.is_some_and(|k| k.target.leaving);
        let changed = known.is_none_or(|k| k.target != target || !k.listed);
        if changed {
            event!(
                Info,
                "target",
                target = target.name,
                service = target.service,
                addr = target.addr,
                leaving = target.leaving
            );
        }
        let version = object.version;
        let known = Known {
            version,
            target,
            listed: true,
        };
        self.known.insert(key.into(), known);
        changed
    }

    /// Drops the targets that are not listed, after an outage only once they had time to return.
    fn drop_missing(&mut self, snapshot: &follow::Snapshot, now: Instant) -> bool {
        let waiting = self.returned.is_some_and(|at| now < at + RETURN);
        let before = self.known.len();
        self.known.retain(|key, known| {
            if snapshot.objects.contains_key(key) || waiting {
                return true;
            }
            event!(Info, "target-gone", target = known.target.name);
            false
        });
        self.known.len() != before
    }
}

impl follow::Observer for Targets {
    fn ask(&mut self) {}

    fn read(&mut self, snapshot: &follow::Snapshot) {
        let now = Instant::now();
        let first = self.read.is_none();
        if self
            .read
            .is_some_and(|at| now > at + OUTAGE + TARGETS_WAIT.0)
        {
            event!(Info, "store-returned", kept = self.known.len());
            self.returned = Some(now);
        }
        self.read = Some(now);
        let changed = self.apply(snapshot) | self.drop_missing(snapshot, now);
        if changed || first {
            let targets = self.known.values().map(|k| k.target.clone());
            self.view.set_targets(view::Targets::new(targets));
        }
    }
}

/// Publishes members.
struct Members {
    view: Arc<view::View>,
    own: view::Member,
}

impl follow::Observer for Members {
    fn ask(&mut self) {}

    fn read(&mut self, snapshot: &follow::Snapshot) {
        let parse = |o: &Arc<store::Object>| serde_json::from_str::<view::Member>(&o.value);
        let mut members: Vec<_> = Vec::new();
        for object in snapshot.objects.values() {
            match parse(object) {
                Ok(member) => members.push(member),
                Err(error) => event!(Warn, "member-refused", key = object.key, error = error),
            }
        }
        // The own entry may not be written yet, or be one of an earlier life.
        members.retain(|m| m.instance != self.own.instance);
        members.push(self.own.clone());
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        if **self.view.members.load() != members {
            let names: Vec<&str> = members.iter().map(|m| m.instance.as_str()).collect();
            event!(
                Info,
                "members",
                count = names.len(),
                names = names.join(",")
            );
            self.view.set_members(members);
        }
    }
}

/// Returns an entry for a new life of this process.
pub fn member(settings: &crate::settings::Settings) -> view::Member {
    let secret: u128 = rand::random();
    view::Member {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer,
        incarnation: id::Incarnation::random(),
        secret: format!("{secret:032x}"),
    }
}
