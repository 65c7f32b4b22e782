//! Control thread: watches the store and registers this process there.
//!
//! The configuration is one object of the store, which is parsed into a
//! [`laburnumcart::ingress::Table`] and followed as [`Topic::Table`].

mod contents;
mod evacuations;
mod members;
mod targets;
mod versions;

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
    ingress,
    unit, //
};
use laburnumcart_platform::{
    follow,
    store, //
};

use crate::{
    clock,
    dialect,
    peers::links,
    relay::{
        self,
        Topic,
        cache,
        reads,
        relayed_store, //
    },
    view, //
};

/// Timeout of a watch of the configuration, the targets or the evacuations.
///
/// The end of a watch confirms that nothing has changed. On a silent connection, changes go
/// unnoticed until the watch times out. Peers accept data up to 1.7 s old from this process: two
/// waits and a slow response.
const WATCH_WAIT: unit::Period = unit::Period::from_millis(750);

/// Timeout of a watch of the members, whose failures also show on their connections.
const MEMBERS_WATCH_WAIT: unit::Period = unit::Period::from_secs(5);

/// Longest pause between reads of the configuration while the store is unavailable.
const CONFIG_RETRY_MAX: unit::Period = unit::Period::from_millis(400);

/// Time after which a second call reads the configuration while the first gets no response.
///
/// A store that is merely slow responds sooner.
const CONFIG_DUPLICATE_DELAY: unit::Period = unit::Period::from_millis(350);

/// Longest pause between reads of the other topics while the store is unavailable.
///
/// Once one topic is read, usually the configuration, [`follow::Recovery`] ends the pauses of all.
const RETRY_MAX: unit::Period = unit::Period::from_millis(1500);

/// Minimum time between two calls, so that a burst of changes is read by one call.
///
/// Otherwise each change of a target would cost every process a call.
const CALL_INTERVAL: unit::Period = unit::Period::from_millis(150);

/// Minimum time between two calls while targets or members keep changing.
///
/// A change is delayed by this time at a reader, a process that watches the store for others, and
/// again at the processes that ask the reader. Both delays fit into the 2 s after which a leaving
/// target must get no more work.
const BUSY_INTERVAL: unit::Period = unit::Period::from_millis(400);

/// Pause before another attempt to write this process's entry.
const REGISTER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Longest time that the entry of this process waits for its usage note.
const USAGE_WAIT: time::Duration = time::Duration::from_secs(1);

/// Where a process reads store data.
pub struct Sources<S, P> {
    /// Client of the store.
    pub store: S,
    /// Connections to the other processes.
    pub peers: P,
}

/// Watches the store on the current thread until the process ends.
///
/// Evacuations are watched only if `has_evacuations`, as each call to the store has a cost.
pub async fn run<S: store::Store + Clone>(
    store: S,
    layout: Arc<dyn dialect::StoreLayout>,
    view: Arc<view::View>,
    own: view::Member,
    cache: Arc<cache::Cache>,
    has_evacuations: bool,
) {
    let peers = links::Links::without_heartbeats(own.instance.clone(), view.clone());
    let sources = Sources { store, peers };
    run_with(sources, layout, view, own, cache, has_evacuations).await;
}

/// Like [`run`], with other connections to the peers.
pub async fn run_with<S: store::Store + Clone, P: relay::Peers>(
    sources: Sources<S, P>,
    layout: Arc<dyn dialect::StoreLayout>,
    view: Arc<view::View>,
    own: view::Member,
    cache: Arc<cache::Cache>,
    has_evacuations: bool,
) {
    let key = format!("{}/{}", layout.members_prefix(), own.instance);
    let (direct, member) = (sources.store.clone(), own.clone());
    let id::Incarnation(incarnation) = own.incarnation;
    let notes = versions::Notes {
        store: direct.clone(),
        layout: layout.clone(),
        view: view.clone(),
        own: own.instance.clone(),
    };
    let contents = contents::Notes {
        store: direct.clone(),
        layout: layout.clone(),
        view: view.clone(),
        own: own.instance.clone(),
        signals: cache.signals.clone(),
    };
    let store = relayed_store::RelayedStore::new(
        sources,
        own.clone(),
        view.clone(),
        layout.clone(),
        cache.clone(),
    );
    let settings = |wait, pause_max, interval_max| follow::Settings {
        wait,
        interval: CALL_INTERVAL,
        longest_interval: interval_max,
        longest_pause: pause_max,
    };
    let recovery = follow::Recovery::default();
    let config = ConfigObserver {
        view: view.clone(),
        layout: layout.clone(),
        sent_at: freshness::BootTime::default(),
        clock: cache.clock,
        reads: cache.reads.clone(),
        version: store::Version::default(),
        is_refused: false,
    };
    let targets = targets::Observer::new(view.clone(), layout.clone());
    let members = members::Observer::new(view.clone(), own, cache.clock);
    let evacuations = evacuations::Observer::new(view.clone());
    let config = cache::Publisher::new(config, Topic::Table, &cache);
    let targets = cache::Publisher::new(targets, Topic::Targets, &cache);
    let members = cache::Publisher::new(members, Topic::Members, &cache);
    let evacuations = cache::Publisher::new(evacuations, Topic::Evacuations, &cache);
    let create_follower = |topic: Topic, settings| {
        let prefix = topic.prefix(&*layout);
        let (follower, snapshots) = follow::follower(store.clone(), prefix, settings);
        // Topics that fail together are not asked for again together.
        let seed = incarnation.wrapping_add(topic as u64);
        (follower.with_seed(seed), snapshots)
    };
    // A follower runs until the receiver of its snapshots is dropped.
    let (follower, _config_snapshots) = create_follower(
        Topic::Table,
        settings(WATCH_WAIT, CONFIG_RETRY_MAX, CALL_INTERVAL),
    );
    let config = follower
        .with_observer(config)
        .share_recovery(&recovery)
        .duplicate_after(CONFIG_DUPLICATE_DELAY);
    let (follower, _target_snapshots) = create_follower(
        Topic::Targets,
        settings(WATCH_WAIT, RETRY_MAX, BUSY_INTERVAL),
    );
    let targets = follower.with_observer(targets).share_recovery(&recovery);
    let (follower, member_snapshots) = create_follower(
        Topic::Members,
        settings(MEMBERS_WATCH_WAIT, RETRY_MAX, BUSY_INTERVAL),
    );
    let members = follower.with_observer(members).share_recovery(&recovery);
    let (follower, _evacuation_snapshots) = create_follower(
        Topic::Evacuations,
        settings(WATCH_WAIT, RETRY_MAX, CALL_INTERVAL),
    );
    let evacuations = follower
        .with_observer(evacuations)
        .share_recovery(&recovery);
    let evacuations = async {
        match has_evacuations {
            true => evacuations.run().await,
            false => view.set_evacuated(evacuation::Evacuated::new()),
        }
    };
    let registration = async {
        // What an earlier process may have used is known by its entry.
        view.usage.wait_until_written(USAGE_WAIT).await;
        register_member(direct, key, member, member_snapshots.clone()).await;
    };
    tokio::join!(
        config.run(),
        targets.run(),
        members.run(),
        evacuations,
        store.sync_target_signals(),
        store.publish_target_signals(),
        notes.run(),
        contents.run(),
        registration
    );
}

