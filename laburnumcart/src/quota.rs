//! Quotas: the share of each process in the request rate of a target.
//!
//! A cold or overloaded target accepts a rate from all processes together. The processes share no
//! counter, as messages between them would be too slow for a limit on one second. Each computes its
//! own [`Quota`] from the members that it knows, so that all quotas add up to at most the rate, and
//! enforces it on its own sends with a [`Limiter`].

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

/// Factor by which a span is longer than the time that the rate implies.
///
/// It allows for delays in transit, after which requests arrive closer together than sent.
const SPAN_MARGIN: f64 = 1.1;

/// Longest span, for rates far below one request per second.
const SPAN_MAX: time::Duration = time::Duration::from_secs(60);

/// Longest span over which a limit is divided, in seconds, so that more members share a low limit.
const SHARED_SPAN_SECS: f64 = 4.0;

/// Relative difference between two rates that is due to rounding.
const ROUNDING: f64 = 1e-9;

/// Fraction of a limit that all members without a quota use together for probes.
const PROBE_FRACTION: f64 = 0.25;

/// Least limit from which the rate of probes is derived, in requests per second.
///
/// A limit, even of zero, is lifted only by a response, so probes must go on.
const MIN_PROBED_RATE: f64 = 0.25;

/// Fraction of a rate that one queue owner may use for its calls.
///
/// While the ownership of a queue changes, two processes may call its targets.
const OWNER_FRACTION: f64 = 0.5;

/// Fraction of a rate for each of requests and stage calls where a target gets both.
const KIND_FRACTION: f64 = 0.5;

/// Rate above which a target cannot handle the requests of two spans at once, in requests per
/// second.
///
/// A cold target tolerates an excess of half its rate and five requests.
const TWO_SPANS_MAX_RATE: f64 = 10.0;

/// Number of requests that one process may send to a target in any span of a given length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Requests per span.
    pub count: u32,
    /// Length of the span.
    pub span: time::Duration,
}

impl Quota {
    /// Allows no requests.
    pub const NONE: Self = Self {
        count: 0,
        span: SPAN_MAX,
    };

    /// Converts a rate into a quota, rounded down.
    ///
    /// A rate below one request per second gets a longer span.
    pub fn from_rate(rate: unit::Rate) -> Self {
        Self::over_span(rate, 1.0)
    }

    /// Converts a rate into a quota, with the span of at least `min_secs` seconds that loses least
    /// to rounding.
    fn with_least_rounding(rate: unit::Rate, min_secs: f64) -> Self {
        let min_secs = min_secs.clamp(1.0, SHARED_SPAN_SECS);
        let candidates = [min_secs, 2.0, 3.0, SHARED_SPAN_SECS];
        let spans = candidates.into_iter().filter(|secs| *secs >= min_secs);
        let quotas = spans.map(|secs| Self::over_span(rate, secs));
        let better = |best: Self, next: Self| match next.rate() > best.rate() * (1.0 + ROUNDING) {
            true => next,
            false => best,
        };
        quotas.reduce(better).unwrap_or(Self::NONE)
    }

    /// Returns the quota of half a span, or `None` for a single request.
    fn half(self) -> Option<Self> {
        (self.count > 1).then_some(Self {
            count: self.count.div_ceil(2),
            span: self.span / 2,
        })
    }

    /// Returns the requests per second.
    pub fn rate(self) -> f64 {
        f64::from(self.count) / self.span.as_secs_f64()
    }

    /// Converts a rate into a quota over a span of `secs` seconds, or longer for a low rate.
    fn over_span(rate: unit::Rate, secs: f64) -> Self {
        let count = (rate.0 * secs * (1.0 + ROUNDING)).min(f64::from(u32::MAX)) as u32;
        if count >= 1 {
            let span = time::Duration::from_secs_f64(secs * SPAN_MARGIN);
            return Self { count, span };
        }
        let span = SPAN_MARGIN / rate.0.max(f64::MIN_POSITIVE);
        let span = time::Duration::try_from_secs_f64(span).unwrap_or(time::Duration::MAX);
        match span <= SPAN_MAX {
            true => Self { count: 1, span },
            false => Self::NONE,
        }
    }
}

/// Kinds of traffic that the targets of a service get.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficKinds {
    /// Requests, sent by all processes.
    pub requests: bool,
    /// Stage calls, sent by the queue owner.
    pub calls: bool,
}

impl TrafficKinds {
    /// Returns the part of a rate for requests.
    pub fn request_rate(self, rate: unit::Rate) -> unit::Rate {
        match (self.requests, self.calls) {
            (false, true) => unit::Rate(0.0),
            (true, true) => unit::Rate(rate.0 * KIND_FRACTION),
            (_, false) => rate,
        }
    }

    /// Returns the part of a rate for the stage calls of one queue owner.
    pub fn call_rate(self, rate: unit::Rate) -> unit::Rate {
        match self.requests {
            true => unit::Rate(rate.0 * KIND_FRACTION * OWNER_FRACTION),
            false => unit::Rate(rate.0 * OWNER_FRACTION),
        }
    }
}

