//! What targets get beyond the first arrival of each request, and what allows it.
//!
//! All ways that lead to a target a second time draw on one budget a service: a request that is
//! sent again, a stream that is resumed, a piece of a stage that has failed, and a stage that is
//! run again. The budgets of all processes together stay within the operator's bound, see
//! [`laburnumcart::fleet_budget`].

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
use laburnumcart_daemon::metrics as registry;

use crate::{
    clock,
    metrics,
    settings,
    view, //
};

/// How something reaches a target once more.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Way {
    /// A request is sent again.
    Request,
    /// A stream is resumed.
    Stream,
    /// Pieces of a stage are asked for again, as a call has not brought them.
    Pieces,
    /// A stage is run again, as its results or its queue's owner are gone.
    Stage,
}

impl registry::Closed for Way {}

/// What was decided.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is sent.
    Granted,
    /// It is not sent.
    Denied,
}

impl registry::Closed for Outcome {}

/// Labels of what was decided on repeats.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Labels {
    /// Way.
    pub way: registry::Label<Way>,
    /// Outcome.
    pub outcome: registry::Label<Outcome>,
}

/// Something that would reach a target once more.
#[derive(Clone, Copy, Debug)]
pub struct Repeat<'a> {
    /// Attempt of the caller.
    pub request: &'a str,
    /// Service of the target.
    pub service: &'a id::ServiceName,
    /// Way.
    pub way: Way,
    /// Arrivals that it makes.
    pub count: u32,
}

/// The budgets of all services.
pub struct Budgets {
    view: Arc<view::View>,
    bound: fleet_budget::Limit,
    metrics: metrics::Metrics,
    known: Mutex<collections::HashMap<id::ServiceName, budget::Budget>>,
    /// One moment on both clocks.
    start: (Instant, freshness::BootTime),
}

impl Budgets {
    /// Creates budgets of which nothing is spent.
    pub fn new(
        bounds: settings::Bounds,
        view: Arc<view::View>,
        metrics: metrics::Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            bound: fleet_budget::Limit {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
            },
            metrics,
            known: Mutex::default(),
            start: (Instant::now(), clock::now()),
        })
    }

    /// Counts a request for a service.
    pub fn earn(&self, service: &id::ServiceName) {
        self.with(service, |budget, now| budget.deposit(now));
    }

    /// Takes a repeat from the budget of its service; returns whether it may be sent.
    pub fn spend(&self, repeat: &Repeat<'_>) -> bool {
        let granted = self.with(repeat.service, |budget, now| {
            budget.try_spend_all(repeat.count, now) //
        });
        let outcome = match granted {
            true => Outcome::Granted,
            false => Outcome::Denied,
        };
        self.note(repeat, outcome, retry::Cause::Budget);
        granted
    }

    /// Logs and counts a decision on a repeat.
    pub fn note(&self, repeat: &Repeat<'_>, outcome: Outcome, cause: retry::Cause) {
        let labels = Labels {
            way: registry::Label(repeat.way),
            outcome: registry::Label(outcome),
        };
        let counter = self.metrics.repeats.get_or_create(&labels).clone();
        counter.inc_by(repeat.count.into());
        let account = self.with(repeat.service, |budget, now| budget.usage(now));
        event!(
            Info,
            "repeat",
            request = repeat.request,
            service = repeat.service,
            way = repeat.way,
            count = repeat.count,
            outcome = outcome,
            cause = cause,
            spent = account.spent,
            allowed = format_args!("{:.1}", account.allowed),
            shut = account.suspended,
            part = format_args!("{:.3}", self.view.part())
        );
    }

    /// Does something with the budget of a service.
    pub fn with<T>(
        &self,
        service: &id::ServiceName,
        act: impl FnOnce(&mut budget::Budget, Instant) -> T,
    ) -> T {
        let now = self.now();
        let mut known = view::lock(&self.known);
        let budget = known.entry(service.clone());
        let budget = budget.or_insert_with(|| self.bound.budget(now));
        budget.set_reserve(self.bound.reserve(self.view.part()));
        act(budget, now)
    }

    /// Returns the present on a clock that goes on while the instance is suspended.
    ///
    /// On the runtime's clock, requests from before a suspension would pay for repeats after it.
    fn now(&self) -> Instant {
        let (instant, moment) = self.start;
        instant + clock::now().since(moment)
    }
}
