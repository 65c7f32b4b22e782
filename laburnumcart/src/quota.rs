//! Quotas: how many requests one process may send to a target whose rate all processes share.
//!
//! A target that has just started, or that is in need, takes so many requests in a second from all
//! processes together. They share no count: a word between them would come too late for a bound on
//! one second. Each works out a [`Quota`] of its own from the members that it knows, so that the sum
//! of all quotas stays within the rate, and counts its own sends against it in a [`Limiter`].

mod advertised;

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time,
};

use tokio::time::Instant;

use crate::{
    id,
    rendezvous,
    unit, //
};

pub use advertised::{
    Advertised,
    Limit,
    Observation, //
    TargetLimit,
};

/// Length of a span above what the rate is counted in.
///
/// It covers sends that are held up on their way and arrive closer together.
const STRETCH: f64 = 1.1;

/// Longest span, for rates far below one request in a second.
const SPAN_MAX: time::Duration = time::Duration::from_secs(60);

/// Longest span over which a limit is shared, so that more members have a part of a low one.
const SHARED_SPAN: f64 = 4.0;

/// Difference of two rates that is due to rounding.
const ROUNDING: f64 = 1e-9;

/// Part of a limit that all members without a part of it use together for trials.
const TRIALS: f64 = 0.25;

/// Least limit of which trials use a part, in requests a second.
///
/// A target that takes nothing says so in answers alone, and so does one that takes requests again.
const TRIALS_MIN: f64 = 0.25;

/// Part of a rate that one owner of a queue may use for its calls.
///
/// Two processes can call the targets of one queue for a moment, as its owner changes.
const OWNER: f64 = 0.5;

/// Part of a rate that each of two uses has, such as requests beside the calls of stages.
const HALF: f64 = 0.5;

/// Requests that one process may send to a target in any span.
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
        span: SPAN_MAX,
    };

    /// Returns the whole of a rate, rounded down.
    ///
    /// A rate below one request in a second is counted over a longer span.
    pub fn from_rate(rate: unit::Rate) -> Self {
        Self::over(rate, 1.0)
    }

    /// Returns the whole of a rate in spans of `least` seconds or more, those of which rounding
    /// takes least.
    fn longest(rate: unit::Rate, least: f64) -> Self {
        let least = least.clamp(1.0, SHARED_SPAN);
        let whole = [least, 2.0, 3.0, SHARED_SPAN];
        let spans = whole.into_iter().filter(|seconds| *seconds >= least);
        let quotas = spans.map(|seconds| Self::over(rate, seconds));
        let better = |best: Self, next: Self| match next.rate() > best.rate() * (1.0 + ROUNDING) {
            true => next,
            false => best,
        };
        quotas.reduce(better).unwrap_or(Self::NONE)
    }

    /// Returns the requests in a second.
    pub fn rate(self) -> f64 {
        f64::from(self.count) / self.span.as_secs_f64()
    }

    /// Returns the whole of a rate in spans of so many seconds, longer ones for a lower rate.
    fn over(rate: unit::Rate, seconds: f64) -> Self {
        let count = (rate.0 * seconds * (1.0 + ROUNDING)).min(f64::from(u32::MAX)) as u32;
        if count >= 1 {
            let span = time::Duration::from_secs_f64(seconds * STRETCH);
            return Self { count, span };
        }
        let span = STRETCH / rate.0.max(f64::MIN_POSITIVE);
        let span = time::Duration::try_from_secs_f64(span).unwrap_or(time::Duration::MAX);
        match span <= SPAN_MAX {
            true => Self { count: 1, span },
            false => Self::NONE,
        }
    }
}

/// What a process sends to the targets of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficKinds {
    /// Requests, from all processes.
    pub requests: bool,
    /// Calls of stages, from the owner of their queue.
    pub calls: bool,
}

impl TrafficKinds {
    /// Returns the part of a rate that is left for requests.
    pub fn request_rate(self, rate: unit::Rate) -> unit::Rate {
        match (self.requests, self.calls) {
            (false, true) => unit::Rate(0.0),
            (true, true) => unit::Rate(rate.0 * HALF),
            (_, false) => rate,
        }
    }

