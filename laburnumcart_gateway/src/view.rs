//! What the traffic thread reads of the control thread's state.

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
    allotment,
    evacuation,
    freshness,
    id,
    ingress, //
};

use crate::clock;

/// A target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name; one that starts again may have it as well.
    pub name: id::TargetName,
    /// Its start.
    pub life: id::Life,
    /// Address.
    pub addr: net::SocketAddr,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Service that it belongs to.
    pub service: id::ServiceName,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Moment until which it is cold and bears few requests.
    pub cold_until: Option<Instant>,
}

impl Target {
    /// Returns what tells it from its other lives.
    pub fn key(&self) -> id::TargetLife {
        id::TargetLife {
            name: self.name.clone(),
            life: self.life,
        }
    }
}

/// All targets that may get work.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    services: collections::HashMap<id::ServiceName, Vec<Arc<Target>>>,
    addrs: collections::HashMap<net::SocketAddr, Vec<Arc<Target>>>,
}

impl Targets {
    /// Collects targets.
    ///
    /// One that is leaving, or stands where `is_evacuated`, gets no requests, but its results can
    /// still be freed.
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
        all
    }

    /// Lists the targets of a service.
    pub fn service(&self, name: &id::ServiceName) -> &[Arc<Target>] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the life of a target that is, or was a moment ago, at an address.
    ///
    /// Addresses are used again, and an entry of the one before may still be listed.
    pub fn find(&self, addr: &net::SocketAddr, life: id::Life) -> Option<&Arc<Target>> {
        let listed = self.addrs.get(addr)?;
        listed.iter().find(|target| target.life == life)
    }

    /// Reports whether another life is known to have taken the place of one at an address.
    ///
    /// What that one held is gone. Of a target that is not listed nothing is known: it may be about
    /// to leave, with its results still there.
    pub fn is_replaced(&self, addr: &net::SocketAddr, life: id::Life) -> bool {
        self.addrs.contains_key(addr) && self.find(addr, life).is_none()
    }

    /// Lists all targets, those that get no requests among them.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.addrs.values().flatten()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.addrs.values().map(Vec::len).sum()
    }

    /// Reports whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.addrs.is_empty()
    }
}

/// Compares what is known of a service's targets with their list: who is gone, who is new.
///
/// One that has started again under its name is both.
pub(crate) fn changes(
    known: impl IntoIterator<Item = id::TargetLife>,
    listed: &[Arc<Target>],
) -> (Vec<id::TargetLife>, Vec<&Arc<Target>>) {
    let known: collections::HashSet<_> = known.into_iter().collect();
    let keys: collections::HashSet<_> = listed.iter().map(|t| t.key()).collect();
    let gone = known.difference(&keys).cloned().collect();
    let new = listed.iter().filter(|t| !known.contains(&t.key()));
    (gone, new.collect())
}

/// A process of the system, as it describes itself in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its instance.
    pub instance: id::InstanceName,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Address for other processes of the system.
    pub peer: net::SocketAddr,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Processor of its instance in cores.
    pub cores: f64,
    /// Secret that it asks of those who call it; only readers of the store know it.
    pub secret: String,
}

/// Time after the start of a stop in which every request is taken.
///
/// The balancer notices within two seconds; callers that came before are served to their end.
const WELCOME: time::Duration = time::Duration::from_millis(2700);

/// What the store lists of targets, and what they say themselves.
#[derive(Debug, Default)]
struct Listed {
    targets: Option<Vec<Target>>,
    places: evacuation::Places,
    leaving: collections::HashSet<id::TargetLife>,
}

/// A stop in progress.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    since: Instant,
    exit: Instant,
}

/// Control state as last published.
#[derive(Debug)]
pub struct View {
    /// Listed targets and what is known of them and of their data centres.
    listed: Mutex<Listed>,
    /// Configuration in force.
    pub table: ArcSwapOption<ingress::Table>,
    /// Targets.
    pub targets: ArcSwap<Targets>,
    /// Processes of the system, this one included once it is known.
    pub members: ArcSwap<Vec<Member>>,
    /// Part of this process in what all may spend together.
    allotment: Mutex<allotment::Allotment>,
    /// Age of the configuration.
    pub freshness: freshness::Freshness,
    /// Counts the changes of targets and members.
    changes: watch::Sender<u64>,
    exiting: watch::Sender<bool>,
    leaving: OnceLock<Leaving>,
    complete: atomic::AtomicBool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            listed: Mutex::default(),
            table: ArcSwapOption::empty(),
            targets: ArcSwap::default(),
            members: ArcSwap::default(),
            allotment: Mutex::default(),
            freshness: freshness::Freshness::default(),
            changes: watch::Sender::new(0),
            exiting: watch::Sender::new(false),
            leaving: OnceLock::new(),
            complete: atomic::AtomicBool::new(false),
        }
    }
}

