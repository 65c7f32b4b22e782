//! Rate limits of targets, and this process's share of them.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    quota, //
};

use crate::{
    metrics,
    paces,
    relay::signals,
    view, //
};

/// Time for which the state of a target that is no longer listed is kept.
///
/// Entries can expire during an outage of the store and return after it. Requests that were sent
/// before then still count against the rate limit.
const UNLISTED_TTL: time::Duration = time::Duration::from_secs(30);

/// Longest backoff that is accepted from a target, so that an absurd value does not exclude it
/// for good.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(600);

/// Rate limiters of one target; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Limiters {
    /// Limiter of requests.
    pub requests: quota::Limiter,
    /// Limiter of batch calls and of calls that free results.
    pub calls: quota::Limiter,
}

#[derive(Debug)]
struct TargetState {
    target: view::Target,
    limiters: Limiters,
    /// Rate limit in force.
    limit: quota::Limit,
    /// When the limit came into force.
    since: Instant,
    /// Sends of this process since then.
    sends: u64,
    /// End of the backoff that the target asked this process for.
    backoff: Option<Instant>,
    /// Whether the target answers nothing, not even status checks.
    silent: bool,
    last_listed: Instant,
}

impl TargetState {
    /// Returns the bound that stops all sends, if the target is leaving, silent or asked for a
    /// backoff.
    fn closed_bound(&self, target_limit: &quota::TargetLimit) -> Option<quota::Bound> {
        let closed = quota::Bound::blocked();
        match self.silent || target_limit.leaving_since().is_some() {
            true => Some(closed),
            false => self.backoff.map(|until| closed.until(until)),
        }
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff.is_some_and(|until| now < until)
    }
}

/// Rate limiters of all targets.
#[derive(Debug)]
pub struct Quotas {
    instance: id::InstanceName,
    view: Arc<view::View>,
    /// Limits, departures and failures of targets that are shared between processes.
    pub signals: Arc<signals::Signals>,
    /// Paces of targets that have just started or recovered.
    pub paces: paces::Paces,
    states: Mutex<collections::HashMap<id::TargetLife, TargetState>>,
    metrics: metrics::TargetMetrics,
}

