//! Routing table of the HTTP ingress: routes by host and path, services, and teams by API key.

use std::{
    collections,
    sync,
    time, //
};

use crate::{
    id,
    unit, //
};

/// Whether a request may be retried after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The request is idempotent and may be retried.
    Any,
    /// The request must execute at most once.
    Never,
    /// The answer is a stream of numbered events that can be resumed after any of them.
    Resume,
}

/// A stage that prepares inputs of the request, made of pieces that are executed in batches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Service that executes the pieces.
    pub service: id::ServiceName,
    /// Indices of the stages whose results are the inputs.
    pub inputs: Vec<usize>,
    /// Approximate size of one result.
    pub result_size: unit::Size,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: id::ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Handling of the requests with one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, from slash to slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry: RetryPolicy,
    /// Whether the answer is an event stream.
    pub stream: bool,
    /// Time limit for the complete answer.
    pub timeout: time::Duration,
    /// Time within which an answer is on time.
    pub objective: time::Duration,
    /// Longest pause between two events of a stream that is on time.
    pub max_gap: Option<time::Duration>,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Largest number of targets to which one attempt of a caller is sent.
    pub max_sends: u32,
    /// Services that execute the request.
    pub backends: Vec<Backend>,
    /// Stages that are executed before the request itself.
    pub stages: Vec<Stage>,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Regions whose targets may execute the requests; all if `None`.
    pub regions: Option<Vec<id::Region>>,
}

impl Route {
    /// Chooses a service by weight, from a random number drawn for the request.
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

    /// Returns the stages whose results are no stage's input; they are the inputs of the request.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let is_last = |i: &usize| !self.stages.iter().any(|s| s.inputs.contains(i));
        (0..self.stages.len()).filter(is_last)
    }
}

/// Batching of the pieces that a target of a service executes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batching {
    /// Largest number of pieces in a call.
    pub pieces: usize,
    /// Duration of a call without its pieces.
    pub call_time: time::Duration,
    /// Duration that each piece adds.
    pub piece_time: time::Duration,
    /// Room for results at a target.
    pub capacity: unit::Size,
    /// Time for which a target keeps a result.
    pub ttl: time::Duration,
}

/// Limits of a model engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Largest number of concurrent requests.
    pub slots: usize,
    /// Tokens that the KV cache holds.
    pub tokens: u64,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: id::ServiceName,
    /// Largest number of connections to a target from all processes together.
    pub connections: usize,
    /// Path at which a target tells that it is alive, if there is one.
    pub probe_path: Option<String>,
    /// Set for services that execute pieces of stages.
    pub batching: Option<Batching>,
    /// Set for services of model engines.
    pub engine: Option<Engine>,
    /// Rate limit of requests to a cold target from all processes together.
    pub cold_rate: Option<unit::Rate>,
}

/// A paying customer, identified by API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name, which is sent to targets.
    pub name: id::TeamName,
    /// Priority rank; overrides the route's.
    pub rank: Option<u8>,
    /// Regions whose targets may execute its requests; all if `None`.
    pub regions: Option<Vec<id::Region>>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest size of a request's head in bytes.
    pub max_head: usize,
    /// Largest size of a request's body in bytes.
    pub max_body: usize,
    /// Longest time for receiving a head.
    pub head_timeout: time::Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    /// Returns the limits for callers while no configuration states others.
    fn default() -> Self {
        Self {
            max_head: 16 << 10,
            max_body: 4 << 20,
            head_timeout: time::Duration::from_secs(5),
            // A caller may reuse a connection that was idle for longer than a shorter limit.
            idle_timeout: time::Duration::from_secs(60),
        }
    }
}

/// Requests that a route selects.
#[derive(Clone, Debug)]
struct Selector {
    prefix: String,
    /// The route; `None` if it cannot be read.
    route: Option<sync::Arc<Route>>,
}

/// Parts of a configuration whose place is not known, because it cannot be read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Strays {
    /// Whether a route has no readable host.
    pub routes: bool,
    /// Whether a service has no readable name.
    pub services: bool,
    /// Whether an API key, or all keys of a team, cannot be read.
    pub keys: bool,
}

/// One version of the configuration.
///
/// A part that cannot be read keeps its place: the requests that it concerns are refused. Left out,
/// it would give them to a wider route, or let them pass without the key or the region that it asks
/// for.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version; increases with each change.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Whether requests need an API key.
    pub requires_key: bool,
    /// Parts that cannot be read and whose place is not known.
    pub strays: Strays,
    /// Number of parts that cannot be read.
    pub refused_parts: usize,
    /// Teams by API key; `None` for a team that cannot be read.
    teams: collections::HashMap<String, Option<Team>>,
    /// Selectors by host, the longest prefix first.
    hosts: collections::HashMap<String, Vec<Selector>>,
    /// Services; `None` for one that cannot be read.
    services: collections::HashMap<id::ServiceName, Option<Service>>,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// No route matches.
    Unknown,
    /// The route that matches, or one that may match, cannot be read.
    Unreadable,
}

