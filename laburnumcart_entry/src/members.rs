//! Instances of the system: the platform's list says whom to ask, their own reports what holds.
//!
//! The list lags behind reality, in both directions. An agent is therefore only looked up in it: a
//! lane is opened to each that is listed, and whether its target takes work is read from the agent's
//! reports. An agent that is no longer listed keeps its lane while the lane works.

use std::{
    collections,
    net,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    runtime,
    time, //
};

use laburnumcart::{
    id,
    subset, //
};
use laburnumcart_platform::follow;

use crate::links;

pub mod width;

/// Prefix of the platform's list.
pub const PREFIX: &str = "platform/instances/";

/// Bytes a second, both ways, for idle heartbeats; the rest of a process's share is for others.
const BEAT_BYTES: u64 = 15_000;

/// Longest time between two heartbeats on a lane without attempts in flight; a peer closes a
/// connection that is silent for 30 s.
const IDLE_MAX: time::Duration = time::Duration::from_secs(20);

/// Fewest agents of a service to keep lanes to.
const SUBSET_MIN: usize = 8;

/// Kind of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Agent beside a target.
    Agent,
    /// Entry.
    Entry,
}

/// What the platform thinks of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Runs.
    Live,
    /// Is about to stop.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub name: id::InstanceName,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Kind.
    pub role: Role,
    /// Service of an agent's target.
    #[serde(default)]
    pub service: Option<id::ServiceName>,
    /// Peer address.
    pub addr: net::SocketAddr,
    /// State.
    pub state: State,
}

/// Reads the platform's list; what cannot be read is left out, lest one value hide all others.
pub fn parse(snapshot: &follow::Snapshot) -> Vec<Instance> {
    let values = snapshot.objects.values();
    let parsed = values.filter_map(|object| serde_json::from_str(&object.value).ok());
    parsed.collect()
}

/// Lanes to the agents that are or were listed.
#[derive(Debug)]
pub struct Members {
    caller: links::Config,
    data_centre: id::DataCentre,
    runtime: runtime::Handle,
    lanes: collections::BTreeMap<net::SocketAddr, Member>,
    entries: Vec<net::SocketAddr>,
    /// Agents that the list names.
    agents: Vec<Instance>,
    /// Those of them that lanes are kept to.
    chosen: collections::HashSet<net::SocketAddr>,
    widths: collections::BTreeMap<id::ServiceName, width::Width>,
}

/// An agent with its lane.
#[derive(Clone, Debug)]
pub struct Member {
    /// Service that the list names.
    pub service: id::ServiceName,
    /// Data centre that the list names.
    pub data_centre: id::DataCentre,
    /// The lane.
    pub lane: Arc<links::Lane>,
}

impl Members {
    /// Creates an empty set whose lanes run on `runtime`.
    pub fn new(
        caller: links::Config,
        data_centre: id::DataCentre,
        runtime: runtime::Handle,
    ) -> Self {
        Self {
            caller,
            data_centre,
            runtime,
            lanes: collections::BTreeMap::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            chosen: collections::HashSet::new(),
            widths: collections::BTreeMap::new(),
        }
    }

    /// Takes in a whole list.
    pub fn apply(&mut self, list: &[Instance]) {
        let is_entry = |i: &&Instance| i.role == Role::Entry && i.state == State::Live;
        self.entries = list.iter().filter(is_entry).map(|i| i.addr).collect();
        self.agents = list
            .iter()
            .filter(|i| i.role == Role::Agent)
            .cloned()
            .collect();
        self.measure();
        self.choose();
    }

    /// Widens the subsets whose agents take no work, and narrows them when they do again.
    pub fn refresh(&mut self) {
        if self.measure() {
            self.choose();
        }
    }

    /// Works out the sizes of the subsets; returns whether any has changed.
    fn measure(&mut self) -> bool {
        let mut counts: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
        for service in self.agents.iter().filter_map(|i| i.service.as_ref()) {
            *counts.entry(service.clone()).or_default() += 1;
        }
        let idle = self.caller.timing.idle_period;
        let size = subset::size(BEAT_BYTES, idle, counts.values().copied());
        let size = size.max(SUBSET_MIN);
        self.widths
            .retain(|service, _| counts.contains_key(service));
        let now = time::Instant::now();
        let mut changed = false;
        for service in counts.into_keys() {
            let (kept, usable) = self.count(&service);
            let wanted = width::wanted(size, kept, usable);
            changed |= self.widths.entry(service).or_default().set(wanted, now);
        }
        changed
    }

