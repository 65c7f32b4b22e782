//! Gateway state shared by all requests, and the choice of targets.

mod availability;
mod preview;
mod speed;

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
    pace,
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
    crashes,
    dialect,
    dispatcher,
    durations,
    engines,
    metrics,
    origins,
    outbound,
    paces,
    peers,
    pool,
    quotas,
    settings,
    view, //
};

/// Maximum number of routes whose callers' waiting times are remembered.
const ROUTES_MAX: usize = 4096;

/// State of a gateway process.
pub struct Gateway {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Control state, read from the store.
    pub view: Arc<view::View>,
    /// HTTP protocol of the platform.
    pub dialect: Arc<dyn dialect::Dialect>,
    /// Client of the targets.
    pub outbound: Arc<outbound::Outbound>,
    /// Client of the other processes.
    pub peers: Arc<peers::Peers>,
    /// Retry budgets of the services.
    pub budgets: Arc<budgets::Budgets>,
    /// Batch queues that this process owns.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// Origins of streams.
    pub origins: Arc<origins::Origins>,
    /// Usual durations of requests.
    pub durations: durations::Durations,
    /// Counts requests in flight, for the graceful shutdown.
    pub gate: stop::Gate,
    /// Metrics of the process.
    pub metrics: metrics::Metrics,
    engines: Mutex<collections::HashMap<id::ServiceName, engines::Engines>>,
    balancers: Mutex<collections::HashMap<id::ServiceName, balancer::Balancer>>,
    patience: Mutex<collections::HashMap<String, patience::Patience>>,
    /// Receives results that the own queues have read; taken by the task that reports them.
    consumed: Mutex<Option<mpsc::UnboundedReceiver<Vec<batch::Handle>>>>,
}

/// Assignment of a request to a target, which ends when dropped.
pub struct Assignment {
    gateway: Arc<Gateway>,
    service: id::ServiceName,
    /// Chosen target.
    pub target: Arc<view::Target>,
    engine: Option<placement::Assignment>,
    start: Instant,
    outcome: Option<outlier::Outcome>,
    answered: bool,
    pace: pace::Shared,
    kind: pace::Kind,
}

impl Gateway {
    /// Creates a gateway without requests or queues.
    pub fn new(
        settings: settings::Settings,
        view: Arc<view::View>,
        dialect: Arc<dyn dialect::Dialect>,
        gate: stop::Gate,
        metrics: metrics::Metrics,
    ) -> Arc<Self> {
        let own = settings.instance.clone();
        let quotas = quotas::Quotas::new(own.clone(), view.clone(), &metrics);
        if settings.features.pace {
            quotas.paces.enable();
        }
        let budgets = budgets::Budgets::new(settings.bounds, view.clone(), metrics.clone());
        let outbound = outbound::Outbound::new(dialect.clone(), quotas, budgets.clone());
        let (consumed, receiver) = mpsc::unbounded_channel();
        let dispatcher = dispatcher::Dispatcher::new(
            view.clone(),
            outbound.clone(),
            budgets.clone(),
            dialect.clone(),
            metrics.clone(),
            consumed,
        );
        if let Some(shedding) = settings.features.shedding {
            dispatcher.share_by_rank(shedding.floor);
        }
        Arc::new(Self {
            origins: origins::Origins::new(own.clone(), view.clone(), metrics.origins.clone()),
            peers: Arc::new(peers::Peers::new(own, view.clone(), dispatcher.clone())),
            settings,
            view,
            dialect,
            outbound,
            budgets,
            dispatcher,
            durations: durations::Durations::default(),
            gate,
            metrics,
            engines: Mutex::default(),
            balancers: Mutex::default(),
            patience: Mutex::default(),
            consumed: Mutex::new(Some(receiver)),
        })
    }

    /// Applies changes of targets and signals until the process ends.
    pub async fn follow_changes(self: Arc<Self>) {
        let mut changes = self.view.subscribe();
        let mut signals = self.outbound.quotas.signals.subscribe();
        let mut sweep = tokio::time::interval(time::Duration::from_secs(1));
        let mut crashes = tokio::time::interval(crashes::SWEEP_INTERVAL);
        let consumed = view::lock(&self.consumed).take();
        if let Some(consumed) = consumed {
            tokio::spawn(self.clone().report_consumed(consumed));
        }
        tokio::spawn(self.origins.clone().learn_versions());
        tokio::spawn(self.origins.clone().send_copies());
        loop {
            tokio::select! {
                _ = sweep.tick() => {
                    self.outbound.pool.sweep(Instant::now());
                    self.outbound.quotas.update_gauges();
                    self.outbound.quotas.signals.expire_crashes();
                    self.budgets.expire_sends();
                    self.update_speeds();
                }
                _ = crashes.tick() => self.outbound.detector.sweep(),
                _ = changes.changed() => self.apply_changes(),
                _ = signals.changed() => {
                    self.view.set_leaving_targets(self.outbound.quotas.signals.leaving_targets());
                    self.outbound.quotas.refresh();
                }
            }
        }
    }