/// Processes that may send to the same targets, as known to one of them.
#[derive(Clone, Copy, Debug)]
pub struct Senders<'a> {
    /// Name of this process.
    pub own: &'a id::InstanceName,
    /// Names of all processes, including this one.
    pub members: &'a [&'a id::InstanceName],
}

impl Senders<'_> {
    /// Returns this process's quota of a target's rate.
    ///
    /// The remainder of the division goes to the first members by rendezvous hashing on the
    /// target's name, which all processes compute alike. An unreachable member keeps its quota
    /// until its entry is removed, as it may be unreachable only for this process. A process that
    /// is not a member has no quota.
    pub fn quota(&self, target: &id::TargetName, rate: unit::Rate) -> Quota {
        self.own_share(target, Quota::from_rate(rate))
    }

    /// Returns this process's bound while a target is cold; `rate` is what it accepts or a part of
    /// it.
    ///
    /// The first requests arrive late, as they open connections. If each span were used at once,
    /// they would arrive together with those of the next span.
    pub fn cold_bound(&self, target: &id::TargetName, rate: unit::Rate) -> Bound {
        let quota = self.quota(target, rate);
        Bound {
            burst: quota.half().filter(|_| rate.0 > TWO_SPANS_MAX_RATE),
            ..Bound::new(quota)
        }
    }

    /// Returns this process's bound under a limit that a target advertises; `rate` is the limit or
    /// a part of it.
    ///
    /// Where the rate is too low for all members, those without a quota send single probes, as only
    /// a response shows that the limit has ended. All members learn of a limit at almost the same
    /// time, so the first probes are spread by a random delay.
    pub fn advertised_bound(
        &self,
        target: &id::TargetName,
        rate: unit::Rate,
        limit: &Advertised,
    ) -> Bound {
        let members = self.members.len().max(1) as f64;
        let secs_for_all = members / rate.0.max(f64::MIN_POSITIVE);
        let quota = self.own_share(target, Quota::with_least_rounding(rate, secs_for_all));
        if quota.count > 0 || !self.members.contains(&self.own) {
            return Bound::new(quota);
        }
        let probe_rate = PROBE_FRACTION * rate.0.max(MIN_PROBED_RATE);
        let span = time::Duration::from_secs_f64(members / probe_rate);
        Bound {
            from: Some(limit.since + span.mul_f64(limit.jitter.clamp(0.0, 1.0))),
            ..Bound::new(Quota { count: 1, span })
        }
    }

    /// Returns this process's share of the quota of all processes.
    fn own_share(&self, target: &id::TargetName, whole: Quota) -> Quota {
        if !self.members.contains(&self.own) {
            return Quota::NONE;
        }
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let remainder = (whole.count % members) as usize;
        let extra = u32::from(self.own_rank(target) < remainder);
        Quota {
            count: whole.count / members + extra,
            ..whole
        }
    }

    /// Returns the rank of this process among the members for a target.
    pub fn own_rank(&self, target: &id::TargetName) -> usize {
        let mut ranking = self.members.to_vec();
        // All members count alike: instances with fewer cores have as many callers as others.
        rendezvous::rank(&mut ranking, target.as_str(), |name| {
            rendezvous::Candidate { name, cores: 1.0 }
        });
        let rank = ranking.iter().position(|name| *name == self.own);
        rank.unwrap_or(ranking.len())
    }
}

/// A quota with its period of validity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    /// Quota in force.
    pub quota: Quota,
    /// Quota of a shorter span that is in force as well.
    pub burst: Option<Quota>,
    /// Time before which nothing may be sent.
    pub from: Option<Instant>,
    /// End of the bound, if known.
    pub until: Option<Instant>,
}

impl Bound {
    /// Creates a bound that is in force at once and without end.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            burst: None,
            from: None,
            until: None,
        }
    }

    /// Returns the bound on the stage calls of a queue owner to a target that has been limited
    /// since `limited_since`.
    ///
    /// A target with a rate near zero still gets single probes, as only a response shows that it
    /// accepts more.
    pub fn for_calls(rate: unit::Rate, limited_since: Instant) -> Self {
        let quota = Quota::with_least_rounding(rate, 1.0);
        if quota.count > 0 {
            return Self::new(quota);
        }
        let quota = Quota {
            count: 1,
            span: SPAN_MAX,
        };
        Self {
            from: Some(limited_since + quota.span),
            ..Self::new(quota)
        }
    }

    /// Returns the bound on a target that accepts no requests.
    pub fn blocked() -> Self {
        Self::new(Quota::NONE)
    }

    /// Sets the end of the bound.
    #[must_use]
    pub fn until(mut self, until: Instant) -> Self {
        self.until = Some(until);
        self
    }

    fn is_in_force(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }

    /// Returns the time until a request may be sent, given the times of earlier sends.
    fn wait_time(&self, sent: &collections::VecDeque<Instant>, now: Instant) -> time::Duration {
        let time_to = |at: Instant| at.saturating_duration_since(now);
        let until_start = self.from.map_or(time::Duration::ZERO, time_to);
        if self.quota.count == 0 {
            return self.until.map_or(time::Duration::MAX, time_to);
        }
        let until_free = |quota: &Quota| {
            // Oldest of the last `count` sends; the next send must come a span after it.
            let oldest = sent.len().checked_sub(quota.count as usize);
            oldest.map_or(time::Duration::ZERO, |i| time_to(sent[i] + quota.span))
        };
        let quotas = self.burst.iter().chain([&self.quota]);
        quotas
            .map(until_free)
            .fold(until_start, time::Duration::max)
    }
}

