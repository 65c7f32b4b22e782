//! Targets as published to the traffic thread, and which of them may run a request.

use std::{
    collections,
    net,
    sync::Arc, //
};

use tokio::time::Instant;

use laburnumcart::{
    id,
    origin,
    residency, //
};

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
    /// Silent targets of which one is to be chosen; `None` chooses one that accepts requests.
    pub silent: Option<&'a [id::TargetLife]>,
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
            && self.silent.is_none_or(|s| s.contains(&target.key()))
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

    /// Returns whether a target may get work, and no later one has its name or its address.
    pub fn is_current(&self, target: &Target) -> bool {
        let listed = self.service(&target.service);
        let at_addr = self.addrs.get(&target.addr).into_iter().flatten();
        let is_later = |other: &&Arc<Target>| {
            other.life > target.life && (other.name == target.name || other.addr == target.addr)
        };
        listed.iter().any(|t| t.key() == target.key())
            && !listed.iter().chain(at_addr).any(|other| is_later(&other))
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
