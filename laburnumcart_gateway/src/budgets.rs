//! Retry budgets of the services.
//!
//! Everything that reaches a target more than once draws on one budget for each service: retried
//! requests, resumed streams, requeued pieces and repeated stages. The budgets of all processes
//! together stay within the operator's limit, see [`laburnumcart::fleet_budget`].

pub mod pieces;
mod sends;

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time, //
};

use derive_more::Display;
use prometheus_client::encoding::EncodeLabelSet;
use tokio::time::Instant;

use laburnumcart::{
    budget,
    event,
    fleet_budget,
    freshness,
    id,
    retry,
    unsettled, //
};
use laburnumcart_daemon::metrics as labels;

use crate::{
    clock,
    metrics,
    settings,
    view, //
};

pub use self::sends::RequestSends;

/// Time from the charge of a repeat to its arrival from which it counts as late.
const LATE_MIN: time::Duration = time::Duration::from_secs(1);

/// Kind of a repeat.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum RepeatKind {
    /// A request is retried.
    Request,
    /// A stream is resumed.
    Stream,
    /// Pieces are requeued because a call did not return their results.
    Pieces,
    /// A stage is run again because its results or its queue owner are gone.
    Stage,
}

impl labels::ClosedSet for RepeatKind {}

/// Decision on a repeat.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Outcome {
    /// The repeat is sent.
    Granted,
    /// The repeat is not sent.
    Denied,
}

impl labels::ClosedSet for Outcome {}

/// Labels of the counter of repeats.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Labels {
    /// Kind of the repeat; this is the name of the label.
    pub way: labels::Label<RepeatKind>,
    /// Decision.
    pub outcome: labels::Label<Outcome>,
}

/// Work that would be sent to a target again.
#[derive(Clone, Copy, Debug)]
pub struct Repeat<'a> {
    /// Identifier of the caller's attempt.
    pub attempt: &'a str,
    /// Service of the target.
    pub service: &'a id::ServiceName,
    /// Kind of the repeat.
    pub kind: RepeatKind,
    /// Number of repeated arrivals at targets.
    pub count: u32,
}

/// Labels of the metrics of unsettled sends.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// Service of the targets.
    pub service: String,
}

/// Retry budget of one service and the sends that it waits for.
struct ServiceBudget {
    budget: budget::Budget,
    sends: unsettled::Sends,
}

/// Retry budgets, one for each service.
pub struct Budgets {
    view: Arc<view::View>,
    limit: fleet_budget::Limit,
    metrics: metrics::Metrics,
    services: Mutex<collections::HashMap<id::ServiceName, ServiceBudget>>,
    /// Whether any send is unsettled.
    has_unsettled: atomic::AtomicBool,
    /// The same moment on the runtime's clock and on the boot-time clock.
    clock_anchor: (Instant, freshness::BootTime),
}

