//! The control thread: follows the store and keeps this process's own entry there.

mod evacuations;
mod members;
mod targets;

use std::{
    sync::Arc,
    time, //
};

use tokio::sync::watch;

use laburnumcart::{
    evacuation,
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
    relay::{
        Topic,
        cache,
        relayed_store, //
    },
    view, //
};

/// Wait of a watch of the configuration and of the targets.
///
/// Each end of a watch confirms that nothing has changed, and a silent connection hides changes for
/// as long. Others that ask this process take nothing that is older than 1.7 s, which is two waits
/// and the time for a slow answer.
const WAIT: unit::Period = unit::Period::from_millis(750);

/// Wait of a watch of the members, whose changes are seen on connections as well.
const MEMBERS_WAIT: unit::Period = unit::Period::from_secs(5);

/// Longest pause between reads of the configuration while the store is down.
const PAUSE: unit::Period = unit::Period::from_millis(400);

/// Time after which the configuration is read by another call while the store is silent.
///
/// A store that is slow answers within it.
const PROBE: unit::Period = unit::Period::from_millis(350);

/// The same of the other topics, which are read again once the configuration was read.
const PAUSE_SHARED: unit::Period = unit::Period::from_millis(1500);

/// Least time between two calls, in which a burst of changes is collected.
///
/// Each change of a target would cost each process a call.
const INTERVAL: unit::Period = unit::Period::from_millis(150);

/// The same time while targets or members go on to change.
///
/// A change takes it at a reader and again at those who ask there, well within the 2 s after which
/// a target that leaves may get no work.
const SPREAD: unit::Period = unit::Period::from_millis(400);

/// Pause before the own entry is written again after a failure.
const ENTRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Starts the followers on the current thread and returns when the process ends.
///
/// Evacuations are followed where the operator uses them, with `evacuates`; calls of the store are
/// paid for.
pub async fn run<S: store::Store + Clone>(
    store: S,
    directory: Arc<dyn dialect::Directory>,
    view: Arc<view::View>,
    own: view::Member,
    cache: Arc<cache::Cache>,
    evacuates: bool,
) {
    let key = format!("{}/{}", directory.members_prefix(), own.instance);
    let (direct, member) = (store.clone(), own.clone());
    let signals = cache.signals.clone();
    let store = relayed_store::RelayedStore::new(
        store,
        own.clone(),
        view.clone(),
        directory.clone(),
        signals,
    );
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
    let targets = targets::Observer::new(view.clone(), directory.clone());
    let members = members::Observer::new(view.clone(), own);
    let evacuations = evacuations::Observer::new(view.clone());
    let table = cache::Publisher::new(table, Topic::Table, &cache);
    let targets = cache::Publisher::new(targets, Topic::Targets, &cache);
    let members = cache::Publisher::new(members, Topic::Members, &cache);
    let evacuations = cache::Publisher::new(evacuations, Topic::Evacuations, &cache);
    let follower = |topic: Topic, settings| {
        follow::follower(store.clone(), topic.prefix(&*directory), settings)
    };
    let (follows, _table) = follower(Topic::Table, settings(WAIT, PAUSE, INTERVAL));
    let table = follows.observe(table).share(&returns).probe(PROBE);
    let (follows, _targets) = follower(Topic::Targets, settings(WAIT, PAUSE_SHARED, SPREAD));
    let targets = follows.observe(targets).share(&returns);
    let (follows, listed) = follower(Topic::Members, settings(MEMBERS_WAIT, PAUSE_SHARED, SPREAD));
    let members = follows.observe(members).share(&returns);
    let (follows, _evacuations) =
        follower(Topic::Evacuations, settings(WAIT, PAUSE_SHARED, INTERVAL));
    let evacuations = follows.observe(evacuations).share(&returns);
    let evacuations = async {
        match evacuates {
            true => evacuations.run().await,
            false => view.set_evacuated(evacuation::Evacuated::new()),
        }
    };
    let entry = enter(direct, key, member, listed.clone());
    tokio::join!(
        table.run(),
        targets.run(),
        members.run(),
        evacuations,
        store.sync_signals(),
        store.publish_signals(),
        entry
    );
}

/// Writes the own entry until it is there.
///
/// The first listing of the members tells whether an earlier life has left one, so that a start
/// takes one call and not three.
async fn enter(
    store: impl store::Store,
    key: String,
    own: view::Member,
    mut members: watch::Receiver<Arc<follow::Snapshot>>,
) {
    let value = serde_json::to_string(&own).expect("a member is valid JSON");
    // The follower that sends these lives as long as this task.
    let mut known = match members.wait_for(|members| members.listed).await {
        Ok(members) => members.objects.get(&key).map(|object| object.version),
        Err(_) => return,
    };
    loop {
        let expect = known.map_or(store::Expect::Absent, store::Expect::Version);
        let failure = match store.put(&key, expect, &value).await {
            Ok(_) => {
                event!(Info, "entered", key = key);
                return;
            }
            Err(failure) => failure,
        };
        event!(Warn, "entry-failed", key = key, error = failure);
        tokio::time::sleep(ENTRY_PAUSE).await;
        // The write may have taken effect after all, or the listing was from before it.
        match store.get(&key).await {
            Ok(object) => known = object.map(|object| object.version),
            Err(error) => event!(Warn, "entry-unread", key = key, error = error),
        }
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

    fn read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let object = snapshot.objects.values().next();
        if let Some(object) = object.filter(|o| o.version > self.version) {
            self.version = object.version;
            match self.directory.parse_table(&object.value) {
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
        self.view.freshness.confirm(self.asked.before(age.0));
    }
}

/// Returns an entry for a new life of this process.
pub fn new_member(settings: &crate::settings::Settings) -> view::Member {
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
