//! Retry budgets of the services.
//!
//! Everything that reaches a target more than once draws on one budget for each service: retried
//! requests, resumed streams, requeued pieces and repeated stages. The budgets of all processes
//! together stay within the operator's limit, see [`laburnumcart::fleet_budget`].

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
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
    retry, //
};
use laburnumcart_daemon::metrics as labels;

use crate::{
    clock,
    metrics,
    settings,
    view, //
};

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

/// Retry budgets, one for each service.
pub struct Budgets {
    view: Arc<view::View>,
    limit: fleet_budget::Limit,
    metrics: metrics::Metrics,
    budgets: Mutex<collections::HashMap<id::ServiceName, budget::Budget>>,
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
            budgets: Mutex::default(),
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
            allowed = format_args!("{:.1}", usage.allowed),
            shut = usage.suspended,
            part = format_args!("{:.3}", self.view.budget_fraction())
        );
    }

    /// Calls `act` with the budget of a service and the present time.
    pub fn with_budget<T>(
        &self,
        service: &id::ServiceName,
        act: impl FnOnce(&mut budget::Budget, Instant) -> T,
    ) -> T {
        let now = self.now();
        let mut budgets = view::lock(&self.budgets);
        let budget = budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| self.limit.budget(now));
        budget.set_reserve(self.limit.reserve(self.view.budget_fraction()));
        act(budget, now)
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
