//! Instances from the platform's list, and the lanes to those that are agents.
//!
//! The list may be stale: it can lack running agents and name stopped ones. It is therefore used
//! only for discovery; whether a target accepts work is known from its agent's reports. The lane of
//! an agent that is no longer listed is kept as long as it is connected.

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

pub mod subset_size;

/// Key prefix of the platform's list in the object service.
pub const PREFIX: &str = "platform/instances/";

/// Bandwidth for idle heartbeats of one process, in bytes per second and both directions.
const HEARTBEAT_BANDWIDTH: u64 = 15_000;

/// Maximum heartbeat period of a lane without attempts in flight.
///
/// A peer closes a connection that is silent for 30 s.
const MAX_IDLE_PERIOD: time::Duration = time::Duration::from_secs(20);

/// Minimum number of agents per service to keep lanes to.
const MIN_SUBSET: usize = 8;

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Agent beside a target.
    Agent,
    /// Entry, which serves callers.
    Entry,
}

/// State of an instance as listed by the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// Entry of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: id::InstanceName,
    /// Data centre of the instance.
    pub data_centre: id::DataCentre,
    /// Role of the instance.
    pub role: Role,
    /// Service of the agent's target; none for other roles.
    #[serde(default)]
    pub service: Option<id::ServiceName>,
    /// Address for other processes of the system.
    pub addr: net::SocketAddr,
    /// State as listed.
    pub state: State,
}

/// Parses the platform's list; skips malformed values, so that one cannot hide all others.
pub fn parse(snapshot: &follow::Snapshot) -> Vec<Instance> {
    let values = snapshot.objects.values();
    let parsed = values.filter_map(|object| serde_json::from_str(&object.value).ok());
    parsed.collect()
}

/// Lanes to agents that are or were listed.
#[derive(Debug)]
pub struct Members {
    caller: links::Config,
    data_centre: id::DataCentre,
    runtime: runtime::Handle,
    lanes: collections::BTreeMap<net::SocketAddr, Member>,
    entries: Vec<net::SocketAddr>,
    /// Agents on the current list.
    agents: Vec<Instance>,
    /// Addresses of the listed agents that lanes are kept to.
    chosen: collections::HashSet<net::SocketAddr>,
    subset_sizes: collections::BTreeMap<id::ServiceName, subset_size::SubsetSize>,
}

/// An agent with its lane.
#[derive(Clone, Debug)]
pub struct Member {
    /// Service of the agent's target, as listed.
    pub service: id::ServiceName,
    /// Data centre of the agent, as listed.
    pub data_centre: id::DataCentre,
    /// Lane to the agent.
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
            subset_sizes: collections::BTreeMap::new(),
        }
    }

    /// Replaces the list, and opens and closes lanes accordingly.
    pub fn apply(&mut self, list: &[Instance]) {
        let is_entry = |i: &&Instance| i.role == Role::Entry && i.state == State::Live;
        self.entries = list.iter().filter(is_entry).map(|i| i.addr).collect();
        self.agents = list
            .iter()
            .filter(|i| i.role == Role::Agent)
            .cloned()
            .collect();
        self.update_sizes();
        self.update_lanes();
    }

    /// Grows the subsets whose agents accept no work, and shrinks them when the agents recover.
    pub fn resize_subsets(&mut self) {
        if self.update_sizes() {
            self.update_lanes();
        }
    }

    /// Computes the subset size of each service; returns whether any has changed.
    fn update_sizes(&mut self) -> bool {
        let mut counts: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
        for service in self.agents.iter().filter_map(|i| i.service.as_ref()) {
            *counts.entry(service.clone()).or_default() += 1;
        }
        let idle = self.caller.timing.idle_period;
        let size = subset::size(HEARTBEAT_BANDWIDTH, idle, counts.values().copied());
        let size = size.max(MIN_SUBSET);
        self.subset_sizes
            .retain(|service, _| counts.contains_key(service));
        let now = time::Instant::now();
        let mut changed = false;
        for service in counts.into_keys() {
            let (kept, usable) = self.count_agents(&service);
            let wanted = subset_size::wanted_size(size, kept, usable);
            changed |= self
                .subset_sizes
                .entry(service)
                .or_default()
                .update(wanted, now);
        }
        changed
    }

    /// Counts the agents in a service's subset, and those that accept work or are being connected.
    fn count_agents(&self, service: &id::ServiceName) -> (usize, usize) {
        let kept = self.lanes.values();
        let kept = kept.filter(|m| m.service == *service && self.chosen.contains(&m.lane.addr));
        let usable = |m: &&Member| m.lane.is_connecting() || m.lane.accepts_work(service);
        (kept.clone().count(), kept.filter(usable).count())
    }

    /// Opens lanes to the agents in the subsets and closes those to other listed agents.
    fn update_lanes(&mut self) {
        let chosen: Vec<_> = self.choose_agents().into_iter().cloned().collect();
        for instance in &chosen {
            if let Some(service) = &instance.service {
                let is_same = |i: &&Instance| i.service.as_ref() == Some(service);
                let kept = chosen.iter().filter(is_same).count();
                let all = self.agents.iter().filter(is_same).count();
                let period = self.idle_period(chosen.len(), kept, all);
                self.open_lane(instance, service, period);
            }
        }
        let listed: collections::HashSet<_> = self.agents.iter().map(|i| i.addr).collect();
        self.chosen = chosen.iter().map(|i| i.addr).collect();
        let is_connected = |member: &Member| member.lane.connection().is_some();
        self.lanes.retain(|addr, member| {
            self.chosen.contains(addr) || !listed.contains(addr) && is_connected(member)
        });
    }

    /// Selects the agents to keep lanes to, as many per service as its subset size.
    fn choose_agents(&self) -> Vec<&Instance> {
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
            let size = self.subset_sizes[*service].size();
            let names = subset::choose(&self.caller.instance, &self.data_centre, members, size);
            let names: collections::HashSet<_> = names.iter().map(|member| member.name).collect();
            let agents = agents.iter().filter(|(name, _)| names.contains(name));
            chosen.extend(agents.map(|(_, instance)| *instance));
        }
        chosen
    }

    /// Returns the idle heartbeat period for `lanes` lanes, if the subset has `kept` of `all`
    /// agents of a service.
    ///
    /// The agents of a service with few targets are in the subset of every entry. With a fixed
    /// period of 2 s, the heartbeats of 350 entries would cost each of them over 100 KB/s. The
    /// period keeps both ends within [`HEARTBEAT_BANDWIDTH`], by the number of listed entries.
    fn idle_period(&self, lanes: usize, kept: usize, all: usize) -> time::Duration {
        let lanes_per_agent = (self.entries.len() * kept).div_ceil(all.max(1));
        let period = subset::heartbeat_period(HEARTBEAT_BANDWIDTH, lanes.max(lanes_per_agent));
        period
            .min(MAX_IDLE_PERIOD)
            .max(self.caller.timing.idle_period)
    }

    fn open_lane(
        &mut self,
        instance: &Instance,
        service: &id::ServiceName,
        period: time::Duration,
    ) {
        let (caller, runtime) = (&self.caller, &self.runtime);
        let member = self.lanes.entry(instance.addr).or_insert_with(|| Member {
            service: service.clone(),
            data_centre: instance.data_centre.clone(),
            lane: links::Lane::open(runtime, instance.addr, caller.clone()),
        });
        member.service = service.clone();
        member.data_centre = instance.data_centre.clone();
        member.lane.set_idle_period(period);
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