    /// Reports read results to the queue owners that account for their capacity.
    async fn report_consumed(
        self: Arc<Self>,
        mut consumed: mpsc::UnboundedReceiver<Vec<batch::Handle>>,
    ) {
        while let Some(handles) = consumed.recv().await {
            let targets = self.view.targets.load_full();
            let mut owned: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
            for handle in handles {
                let addr = self.dialect.result_addr(&handle);
                // Results are lost together with their target.
                if let Some(target) = addr.and_then(|addr| targets.find(&addr, handle.life)) {
                    owned.entry(&target.service).or_default().push(handle);
                }
            }
            for (service, handles) in owned {
                self.peers.report_read(service, handles);
            }
        }
    }

    fn apply_changes(&self) {
        self.dispatcher
            .hand_over_moved(|service| self.peers.is_first_owner(service));
        self.outbound.quotas.refresh();
        let targets = self.view.targets.load();
        self.outbound.detector.update_listed(&targets);
        for (service, engines) in view::lock(&self.engines).iter_mut() {
            engines.update_targets(targets.service(service), |t| self.request_limits(t));
        }
        let now = Instant::now();
        for (service, balancer) in view::lock(&self.balancers).iter_mut() {
            balancer.update_targets(targets.service(service), |t| self.request_limits(t), now);
        }
    }

    /// Returns the rate limiter of requests to a target.
    fn request_limiter(&self, target: &view::Target) -> quota::Limiter {
        self.outbound.quotas.limiters(target).requests
    }

    /// Returns what limits the requests to a target.
    fn request_limits(&self, target: &view::Target) -> paces::Limits {
        self.outbound.quotas.limits(target)
    }

    /// Returns the data centre in which the inputs of a request should be produced.
    pub fn preferred_data_centre(&self, request: &admission::Request) -> Option<id::DataCentre> {
        let service = request.route.choose_backend(0)?;
        let prompt = request.call.prompt.as_ref()?;
        let mut engines = view::lock(&self.engines);
        let engines = self.service_engines(&mut engines, &request.table, service)?;
        engines
            .placement
            .preferred_data_centre(&prompt.parts, Instant::now())
    }

    /// Returns whether the target that stores a result is known to have restarted.
    ///
    /// The restarted target doesn't have the result and may reuse its name for another one.
    pub fn is_result_lost(&self, handle: &batch::Handle) -> bool {
        let addr = self.dialect.result_addr(handle);
        let targets = self.view.targets.load();
        addr.is_some_and(|addr| targets.is_replaced(&addr, handle.life))
    }

    /// Chooses a target of a service for a request.
    ///
    /// `inputs` are the sizes of its inputs by data centre.
    pub fn assign_target(
        self: &Arc<Self>,
        request: &admission::Request,
        service: &id::ServiceName,
        inputs: &[(id::DataCentre, unit::Size)],
        eligible: &view::Eligible<'_>,
    ) -> Option<Assignment> {
        let now = Instant::now();
        let mut engines = view::lock(&self.engines);
        let known = self.service_engines(&mut engines, &request.table, service);
        let (place, target) = match known {
            Some(engines) => {
                let (place, target) = choose_engine(engines, request, inputs, eligible, now)?;
                (Some(place), target)
            }
            None => {
                let target = self.choose_balanced(service, eligible, now)?;
                (None, target)
            }
        };
        let kind = match &place {
            Some(place) => pace::Kind::of_prompt(place.uncached_tokens),
            None => pace::Kind::of_route(&request.route.name),
        };
        Some(Assignment {
            pace: self.outbound.quotas.paces.pace(&target),
            kind,
            gateway: self.clone(),
            service: service.clone(),
            target,
            engine: place,
            start: now,
            outcome: None,
            answered: false,
        })
    }