    /// Returns the part of a rate that is left for the calls of one owner.
    pub fn call_rate(self, rate: unit::Rate) -> unit::Rate {
        match self.requests {
            true => unit::Rate(rate.0 * HALF * OWNER),
            false => unit::Rate(rate.0 * OWNER),
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
    /// Returns the part of a target's rate that this process may use in a second.
    ///
    /// What does not divide goes to the first members in an order that each process finds alone,
    /// another one for each target. A member that is gone keeps its part until its entry is
    /// removed, as it may be one that only this process cannot reach. A process that is no member
    /// yet has no part.
    pub fn quota(&self, target: &id::TargetName, rate: unit::Rate) -> Quota {
        self.part(target, Quota::from_rate(rate))
    }

    /// Returns the part of a target's limit that this process may use of `rate`, which is the limit
    /// or a part of it.
    ///
    /// Where it is too low for all, members without a part try once in a while, as nothing but an
    /// answer tells that the limit has ended. All are told in one moment, and must not try in one.
    pub fn advertised_bound(
        &self,
        target: &id::TargetName,
        rate: unit::Rate,
        named: &Advertised,
    ) -> Bound {
        let members = self.members.len().max(1) as f64;
        let even = members / rate.0.max(f64::MIN_POSITIVE);
        let quota = self.part(target, Quota::longest(rate, even));
        if quota.count > 0 || !self.members.contains(&self.own) {
            return Bound::new(quota);
        }
        let trials = TRIALS * rate.0.max(TRIALS_MIN);
        let span = time::Duration::from_secs_f64(members / trials);
        Bound {
            from: Some(named.since + span.mul_f64(named.jitter.clamp(0.0, 1.0))),
            ..Bound::new(Quota { count: 1, span })
        }
    }

    /// Returns this process's part of what all may send.
    fn part(&self, target: &id::TargetName, whole: Quota) -> Quota {
        if !self.members.contains(&self.own) {
            return Quota::NONE;
        }
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

/// A quota and when it is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    /// Requests that may be sent.
    pub quota: Quota,
    /// Moment before which nothing may be sent.
    pub from: Option<Instant>,
    /// End of it, if that is known.
    pub until: Option<Instant>,
}

impl Bound {
    /// Creates a bound that holds until it is replaced.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            from: None,
            until: None,
        }
    }

    /// Returns the bound on calls of a limited target from one owner of its queue, from `told` on.
    ///
    /// A target that takes next to nothing is called once in a while, to hear whether it takes more.
    pub fn for_calls(rate: unit::Rate, told: Instant) -> Self {
        let quota = Quota::longest(rate, 1.0);
        if quota.count > 0 {
            return Self::new(quota);
        }
        let quota = Quota {
            count: 1,
            span: SPAN_MAX,
        };
        Self {
            from: Some(told + quota.span),
            ..Self::new(quota)
        }
    }

    /// Returns the bound on a target that takes nothing.
    pub fn blocked() -> Self {
        Self::new(Quota::NONE)
    }

    /// Adds its end.
    #[must_use]
    pub fn until(mut self, until: Instant) -> Self {
        self.until = Some(until);
        self
    }

    fn is_in_force(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }

    /// Returns the time until a request may be sent after those at `sent`.
    fn wait(&self, sent: &collections::VecDeque<Instant>, now: Instant) -> time::Duration {
        let left = |at: Instant| at.saturating_duration_since(now);
        let begin = self.from.map_or(time::Duration::ZERO, left);
        let count = self.quota.count as usize;
        if count == 0 {
            return self.until.map_or(time::Duration::MAX, left);
        }
        // The oldest of the last sends that are as many as the quota.
        let oldest = sent.len().checked_sub(count).map(|i| sent[i]);
        let full = oldest.map_or(time::Duration::ZERO, |at| left(at + self.quota.span));
        begin.max(full)
    }
}

/// Bounds on the sends to a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bounds {
    /// While it is cold.
    pub cold: Option<Bound>,
    /// While it names a limit.
    pub advertised: Option<Bound>,
    /// While it takes nothing, as it has said itself.
    pub backoff: Option<Bound>,
}

