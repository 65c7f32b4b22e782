//! Orders to a target: loading and unloading models, fenced or not.

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
pub(super) struct Number {
    pub(super) term: u64,
    pub(super) sequence: u64,
}

/// An order as it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Order {
    #[serde(flatten)]
    pub(super) number: Number,
    #[serde(default)]
    pub(super) load: Vec<String>,
    #[serde(default)]
    pub(super) unload: Vec<String>,
}

/// The order's number is old.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("stale order")]
pub(super) struct Stale;

/// Models of a target and the numbers of its orders.
#[derive(Debug)]
pub(super) struct Orders {
    fenced: bool,
    newest: Option<Number>,
    applied: Number,
    models: collections::BTreeSet<String>,
    pending: u32,
}

impl Orders {
    pub(super) fn new(fenced: bool) -> Self {
        Self {
            fenced,
            newest: None,
            applied: Number::default(),
            models: collections::BTreeSet::new(),
            pending: 0,
        }
    }

    /// Takes note of an order's number before the order takes its time.
    pub(super) fn accept(&mut self, number: Number) -> Result<(), Stale> {
        let number = Some(number);
        if self.fenced && number <= self.newest {
            return Err(Stale);
        }
        self.newest = self.newest.max(number);
        self.pending += 1;
        Ok(())
    }

    /// Puts an accepted order into effect; a fenced one only if none newer came meanwhile.
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

    /// Returns the number of the order that took effect last.
    pub(super) fn applied(&self) -> Number {
        self.applied
    }

    /// Returns the number of accepted orders that have yet to take effect.
    pub(super) fn pending(&self) -> u32 {
        self.pending
    }

    /// Returns the loaded models.
    pub(super) fn models(&self) -> &collections::BTreeSet<String> {
        &self.models
    }
}
