//! Orders that load and unload models of a target, with or without fencing.

use std::collections;

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of an order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub(super) struct OrderNumber {
    pub(super) term: u64,
    pub(super) sequence: u64,
}

/// Body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Order {
    #[serde(flatten)]
    pub(super) number: OrderNumber,
    #[serde(default)]
    pub(super) load: Vec<String>,
    #[serde(default)]
    pub(super) unload: Vec<String>,
}

/// Error of an order with an old number.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("stale order")]
pub(super) struct Stale;

/// Loaded models and the numbers of orders.
#[derive(Debug)]
pub(super) struct Orders {
    fenced: bool,
    newest: Option<OrderNumber>,
    applied: OrderNumber,
    models: collections::BTreeSet<String>,
    pending: u32,
}

impl Orders {
    pub(super) fn new(fenced: bool) -> Self {
        Self {
            fenced,
            newest: None,
            applied: OrderNumber::default(),
            models: collections::BTreeSet::new(),
            pending: 0,
        }
    }

    /// Records the number of an order before the order takes effect.
    pub(super) fn accept(&mut self, number: OrderNumber) -> Result<(), Stale> {
        let number = Some(number);
        if self.fenced && number <= self.newest {
            return Err(Stale);
        }
        self.newest = self.newest.max(number);
        self.pending += 1;
        Ok(())
    }

    /// Applies an accepted order; a fenced one only if no newer one was accepted.
    pub(super) fn apply(&mut self, order: Order) -> Result<(), Stale> {
        self.pending -= 1;
        if self.fenced && Some(order.number) < self.newest {
            return Err(Stale);
        }
        for model in &order.unload {
            self.models.remove(model);
        }
        self.models.extend(order.load);
        self.applied = order.number;
        Ok(())
    }

    /// Returns the number of the last applied order.
    pub(super) fn applied(&self) -> OrderNumber {
        self.applied
    }

    /// Returns the count of accepted orders that have not been applied.
    pub(super) fn pending(&self) -> u32 {
        self.pending
    }

    /// Returns the loaded models.
    pub(super) fn models(&self) -> &collections::BTreeSet<String> {
        &self.models
    }
}
