//! Sends of a request, as far as they concern the retry budget.

use std::sync::Arc;

use tokio::time::Instant;

use laburnumcart::{
    budget,
    event,
    id,
    unsettled, //
};

use crate::view;

use super::Budgets;

/// Sends of one request to the targets of a service.
///
/// A send that is dropped in flight was given up without a sign of its target.
pub struct RequestSends {
    budgets: Arc<Budgets>,
    service: id::ServiceName,
    attempt: String,
    /// Key of the request, tracked from its first failure on.
    key: Option<unsettled::RequestKey>,
    /// Whether a target is known to have received the request.
    arrived: bool,
    /// Target of the send in flight.
    in_flight: Option<id::TargetLife>,
    /// When the send in flight was charged, if it is a repeat.
    charged: Option<Instant>,
}

impl RequestSends {
    /// Creates the state of a request that was not sent yet.
    pub fn new(budgets: Arc<Budgets>, service: id::ServiceName, attempt: &str) -> Self {
        Self {
            budgets,
            service,
            attempt: attempt.to_owned(),
            key: None,
            arrived: false,
            in_flight: None,
            charged: None,
        }
    }

    /// Records that the request is about to be sent.
    pub fn begin(&mut self, target: id::TargetLife) {
        self.in_flight = Some(target);
        self.update(unsettled::Sends::begin);
    }

    /// Records that the target has received the request.
    pub fn record_arrival(&mut self) {
        self.record_delay();
        self.in_flight = None;
        self.arrived = true;
        self.update(unsettled::Sends::record_arrival);
    }

    /// Records that the target has not received the request and never will.
    pub fn record_unsent(&mut self) {
        self.in_flight = None;
        self.update(unsettled::Sends::record_unsent);
    }

    /// Records that a repeat of the request has been charged.
    pub fn charge(&mut self) {
        self.charged = Some(Instant::now());
        let key = self.track();
        self.budgets.with_service(&self.service, |service, now| {
            service.sends.charge(key, &mut service.budget, now);
        });
    }

    /// Records that the send in flight was given up without a sign of its target.
    pub fn give_up(&mut self) {
        let Some(target) = self.in_flight.take() else {
            return;
        };
        let key = self.track();
        event!(
            Info,
            "send-given-up",
            request = self.attempt,
            service = self.service,
            target = target.name,
            life = target.life
        );
        self.budgets.with_service(&self.service, |service, now| {
            let budget = &mut service.budget;
            service.sends.give_up(key, &target, budget, now);
        });
        self.budgets.count_given_up(&self.service, 1);
        self.budgets.count_unsettled();
    }

    /// Applies a change to the request, if it is tracked.
    fn update(
        &self,
        change: fn(&mut unsettled::Sends, unsettled::RequestKey, &mut budget::Budget, Instant),
    ) {
        if let Some(key) = self.key {
            self.budgets.with_service(&self.service, |service, now| {
                change(&mut service.sends, key, &mut service.budget, now);
            });
        }
    }

    /// Logs and counts a repeat that arrived long after it was charged.
    fn record_delay(&mut self) {
        let Some(delay) = self.charged.take().map(|at| at.elapsed()) else {
            return;
        };
        if let Some(target) = &self.in_flight {
            self.budgets
                .record_late(&self.attempt, &self.service, target, delay);
        }
    }

    fn track(&mut self) -> unsettled::RequestKey {
        let arrived = self.arrived;
        *self.key.get_or_insert_with(|| {
            self.budgets.with_service(&self.service, |service, now| {
                let key = service.sends.track();
                if arrived {
                    service.sends.record_arrival(key, &mut service.budget, now);
                }
                key
            })
        })
    }
}

impl Drop for RequestSends {
    fn drop(&mut self) {
        // A request that no target has received twice leaves nothing to be settled.
        if self.key.is_none() {
            return;
        }
        self.give_up();
        if let Some(key) = self.key {
            let mut services = view::lock(&self.budgets.services);
            if let Some(service) = services.get_mut(&self.service) {
                service.sends.end(key);
            }
        }
    }
}
