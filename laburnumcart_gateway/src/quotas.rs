//! What targets take, as their entries and answers tell, and this process's part of it.

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
    relay::signals,
    view, //
};

/// Time for which a target that is not listed is remembered.
///
/// Entries can lapse with a store that is away and come back after it. What was sent before counts.
const FORGET: time::Duration = time::Duration::from_secs(30);

/// Longest time for which a target can ask for no requests, so that a senseless one does not shut it
/// out for ever.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(600);

/// The gates of one target; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Gates {
    /// For requests.
    pub requests: quota::Limiter,
    /// For calls of stages and the freeing of their results.
    pub calls: quota::Limiter,
}

#[derive(Debug)]
struct Known {
    target: view::Target,
    gates: Gates,
    /// Limit that the gates hold to.
    limit: quota::Limit,
    /// When that came into force, and the own sends since.
    since: Instant,
    sends: u64,
    /// Moment until which the target wants nothing from this process.
    backoff: Option<Instant>,
    listed: Instant,
}

impl Known {
    /// Returns the bound on a target that takes nothing.
    fn closed(&self, heard: &quota::TargetLimit) -> Option<quota::Bound> {
        let closed = quota::Bound::blocked();
        match heard.leaving_since() {
            Some(_) => Some(closed),
            None => self.backoff.map(|until| closed.until(until)),
        }
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff.is_some_and(|until| now < until)
    }
}

/// The gates of all targets.
#[derive(Debug)]
pub struct Quotas {
    own: id::InstanceName,
    view: Arc<view::View>,
    /// What targets have said of themselves.
    pub signals: Arc<signals::Signals>,
    known: Mutex<collections::HashMap<id::TargetLife, Known>>,
    metrics: metrics::Held,
}