/// Why a caller is not admitted to a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoTeam {
    /// The route needs a key, and the caller's is missing or unknown.
    Unauthorized,
    /// The team of the key cannot be read, or the key may be one that cannot be read.
    Unreadable,
}

impl Table {
    /// Creates a table without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            requires_key: false,
            strays: Strays::default(),
            refused_parts: 0,
            teams: collections::HashMap::new(),
            hosts: collections::HashMap::new(),
            services: collections::HashMap::new(),
        }
    }

    /// Adds a route; routes of a host are tried from the longest prefix to the shortest.
    pub fn add_route(&mut self, route: Route) {
        let prefix = route.prefix.clone();
        let selectors = self.hosts.entry(route.host.clone()).or_default();
        let index = selectors.iter().position(|s| s.prefix.len() < prefix.len());
        let index = index.unwrap_or(selectors.len());
        let route = Some(sync::Arc::new(route));
        selectors.insert(index, Selector { prefix, route });
    }

    /// Adds a route that cannot be read, whose requests are refused.
    ///
    /// It comes before a readable route with the same prefix.
    pub fn add_unreadable_route(&mut self, host: impl Into<String>, prefix: impl Into<String>) {
        let prefix = prefix.into();
        let selectors = self.hosts.entry(host.into()).or_default();
        let index = selectors
            .iter()
            .position(|s| s.prefix.len() <= prefix.len());
        let index = index.unwrap_or(selectors.len());
        let route = None;
        selectors.insert(index, Selector { prefix, route });
    }

    /// Adds a service, unless one with its name cannot be read.
    pub fn add_service(&mut self, service: Service) {
        let known = self.services.entry(service.name.clone());
        if let Some(known) = known.or_insert_with(|| Some(service.clone())) {
            *known = service;
        }
    }

    /// Adds a service that cannot be read; what is sent to it is refused.
    pub fn add_unreadable_service(&mut self, name: id::ServiceName) {
        self.services.insert(name, None);
    }

    /// Adds a team's API key; from then on requests need one.
    ///
    /// A key that a team which cannot be read has as well stays refused.
    pub fn add_key(&mut self, key: impl Into<String>, team: Team) {
        self.requires_key = true;
        let known = self.teams.entry(key.into());
        if let Some(known) = known.or_insert_with(|| Some(team.clone())) {
            *known = team;
        }
    }

    /// Adds an API key of a team that cannot be read; requests with it are refused.
    pub fn add_unreadable_key(&mut self, key: impl Into<String>) {
        self.requires_key = true;
        self.teams.insert(key.into(), None);
    }

    /// Returns the route with the longest matching prefix.
    ///
    /// The port and the case of the host are ignored; the path is compared verbatim.
    pub fn find_route(&self, host: &str, path: &str) -> Result<&sync::Arc<Route>, NoRoute> {
        let selectors = self.selectors(host).map_or(&[][..], Vec::as_slice);
        let mut selectors = selectors.iter();
        match selectors.find(|s| path.starts_with(&s.prefix)) {
            Some(selector) => selector.route.as_ref().ok_or(NoRoute::Unreadable),
            None if self.strays.routes => Err(NoRoute::Unreadable),
            None => Err(NoRoute::Unknown),
        }
    }

    /// Reports whether any route has the host.
    pub fn has_host(&self, host: &str) -> bool {
        self.selectors(host).is_some()
    }

    fn selectors(&self, host: &str) -> Option<&Vec<Selector>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(&name.to_ascii_lowercase())
    }

    /// Returns the team of an API key, or `None` without a valid key if the route needs none.
    pub fn find_team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, NoTeam> {
        match key.map(|key| self.teams.get(key)) {
            Some(Some(Some(team))) => Ok(Some(team)),
            Some(Some(None)) => Err(NoTeam::Unreadable),
            Some(None) if self.strays.keys => Err(NoTeam::Unreadable),
            _ if route.anonymous || !self.requires_key => Ok(None),
            _ => Err(NoTeam::Unauthorized),
        }
    }

    /// Returns a team by its name.
    pub fn team(&self, name: &id::TeamName) -> Option<&Team> {
        let mut teams = self.teams.values().flatten();
        teams.find(|team| team.name == *name)
    }

    /// Returns a service.
    pub fn service(&self, name: &id::ServiceName) -> Option<&Service> {
        self.services.get(name)?.as_ref()
    }

    /// Reports whether a service cannot be read, or may be one that cannot be read.
    pub fn is_unreadable(&self, service: &id::ServiceName) -> bool {
        match self.services.get(service) {
            Some(service) => service.is_none(),
            None => self.strays.services,
        }
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().flatten()
    }

    /// Reports whether any route has the service as a backend.
    pub fn is_routed(&self, service: &id::ServiceName) -> bool {
        let mut routes = self.routes();
        routes.any(|route| route.backends.iter().any(|b| b.service == *service))
    }

    /// Returns the number of readable routes.
    pub fn route_count(&self) -> usize {
        self.routes().count()
    }

    fn routes(&self) -> impl Iterator<Item = &sync::Arc<Route>> {
        let selectors = self.hosts.values().flatten();
        selectors.filter_map(|selector| selector.route.as_ref())
    }
}
