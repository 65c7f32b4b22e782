//! The control thread: follows the store and keeps this process's own entry there.

mod members;
mod targets;

use std::{
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

use crate::{
    clock,
    dialect,
    view, //
};

/// Wait of a watch of the configuration.
///
/// Each end of a watch confirms that nothing has changed. With the time for a call that fails, two
/// of them fit into the bound of 5 s on keys.
const TABLE_WAIT: unit::Period = unit::Period::from_millis(1000);

/// Wait of a watch of the targets; a silent connection hides changes for as long.
const TARGETS_WAIT: unit::Period = unit::Period::from_millis(2000);

/// Wait of a watch of the members, whose changes are seen on connections as well.
const MEMBERS_WAIT: unit::Period = unit::Period::from_secs(10);

/// Longest pause between reads of the configuration while the store is down.
const PAUSE: unit::Period = unit::Period::from_millis(400);

/// The same of the targets and the members, which are read again once the configuration was read.
///
/// A quarter of all calls of a day with outages were tries that failed, a third of them each.
const PAUSE_SHARED: unit::Period = unit::Period::from_millis(1500);

/// Least time between two calls, in which a burst of changes is collected.
///
/// Each change of a target would cost each process a call; at 97 targets and 23 processes those
/// were half of all calls.
const INTERVAL: unit::Period = unit::Period::from_millis(150);

/// The same time while targets go on to change, well within the 2 s after which one that leaves may get
/// no work.
const SPREAD: unit::Period = unit::Period::from_millis(600);

/// Pause before the own entry is written again after a failure.
const ENTRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Starts the followers on the current thread and returns when the process ends.
pub async fn run<S: store::Store + Clone>(
    store: S,
    directory: Arc<dyn dialect::Directory>,
    view: Arc<view::View>,
    own: view::Member,
) {
    let settings = |wait, longest, spread| follow::Settings {
        wait,
        interval: INTERVAL,
        spread,
        longest,
    };
    let returns = follow::Returns::default();
    let table = Table {
        view: view.clone(),
        directory: directory.clone(),
        asked: freshness::Moment::default(),
        version: store::Version::default(),
    };
    let key = directory.table_key();
    let (follower, _table) =
        follow::follower(store.clone(), key, settings(TABLE_WAIT, PAUSE, INTERVAL));
    let table = follower.observe(table).share(&returns);
    let targets = targets::Observer::new(view.clone(), directory.clone());
    let prefix = directory.targets_prefix();
    let (follower, _targets) = follow::follower(
        store.clone(),
        prefix,
        settings(TARGETS_WAIT, PAUSE_SHARED, SPREAD),
    );
    let targets = follower.observe(targets).share(&returns);
    let members = members::Observer::new(view.clone(), own.clone());
    let prefix = directory.members_prefix();
    let (follower, _members) = follow::follower(
        store.clone(),
        prefix,
        settings(MEMBERS_WAIT, PAUSE_SHARED, INTERVAL),
    );
    let members = follower.observe(members).share(&returns);
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

/// Returns an entry for a new life of this process.
pub fn member(settings: &crate::settings::Settings) -> view::Member {
    let secret: u128 = rand::random();
    view::Member {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer,
        incarnation: id::Incarnation::random(),
        cores: settings.cores,
        secret: format!("{secret:032x}"),
    }
}
