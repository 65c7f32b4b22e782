//! Orders of an agent to its target, which load and unload models until the target has the wanted
//! ones.
//!
//! An order carries a fencing number (term, sequence). Targets that check it reject a stale order.
//! For those that ignore it, a new term first waits until no order of its predecessor can be in
//! flight, and the term is read before and after each order.
//!
//! ```
//! use laburnumcart::{bundle, id, orders};
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let limit = time::Duration::from_secs(5);
//! let mut orders = orders::Reconciler::new();
//! orders.set_wanted(bundle::Orders::Unfenced, ["case@2".into()], limit);
//! orders.set_loaded(["case@1".into()]);
//! orders.acquire_term(id::Term(3), now);
//! assert_eq!(orders.step(now), orders::Step::Wait(now + limit));
//! let later = now + limit;
//! assert_eq!(orders.step(later), orders::Step::Confirm);
//! orders.confirm_term(id::Term(3), later);
//! let orders::Step::Send(order) = orders.step(later) else { panic!() };
//! assert_eq!((order.number.term, order.number.sequence), (id::Term(3), 1));
//! assert_eq!((&order.load[0][..], &order.unload[0][..]), ("case@2", "case@1"));
//! ```

use std::collections;

use serde::Serialize;
use tokio::time;

use crate::{
    bundle,
    id, //
};

/// Fencing number of an order; a target that checks it accepts only increasing numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingNumber {
    /// Term of the agent.
    pub term: id::Term,
    /// Number within the term, from 1.
    pub sequence: u64,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number.
    #[serde(flatten)]
    pub number: FencingNumber,
    /// Models to load.
    pub load: Vec<String>,
    /// Models to unload.
    pub unload: Vec<String>,
}

/// Next step of the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing until the state changes.
    Idle,
    /// Nothing before this time.
    Wait(time::Instant),
    /// Read the term from the object service and pass it to [`Reconciler::confirm_term`].
    Confirm,
    /// Send the order with the order limit as its timeout, then call
    /// [`Reconciler::record_completed`].
    Send(Order),
}

/// Phase of the next order, with the reads of the term before and after it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The term must be read before an order.
    Unconfirmed,
    /// The term was read at this time and is held by this agent.
    Confirmed(time::Instant),
    /// An order is in flight.
    InFlight,
    /// An order has completed and the term must be read again.
    Completed,
}

/// Decides which orders one agent sends, by the difference of the wanted and the loaded models.
#[derive(Debug)]
pub struct Reconciler {
    /// How the target treats fencing numbers.
    fencing: bundle::Orders,
    wanted: collections::BTreeSet<String>,
    loaded: Option<collections::BTreeSet<String>>,
    order_limit: time::Duration,
    term: Option<id::Term>,
    acquired_at: Option<time::Instant>,
    sequence: u64,
    phase: Phase,
    superseded: bool,
}

impl Default for Reconciler {
    fn default() -> Self {
        Self::new()
    }
}

impl Reconciler {
    /// Creates a reconciler without a term, which sends no orders.
    pub fn new() -> Self {
        Self {
            fencing: bundle::Orders::None,
            wanted: collections::BTreeSet::new(),
            loaded: None,
            order_limit: time::Duration::ZERO,
            term: None,
            acquired_at: None,
            sequence: 0,
            phase: Phase::Unconfirmed,
            superseded: false,
        }
    }

    /// Sets the wanted models, how the target treats fencing numbers, and the timeout of an order.
    pub fn set_wanted(
        &mut self,
        fencing: bundle::Orders,
        models: impl IntoIterator<Item = String>,
        limit: time::Duration,
    ) {
        self.fencing = fencing;
        self.wanted = models.into_iter().collect();
        // An order that was sent under a longer limit may still be in flight.
        self.order_limit = self.order_limit.max(limit);
    }

    /// Sets the models that the target has loaded.
    pub fn set_loaded(&mut self, models: impl IntoIterator<Item = String>) {
        self.loaded = Some(models.into_iter().collect());
    }

    /// Records that the target's loaded models are unknown.
    pub fn set_unknown(&mut self) {
        self.loaded = None;
    }

    /// Records that this process acquired `term` at `now`.
    pub fn acquire_term(&mut self, term: id::Term, now: time::Instant) {
        self.term = Some(term);
        self.acquired_at = Some(now);
        self.sequence = 0;
        self.phase = Phase::Unconfirmed;
    }

    /// Updates the state by the term that was found in the object service by a read begun at `now`.
    ///
    /// If the term is another process's, this one sends no more orders. Its successor waits for
    /// those in flight and restores the wanted state if one took effect late.
    pub fn confirm_term(&mut self, term: id::Term, now: time::Instant) {
        if self.term != Some(term) {
            self.superseded = self.term.is_some();
            self.term = None;
            return;
        }
        self.phase = match self.phase {
            Phase::Unconfirmed => Phase::Confirmed(now),
            Phase::Completed => Phase::Unconfirmed,
            other => other,
        };
    }

    /// Records that the order in flight has completed; its effect is reported by
    /// [`Reconciler::set_loaded`].
    pub fn record_completed(&mut self) {
        self.loaded = None;
        self.phase = Phase::Completed;
    }

    /// Returns the next step; an order that is returned counts as in flight.
    pub fn step(&mut self, now: time::Instant) -> Step {
        let (Some(term), Some(acquired)) = (self.term, self.acquired_at) else {
            return Step::Idle;
        };
        match self.phase {
            Phase::InFlight => return Step::Idle,
            Phase::Completed if self.fencing == bundle::Orders::Unfenced => return Step::Confirm,
            _ => (),
        }
        let Some((load, unload)) = self.model_changes() else {
            return Step::Idle;
        };
        if self.fencing == bundle::Orders::Unfenced {
            // A predecessor that was paused during an order could complete it after ours. By the
            // end of this wait its order has timed out.
            if now < acquired + self.order_limit {
                return Step::Wait(acquired + self.order_limit);
            }
            // A read from before a pause of this process does not prove that it still has the term.
            let is_fresh = |read: time::Instant| now - read < self.order_limit / 4;
            match self.phase {
                Phase::Confirmed(read) if is_fresh(read) => (),
                _ => {
                    self.phase = Phase::Unconfirmed;
                    return Step::Confirm;
                }
            }
        }
        self.sequence += 1;
        self.phase = Phase::InFlight;
        let number = FencingNumber {
            term,
            sequence: self.sequence,
        };
        Step::Send(Order {
            number,
            load,
            unload,
        })
    }

    /// Returns the term that this process holds, if any.
    pub fn term(&self) -> Option<id::Term> {
        self.term
    }

    /// Reports whether another process has taken over the target.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Reports whether the target is known to have exactly the wanted models.
    pub fn is_settled(&self) -> bool {
        self.loaded.is_some() && self.model_changes().is_none()
    }

    /// Returns the models to load and to unload, `None` if there are none or the state is unknown.
    fn model_changes(&self) -> Option<(Vec<String>, Vec<String>)> {
        if self.fencing == bundle::Orders::None {
            return None;
        }
        let loaded = self.loaded.as_ref()?;
        let load: Vec<String> = self.wanted.difference(loaded).cloned().collect();
        let unload: Vec<String> = loaded.difference(&self.wanted).cloned().collect();
        let none = load.is_empty() && unload.is_empty();
        (!none).then_some((load, unload))
    }
}
