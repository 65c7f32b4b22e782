//! State of one gateway that its requests share.

mod availability;

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use tokio::{
    sync::mpsc,
    time::Instant, //
};

use laburnumcart::{
    batch,
    id,
    ingress,
    outlier,
    patience,
    placement,
    quota,
    unit, //
};
use laburnumcart_daemon::stop;

use crate::{
    admission,
    balancer,
    budgets,
    dialect,
    dispatcher,
    engines,
    metrics,
    outbound,
    peers,
    pool,
    quotas,
    settings,
    view, //
};

/// Most routes whose callers' patience is remembered.
const ROUTES_MAX: usize = 4096;

/// One gateway.
pub struct Gateway {
    /// Settings.
    pub settings: settings::Settings,
    /// Control state.
    pub view: Arc<view::View>,
    /// The platform's HTTP.
    pub dialect: Arc<dyn dialect::Dialect>,
    /// Sends to targets.
    pub outbound: Arc<outbound::Outbound>,
    /// Other processes.
    pub peers: peers::Peers,
    /// Budgets of what targets get once more.
    pub budgets: Arc<budgets::Budgets>,
    /// Queues that this process owns.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// Gate of requests.
    pub gate: stop::Gate,
    /// Metrics.
    pub metrics: metrics::Metrics,
    engines: Mutex<collections::HashMap<id::ServiceName, engines::Engines>>,
    balancers: Mutex<collections::HashMap<id::ServiceName, balancer::Balancer>>,
    patience: Mutex<collections::HashMap<String, patience::Patience>>,
    /// Results that the own queues have read, taken by the task that frees them.
    consumed: Mutex<Option<mpsc::UnboundedReceiver<Vec<batch::Handle>>>>,
}

/// A request's place at a target, given up when dropped.
pub struct Seat {
    gateway: Arc<Gateway>,
    service: id::ServiceName,
    /// Target.
    pub target: Arc<view::Target>,
    place: Option<placement::Assignment>,
    start: Instant,
    outcome: Option<outlier::Outcome>,
    read: bool,
}

impl Gateway {
    /// Creates a gateway that knows nothing yet.
    pub fn new(
        settings: settings::Settings,
        view: Arc<view::View>,
        dialect: Arc<dyn dialect::Dialect>,
        gate: stop::Gate,
        metrics: metrics::Metrics,
    ) -> Arc<Self> {
        let own = settings.instance.clone();
        let quotas = quotas::Quotas::new(own.clone(), view.clone(), &metrics);
        let outbound = outbound::Outbound::new(dialect.clone(), quotas);
        let (consumed, receiver) = mpsc::unbounded_channel();
        let budgets = budgets::Budgets::new(settings.bounds, view.clone(), metrics.clone());
        let dispatcher = dispatcher::Dispatcher::new(
            view.clone(),
            outbound.clone(),
            budgets.clone(),
            dialect.clone(),
            metrics.clone(),
            consumed,
        );
        Arc::new(Self {
            peers: peers::Peers::new(own, view.clone(), dispatcher.clone()),
            settings,
            view,
            dialect,
            outbound,
            budgets,
            dispatcher,
            gate,
            metrics,
            engines: Mutex::default(),
            balancers: Mutex::default(),
            patience: Mutex::default(),
            consumed: Mutex::new(Some(receiver)),
        })
    }

    /// Takes in changes of targets until the process ends.
    pub async fn follow(self: Arc<Self>) {
        let mut changes = self.view.subscribe();
        let mut signals = self.outbound.quotas.signals.subscribe();
        let mut sweep = tokio::time::interval(time::Duration::from_secs(1));
        let consumed = view::lock(&self.consumed).take();
        if let Some(consumed) = consumed {
            tokio::spawn(self.clone().pass_read(consumed));
        }
        loop {
            tokio::select! {
                _ = sweep.tick() => {
                    self.outbound.pool.sweep(Instant::now());
                    self.outbound.quotas.sweep();
                }
                _ = changes.changed() => self.refresh(),
                _ = signals.changed() => {
                    self.view.set_leaving(self.outbound.quotas.signals.leaving());
                    self.outbound.quotas.refresh();
                }
            }
        }
    }

