//! Repeated pieces of stages, as far as they concern the retry budget.

use std::{
    collections,
    sync::Arc, //
};

use tokio::time::Instant;

use laburnumcart::{
    batch,
    budget,
    id,
    unsettled, //
};

use super::Budgets;

/// Piece of a job.
pub type PieceId = (batch::JobKey, u32);

/// How a call that carried a piece ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The target has received it.
    Arrived,
    /// It was given up without a sign of the target.
    GivenUp(id::TargetLife),
    /// The target has not received it and never will.
    Unsent,
}

/// A piece that is or was sent again.
#[derive(Clone, Debug)]
pub struct Repeated {
    key: unsettled::RequestKey,
    /// Identifier of the caller's attempt.
    attempt: String,
    /// When its last repeat was charged.
    charged: Instant,
}

/// Repeated pieces that wait in the queue of a service.
///
/// A piece waits for seconds after its repeat was charged if all targets are busy. Its charge is held
/// until it has arrived, or the grants of two windows could arrive in one.
pub struct PieceSends {
    budgets: Arc<Budgets>,
    service: id::ServiceName,
    waiting: collections::HashMap<PieceId, Repeated>,
}

impl PieceSends {
    /// Creates the state of a queue without repeated pieces.
    pub fn new(budgets: Arc<Budgets>, service: id::ServiceName) -> Self {
        Self {
            budgets,
            service,
            waiting: collections::HashMap::new(),
        }
    }

    /// Records that the repeat of a piece, which was sent before, has been charged.
    pub fn charge(&mut self, piece: PieceId, attempt: &str, before: &CallEnd) {
        let known = self.waiting.remove(&piece);
        let key = known.map_or_else(|| self.track(before), |known| known.key);
        self.update(key, |sends, key, budget, now| {
            sends.charge(key, budget, now);
            // It counts as in flight while it waits.
            sends.begin(key, budget, now);
        });
        let repeated = Repeated {
            key,
            attempt: attempt.to_owned(),
            charged: Instant::now(),
        };
        self.waiting.insert(piece, repeated);
    }

    fn track(&self, before: &CallEnd) -> unsettled::RequestKey {
        let key = self.budgets.with_service(&self.service, |service, _| {
            service.sends.track() //
        });
        self.record_end(key, before);
        key
    }

    /// Takes a piece that is about to be sent to a target, if it is a repeated one.
    pub fn take(&mut self, piece: PieceId, target: &id::TargetLife) -> Option<Repeated> {
        let repeated = self.waiting.remove(&piece)?;
        let delay = repeated.charged.elapsed();
        self.budgets
            .record_late(&repeated.attempt, &self.service, target, delay);
        Some(repeated)
    }

    /// Records the end of the call with a repeated piece, which may wait in the queue again.
    pub fn end_call(&mut self, piece: PieceId, repeated: Repeated, end: &CallEnd, waits: bool) {
        match end {
            CallEnd::Unsent if waits => {}
            end => self.record_end(repeated.key, end),
        }
        match waits {
            true => {
                self.waiting.insert(piece, repeated);
            }
            false => self.update(repeated.key, |sends, key, _, _| sends.end(key)),
        }
    }

    /// Ends the pieces of a job that wait; they are not sent any more.
    pub fn end_job(&mut self, job: batch::JobKey) {
        if self.waiting.is_empty() {
            return;
        }
        let ended = self.waiting.extract_if(|(other, _), _| *other == job);
        let ended: Vec<_> = ended.map(|(_, repeated)| repeated.key).collect();
        for key in ended {
            self.update(key, |sends, key, budget, now| {
                sends.record_unsent(key, budget, now);
                sends.end(key);
            });
        }
    }

    fn record_end(&self, key: unsettled::RequestKey, end: &CallEnd) {
        self.update(key, |sends, key, budget, now| match end {
            CallEnd::Arrived => sends.record_arrival(key, budget, now),
            CallEnd::GivenUp(target) => sends.give_up(key, target, budget, now),
            CallEnd::Unsent => sends.record_unsent(key, budget, now),
        });
        if matches!(end, CallEnd::GivenUp(_)) {
            self.budgets.count_given_up(&self.service, 1);
            self.budgets.count_unsettled();
        }
    }

    fn update(
        &self,
        key: unsettled::RequestKey,
        change: impl FnOnce(&mut unsettled::Sends, unsettled::RequestKey, &mut budget::Budget, Instant),
    ) {
        self.budgets.with_service(&self.service, |service, now| {
            change(&mut service.sends, key, &mut service.budget, now);
        });
    }
}