/// Bounds on the sends to a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bounds {
    /// Bound while the target is cold.
    pub cold: Option<Bound>,
    /// Bound while the target advertises a limit.
    pub advertised: Option<Bound>,
    /// Bound while the target asks its callers to back off.
    pub backoff: Option<Bound>,
}

impl Bounds {
    /// Lists the bounds on the rate that are in force.
    fn rate_bounds(&self, now: Instant) -> impl Iterator<Item = &Bound> {
        let all = self.cold.iter().chain(&self.advertised);
        all.filter(move |bound| bound.is_in_force(now))
    }

    fn in_force(&self, now: Instant) -> impl Iterator<Item = &Bound> {
        let backoff = self.backoff.iter();
        let backoff = backoff.filter(move |bound| bound.is_in_force(now));
        self.rate_bounds(now).chain(backoff)
    }
}

#[derive(Debug, Default)]
struct State {
    bounds: Bounds,
    sent: collections::VecDeque<Instant>,
}

/// Rate limiter of the sends of this process to one target; clones share their state.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{quota, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let limiter = quota::Limiter::default();
/// let quota = quota::Quota::from_rate(unit::Rate(1.0));
/// let advertised = Some(quota::Bound::new(quota));
/// limiter.set_bounds(quota::Bounds { advertised, ..Default::default() });
/// assert!(limiter.can_send(now));
/// limiter.record_send(now);
/// assert!(!limiter.can_send(now + Duration::from_millis(900)));
/// assert!(limiter.can_send(now + Duration::from_millis(1200)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limiter(Arc<Mutex<State>>);

impl Limiter {
    /// Replaces the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.state().bounds = bounds;
    }

    /// Reports whether a bound is in force.
    pub fn is_limited(&self, now: Instant) -> bool {
        self.state().bounds.in_force(now).next().is_some()
    }

    /// Reports whether a request may be sent now.
    pub fn can_send(&self, now: Instant) -> bool {
        self.wait_time(now).is_zero()
    }

    /// Returns the time until a request may be sent; [`time::Duration::MAX`] if it is unknown.
    pub fn wait_time(&self, now: Instant) -> time::Duration {
        let state = self.state();
        let waits = state
            .bounds
            .in_force(now)
            .map(|b| b.wait_time(&state.sent, now));
        waits.max().unwrap_or_default()
    }

    /// Reports whether the target has asked its callers to back off.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        let backoff = self.state().bounds.backoff;
        backoff.is_some_and(|bound| bound.is_in_force(now))
    }

    /// Reports whether two requests may be sent now.
    pub fn has_spare(&self, now: Instant) -> bool {
        let state = self.state();
        let mut sent = state.sent.clone();
        sent.push_back(now);
        let mut bounds = state.bounds.in_force(now);
        bounds.all(|b| b.wait_time(&state.sent, now).is_zero() && b.wait_time(&sent, now).is_zero())
    }

    /// Returns the time left of the backoff that the target asked for, or zero.
    pub fn backoff_left(&self, now: Instant) -> time::Duration {
        let end = self.state().bounds.backoff.and_then(|bound| bound.until);
        end.map_or(time::Duration::ZERO, |end| {
            end.saturating_duration_since(now)
        })
    }

    /// Returns the rate of requests allowed apart from backoff, or `None` if it is not limited.
    pub fn rate(&self, now: Instant) -> Option<unit::Rate> {
        let state = self.state();
        let rates = state.bounds.rate_bounds(now).map(|b| b.quota.rate());
        rates.min_by(f64::total_cmp).map(unit::Rate)
    }

    /// Records a request that has been sent.
    pub fn record_send(&self, now: Instant) {
        let mut state = self.state();
        let spans = state.bounds.in_force(now).map(|b| b.quota.span);
        let Some(longest) = spans.max() else {
            state.sent.clear();
            return;
        };
        let has_expired = |at: &Instant| now.saturating_duration_since(*at) >= longest;
        while state.sent.front().is_some_and(has_expired) {
            state.sent.pop_front();
        }
        state.sent.push_back(now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic cannot leave the state inconsistent, so a poisoned lock is still usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
