//! Decisions on repeats of attempts.
//!
//! A silent target may go on within a second or so. An attempt is given up only once its repeat is
//! granted, or it would be lost together with a repeat that is denied.

use std::{
    pin,
    sync::Arc,
    time, //
};

use tokio::{
    sync::Notify,
    time::Instant, //
};

use laburnumcart::retry;

use crate::budgets;

use super::{
    ATTEMPT_MIN,
    Forwarder, //
};

/// Interval at which a request at a silent target asks again whether it may be repeated.
pub const ASK_INTERVAL: time::Duration = time::Duration::from_millis(250);

impl Forwarder {
    /// Waits for a part of the response; gives it up after `limit` only if the repeat has been
    /// granted, or at the caller's deadline.
    pub async fn await_granted<T>(
        &mut self,
        part: impl Future<Output = T>,
        limit: time::Duration,
        kind: budgets::RepeatKind,
    ) -> Option<T> {
        let mut part = pin::pin!(part);
        let mut limit = limit.min(self.request.remaining());
        loop {
            if let Ok(part) = tokio::time::timeout(limit, &mut part).await {
                return Some(part);
            }
            let remaining = self.request.remaining();
            if remaining.is_zero() || self.try_grant(kind) {
                return None;
            }
            limit = remaining.min(ASK_INTERVAL);
        }
    }

    /// Reports whether the attempt in flight may be repeated at another target now.
    pub fn may_repeat(&self) -> bool {
        let time = self.time_budget();
        let attempts = &self.attempts;
        let budgets = &self.gateway.budgets;
        self.can_retry()
            && self.has_untried_target()
            && budgets.with_budget(&self.service, |budget, now| {
                attempts.may_repeat(retry::TimeBudget { now, ..time }, budget)
            })
    }

    /// Charges a repeat of the attempt in flight, which may be given up then; returns whether it was
    /// granted.
    pub fn try_grant(&mut self, kind: budgets::RepeatKind) -> bool {
        let time = self.time_budget();
        let can_continue = self.can_retry() && self.has_untried_target();
        let attempts = &mut self.attempts;
        let budgets = &self.gateway.budgets;
        let granted = can_continue
            && budgets.with_budget(&self.service, |budget, now| {
                attempts.try_grant(retry::TimeBudget { now, ..time }, budget)
            });
        let outcome = match granted {
            true => budgets::Outcome::Granted,
            false => budgets::Outcome::Denied,
        };
        if granted || !std::mem::replace(&mut self.denied, true) {
            let cause = match can_continue {
                true => retry::Cause::Budget,
                false => retry::Cause::Exhausted,
            };
            self.record_repeat(outcome, cause, kind);
        }
        granted
    }

    /// Records that the attempt in flight was given up for an earlier one that goes on.
    pub fn abandon(&mut self) {
        self.in_flight = false;
        self.sends.give_up();
    }

    /// Returns what is notified once the next attempt has a connection to its target.
    pub fn watch_connected(&mut self) -> Arc<Notify> {
        self.connected.insert(Arc::default()).clone()
    }

    pub(super) fn time_budget(&self) -> retry::TimeBudget {
        retry::TimeBudget {
            remaining: self.request.remaining(),
            needed: ATTEMPT_MIN,
            now: Instant::now(),
        }
    }

    /// Logs and counts the decision on a retry, unless no target has received the request.
    pub(super) fn record_decision(&self, decision: &retry::Decision, kind: budgets::RepeatKind) {
        if !self.reached {
            return;
        }
        let outcome = match decision {
            retry::Decision::GiveUp(_) => budgets::Outcome::Denied,
            _ => budgets::Outcome::Granted,
        };
        self.record_repeat(outcome, self.attempts.cause(), kind);
    }

    fn record_repeat(
        &self,
        outcome: budgets::Outcome,
        cause: retry::Cause,
        kind: budgets::RepeatKind,
    ) {
        let repeat = budgets::Repeat {
            attempt: &self.request.call.attempt,
            service: &self.service,
            kind,
            count: 1,
        };
        self.gateway
            .budgets
            .record_decision(&repeat, outcome, cause);
    }
}
