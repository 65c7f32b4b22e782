//! Control state shared with the traffic thread: targets, members, configuration, shutdown.

mod targets;
pub mod usage;

use std::{
    collections, net,
    sync::{
        self,
        Arc,
        Mutex,
        OnceLock,
        atomic, //
    },
    time,
};

use arc_swap::{
    ArcSwap,
    ArcSwapOption, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use laburnumcart::{
    evacuation,
    fleet_budget,
    freshness,
    id,
    ingress,
    origin, //
};

use crate::clock;

pub(crate) use self::targets::diff_targets;
pub use self::targets::{
    Eligible,
    Target,
    Targets, //
};

/// Store entry of a process of the system, written by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: id::InstanceName,
    /// Data centre that the instance runs in.
    pub data_centre: id::DataCentre,
    /// Address for calls from peers.
    pub peer: net::SocketAddr,
    /// Random number of this process run.
    pub incarnation: id::Incarnation,
    /// Processor capacity of the instance in cores.
    pub cores: f64,
    /// Secret that peers must present when they call; it is known only through the store.
    pub secret: String,
}

/// Time after the start of a shutdown during which requests are accepted whatever their limit.
///
/// The load balancer takes up to two seconds to stop sending callers here.
const ACCEPT_ALL_PERIOD: time::Duration = time::Duration::from_millis(2700);

/// Inputs from which the published targets are computed.
#[derive(Debug, Default)]
struct TargetState {
    targets: Option<Vec<Target>>,
    evacuations: evacuation::Tracker,
    leaving: collections::HashSet<id::TargetLife>,
}

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    start: Instant,
    exit: Instant,
}

/// Control state, published by the control thread and read by the traffic thread.
#[derive(Debug)]
pub struct View {
    target_state: Mutex<TargetState>,
    /// Active configuration, once it was read.
    pub table: ArcSwapOption<ingress::Table>,
    /// Targets as last published.
    pub targets: ArcSwap<Targets>,
    /// Processes of the system, including this one once the list was read.
    pub members: ArcSwap<Vec<Member>>,
    /// Whether the list as read contains this process, so that others can count it.
    listed: atomic::AtomicBool,
    budget_share: Mutex<fleet_budget::Share>,
    /// Freshness of the configuration.
    pub freshness: freshness::Freshness,
    /// Software versions of targets that were listed lately.
    versions: Mutex<origin::history::History>,
    /// Versions that this process may have used, as it notes them in the store.
    pub usage: usage::State,
    /// Counts published changes.
    changes: watch::Sender<u64>,
    exiting: watch::Sender<bool>,
    leaving: OnceLock<Shutdown>,
    targets_loaded: atomic::AtomicBool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            target_state: Mutex::default(),
            table: ArcSwapOption::empty(),
            targets: ArcSwap::default(),
            members: ArcSwap::default(),
            listed: atomic::AtomicBool::new(false),
            budget_share: Mutex::default(),
            freshness: freshness::Freshness::default(),
            versions: Mutex::default(),
            usage: usage::State::default(),
            changes: watch::Sender::new(0),
            exiting: watch::Sender::new(false),
            leaving: OnceLock::new(),
            targets_loaded: atomic::AtomicBool::new(false),
        }
    }
}

impl View {
    /// Publishes the listed targets.
    pub fn set_targets(&self, targets: Vec<Target>) {
        let mut state = lock(&self.target_state);
        state.targets = Some(targets);
        self.publish(&state);
    }

    /// Publishes the evacuated data centres.
    pub fn set_evacuated(&self, evacuated: evacuation::Evacuated) {
        let mut state = lock(&self.target_state);
        state.evacuations.update(evacuated, Instant::now());
        self.publish(&state);
    }

    /// Publishes the targets that announced their shutdown, regardless of their store entries.
    pub fn set_leaving_targets(&self, leaving: collections::HashSet<id::TargetLife>) {
        let mut state = lock(&self.target_state);
        if state.leaving != leaving {
            state.leaving = leaving;
            self.publish(&state);
        }
    }

    /// Returns the evacuated data centres, or `None` before the first listing.
    pub fn evacuated(&self) -> Option<evacuation::Evacuated> {
        lock(&self.target_state).evacuations.evacuated().cloned()
    }