    /// Tells the owners that account for the room of results that these were read.
    async fn pass_read(self: Arc<Self>, mut consumed: mpsc::UnboundedReceiver<Vec<batch::Handle>>) {
        while let Some(handles) = consumed.recv().await {
            let targets = self.view.targets.load_full();
            let mut owned: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
            for handle in handles {
                let holder = self.dialect.holder(&handle);
                // A result whose target has gone is gone with it.
                if let Some(target) = holder.and_then(|addr| targets.at(&addr, handle.life)) {
                    owned.entry(&target.service).or_default().push(handle);
                }
            }
            for (service, handles) in owned {
                self.peers.read(service, handles);
            }
        }
    }

    fn refresh(&self) {
        self.dispatcher
            .consolidate(|service| self.peers.is_first(service));
        self.outbound.quotas.refresh();
        let targets = self.view.targets.load();
        let signals = &self.outbound.quotas.signals;
        signals.list_targets(|life| targets.all().any(|target| target.key() == *life));
        for (service, engines) in view::lock(&self.engines).iter_mut() {
            engines.update(targets.service(service), |t| self.gate(t));
        }
        let now = Instant::now();
        for (service, balancer) in view::lock(&self.balancers).iter_mut() {
            balancer.update(targets.service(service), |t| self.gate(t), now);
        }
    }

    /// Returns the gate of requests for a target.
    fn gate(&self, target: &view::Target) -> quota::Limiter {
        self.outbound.quotas.gates(target).requests
    }

    /// Returns where the inputs of a request are best made.
    pub fn near(&self, request: &admission::Request) -> Option<id::DataCentre> {
        let service = request.route.choose_backend(0)?;
        let prompt = request.call.prompt.as_ref()?;
        let mut engines = view::lock(&self.engines);
        let engines = self.engines_of(&mut engines, &request.table, service)?;
        engines
            .fleet
            .preferred_data_centre(&prompt.parts, Instant::now())
    }

    /// Reports whether the target that holds a result is known to have started again since.
    ///
    /// Its next life knows nothing of the result, and might give it out for one of its own.
    pub fn is_lost(&self, handle: &batch::Handle) -> bool {
        let addr = self.dialect.holder(handle);
        let targets = self.view.targets.load();
        addr.is_some_and(|addr| targets.is_replaced(&addr, handle.life))
    }

    /// Chooses a target of a service for a request, whose inputs lie in these data centres.
    pub fn seat(
        self: &Arc<Self>,
        request: &admission::Request,
        service: &id::ServiceName,
        inputs: &[(id::DataCentre, unit::Size)],
        tried: &[id::TargetName],
    ) -> Option<Seat> {
        let now = Instant::now();
        let mut engines = view::lock(&self.engines);
        let known = self.engines_of(&mut engines, &request.table, service);
        let (place, target) = match known {
            Some(engines) => {
                let (place, target) = choose(engines, request, inputs, tried, now)?;
                (Some(place), target)
            }
            None => {
                let places = request.places.as_deref();
                let target = self.balance(service, places, tried, now)?;
                (None, target)
            }
        };
        Some(Seat {
            gateway: self.clone(),
            service: service.clone(),
            target,
            place,
            start: now,
            outcome: None,
            read: false,
        })
    }