/// Writes this process's entry, retrying until it is stored.
///
/// The first listing of the members shows whether an earlier incarnation left an entry, so that
/// registration takes one call instead of three.
async fn register_member(
    store: impl store::Store,
    key: String,
    own: view::Member,
    mut snapshots: watch::Receiver<Arc<follow::Snapshot>>,
) {
    let value = serde_json::to_string(&own).expect("a member is valid JSON");
    // The follower that sends snapshots ends together with this task.
    let mut known = match snapshots.wait_for(|snapshot| snapshot.listed).await {
        Ok(snapshot) => snapshot.objects.get(&key).map(|object| object.version),
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
        tokio::time::sleep(REGISTER_RETRY_PAUSE).await;
        // The failed write may have been stored, or the listing may lack a later write of an
        // earlier incarnation; either changes the version to expect.
        match store.get(&key).await {
            Ok(object) => known = object.map(|object| object.version),
            Err(error) => event!(Warn, "entry-unread", key = key, error = error),
        }
    }
}

/// Activates configurations read from the store.
struct ConfigObserver {
    view: Arc<view::View>,
    layout: Arc<dyn dialect::StoreLayout>,
    /// Start of the current call.
    sent_at: freshness::BootTime,
    clock: clock::Clock,
    reads: Arc<reads::Reads>,
    version: store::Version,
    /// Whether that version is invalid.
    is_refused: bool,
}

impl ConfigObserver {
    /// Activates a configuration, and logs where it comes from and how late it may be.
    fn activate(&self, table: ingress::Table, size: usize) {
        let (version, routes) = (table.version, table.route_count());
        let refused = table.refused_parts;
        // False if the active configuration is as new or newer.
        let is_activated = self.view.set_table(table);
        let unconfirmed = self.view.freshness.age(self.clock.now());
        let unconfirmed = unit::Period(unconfirmed.unwrap_or_default());
        if is_activated {
            let secs = unconfirmed.0.as_secs_f64();
            self.reads.config_delay.observe(secs);
            self.reads.refused_parts.set(refused as i64);
        }
        let read = self.reads.last(Topic::Table);
        let source = read.as_ref().map_or(&reads::Source::Store, |r| &r.source);
        let age = read.as_ref().map(|r| r.age).unwrap_or_default();
        let attempts = read.as_ref().map(|r| r.attempts.clone());
        event!(
            Info,
            "table",
            version = version,
            routes = routes,
            refused = refused,
            bytes = size,
            taken = is_activated,
            source = source,
            age_ms = age.as_millis(),
            unconfirmed_ms = unconfirmed.as_millis(),
            tried = attempts.unwrap_or_default()
        );
    }
}

impl follow::Observer for ConfigObserver {
    fn before_call(&mut self) {
        self.sent_at = self.clock.now();
    }

    fn after_read(&mut self, snapshot: &follow::Snapshot, age: unit::Period) {
        let object = snapshot.objects.values().next();
        if let Some(object) = object.filter(|o| o.version > self.version) {
            self.version = object.version;
            let known = self.view.table.load();
            let known = known.as_ref().map_or_else(Default::default, |t| t.limits);
            let table = self.layout.parse_table(&object.value, &known);
            self.is_refused = table.is_err();
            match table {
                Ok(table) => self.activate(table, object.value.len()),
                Err(error) => event!(
                    Error,
                    "table-refused",
                    revision = object.version,
                    error = error
                ),
            }
        }
        // The active configuration stays, but its keys may have been taken away.
        if !self.is_refused {
            self.view.freshness.record_read(self.sent_at.before(age.0));
        }
    }
}

/// Returns the store entry of this process, with a new incarnation and secret.
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