    /// Returns the evacuated data centres with the start of each evacuation.
    ///
    /// Returns `None` before the first listing.
    pub fn evacuated_since(&self) -> Option<Vec<(id::DataCentre, Instant)>> {
        let state = lock(&self.target_state);
        let evacuated = state.evacuations.evacuated()?.iter();
        let since = |place: &id::DataCentre| {
            Some((place.clone(), state.evacuations.evacuated_since(place)?))
        };
        Some(evacuated.filter_map(since).collect())
    }

    /// Returns whether a data centre is known to be evacuated.
    pub fn is_evacuated(&self, place: &id::DataCentre) -> bool {
        let state = lock(&self.target_state);
        let evacuated = state.evacuations.evacuated();
        evacuated.is_some_and(|evacuated| evacuated.contains(place))
    }

    /// Recomputes and publishes the targets from all inputs.
    fn publish(&self, state: &TargetState) {
        let evacuations = &state.evacuations;
        let targets = state.targets.iter().flatten().map(|target| Target {
            cold_until: target
                .cold_until
                .max(evacuations.cold_until(&target.data_centre)),
            leaving: target.leaving || state.leaving.contains(&target.key()),
            ..target.clone()
        });
        let targets = Targets::new(targets, |place| evacuations.is_blocked(place));
        self.targets.store(Arc::new(targets));
        let complete = state.targets.is_some() && evacuations.evacuated().is_some();
        self.targets_loaded
            .store(complete, atomic::Ordering::Release);
        self.notify_changed();
    }