    fn engines_of<'a>(
        &self,
        engines: &'a mut collections::HashMap<id::ServiceName, engines::Engines>,
        table: &ingress::Table,
        service: &id::ServiceName,
    ) -> Option<&'a mut engines::Engines> {
        if !engines.contains_key(service) {
            let limits = table.service(service)?.engine?;
            let mut known = engines::Engines::new(limits);
            known.update(self.view.targets.load().service(service), |t| self.gate(t));
            engines.insert(service.clone(), known);
        }
        engines.get_mut(service)
    }

    fn balance(
        &self,
        service: &id::ServiceName,
        places: Option<&[id::DataCentre]>,
        tried: &[id::TargetName],
        now: Instant,
    ) -> Option<Arc<view::Target>> {
        let mut balancers = view::lock(&self.balancers);
        let balancer = balancers.entry(service.clone()).or_insert_with(|| {
            let own = self.settings.data_centre.clone();
            let mut balancer = balancer::Balancer::new(own, now);
            let targets = self.view.targets.load();
            balancer.update(targets.service(service), |t| self.gate(t), now);
            balancer
        });
        balancer.choose(places, tried, now)
    }

    /// Returns how much of its time a caller had spent on a request before this attempt.
    ///
    /// The objective counts from the first attempt.
    pub fn spent(
        &self,
        route: &ingress::Route,
        patience: Option<time::Duration>,
    ) -> time::Duration {
        let Some(patience) = patience else {
            return time::Duration::ZERO;
        };
        let mut known = view::lock(&self.patience);
        if known.len() > ROUTES_MAX {
            known.clear();
        }
        let callers = known.entry(route.name.clone()).or_default();
        callers.estimate_spent(patience).min(route.timeout)
    }

    /// Returns the bounds of an exchange with a target of a service.
    pub fn bounds(&self, request: &admission::Request, service: &id::ServiceName) -> pool::Bounds {
        let known = request.table.service(service);
        let all = known.map_or(1, |s| s.connections);
        let idle = match request.route.retry {
            ingress::RetryPolicy::Never => pool::FRESH,
            _ => time::Duration::from_secs(60),
        };
        pool::Bounds {
            connections: (all / self.view.share()).max(1),
            idle,
        }
    }
}

fn choose(
    engines: &mut engines::Engines,
    request: &admission::Request,
    inputs: &[(id::DataCentre, unit::Size)],
    tried: &[id::TargetName],
    now: Instant,
) -> Option<(placement::Assignment, Arc<view::Target>)> {
    let prompt = request.call.prompt.as_ref();
    let avoid = engines.avoided(tried, request.places.as_deref());
    let ask = placement::Request {
        parts: prompt.map_or(&[], |p| &p.parts),
        tokens: prompt.map_or(0, |p| p.input + p.output),
        inputs,
        avoid: &avoid,
        slack: request.slack(),
    };
    engines.start(&ask, now)
}

impl Seat {
    /// Records the load that the target reports.
    pub fn report(&self, reply: &dialect::Reply) {
        let Some(report) = reply.load else {
            return;
        };
        let now = Instant::now();
        match self.place {
            Some(place) => self.with_engines(|e| e.fleet.record_report(place.engine, report, now)),
            None => self.with_balancer(|b| b.report(&self.target.key(), report, reply.slots, now)),
        }
    }

    /// Records that the target has begun to answer.
    pub fn begin(&mut self) {
        self.read = true;
        if let Some(place) = self.place {
            self.with_engines(|e| e.fleet.record_first_token(place));
        }
    }

    /// Records a whole answer.
    pub fn succeed(&mut self) {
        let taken = Instant::now() - self.start;
        self.outcome = Some(outlier::Outcome::Success(taken));
    }

    /// Records a failure of the target.
    pub fn fail(&mut self) {
        self.outcome = Some(outlier::Outcome::Failure);
    }

    fn with_engines(&self, act: impl FnOnce(&mut engines::Engines)) {
        if let Some(engines) = view::lock(&self.gateway.engines).get_mut(&self.service) {
            act(engines);
        }
    }

    fn with_balancer(&self, act: impl FnOnce(&mut balancer::Balancer)) {
        if let Some(balancer) = view::lock(&self.gateway.balancers).get_mut(&self.service) {
            act(balancer);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let now = Instant::now();
        let failed = self.outcome == Some(outlier::Outcome::Failure);
        match self.place {
            Some(place) => self.with_engines(|e| {
                e.fleet.record_end(place, self.read);
                if failed {
                    e.fleet.record_failure(place.engine, now);
                }
            }),
            None => self.with_balancer(|b| b.end(&self.target.key(), self.outcome, now)),
        }
    }
}