impl Bounds {
    /// Lists this process's shares that are in force.
    fn shares(&self, now: Instant) -> impl Iterator<Item = &Bound> {
        let all = self.cold.iter().chain(&self.advertised);
        all.filter(move |bound| bound.is_in_force(now))
    }

    fn in_force(&self, now: Instant) -> impl Iterator<Item = &Bound> {
        let closed = self.backoff.iter();
        let closed = closed.filter(move |bound| bound.is_in_force(now));
        self.shares(now).chain(closed)
    }
}

#[derive(Debug, Default)]
struct State {
    bounds: Bounds,
    sent: collections::VecDeque<Instant>,
}

/// Own sends to one target, held to the bounds on it; clones share them.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{quota, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let gate = quota::Limiter::default();
/// let quota = quota::Quota::from_rate(unit::Rate(1.0));
/// gate.set_bounds(quota::Bounds { advertised: Some(quota::Bound::new(quota)), ..Default::default() });
/// assert!(gate.can_send(now));
/// gate.record_send(now);
/// assert!(!gate.can_send(now + Duration::from_millis(900)));
/// assert!(gate.can_send(now + Duration::from_millis(1200)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limiter(Arc<Mutex<State>>);

impl Limiter {
    /// Takes in the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.state().bounds = bounds;
    }

    /// Reports whether a bound is in force.
    pub fn is_limited(&self, now: Instant) -> bool {
        self.state().bounds.in_force(now).next().is_some()
    }

    /// Reports whether a request may be sent.
    pub fn can_send(&self, now: Instant) -> bool {
        self.wait_time(now).is_zero()
    }

    /// Returns the time until a request may be sent; the greatest there is if nothing tells.
    pub fn wait_time(&self, now: Instant) -> time::Duration {
        let state = self.state();
        let waits = state.bounds.in_force(now).map(|b| b.wait(&state.sent, now));
        waits.max().unwrap_or_default()
    }

    /// Reports whether the target takes nothing, as it has said itself.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        let closed = self.state().bounds.backoff;
        closed.is_some_and(|bound| bound.is_in_force(now))
    }

    /// Reports whether a request may be sent and another one after it.
    pub fn has_spare(&self, now: Instant) -> bool {
        let state = self.state();
        let mut sent = state.sent.clone();
        sent.push_back(now);
        let mut bounds = state.bounds.in_force(now);
        bounds.all(|b| b.wait(&state.sent, now).is_zero() && b.wait(&sent, now).is_zero())
    }

    /// Returns the time that is left until the target takes anything, if it has told one.
    pub fn backoff_left(&self, now: Instant) -> time::Duration {
        let end = self.state().bounds.backoff.and_then(|bound| bound.until);
        end.map_or(time::Duration::ZERO, |end| {
            end.saturating_duration_since(now)
        })
    }

    /// Returns how many requests may be sent in a second while the target takes any, if that is
    /// bounded.
    pub fn rate(&self, now: Instant) -> Option<unit::Rate> {
        let state = self.state();
        let rates = state.bounds.shares(now).map(|b| b.quota.rate());
        rates.min_by(f64::total_cmp).map(unit::Rate)
    }

    /// Records a request that is sent.
    pub fn record_send(&self, now: Instant) {
        let mut state = self.state();
        let spans = state.bounds.in_force(now).map(|b| b.quota.span);
        let Some(longest) = spans.max() else {
            state.sent.clear();
            return;
        };
        let passed = |at: &Instant| now.saturating_duration_since(*at) >= longest;
        while state.sent.front().is_some_and(passed) {
            state.sent.pop_front();
        }
        state.sent.push_back(now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No change of the state is left half done by a panic.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