    /// Records the software versions of all targets of a listing as of `at`.
    pub fn record_versions<'a>(
        &self,
        listed: impl Iterator<Item = (&'a id::ServiceName, &'a Option<id::SoftwareVersion>)>,
        at: freshness::BootTime,
    ) {
        lock(&self.versions).record_listing(listed, at);
    }

    /// Adds the software versions that another process has seen.
    pub fn merge_versions(&self, summary: &origin::history::Summary, now: freshness::BootTime) {
        lock(&self.versions).merge(summary, now);
    }

    /// Returns the software versions that were seen lately.
    pub fn versions_seen(&self, now: freshness::BootTime) -> origin::history::Summary {
        lock(&self.versions).summary(now)
    }

    /// Records that all notes of software versions were read, as asked for at `sent`.
    pub fn record_notes_read(&self, sent: freshness::BootTime) {
        lock(&self.versions).record_notes_read(sent);
    }

    /// Returns whether software versions may have come and gone in a time without a listing.
    pub fn has_version_gap(&self) -> bool {
        lock(&self.versions).has_gap()
    }

    /// Records software versions that the note of a service names.
    pub fn add_noted(
        &self,
        service: &id::ServiceName,
        versions: &[origin::history::Version],
        now: freshness::BootTime,
    ) {
        lock(&self.versions).add_noted(service, versions, now);
    }

    /// Records that the note of a service names software versions no more.
    pub fn remove_noted(&self, service: &id::ServiceName, gone: &[origin::history::Version]) {
        let mut versions = lock(&self.versions);
        for version in gone {
            versions.remove_noted(service, version);
        }
    }

    /// Returns the corrections that the notes of software versions need.
    pub fn note_corrections(&self, now: freshness::BootTime) -> Vec<origin::history::Correction> {
        lock(&self.versions).corrections(now)
    }

    /// Returns the software versions of a service at which no new stream should begin yet.
    pub fn versions_not_noted(&self, service: &id::ServiceName) -> Vec<id::SoftwareVersion> {
        lock(&self.versions).not_noted(service)
    }

    /// Returns whether other processes are to be asked for the versions that they have seen.
    pub fn needs_versions(&self, now: freshness::BootTime) -> bool {
        lock(&self.versions).needs_peers(now)
    }

    /// Returns what is known of the versions of services.
    pub fn known_versions(
        &self,
        services: &[id::ServiceName],
        now: freshness::BootTime,
    ) -> Vec<origin::history::Known> {
        let versions = lock(&self.versions);
        services.iter().map(|s| versions.known(s, now)).collect()
    }

    /// Returns what other processes may take for knowledge of the versions of services up to now.
    pub fn told_versions(
        &self,
        services: &[id::ServiceName],
        now: freshness::BootTime,
    ) -> Vec<origin::history::Known> {
        let versions = lock(&self.versions);
        services.iter().map(|s| versions.told(s, now)).collect()
    }

    /// Returns whether the list of targets was read lately.
    pub fn is_listing_fresh(&self, now: freshness::BootTime) -> bool {
        lock(&self.versions).is_fresh(now)
    }

    /// Returns whether the version that began a stream was listed lately.
    pub fn has_seen_version(&self, origin: &origin::Origin) -> bool {
        lock(&self.versions).has_seen(&origin.service, &origin.version)
    }

    /// Returns whether a target can go on with a stream, in one of the data centres.
    pub fn can_go_on(
        &self,
        origin: &origin::Origin,
        data_centres: Option<&[id::DataCentre]>,
    ) -> bool {
        let eligible = Eligible {
            data_centres,
            origin: Some(origin),
            ..Eligible::default()
        };
        let targets = self.targets.load();
        let mut targets = targets.service(&origin.service).iter();
        targets.any(|target| eligible.allows(target))
    }

    /// Publishes the members.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
        self.notify_changed();
    }

    /// Sets whether the list of members as read contains this process.
    pub fn set_listed(&self, listed: bool) {
        if self.listed.swap(listed, atomic::Ordering::AcqRel) != listed {
            self.notify_changed();
        }
    }

    /// Returns whether the list of members as read contains this process.
    pub fn is_listed(&self) -> bool {
        self.listed.load(atomic::Ordering::Acquire)
    }

    /// Updates this process's share of fleet-wide budgets from a listing as of `at`.
    pub fn update_budget_share<'a>(
        &self,
        own: fleet_budget::OwnEntry,
        others: impl IntoIterator<Item = &'a id::InstanceName>,
        at: freshness::BootTime,
    ) {
        lock(&self.budget_share).update(own, others, at);
    }

    /// Returns this process's fraction of fleet-wide budgets, from 0 to 1.
    pub fn budget_fraction(&self) -> f64 {
        lock(&self.budget_share).fraction(clock::now())
    }

    /// Activates a configuration and returns `true`, unless the active one is as new or newer.
    pub fn set_table(&self, table: ingress::Table) -> bool {
        let is_as_new = |known: &Arc<ingress::Table>| known.version >= table.version;
        if self.table.load().as_ref().is_some_and(is_as_new) {
            return false;
        }
        self.table.store(Some(Arc::new(table)));
        self.notify_changed();
        true
    }

    /// Subscribes to changes of targets, members and configuration.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Marks the process as shutting down, with its exit planned at `exit`.
    pub fn start_leaving(&self, exit: Instant) {
        let start = Instant::now();
        // A second call has no effect: requests were accepted on the basis of the first exit time.
        let _ = self.leaving.set(Shutdown { start, exit });
    }

    /// Returns whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Returns whether a request that takes up to `limit` can finish before the exit.
    ///
    /// The load balancer keeps sending callers here for a while, longer when all instances of a
    /// data centre are shutting down. A long stream accepted late would be cut off by the exit. At
    /// first it is accepted unless requests of its kind `usually` take longer.
    pub fn can_finish(
        &self,
        limit: time::Duration,
        usually: Option<time::Duration>,
        now: Instant,
    ) -> bool {
        let Some(shutdown) = self.leaving.get() else {
            return true;
        };
        let ends = |duration| now + duration <= shutdown.exit;
        ends(limit) || now < shutdown.start + ACCEPT_ALL_PERIOD && usually.is_none_or(ends)
    }

    /// Notifies waiting requests that the process is about to exit.
    pub fn announce_exit(&self) {
        self.exiting.send_replace(true);
    }

    /// Returns whether the process is about to exit.
    pub fn is_exiting(&self) -> bool {
        *self.exiting.borrow()
    }

    /// Waits until the process is about to exit.
    pub async fn wait_for_exit(&self) {
        let mut exiting = self.exiting.subscribe();
        // The sender is dropped only with this view.
        let _ = exiting.wait_for(|exiting| *exiting).await;
    }

    /// Returns whether configuration, targets and evacuations were all read.
    pub fn is_loaded(&self) -> bool {
        self.targets_loaded.load(atomic::Ordering::Acquire) && self.table.load().is_some()
    }

    /// Returns the number of processes that share limits, at least 1.
    pub fn member_count(&self) -> usize {
        self.members.load().len().max(1)
    }

    fn notify_changed(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

/// Locks a mutex, ignoring poisoning.
///
/// No locked section can panic between two changes that belong together, so that the data is
/// consistent even after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