    fn service_engines<'a>(
        &self,
        engines: &'a mut collections::HashMap<id::ServiceName, engines::Engines>,
        table: &ingress::Table,
        service: &id::ServiceName,
    ) -> Option<&'a mut engines::Engines> {
        if !engines.contains_key(service) {
            let limits = table.service(service)?.engine?;
            let mut added = engines::Engines::new(limits);
            added
                .placement
                .set_speed(self.settings.features.target_speed);
            added.update_targets(self.view.targets.load().service(service), |t| {
                self.request_limits(t)
            });
            engines.insert(service.clone(), added);
        }
        engines.get_mut(service)
    }

    fn choose_balanced(
        &self,
        service: &id::ServiceName,
        eligible: &view::Eligible<'_>,
        now: Instant,
    ) -> Option<Arc<view::Target>> {
        let mut balancers = view::lock(&self.balancers);
        let balancer = balancers.entry(service.clone()).or_insert_with(|| {
            let own = self.settings.data_centre.clone();
            let mut balancer = balancer::Balancer::new(own, now);
            balancer.set_speed(self.settings.features.target_speed);
            let targets = self.view.targets.load();
            balancer.update_targets(targets.service(service), |t| self.request_limits(t), now);
            balancer
        });
        balancer.choose(eligible, now)
    }

    /// Returns the time that a caller has spent on earlier attempts of a request.
    ///
    /// The objective counts from the first attempt.
    pub fn spent_before(
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

    /// Returns the connection limits of a request to a target of a service.
    pub fn bounds(&self, request: &admission::Request, service: &id::ServiceName) -> pool::Bounds {
        let known = request.table.service(service);
        let all = known.map_or(1, |s| s.connections);
        let max_idle = match request.route.retry {
            ingress::RetryPolicy::Never => pool::FRESH_IDLE_MAX,
            _ => time::Duration::from_secs(60),
        };
        pool::Bounds {
            max_connections: (all / self.view.member_count()).max(1),
            max_idle,
        }
    }
}

fn choose_engine(
    engines: &mut engines::Engines,
    request: &admission::Request,
    inputs: &[(id::DataCentre, unit::Size)],
    eligible: &view::Eligible<'_>,
    now: Instant,
) -> Option<(placement::Assignment, Arc<view::Target>)> {
    let avoid = engines.excluded(eligible);
    engines.assign(&placement_request(request, inputs, &avoid), now)
}

fn placement_request<'a>(
    request: &'a admission::Request,
    inputs: &'a [(id::DataCentre, unit::Size)],
    avoid: &'a [placement::EngineKey],
) -> placement::Request<'a> {
    let prompt = request.call.prompt.as_ref();
    placement::Request {
        parts: prompt.map_or(&[], |p| &p.parts),
        tokens: prompt.map_or(0, |p| p.input + p.output),
        inputs,
        avoid,
        slack: request.slack(),
    }
}

impl Assignment {
    /// Records the load that the target reported in its response.
    pub fn record_load(&self, head: &dialect::ResponseHead) {
        let Some(report) = head.load else {
            return;
        };
        self.observe(pace::Observation::Report {
            running: report.running.saturating_add(report.waiting),
            slots: head.slots,
        });
        let now = Instant::now();
        match self.engine {
            Some(place) => {
                self.with_engines(|e| e.placement.record_report(place.engine, report, now))
            }
            None => {
                self.with_balancer(|b| b.record_load(&self.target.key(), report, head.slots, now))
            }
        }
        self.record_slowdown(head, now);
    }

    /// Records the start of the response.
    pub fn record_first_byte(&mut self) {
        self.answered = true;
        let paces = &self.gateway.outbound.quotas.paces;
        paces.record_answer(&self.target, &self.pace, self.kind, self.start);
        if let Some(place) = self.engine {
            self.with_engines(|e| e.placement.record_first_token(place));
        }
    }

    /// Records the first event of a stream, whose time tells the speed of the target.
    pub fn record_first_event(&mut self) {
        self.record_first_byte();
        let now = Instant::now();
        if let Some(place) = self.engine {
            let taken = now - self.start;
            self.with_engines(|e| e.placement.record_answer_time(place, taken, now));
        }
    }

    /// Records the mean pause between the events of a complete stream.
    pub fn record_pause(&self, pause: time::Duration) {
        if let Some(place) = self.engine {
            let now = Instant::now();
            self.with_engines(|e| e.placement.record_pause(place.engine, pause, now));
        }
    }

    /// Records a complete response.
    pub fn record_success(&mut self) {
        let duration = Instant::now() - self.start;
        self.outcome = Some(outlier::Outcome::Success(duration));
    }

    /// Records that the target refused the request for lack of capacity.
    pub fn record_refusal(&self) {
        let sent = self.start;
        self.observe(pace::Observation::Refusal { sent });
    }

    /// Records that the target accepted no connection.
    pub fn record_unreached(&self) {
        self.observe(pace::Observation::Lost);
    }

    fn observe(&self, observation: pace::Observation) {
        let paces = &self.gateway.outbound.quotas.paces;
        paces.record(&self.target, &self.pace, observation);
    }

    /// Records a failure of the target.
    pub fn record_failure(&mut self) {
        let sent = self.start;
        self.observe(pace::Observation::Failure { sent });
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

impl Drop for Assignment {
    fn drop(&mut self) {
        let now = Instant::now();
        let failed = self.outcome == Some(outlier::Outcome::Failure);
        match self.engine {
            Some(place) => self.with_engines(|e| {
                e.placement.record_end(place, self.answered);
                if failed {
                    e.placement.record_failure(place.engine, now);
                }
            }),
            None => self.with_balancer(|b| b.record_end(&self.target.key(), self.outcome, now)),
        }
    }
}
