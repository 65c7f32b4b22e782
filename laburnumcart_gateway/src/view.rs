//! Control state shared with the traffic thread: targets, members, configuration, shutdown.

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
    origin,
    residency, //
};

use crate::clock;

/// Targets among which one is chosen for a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eligible<'a> {
    /// Data centres in which the request may run; `None` allows all.
    pub data_centres: Option<&'a [id::DataCentre]>,
    /// Targets that have failed the request.
    pub tried: &'a [id::TargetName],
    /// Origin of the stream, if it has begun.
    pub origin: Option<&'a origin::Origin>,
    /// Software versions that are to be avoided.
    pub avoided: &'a [id::SoftwareVersion],
}

impl Eligible<'_> {
    /// Returns whether a target may run the request, whether or not it was tried.
    pub fn allows(&self, target: &Target) -> bool {
        residency::is_allowed(self.data_centres, &target.data_centre)
            && self.origin.is_none_or(|o| o.allows(&target.origin()))
            && !target
                .version
                .as_ref()
                .is_some_and(|version| self.avoided.contains(version))
    }

    /// Returns whether a target may run the request and was not tried.
    pub fn contains(&self, target: &Target) -> bool {
        self.allows(target) && !self.tried.contains(&target.name)
    }
}

/// A target as listed in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name, which a restarted target may keep.
    pub name: id::TargetName,
    /// Start time, which tells runs of a target apart.
    pub life: id::Life,
    /// Address for requests and batch calls.
    pub addr: net::SocketAddr,
    /// Data centre that the target runs in.
    pub data_centre: id::DataCentre,
    /// Service that the target belongs to.
    pub service: id::ServiceName,
    /// Version of its software, if its entry states one.
    pub version: Option<id::SoftwareVersion>,
    /// Whether the target is shutting down and accepts no new work.
    pub leaving: bool,
    /// End of the warm-up time, during which the target gets a reduced rate.
    pub cold_until: Option<Instant>,
}

impl Target {
    /// Returns the version as text for the log.
    pub fn version_label(&self) -> &str {
        id::version_label(self.version.as_ref())
    }

    /// Returns the origin of a stream that begins at this target.
    pub fn origin(&self) -> origin::Origin {
        origin::Origin {
            service: self.service.clone(),
            version: self.version.clone(),
            target: Some(self.key()),
        }
    }

    /// Returns the key that identifies this run of the target.
    pub fn key(&self) -> id::TargetLife {
        id::TargetLife {
            name: self.name.clone(),
            life: self.life,
        }
    }
}

/// All listed targets, indexed by service and by address.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    services: collections::HashMap<id::ServiceName, Vec<Arc<Target>>>,
    /// Versions of each service that are being replaced and have one target left.
    outgoing: collections::HashMap<id::ServiceName, Vec<id::SoftwareVersion>>,
    addrs: collections::HashMap<net::SocketAddr, Vec<Arc<Target>>>,
}

impl Targets {
    /// Builds the index.
    ///
    /// Targets that are leaving or in an evacuated data centre are listed by address only: they get
    /// no requests, but their results can still be freed.
    pub fn new(
        targets: impl IntoIterator<Item = Target>,
        is_evacuated: impl Fn(&id::DataCentre) -> bool,
    ) -> Self {
        let mut all = Self::default();
        for target in targets {
            let target = Arc::new(target);
            all.addrs
                .entry(target.addr)
                .or_default()
                .push(target.clone());
            if !target.leaving && !is_evacuated(&target.data_centre) {
                let service = target.service.clone();
                all.services.entry(service).or_default().push(target);
            }
        }
        all.outgoing = all.find_outgoing();
        all
    }

    /// Finds the versions that drain, have one target left, and stand beside another version with
    /// several.
    fn find_outgoing(&self) -> collections::HashMap<id::ServiceName, Vec<id::SoftwareVersion>> {
        let mut outgoing: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for leaving in self.all().filter(|target| target.leaving) {
            let Some(version) = &leaving.version else {
                continue;
            };
            let used = self.service(&leaving.service);
            let is_same = |target: &&Arc<Target>| target.version.as_ref() == Some(version);
            let left = used.iter().filter(is_same).count();
            if left == 1 && used.len() > 2 {
                let versions = outgoing.entry(leaving.service.clone()).or_default();
                versions.push(version.clone());
            }
        }
        outgoing
    }

    /// Returns the versions of a service at which no new stream should begin.
    ///
    /// If it broke off once the last target has left, nobody could go on with it.
    pub fn outgoing(&self, service: &id::ServiceName) -> &[id::SoftwareVersion] {
        self.outgoing.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets of a service that may get work.
    pub fn service(&self, name: &id::ServiceName) -> &[Arc<Target>] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the target at an address that started at `life`.
    ///
    /// Addresses are reused, and the entry of the previous target may still be listed.
    pub fn find(&self, addr: &net::SocketAddr, life: id::Life) -> Option<&Arc<Target>> {
        let listed = self.addrs.get(addr)?;
        listed.iter().find(|target| target.life == life)
    }

    /// Returns whether a later target is known to have replaced one at an address.
    ///
    /// The results of the replaced target are lost. An unlisted target doesn't count as replaced:
    /// it may be shutting down and still hold its results.
    pub fn is_replaced(&self, addr: &net::SocketAddr, life: id::Life) -> bool {
        self.addrs.contains_key(addr) && self.find(addr, life).is_none()
    }

    /// Iterates over the targets that may get work.
    pub fn used(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.services.values().flatten()
    }

    /// Iterates over all targets, including those that get no requests.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.addrs.values().flatten()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.addrs.values().map(Vec::len).sum()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.addrs.is_empty()
    }
}

/// Compares known targets with a new list and returns those removed and those added.
///
/// A target that restarted under its old name is in both.
pub(crate) fn diff_targets(
    known: impl IntoIterator<Item = id::TargetLife>,
    listed: &[Arc<Target>],
) -> (Vec<id::TargetLife>, Vec<&Arc<Target>>) {
    let known: collections::HashSet<_> = known.into_iter().collect();
    let keys: collections::HashSet<_> = listed.iter().map(|t| t.key()).collect();
    let gone = known.difference(&keys).cloned().collect();
    let new = listed.iter().filter(|t| !known.contains(&t.key()));
    (gone, new.collect())
}

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

/// Time after the start of a shutdown during which every request is accepted.
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
    budget_share: Mutex<fleet_budget::Share>,
    /// Freshness of the configuration.
    pub freshness: freshness::Freshness,
    /// Software versions of targets that were listed lately.
    versions: Mutex<origin::history::History>,
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
            budget_share: Mutex::default(),
            freshness: freshness::Freshness::default(),
            versions: Mutex::default(),
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

    /// Returns the software versions of each service that has had several lately.
    pub fn several_versions(
        &self,
        now: freshness::BootTime,
    ) -> collections::HashMap<id::ServiceName, Vec<id::SoftwareVersion>> {
        lock(&self.versions).several(now)
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
    /// data centre are shutting down. A long stream accepted late would be cut off by the exit.
    pub fn can_finish(&self, limit: time::Duration, now: Instant) -> bool {
        let Some(shutdown) = self.leaving.get() else {
            return true;
        };
        now < shutdown.start + ACCEPT_ALL_PERIOD || now + limit <= shutdown.exit
    }

    /// Notifies waiting requests that the process is about to exit.
    pub fn announce_exit(&self) {
        self.exiting.send_replace(true);
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