impl Budgets {
    /// Creates budgets without requests or repeats.
    pub fn new(
        bounds: settings::Bounds,
        view: Arc<view::View>,
        metrics: metrics::Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            limit: fleet_budget::Limit {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
            },
            metrics,
            services: Mutex::default(),
            has_unsettled: atomic::AtomicBool::new(false),
            clock_anchor: (Instant::now(), clock::now()),
        })
    }

    /// Records the first arrival of a request at a service.
    pub fn record_request(&self, service: &id::ServiceName) {
        self.with_budget(service, |budget, now| budget.deposit(now));
    }

    /// Charges a repeat to the budget of its service; returns whether it may be sent.
    pub fn try_spend(&self, repeat: &Repeat<'_>) -> bool {
        let granted = self.with_budget(repeat.service, |budget, now| {
            budget.try_spend_all(repeat.count, now) //
        });
        let outcome = match granted {
            true => Outcome::Granted,
            false => Outcome::Denied,
        };
        self.record_decision(repeat, outcome, retry::Cause::Budget);
        granted
    }

    /// Logs and counts a decision on a repeat.
    pub fn record_decision(&self, repeat: &Repeat<'_>, outcome: Outcome, cause: retry::Cause) {
        let key = Labels {
            way: labels::Label(repeat.kind),
            outcome: labels::Label(outcome),
        };
        let counter = self.metrics.repeats.get_or_create(&key).clone();
        counter.inc_by(repeat.count.into());
        let usage = self.with_budget(repeat.service, |budget, now| budget.usage(now));
        // `shut` tells that the budget is suspended, `part` this process's fraction of it.
        event!(
            Info,
            "repeat",
            request = repeat.attempt,
            service = repeat.service,
            way = repeat.kind,
            count = repeat.count,
            outcome = outcome,
            cause = cause,
            spent = usage.spent,
            held = usage.held,
            allowed = format_args!("{:.1}", usage.allowed),
            shut = usage.suspended,
            part = format_args!("{:.3}", self.view.budget_fraction())
        );
    }

    /// Logs and counts a repeat that reached its target long after it was charged.
    fn record_late(
        &self,
        attempt: &str,
        service: &id::ServiceName,
        target: &id::TargetLife,
        delay: time::Duration,
    ) {
        if delay < LATE_MIN {
            return;
        }
        event!(
            Info,
            "repeat-late",
            request = attempt,
            service = service,
            target = target.name,
            life = target.life,
            delay_ms = delay.as_millis()
        );
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        let metrics = &self.metrics.unsettled;
        metrics.late.get_or_create(&labels).inc();
    }

    /// Records that a target answered a request that was sent at `sent`.
    pub fn settle(&self, target: &id::TargetLife, sent: Instant) {
        if !self.has_unsettled.load(atomic::Ordering::Acquire) {
            return;
        }
        let now = self.now();
        let sent = now.checked_sub(sent.elapsed()).unwrap_or(now);
        let mut settled = 0;
        for service in view::lock(&self.services).values_mut() {
            let ServiceBudget { budget, sends } = service;
            let before = budget.usage(now).held;
            sends.settle(target, sent, budget, now);
            settled += before.saturating_sub(budget.usage(now).held);
        }
        if settled > 0 {
            event!(
                Info,
                "sends-settled",
                target = target.name,
                life = target.life,
                repeats = settled
            );
            self.count_unsettled();
        }
    }

    /// Ends the sends to targets that have ended, and those that are too old.
    pub fn expire_sends(&self) {
        if !self.has_unsettled.load(atomic::Ordering::Acquire) {
            return;
        }
        let targets = self.view.targets.load();
        let lives: collections::HashMap<_, _> =
            targets.all().map(|t| (t.name.clone(), t.life)).collect();
        // An entry that is gone does not tell that the process has ended: one that stands still
        // loses its entry as well.
        let is_replaced =
            |target: &id::TargetLife| lives.get(&target.name).is_some_and(|l| *l != target.life);
        let now = self.now();
        for (name, service) in view::lock(&self.services).iter_mut() {
            let ServiceBudget { budget, sends } = service;
            for expired in sends.expire(is_replaced, budget, now) {
                event!(
                    Info,
                    "sends-ended",
                    service = name,
                    target = expired.target.name,
                    life = expired.target.life,
                    cause = expired.cause,
                    repeats = expired.repeats
                );
            }
        }
        self.count_unsettled();
    }

    /// Counts sends that were given up without a sign of their target.
    fn count_given_up(&self, service: &id::ServiceName, count: u32) {
        let labels = ServiceLabels {
            service: service.to_string(),
        };
        let counter = self.metrics.unsettled.given_up.get_or_create(&labels);
        counter.inc_by(count.into());
    }

    /// Sets the gauges of unsettled sends.
    fn count_unsettled(&self) {
        let now = self.now();
        let mut has_any = false;
        for (name, service) in view::lock(&self.services).iter() {
            let (count, oldest) = service.sends.summary();
            let age = oldest.map_or(time::Duration::ZERO, |o| now.saturating_duration_since(o));
            has_any |= !service.sends.is_empty();
            let labels = ServiceLabels {
                service: name.to_string(),
            };
            let metrics = &self.metrics.unsettled;
            metrics.sends.get_or_create(&labels).set(count as i64);
            metrics.age.get_or_create(&labels).set(age.as_secs_f64());
        }
        self.has_unsettled.store(has_any, atomic::Ordering::Release);
    }

    /// Calls `act` with the budget of a service and the present time.
    pub fn with_budget<T>(
        &self,
        service: &id::ServiceName,
        act: impl FnOnce(&mut budget::Budget, Instant) -> T,
    ) -> T {
        self.with_service(service, |service, now| act(&mut service.budget, now))
    }

    fn with_service<T>(
        &self,
        service: &id::ServiceName,
        act: impl FnOnce(&mut ServiceBudget, Instant) -> T,
    ) -> T {
        let now = self.now();
        let mut services = view::lock(&self.services);
        let known = services.entry(service.clone());
        let known = known.or_insert_with(|| ServiceBudget {
            budget: self.limit.budget(now),
            sends: unsettled::Sends::default(),
        });
        let reserve = self.limit.reserve(self.view.budget_fraction());
        known.budget.set_reserve(reserve);
        act(known, now)
    }

    /// Returns the present time on a clock that includes suspended time.
    ///
    /// The runtime's clock stops during a suspension, so requests from before it would still pay
    /// for repeats after it.
    fn now(&self) -> Instant {
        let (instant, moment) = self.clock_anchor;
        instant + clock::now().since(moment)
    }
}
