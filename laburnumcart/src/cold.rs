//! Cold targets: how many requests one process may send to a target that has just started.
//!
//! A target that has just started crashes at a rate that it bears later without effort. Its bound
//! holds for all processes together, which share no count: a word between them would come too late
//! for a bound on one second. Each works out a [`Quota`] of its own from the members that it knows,
//! so that the sum of all quotas stays within the rate, and counts its own sends against it in a
//! [`Gate`].

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    id,
    rendezvous,
    unit, //
};

/// Span in which a quota is counted for a rate of one request in a second or more.
///
/// The tenth beyond the second covers sends that are held up on their way and arrive closer
/// together.
const SPAN: time::Duration = time::Duration::from_millis(1100);

/// Longest span of a quota, for rates far below one request in a second.
const SPAN_MAX: time::Duration = time::Duration::from_secs(60);

/// Requests that one process may send to a cold target in any span.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Requests in one span.
    pub count: u32,
    /// Length of the span.
    pub span: time::Duration,
}

impl Quota {
    /// Sends nothing.
    pub const NONE: Self = Self {
        count: 0,
        span: SPAN,
    };

    /// Returns the whole of a rate, rounded down.
    ///
    /// A rate below one request in a second is counted over a longer span.
    pub fn whole(rate: unit::Rate) -> Self {
        if rate.0 >= 1.0 {
            let count = rate.0.min(f64::from(u32::MAX)) as u32;
            return Self { count, span: SPAN };
        }
        let span = SPAN.as_secs_f64() / rate.0.max(f64::MIN_POSITIVE);
        let span = time::Duration::try_from_secs_f64(span).unwrap_or(SPAN_MAX);
        match span <= SPAN_MAX {
            true => Self { count: 1, span },
            false => Self::NONE,
        }
    }
}

/// Processes that may send to the same targets, as one of them knows them.
#[derive(Clone, Copy, Debug)]
pub struct Senders<'a> {
    /// Name of the process itself.
    pub own: &'a id::InstanceName,
    /// Names of all, its own among them.
    pub members: &'a [&'a id::InstanceName],
}

impl Senders<'_> {
    /// Returns the part of a target's rate that this process may use.
    ///
    /// What does not divide goes to the first members in an order that each process finds alone,
    /// another one for each target. A member that is gone keeps its part until its entry is
    /// removed, as it may be one that only this process cannot reach. A process that is no member
    /// yet has no part.
    pub fn quota(&self, target: &id::TargetName, rate: unit::Rate) -> Quota {
        if !self.members.contains(&self.own) {
            return Quota::NONE;
        }
        let whole = Quota::whole(rate);
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let rest = (whole.count % members) as usize;
        let extra = u32::from(self.place(target) < rest);
        Quota {
            count: whole.count / members + extra,
            ..whole
        }
    }

    /// Returns the place of this process in the order of a target.
    fn place(&self, target: &id::TargetName) -> usize {
        let mut order = self.members.to_vec();
        // Weak instances have as many callers as others, and send as much.
        rendezvous::order(&mut order, target.as_str(), |name| rendezvous::Candidate {
            name,
            cores: 1.0,
        });
        let place = order.iter().position(|name| *name == self.own);
        place.unwrap_or(order.len())
    }
}

/// What holds for a target that is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Chill {
    /// End of it.
    pub until: Instant,
    /// Part of its rate that this process may use until then.
    pub quota: Quota,
}

/// Own sends to one target, held to a quota while it is cold.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    chill: Option<Chill>,
    sent: collections::VecDeque<Instant>,
}

impl Gate {
    /// Takes in whether the target is cold.
    pub fn set(&mut self, chill: Option<Chill>) {
        self.chill = chill;
    }

    /// Reports whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.in_force(now).is_some()
    }

    /// Reports whether a request may be sent.
    pub fn is_open(&self, now: Instant) -> bool {
        self.in_force(now).is_none_or(|chill| {
            let since = |at: &&Instant| now.saturating_duration_since(**at) < chill.quota.span;
            let sent = self.sent.iter().filter(since).count();
            sent < chill.quota.count as usize
        })
    }

    /// Records a request that is sent.
    pub fn record(&mut self, now: Instant) {
        let Some(chill) = self.in_force(now) else {
            self.sent.clear();
            return;
        };
        let passed = |at: &Instant| now.saturating_duration_since(*at) >= chill.quota.span;
        while self.sent.front().is_some_and(passed) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    fn in_force(&self, now: Instant) -> Option<Chill> {
        self.chill.filter(|chill| now < chill.until)
    }
}
