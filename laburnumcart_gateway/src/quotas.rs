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
    dialect,
    metrics,
    view, //
};

/// Time for which a target that is not listed is remembered.
///
/// Entries can lapse with a store that is away and come back after it. What was sent before counts.
const FORGET: time::Duration = time::Duration::from_secs(30);

/// The gates of one target; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Gates {
    /// For requests.
    pub requests: quota::Gate,
    /// For calls of stages and the freeing of their results.
    pub calls: quota::Gate,
}

/// A limit that a target has named.
#[derive(Clone, Copy, Debug)]
struct Limit {
    limit: dialect::Limit,
    since: Instant,
    /// When an answer has named it last.
    confirmed: Instant,
    /// When trials begin, from 0 to 1.
    draw: f64,
    /// Own sends since it was named.
    sends: u64,
}

#[derive(Debug)]
struct Known {
    target: view::Target,
    gates: Gates,
    limit: Option<Limit>,
    listed: Instant,
}

/// What is known of all targets.
#[derive(Debug)]
pub struct Quotas {
    own: id::InstanceName,
    view: Arc<view::View>,
    known: Mutex<collections::HashMap<id::TargetLife, Known>>,
    metrics: metrics::Limits,
}

/// What an answer says, and how far it can be believed.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    /// Limit that it names.
    pub limit: dialect::Limit,
    /// Whether it is a success and answers the request that was sent.
    pub own: bool,
    /// When that request was sent.
    pub sent: Instant,
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
            known: Mutex::default(),
            metrics: metrics.limits.clone(),
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
        if let Some(limit) = known.and_then(|known| known.limit.as_mut()) {
            limit.sends += 1;
            self.metrics.sends.inc();
        }
    }

    /// Takes in what an answer of a target says.
    pub fn note(&self, target: &view::Target, word: Word) {
        let mut all = view::lock(&self.known);
        let now = Instant::now();
        let known = self.known(&mut all, target);
        let last = known.limit;
        let Some(limit) = heed(last, word, now) else {
            return;
        };
        known.limit = limit;
        let heard = |limit: Option<Limit>| limit.map_or(dialect::Limit::None, |l| l.limit);
        if heard(last) == heard(limit) {
            return;
        }
        let lasted = last.map(|last| now - last.since).unwrap_or_default();
        event!(
            Info,
            "target-limit",
            target = target.name,
            service = target.service,
            limit = heard(limit),
            before = heard(last),
            sends = last.map_or(0, |last| last.sends),
            lasted_ms = lasted.as_millis()
        );
        self.bind(known, now);
        let limited = all.values().filter(|known| known.limit.is_some());
        self.metrics.targets.set(limited.count() as i64);
    }

    /// Takes in changes of targets, members and configuration.
    pub fn refresh(&self) {
        let now = Instant::now();
        let targets = self.view.targets.load();
        let mut all = view::lock(&self.known);
        for target in targets.all() {
            let known = self.known(&mut all, target);
            known.target = (**target).clone();
            known.listed = now;
        }
        all.retain(|_, known| now < known.listed + FORGET);
        all.values_mut().for_each(|known| self.bind(known, now));
    }

    fn known<'a>(
        &self,
        all: &'a mut collections::HashMap<id::TargetLife, Known>,
        target: &view::Target,
    ) -> &'a mut Known {
        all.entry(target.key()).or_insert_with(|| {
            let now = Instant::now();
            let known = Known {
                target: target.clone(),
                gates: Gates::default(),
                limit: None,
                listed: now,
            };
            self.bind(&known, now);
            known
        })
    }

    /// Sets the gates of a target by what is known of it.
    fn bind(&self, known: &Known, now: Instant) {
        let bounds = self.bounds(known, now);
        known.gates.requests.set(bounds.0);
        known.gates.calls.set(bounds.1);
    }

    /// Returns the bounds on requests and on calls.
    fn bounds(&self, known: &Known, now: Instant) -> (quota::Bounds, quota::Bounds) {
        let (mut requests, mut calls) = (quota::Bounds::default(), quota::Bounds::default());
        let target = &known.target;
        let until = target.cold.filter(|until| *until > now);
        let named = known.limit.and_then(|limit| match limit.limit {
            dialect::Limit::Named(rate) => Some((rate, limit)),
            dialect::Limit::None | dialect::Limit::Unreadable => None,
        });
        if until.is_none() && named.is_none() {
            return (requests, calls);
        }
        let table = self.view.table.load();
        let service = table.as_ref().and_then(|t| t.service(&target.service));
        let uses = quota::Uses {
            requests: table.as_ref().is_none_or(|t| t.is_routed(&target.service)),
            calls: service.is_some_and(|s| s.batching.is_some()),
        };
        let members = self.view.members.load();
        let members: Vec<_> = members.iter().map(|m| &m.instance).collect();
        let senders = quota::Senders {
            own: &self.own,
            members: &members,
        };
        if let (Some(until), Some(rate)) = (until, service.and_then(|s| s.cold)) {
            let quota = senders.quota(&target.name, uses.requests(rate));
            requests.cold = Some(quota::Bound::new(quota).until(until));
            let quota = quota::Quota::whole(uses.calls(rate));
            calls.cold = Some(quota::Bound::new(quota).until(until));
        }
        if let Some((rate, limit)) = named {
            let (told, draw) = (limit.since, limit.draw);
            let part = senders.limit(&target.name, uses.requests(rate), told, draw);
            requests.limit = Some(part);
            calls.limit = Some(quota::Bound::calls(uses.calls(rate), told));
        }
        (requests, calls)
    }
}

/// Returns what is known of a target's limit after an answer; `None` if that stays as it was.
fn heed(last: Option<Limit>, word: Word, now: Instant) -> Option<Option<Limit>> {
    match (last, word.limit) {
        (None, dialect::Limit::None) => None,
        // Answers overtake each other: one that was on its way before the limit was named ends
        // nothing, and neither does one that may be another request's.
        (Some(last), dialect::Limit::None) => {
            (word.own && word.sent > last.confirmed).then_some(None)
        }
        (Some(last), limit) if limit == last.limit => Some(Some(Limit {
            confirmed: now,
            ..last
        })),
        // What cannot be read takes the place of nothing that was.
        (Some(_), dialect::Limit::Unreadable) => None,
        (_, limit) => Some(Some(Limit {
            limit,
            since: now,
            confirmed: now,
            draw: rand::random(),
            sends: 0,
        })),
    }
}