impl View {
    /// Publishes the targets.
    pub fn set_targets(&self, targets: Vec<Target>) {
        let mut listed = lock(&self.listed);
        listed.targets = Some(targets);
        self.publish(&listed);
    }

    /// Publishes which data centres are evacuated.
    pub fn set_evacuated(&self, evacuated: evacuation::Evacuated) {
        let mut listed = lock(&self.listed);
        listed.places.set(evacuated, Instant::now());
        self.publish(&listed);
    }

    /// Publishes which targets have said that they are leaving, whatever the store lists.
    pub fn set_leaving_targets(&self, leaving: collections::HashSet<id::TargetLife>) {
        let mut listed = lock(&self.listed);
        if listed.leaving != leaving {
            listed.leaving = leaving;
            self.publish(&listed);
        }
    }

    /// Returns which data centres are evacuated, once that is known.
    pub fn evacuated(&self) -> Option<evacuation::Evacuated> {
        lock(&self.listed).places.evacuated().cloned()
    }

    /// Returns which data centres are evacuated and since when, once that is known.
    pub fn evacuated_since(&self) -> Option<Vec<(id::DataCentre, Instant)>> {
        let listed = lock(&self.listed);
        let evacuated = listed.places.evacuated()?.iter();
        let since = |place: &id::DataCentre| Some((place.clone(), listed.places.since(place)?));
        Some(evacuated.filter_map(since).collect())
    }

    /// Reports whether a data centre is known to be evacuated.
    pub fn is_evacuated(&self, place: &id::DataCentre) -> bool {
        let listed = lock(&self.listed);
        let evacuated = listed.places.evacuated();
        evacuated.is_some_and(|evacuated| evacuated.contains(place))
    }

    /// Publishes what may get work, from all that is known.
    fn publish(&self, listed: &Listed) {
        let places = &listed.places;
        let targets = listed.targets.iter().flatten().map(|target| Target {
            cold_until: target.cold_until.max(places.cold(&target.data_centre)),
            leaving: target.leaving || listed.leaving.contains(&target.key()),
            ..target.clone()
        });
        let targets = Targets::new(targets, |place| places.is_closed(place));
        self.targets.store(Arc::new(targets));
        let complete = listed.targets.is_some() && places.evacuated().is_some();
        self.complete.store(complete, atomic::Ordering::Release);
        self.changed();
    }

    /// Publishes the members.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
        self.changed();
    }

    /// Takes in a listing of all processes that holds for `at`.
    pub fn update_allotment<'a>(
        &self,
        own: allotment::Entry,
        others: impl IntoIterator<Item = &'a id::InstanceName>,
        at: freshness::Moment,
    ) {
        lock(&self.allotment).read(own, others, at);
    }

    /// Returns this process's part of what all may spend together, from 0 to 1.
    pub fn allotted_share(&self) -> f64 {
        lock(&self.allotment).part(clock::now())
    }

    /// Publishes a configuration, unless a later one is in force.
    pub fn set_table(&self, table: ingress::Table) -> bool {
        let older = |known: &Arc<ingress::Table>| known.version >= table.version;
        if self.table.load().as_ref().is_some_and(older) {
            return false;
        }
        self.table.store(Some(Arc::new(table)));
        self.changed();
        true
    }

    /// Returns a receiver of changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Marks the process as leaving; it will exit at `exit`.
    pub fn start_leaving(&self, exit: Instant) {
        let since = Instant::now();
        // A second call changes nothing: the exit was told to callers already.
        let _ = self.leaving.set(Leaving { since, exit });
    }

    /// Reports whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Reports whether a request that may take `limit` can still be taken.
    ///
    /// The balancer goes on to send callers here for a while, and for longer when all instances of
    /// a data centre are leaving. A long stream that was taken late would be cut by the exit.
    pub fn can_finish(&self, limit: time::Duration, now: Instant) -> bool {
        let Some(leaving) = self.leaving.get() else {
            return true;
        };
        now < leaving.since + WELCOME || now + limit <= leaving.exit
    }

    /// Tells requests that wait that the process is about to exit.
    pub fn announce_exit(&self) {
        self.exiting.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub async fn wait_for_exit(&self) {
        let mut exiting = self.exiting.subscribe();
        // The sender lives as long as this view.
        let _ = exiting.wait_for(|exiting| *exiting).await;
    }

    /// Reports whether the configuration, the targets and the evacuations are known.
    pub fn is_loaded(&self) -> bool {
        self.complete.load(atomic::Ordering::Acquire) && self.table.load().is_some()
    }

    /// Returns by how many processes shared bounds are divided.
    pub fn member_count(&self) -> usize {
        self.members.load().len().max(1)
    }

    fn changed(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

/// Locks a mutex; what it holds is whole also after a panic elsewhere, as no locked section
/// panics between two changes that belong together.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