impl Quotas {
    /// Creates the quotas of the instance `own`.
    pub fn new(
        own: id::InstanceName,
        view: Arc<view::View>,
        metrics: &metrics::Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            paces: paces::Paces::new(own.clone(), view.clone(), metrics.pace.clone()),
            instance: own,
            view,
            signals: Arc::new(signals::Signals::new(metrics.crashes.clone())),
            states: Mutex::default(),
            metrics: metrics.targets.clone(),
        })
    }

    /// Returns the control state.
    pub fn view(&self) -> &Arc<view::View> {
        &self.view
    }

    /// Returns the limiters of a target.
    pub fn limiters(&self, target: &view::Target) -> Limiters {
        let mut states = view::lock(&self.states);
        self.target_state(&mut states, target).limiters.clone()
    }

    /// Returns what limits the requests to a target.
    pub fn limits(&self, target: &view::Target) -> paces::Limits {
        paces::Limits {
            limiter: self.limiters(target).requests,
            pace: self.paces.pace(target),
        }
    }

    /// Counts a send to a target with a rate limit.
    pub fn record_send(&self, target: &view::Target) {
        let mut states = view::lock(&self.states);
        let state = states.get_mut(&target.key());
        if let Some(state) = state.filter(|state| state.limit != quota::Limit::None) {
            state.sends += 1;
            self.metrics.limited_sends.inc();
        }
    }

    /// Records that a target has announced in a response that it is leaving.
    pub fn record_leaving(&self, target: &view::Target) {
        if self.signals.record_leaving(&target.key()) {
            // The list of targets changes later; work that is assigned until then must not go to
            // this target either.
            let mut states = view::lock(&self.states);
            let state = self.target_state(&mut states, target);
            self.update_limiters(state, Instant::now());
            event!(
                Info,
                "target-leaving",
                target = target.name,
                life = target.life,
                service = target.service,
                listed = target.leaving
            );
        }
    }

    /// Records that a target has refused a request and asked for a backoff of `wait`.
    ///
    /// A shorter backoff that the target asks for later does not end a longer one.
    pub fn back_off(&self, target: &view::Target, wait: time::Duration) {
        let now = Instant::now();
        let until = now + wait.min(BACKOFF_MAX);
        let mut states = view::lock(&self.states);
        let state = self.target_state(&mut states, target);
        let was_backing_off = state.is_backing_off(now);
        state.backoff = state.backoff.max(Some(until));
        self.update_limiters(state, now);
        if !was_backing_off {
            event!(
                Info,
                "target-backoff",
                target = target.name,
                service = target.service,
                wait_ms = wait.as_millis()
            );
        }
        self.set_gauges(&states, now);
    }

    /// Records that a target answers nothing, or that it has answered again.
    ///
    /// Requests sent to it meanwhile would wait there, and arrive all at once if it goes on.
    pub fn set_silent(&self, target: &view::Target, silent: bool) {
        if silent {
            self.paces.record_silent(target);
        }
        let mut states = view::lock(&self.states);
        let state = self.target_state(&mut states, target);
        state.silent = silent;
        self.update_limiters(state, Instant::now());
        event!(
            Info,
            "target-silent",
            target = target.name,
            life = target.life,
            service = target.service,
            silent = silent
        );
    }

    /// Reports whether a target answers nothing, not even status checks.
    pub fn is_silent(&self, target: &view::Target) -> bool {
        let states = view::lock(&self.states);
        states.get(&target.key()).is_some_and(|state| state.silent)
    }

    /// Reports whether a target accepts nothing at present, because it is leaving, silent or asked
    /// for a backoff.
    pub fn is_closed(&self, target: &view::Target) -> bool {
        let limiters = self.limiters(target);
        limiters.requests.is_backing_off(Instant::now())
    }

    /// Reports whether the rate limits of a target leave room for a status check, and counts it.
    pub fn can_probe(&self, target: &view::Target) -> bool {
        let limiter = self.limiters(target).requests;
        let can_send = limiter.can_send(Instant::now());
        if can_send {
            limiter.record_send(Instant::now());
            self.record_send(target);
        }
        can_send
    }

    /// Records the rate limit that a target advertises in a response.
    pub fn record_limit(&self, target: &view::Target, observation: quota::Observation) {
        if !self.signals.record_limit(&target.key(), observation) {
            return;
        }
        let mut states = view::lock(&self.states);
        let state = self.target_state(&mut states, target);
        let now = Instant::now();
        self.update_limiters(state, now);
        self.set_gauges(&states, now);
    }

    /// Updates all limiters after a change of targets, members, configuration or rate limits.
    pub fn refresh(&self) {
        self.paces.refresh();
        let now = Instant::now();
        let targets = self.view.targets.load();
        let mut states = view::lock(&self.states);
        for target in targets.all() {
            let state = self.target_state(&mut states, target);
            state.target = (**target).clone();
            state.last_listed = now;
        }
        states
            .retain(|_, state| now < state.last_listed + UNLISTED_TTL || state.is_backing_off(now));
        states
            .values_mut()
            .for_each(|state| self.update_limiters(state, now));
        self.set_gauges(&states, now);
    }

    fn set_gauges(&self, states: &collections::HashMap<id::TargetLife, TargetState>, now: Instant) {
        let limited = states.values().filter(|k| k.limit != quota::Limit::None);
        self.metrics.limited.set(limited.count() as i64);
        let is_cold =
            |state: &&TargetState| state.target.cold_until.is_some_and(|until| now < until);
        let cold = states.values().filter(is_cold);
        self.metrics.cold.set(cold.count() as i64);
        let is_backing_off = |state: &&TargetState| state.is_backing_off(now);
        let backing_off = states.values().filter(is_backing_off);
        self.metrics.backing_off.set(backing_off.count() as i64);
        let leaving = states.values().filter(|state| state.target.leaving);
        self.metrics.leaving.set(leaving.count() as i64);
        let evacuated = self.view.evacuated().unwrap_or_default();
        self.metrics.evacuated.set(evacuated.len() as i64);
    }

    /// Updates the gauges of states that end with time.
    pub fn update_gauges(&self) {
        self.paces.update_gauges();
        self.set_gauges(&view::lock(&self.states), Instant::now());
    }

    fn target_state<'a>(
        &self,
        states: &'a mut collections::HashMap<id::TargetLife, TargetState>,
        target: &view::Target,
    ) -> &'a mut TargetState {
        states.entry(target.key()).or_insert_with(|| {
            let now = Instant::now();
            let mut state = TargetState {
                target: target.clone(),
                limiters: Limiters::default(),
                limit: quota::Limit::None,
                since: now,
                sends: 0,
                backoff: None,
                silent: false,
                last_listed: now,
            };
            self.update_limiters(&mut state, now);
            state
        })
    }

    /// Sets the limiters of a target to the bounds that apply to it.
    fn update_limiters(&self, state: &mut TargetState, now: Instant) {
        let target_limit = self.signals.get(&state.target.key());
        let (mut requests, mut calls) =
            self.shared_bounds(&state.target, target_limit.advertised(), now);
        let closed = state.closed_bound(&target_limit);
        requests.backoff = closed;
        calls.backoff = closed;
        state.limiters.requests.set_bounds(requests);
        state.limiters.calls.set_bounds(calls);
        let limit = target_limit.limit();
        if limit == state.limit {
            return;
        }
        event!(
            Info,
            "target-limit",
            target = state.target.name,
            service = state.target.service,
            limit = limit,
            before = state.limit,
            sends = state.sends,
            lasted_ms = (now - state.since).as_millis(),
            part = state.limiters.requests.rate(now).unwrap_or_default()
        );
        state.limit = limit;
        state.since = now;
        state.sends = 0;
    }

    /// Returns this process's shares of the bounds on requests and on calls to a target.
    fn shared_bounds(
        &self,
        target: &view::Target,
        advertised: Option<&quota::Advertised>,
        now: Instant,
    ) -> (quota::Bounds, quota::Bounds) {
        let (mut requests, mut calls) = (quota::Bounds::default(), quota::Bounds::default());
        let until = target.cold_until.filter(|until| *until > now);
        if until.is_none() && advertised.is_none() {
            return (requests, calls);
        }
        let table = self.view.table.load();
        let service = table.as_ref().and_then(|t| t.service(&target.service));
        let uses = quota::TrafficKinds {
            requests: table.as_ref().is_none_or(|t| t.is_routed(&target.service)),
            calls: service.is_some_and(|s| s.batching.is_some()),
        };
        let members = self.view.members.load();
        // Members that do not know this process divide the whole rate among themselves.
        let is_counted =
            |name: &&id::InstanceName| **name != self.instance || self.view.is_listed();
        let members: Vec<_> = members
            .iter()
            .map(|m| &m.instance)
            .filter(is_counted)
            .collect();
        let senders = quota::Senders {
            own: &self.instance,
            members: &members,
        };
        if let (Some(until), Some(rate)) = (until, service.and_then(|s| s.cold_rate)) {
            let bound = senders.cold_bound(&target.name, uses.request_rate(rate));
            requests.cold = Some(bound.until(until));
            let quota = quota::Quota::from_rate(uses.call_rate(rate));
            calls.cold = Some(quota::Bound::new(quota).until(until));
        }
        if let Some(advertised) = advertised {
            let rate = uses.request_rate(advertised.rate);
            requests.advertised = Some(senders.advertised_bound(&target.name, rate, advertised));
            calls.advertised = Some(quota::Bound::for_calls(
                uses.call_rate(advertised.rate),
                advertised.since,
            ));
        }
        (requests, calls)
    }
}