impl Quotas {
    /// Creates the quotas of the process `own`.
    pub fn new(
        own: id::InstanceName,
        view: Arc<view::View>,
        metrics: &metrics::Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            own,
            view,
            signals: Arc::default(),
            known: Mutex::default(),
            metrics: metrics.held.clone(),
        })
    }

    /// Returns the gates of a target.
    pub fn gates(&self, target: &view::Target) -> Gates {
        let mut known = view::lock(&self.known);
        self.known(&mut known, target).gates.clone()
    }

    /// Counts a send to a target.
    pub fn count(&self, target: &view::Target) {
        let mut known = view::lock(&self.known);
        let known = known.get_mut(&target.key());
        if let Some(known) = known.filter(|known| known.limit != quota::Limit::None) {
            known.sends += 1;
            self.metrics.sends.inc();
        }
    }

    /// Takes in that an answer of a target says that it is leaving.
    pub fn leave(&self, target: &view::Target) {
        if self.signals.leave(&target.key()) {
            // Work that is placed before the list of targets has changed must not go there either.
            let mut all = view::lock(&self.known);
            let known = self.known(&mut all, target);
            self.bind(known, Instant::now());
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

    /// Takes in that a target has refused a request and wants no other from this process for so long.
    ///
    /// A shorter time that it names later does not take back the longer one.
    pub fn back_off(&self, target: &view::Target, wait: time::Duration) {
        let now = Instant::now();
        let until = now + wait.min(BACKOFF_MAX);
        let mut all = view::lock(&self.known);
        let known = self.known(&mut all, target);
        let was_backing_off = known.is_backing_off(now);
        known.backoff = known.backoff.max(Some(until));
        self.bind(known, now);
        if !was_backing_off {
            event!(
                Info,
                "target-backoff",
                target = target.name,
                service = target.service,
                wait_ms = wait.as_millis()
            );
        }
        self.measure(&all, now);
    }

    /// Reports whether a target takes nothing now, as it has said itself.
    pub fn is_closed(&self, target: &view::Target) -> bool {
        let gates = self.gates(target);
        gates.requests.is_backing_off(Instant::now())
    }

    /// Takes in what an answer of a target says of its limit.
    pub fn note(&self, target: &view::Target, word: quota::Observation) {
        if !self.signals.answer(&target.key(), word) {
            return;
        }
        let mut all = view::lock(&self.known);
        let known = self.known(&mut all, target);
        let now = Instant::now();
        self.bind(known, now);
        self.measure(&all, now);
    }

    /// Takes in changes of targets, members, configuration and limits.
    pub fn refresh(&self) {
        let now = Instant::now();
        let targets = self.view.targets.load();
        let mut all = view::lock(&self.known);
        for target in targets.all() {
            let known = self.known(&mut all, target);
            known.target = (**target).clone();
            known.listed = now;
        }
        all.retain(|_, known| now < known.listed + FORGET || known.is_backing_off(now));
        all.values_mut().for_each(|known| self.bind(known, now));
        self.measure(&all, now);
    }

    fn measure(&self, all: &collections::HashMap<id::TargetLife, Known>, now: Instant) {
        let limited = all.values().filter(|k| k.limit != quota::Limit::None);
        self.metrics.limited.set(limited.count() as i64);
        let is_cold = |known: &&Known| known.target.cold.is_some_and(|until| now < until);
        let cold = all.values().filter(is_cold);
        self.metrics.cold.set(cold.count() as i64);
        let is_backing_off = |known: &&Known| known.is_backing_off(now);
        let backing_off = all.values().filter(is_backing_off);
        self.metrics.backing_off.set(backing_off.count() as i64);
        let leaving = all.values().filter(|known| known.target.leaving);
        self.metrics.leaving.set(leaving.count() as i64);
        let evacuated = self.view.evacuated().unwrap_or_default();
        self.metrics.evacuated.set(evacuated.len() as i64);
    }

    /// Counts anew what ends by itself.
    pub fn sweep(&self) {
        self.measure(&view::lock(&self.known), Instant::now());
    }

    fn known<'a>(
        &self,
        all: &'a mut collections::HashMap<id::TargetLife, Known>,
        target: &view::Target,
    ) -> &'a mut Known {
        all.entry(target.key()).or_insert_with(|| {
            let now = Instant::now();
            let mut known = Known {
                target: target.clone(),
                gates: Gates::default(),
                limit: quota::Limit::None,
                since: now,
                sends: 0,
                backoff: None,
                listed: now,
            };
            self.bind(&mut known, now);
            known
        })
    }

    /// Sets the gates of a target by what is known of it.
    fn bind(&self, known: &mut Known, now: Instant) {
        let heard = self.signals.heard(&known.target.key());
        let (mut requests, mut calls) = self.shares(&known.target, heard.advertised(), now);
        let closed = known.closed(&heard);
        requests.backoff = closed;
        calls.backoff = closed;
        known.gates.requests.set_bounds(requests);
        known.gates.calls.set_bounds(calls);
        let limit = heard.limit();
        if limit == known.limit {
            return;
        }
        event!(
            Info,
            "target-limit",
            target = known.target.name,
            service = known.target.service,
            limit = limit,
            before = known.limit,
            sends = known.sends,
            lasted_ms = (now - known.since).as_millis(),
            part = known.gates.requests.rate(now).unwrap_or_default()
        );
        known.limit = limit;
        known.since = now;
        known.sends = 0;
    }

    /// Returns the bounds on requests and on calls, this process's parts of what all may send.
    fn shares(
        &self,
        target: &view::Target,
        named: Option<&quota::Advertised>,
        now: Instant,
    ) -> (quota::Bounds, quota::Bounds) {
        let (mut requests, mut calls) = (quota::Bounds::default(), quota::Bounds::default());
        let until = target.cold.filter(|until| *until > now);
        if until.is_none() && named.is_none() {
            return (requests, calls);
        }
        let table = self.view.table.load();
        let service = table.as_ref().and_then(|t| t.service(&target.service));
        let uses = quota::TrafficKinds {
            requests: table.as_ref().is_none_or(|t| t.is_routed(&target.service)),
            calls: service.is_some_and(|s| s.batching.is_some()),
        };
        let members = self.view.members.load();
        let members: Vec<_> = members.iter().map(|m| &m.instance).collect();
        let senders = quota::Senders {
            own: &self.own,
            members: &members,
        };
        if let (Some(until), Some(rate)) = (until, service.and_then(|s| s.cold_rate)) {
            let quota = senders.quota(&target.name, uses.request_rate(rate));
            requests.cold = Some(quota::Bound::new(quota).until(until));
            let quota = quota::Quota::from_rate(uses.call_rate(rate));
            calls.cold = Some(quota::Bound::new(quota).until(until));
        }
        if let Some(named) = named {
            let part = uses.request_rate(named.rate);
            requests.advertised = Some(senders.advertised_bound(&target.name, part, named));
            calls.advertised = Some(quota::Bound::for_calls(
                uses.call_rate(named.rate),
                named.since,
            ));
        }
        (requests, calls)
    }
}