    /// Returns the size of a service's subset, and how many of it take work or may do so soon.
    fn count(&self, service: &id::ServiceName) -> (usize, usize) {
        let kept = self.lanes.values();
        let kept = kept.filter(|m| m.service == *service && self.chosen.contains(&m.lane.addr));
        let usable = |m: &&Member| m.lane.is_connecting() || m.lane.accepts_work(service);
        (kept.clone().count(), kept.filter(usable).count())
    }

    /// Opens the lanes to the chosen agents, and gives up those to others.
    fn choose(&mut self) {
        let chosen: Vec<_> = self.subset().into_iter().cloned().collect();
        for instance in &chosen {
            if let Some(service) = &instance.service {
                let is_same = |i: &&Instance| i.service.as_ref() == Some(service);
                let kept = chosen.iter().filter(is_same).count();
                let all = self.agents.iter().filter(is_same).count();
                let idle = self.idle(chosen.len(), kept, all);
                self.open(instance, service, idle);
            }
        }
        let listed: collections::HashSet<_> = self.agents.iter().map(|i| i.addr).collect();
        self.chosen = chosen.iter().map(|i| i.addr).collect();
        let works = |member: &Member| member.lane.connection().is_some();
        self.lanes.retain(|addr, member| {
            self.chosen.contains(addr) || !listed.contains(addr) && works(member)
        });
    }

    /// Chooses the agents to keep lanes to, so many of each service that heartbeats stay cheap.
    fn subset(&self) -> Vec<&Instance> {
        let mut services: collections::BTreeMap<_, Vec<(id::TargetName, &Instance)>> =
            collections::BTreeMap::new();
        for instance in &self.agents {
            if let (Some(service), Ok(name)) = (&instance.service, instance.name.as_str().parse()) {
                services.entry(service).or_default().push((name, instance));
            }
        }
        let mut chosen = Vec::new();
        for (service, agents) in &services {
            let members = agents.iter().map(|(name, instance)| subset::Member {
                name,
                data_centre: &instance.data_centre,
            });
            let size = self.widths[*service].size();
            let names = subset::choose(&self.caller.instance, &self.data_centre, members, size);
            let names: collections::HashSet<_> = names.iter().map(|member| member.name).collect();
            let agents = agents.iter().filter(|(name, _)| names.contains(name));
            chosen.extend(agents.map(|(_, instance)| *instance));
        }
        chosen
    }

    /// Returns the time between two idle heartbeats on each of `lanes`, where `kept` of `all` agents
    /// of a service are in the subset.
    ///
    /// A service of few targets is whole in the subset of every entry: at a fixed period of 2 s the
    /// heartbeats of 350 entries take over 100 KB/s of each of its agents. Either end gets
    /// [`BEAT_BYTES`], as far as the list tells how many entries share the agents.
    fn idle(&self, lanes: usize, kept: usize, all: usize) -> time::Duration {
        let there = (self.entries.len() * kept).div_ceil(all.max(1));
        let period = subset::heartbeat_period(BEAT_BYTES, lanes.max(there));
        period.min(IDLE_MAX).max(self.caller.timing.idle_period)
    }

    fn open(&mut self, instance: &Instance, service: &id::ServiceName, idle: time::Duration) {
        let (caller, runtime) = (&self.caller, &self.runtime);
        let member = self.lanes.entry(instance.addr).or_insert_with(|| Member {
            service: service.clone(),
            data_centre: instance.data_centre.clone(),
            lane: links::Lane::open(runtime, instance.addr, caller.clone()),
        });
        member.service = service.clone();
        member.data_centre = instance.data_centre.clone();
        member.lane.set_idle_period(idle);
    }

    /// Iterates over the agents.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.lanes.values()
    }

    /// Returns the peer addresses of the live entries.
    pub fn entries(&self) -> &[net::SocketAddr] {
        &self.entries
    }
}
