//! Orders of one agent to its own target, driven by the difference of wanted and actual state.
//!
//! An order carries the number (term, sequence). Targets that check it refuse a stale one. For those
//! that ignore it, a new term first waits until no order of its predecessor can be under way, and
//! every order is enclosed by two reads of the term.
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

/// Number of an order; a target that checks it takes only one that is higher than the last.
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

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing, until something changes.
    Idle,
    /// Nothing before this moment.
    Wait(time::Instant),
    /// Read the term from the object service and report it by [`Orders::confirm_term`].
    Confirm,
    /// Send the order, with the order limit as its timeout, and report it by [`Orders::record_completed`].
    Send(Order),
}

/// Where the agent stands between two orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The term must be read before an order.
    Unconfirmed,
    /// The term was read at this moment and is ours.
    Confirmed(time::Instant),
    /// An order is under way.
    InFlight,
    /// An order has ended and the term must be read again.
    Completed,
}

/// Orders of one agent.
#[derive(Debug)]
pub struct Reconciler {
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
    /// Creates a state without a term, which gives no orders.
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

    /// Sets the wanted models, what the target does with numbers, and the longest time of an order.
    pub fn set_wanted(
        &mut self,
        fencing: bundle::Orders,
        models: impl IntoIterator<Item = String>,
        limit: time::Duration,
    ) {
        self.fencing = fencing;
        self.wanted = models.into_iter().collect();
        // An order that was given under a longer limit may still be under way.
        self.order_limit = self.order_limit.max(limit);
    }

    /// Takes note of the models that the target has.
    pub fn set_loaded(&mut self, models: impl IntoIterator<Item = String>) {
        self.loaded = Some(models.into_iter().collect());
    }

    /// Takes note that the target's state is not known.
    pub fn set_unknown(&mut self) {
        self.loaded = None;
    }

    /// Takes note that this process has acquired `term` at `now`.
    pub fn acquire_term(&mut self, term: id::Term, now: time::Instant) {
        self.term = Some(term);
        self.acquired_at = Some(now);
        self.sequence = 0;
        self.phase = Phase::Unconfirmed;
    }

    /// Takes note of the term that the object service shows, read after `now`.
    ///
    /// With another term than its own this process gives no more orders: its successor has begun
    /// to wait for those under way, and will put the wanted state back if one came late.
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

    /// Takes note that the order under way has ended; its effect is seen by [`Orders::set_loaded`].
    pub fn record_completed(&mut self) {
        self.loaded = None;
        self.phase = Phase::Completed;
    }

    /// Returns what to do next; an order that is returned counts as under way.
    pub fn step(&mut self, now: time::Instant) -> Step {
        let (Some(term), Some(held)) = (self.term, self.acquired_at) else {
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
            // A predecessor that was paused in the middle of an order could finish it after ours.
            // Its timeout has closed that order by the time that this wait is over.
            if now < held + self.order_limit {
                return Step::Wait(held + self.order_limit);
            }
            // A read from before a pause of this process proves nothing after it.
            let fresh = |read: time::Instant| now - read < self.order_limit / 4;
            match self.phase {
                Phase::Confirmed(read) if fresh(read) => (),
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

    /// Returns the term held, if any.
    pub fn term(&self) -> Option<id::Term> {
        self.term
    }

    /// Reports whether another process has taken over the target.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Reports whether the target has the wanted models.
    pub fn is_settled(&self) -> bool {
        self.loaded.is_some() && self.model_changes().is_none()
    }

    /// Returns what to load and what to unload, `None` if nothing or not known.
    fn model_changes(&self) -> Option<(Vec<String>, Vec<String>)> {
        if self.fencing == bundle::Orders::None {
            return None;
        }
        let actual = self.loaded.as_ref()?;
        let load: Vec<String> = self.wanted.difference(actual).cloned().collect();
        let unload: Vec<String> = actual.difference(&self.wanted).cloned().collect();
        let none = load.is_empty() && unload.is_empty();
        (!none).then_some((load, unload))
    }
}
