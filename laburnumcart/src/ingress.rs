//! Routes of the HTTP ingress: which service answers a host and path, and for whom.

use std::{
    collections,
    sync,
    time, //
};

use crate::{
    id,
    unit, //
};

/// What may be done again when an attempt fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The request is idempotent.
    Any,
    /// The request runs at most once.
    Never,
    /// The answer is a stream of numbered events that can be continued after any of them.
    Resume,
}

/// A step that prepares inputs for the request, made of pieces that are executed in batches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Service that executes the pieces.
    pub service: id::ServiceName,
    /// Indices of the stages whose results are its inputs.
    pub inputs: Vec<usize>,
    /// Approximate size of one result.
    pub result_size: unit::Size,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: id::ServiceName,
    /// Share, relative to the other targets of the route.
    pub weight: u32,
}

/// How the requests of one host and path prefix are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that it answers, in lower case.
    pub host: String,
    /// Start of the path, from slash to slash.
    pub prefix: String,
    /// What may be done again.
    pub retry: RetryPolicy,
    /// Whether the answer is an event stream.
    pub stream: bool,
    /// Longest time until the final answer.
    pub timeout: time::Duration,
    /// Time within which an answer is on time.
    pub objective: time::Duration,
    /// Longest pause between two events of an answer that is on time.
    pub max_gap: Option<time::Duration>,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Most targets that one attempt of a caller is sent to.
    pub max_sends: u32,
    /// Services that it goes to.
    pub backends: Vec<Backend>,
    /// Steps before the request itself.
    pub stages: Vec<Stage>,
    /// Whether it needs no key.
    pub anonymous: bool,
    /// Regions whose targets may run it, any if none is named.
    pub regions: Option<Vec<id::Region>>,
}

impl Route {
    /// Chooses a target by a number drawn for the request.
    pub fn choose_backend(&self, draw: u64) -> Option<&id::ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns the stages whose results no other stage takes; their results go to the target.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let taken = |i: &usize| !self.stages.iter().any(|s| s.inputs.contains(i));
        (0..self.stages.len()).filter(taken)
    }
}

/// Batches of pieces that each target of a service executes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batching {
    /// Most pieces in one call.
    pub pieces: usize,
    /// Time that a call takes apart from its pieces.
    pub call_time: time::Duration,
    /// Time that each piece adds.
    pub piece_time: time::Duration,
    /// Room for results at one target.
    pub capacity: unit::Size,
    /// Time that a target keeps a result.
    pub ttl: time::Duration,
}

/// A model engine's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: usize,
    /// Tokens that its KV cache holds.
    pub tokens: u64,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: id::ServiceName,
    /// Most connections to one target from all processes together.
    pub connections: usize,
    /// Set for services that execute pieces of stages.
    pub batching: Option<Batching>,
    /// Set for services of model engines.
    pub engine: Option<Engine>,
    /// Requests in a second that a target bears while it is cold, from all processes together.
    pub cold_rate: Option<unit::Rate>,
}

/// A paying customer, as found by a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name that targets are told.
    pub name: id::TeamName,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
    /// Regions whose targets may run its requests, any if none is named.
    pub regions: Option<Vec<id::Region>>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub max_head: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: time::Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: time::Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version; grows with each change.
    pub version: u64,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// Whether requests need a key.
    pub requires_key: bool,
    teams: collections::HashMap<String, Team>,
    hosts: collections::HashMap<String, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<id::ServiceName, Service>,
}

/// Why a request belongs to no team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unauthorized;

impl Table {
    /// Creates a table without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            requires_key: false,
            teams: collections::HashMap::new(),
            hosts: collections::HashMap::new(),
            services: collections::HashMap::new(),
        }
    }

    /// Adds a route; the longest prefix of a host goes first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let shorter = |other: &sync::Arc<Route>| other.prefix.len() < route.prefix.len();
        let place = routes.iter().position(shorter).unwrap_or(routes.len());
        routes.insert(place, sync::Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds a team's key; from then on requests need one.
    pub fn add_key(&mut self, key: impl Into<String>, team: Team) {
        self.requires_key = true;
        self.teams.insert(key.into(), team);
    }

    /// Returns the route of a host and path.
    ///
    /// The host is compared without its port and its case; the path as it is.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the team of a request on `route`; `None` where it needs none.
    pub fn find_team(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Team>, Unauthorized> {
        let team = key.and_then(|key| self.teams.get(key));
        match team {
            Some(team) => Ok(Some(team)),
            None if route.anonymous || !self.requires_key => Ok(None),
            None => Err(Unauthorized),
        }
    }

    /// Returns a service.
    pub fn service(&self, name: &id::ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Lists the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Reports whether a route sends requests to a service.
    pub fn is_routed(&self, service: &id::ServiceName) -> bool {
        let mut routes = self.hosts.values().flatten();
        routes.any(|route| route.backends.iter().any(|b| b.service == *service))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
