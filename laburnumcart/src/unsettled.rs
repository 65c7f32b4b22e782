//! Sends of which it is not known whether they have arrived.
//!
//! A target that stands still reads later what was sent to it meanwhile; closing or resetting the
//! connection takes nothing back. Repeats that were charged in many windows then arrive in one.
//! Therefore the charge of a repeat is held while it is in flight. If it is given up without a sign
//! of its target, it is held until the target has answered a later request, or has ended.

use std::{
    collections,
    time, //
};

use derive_more::Display;
use slotmap::SlotMap;
use tokio::time::Instant;

use crate::{
    budget,
    id, //
};

/// Time after which a send counts as lost.
///
/// A target that never comes back must not keep repeats from other requests for good.
pub const MAX_AGE: time::Duration = time::Duration::from_secs(90);

/// Most unsettled sends that are kept; the oldest make room.
const UNSETTLED_MAX: usize = 4096;

slotmap::new_key_type! {
    /// Key of a request whose sends are tracked.
    pub struct RequestKey;
}

/// How a send ended that was unsettled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// Its target has read what waited, or has ended, so that it has arrived by now if it ever does.
    Arrived,
    /// Its target was not heard of for [`MAX_AGE`], or never got it.
    Lost,
}

/// Why sends ended without a sign of their target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Expiry {
    /// Their target has ended.
    TargetEnded,
    /// They were unsettled for [`MAX_AGE`].
    TooOld,
}

/// Sends to one target that ended without a sign of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Expired {
    /// Their target.
    pub target: id::TargetLife,
    /// Why they ended.
    pub cause: Expiry,
    /// Number of charges that were held for them.
    pub repeats: usize,
}

/// A request that was or may be sent again.
#[derive(Clone, Debug, Default)]
struct Request {
    /// When repeats were charged whose charges are not held.
    charged: Vec<Instant>,
    /// Whether it is known to have reached a target.
    arrived: bool,
    /// Whether a send is in flight, whose target has given no sign.
    in_flight: bool,
    /// Number of unsettled sends.
    unsettled: usize,
    /// Number of charges that are held.
    held: usize,
    /// Whether it may still be sent.
    active: bool,
}

impl Request {
    /// Returns the number of arrivals that are open and would be repeats.
    fn open_repeats(&self) -> usize {
        let open = self.unsettled + usize::from(self.in_flight);
        match self.arrived {
            true => open,
            // The first arrival of a request is no repeat.
            false => open.saturating_sub(1),
        }
    }

    /// Holds as many charges as there are open repeats.
    fn update(&mut self, budget: &mut budget::Budget, now: Instant) {
        while self.held < self.open_repeats()
            && let Some(at) = self.charged.pop()
        {
            budget.hold(at, now);
            self.held += 1;
        }
    }

    /// Records the end of a send that was unsettled or in flight.
    fn end_send(&mut self, end: End, budget: &mut budget::Budget, now: Instant) {
        self.arrived |= end == End::Arrived;
        if self.held > self.open_repeats() {
            self.held -= 1;
            budget.release(end == End::Arrived, now);
        }
        self.update(budget, now);
    }

    /// Reports whether nothing of it can count as a repeat any more.
    fn is_over(&self) -> bool {
        let can_repeat = self.held > 0 || !self.charged.is_empty();
        !self.active && (self.unsettled == 0 || !can_repeat)
    }
}

#[derive(Clone, Copy, Debug)]
struct Unsettled {
    request: RequestKey,
    since: Instant,
}

/// Unsettled sends at the targets of one service.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{budget, id, unit, unsettled};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = budget::Budget::new(unit::Share(0.0), now);
/// let mut sends = unsettled::Sends::default();
/// let target = id::TargetLife { name: "i-1".parse().unwrap(), life: id::Life(1) };
///
/// // A request is given up at one target and answered by another.
/// let request = sends.track();
/// sends.give_up(request, &target, &mut budget, now);
/// assert!(budget.try_spend(now));
/// sends.charge(request, &mut budget, now);
/// sends.record_arrival(request, &mut budget, now);
///
/// // The charge lasts until the target is heard of, and for a window from then.
/// let later = now + Duration::from_secs(30);
/// assert_eq!(budget.usage(later).spent, 1);
/// sends.settle(&target, later, &mut budget, later);
/// assert_eq!(budget.usage(later + Duration::from_secs(9)).spent, 1);
/// assert_eq!(budget.usage(later + Duration::from_secs(12)).spent, 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sends {
    requests: SlotMap<RequestKey, Request>,
    targets: collections::HashMap<id::TargetLife, Vec<Unsettled>>,
    count: usize,
}

impl Sends {
    /// Adds a request, none of whose sends have ended.
    pub fn track(&mut self) -> RequestKey {
        self.requests.insert(Request {
            active: true,
            ..Request::default()
        })
    }

    /// Records that a repeat of a request has been charged.
    pub fn charge(&mut self, key: RequestKey, budget: &mut budget::Budget, now: Instant) {
        if let Some(request) = self.requests.get_mut(key) {
            request.charged.push(now);
            request.update(budget, now);
        }
    }

    /// Records that a request is being sent.
    pub fn begin(&mut self, key: RequestKey, budget: &mut budget::Budget, now: Instant) {
        if let Some(request) = self.requests.get_mut(key) {
            request.in_flight = true;
            request.update(budget, now);
        }
    }

    /// Records that a request has reached a target; a repeat counts for a window from now.
    pub fn record_arrival(&mut self, key: RequestKey, budget: &mut budget::Budget, now: Instant) {
        if let Some(request) = self.requests.get_mut(key) {
            request.in_flight = false;
            request.end_send(End::Arrived, budget, now);
        }
    }

    /// Records that the request in flight never reaches its target.
    pub fn record_unsent(&mut self, key: RequestKey, budget: &mut budget::Budget, now: Instant) {
        if let Some(request) = self.requests.get_mut(key) {
            request.in_flight = false;
            request.end_send(End::Lost, budget, now);
        }
    }

    /// Records that a request was given up without a sign of its target.
    pub fn give_up(
        &mut self,
        key: RequestKey,
        target: &id::TargetLife,
        budget: &mut budget::Budget,
        now: Instant,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.in_flight = false;
        request.unsettled += 1;
        request.update(budget, now);
        let sends = self.targets.entry(target.clone()).or_default();
        sends.push(Unsettled {
            request: key,
            since: now,
        });
        self.count += 1;
        if self.count > UNSETTLED_MAX {
            self.drop_oldest(budget, now);
        }
    }

    /// Records that a request will not be sent any more.
    pub fn end(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.active = false;
        }
        self.remove_if_over(key);
    }

    /// Records that a target answered a request that was sent at `sent`, so that it has read what
    /// was sent before.
    pub fn settle(
        &mut self,
        target: &id::TargetLife,
        sent: Instant,
        budget: &mut budget::Budget,
        now: Instant,
    ) {
        let Some(sends) = self.targets.get_mut(target) else {
            return;
        };
        let settled: Vec<_> = sends.extract_if(.., |send| send.since <= sent).collect();
        if sends.is_empty() {
            self.targets.remove(target);
        }
        self.end_sends(&settled, End::Arrived, budget, now);
    }

    /// Ends the sends to targets that have ended, and those that are too old; returns those for
    /// which charges were held.
    pub fn expire(
        &mut self,
        has_ended: impl Fn(&id::TargetLife) -> bool,
        budget: &mut budget::Budget,
        now: Instant,
    ) -> Vec<Expired> {
        let requests = &self.requests;
        // A request that was sent only once leaves nothing to be charged.
        let is_over = |send: &Unsettled| !requests.contains_key(send.request);
        let mut ended = Vec::new();
        self.targets.retain(|life, sends| {
            let cause = match has_ended(life) {
                true => Expiry::TargetEnded,
                false => Expiry::TooOld,
            };
            let is_ended = |send: &Unsettled| {
                cause == Expiry::TargetEnded || now >= send.since + MAX_AGE || is_over(send)
            };
            let taken: Vec<_> = sends.extract_if(.., |send| is_ended(send)).collect();
            if !taken.is_empty() {
                ended.push((life.clone(), cause, taken));
            }
            !sends.is_empty()
        });
        let mut expired = Vec::new();
        for (target, cause, sends) in ended {
            // A target that has ended may have read them before.
            let end = match cause {
                Expiry::TargetEnded => End::Arrived,
                Expiry::TooOld => End::Lost,
            };
            let before = budget.usage(now).held;
            self.end_sends(&sends, end, budget, now);
            let repeats = before.saturating_sub(budget.usage(now).held) as usize;
            if repeats > 0 {
                expired.push(Expired {
                    target,
                    cause,
                    repeats,
                });
            }
        }
        expired
    }

    /// Returns the number of unsettled sends of requests that were sent again, and the time of the
    /// oldest.
    pub fn summary(&self) -> (usize, Option<Instant>) {
        let is_repeated = |send: &&Unsettled| {
            let request = self.requests.get(send.request);
            request.is_some_and(|r| r.held > 0 || !r.charged.is_empty())
        };
        let repeated = self.targets.values().flatten().filter(is_repeated);
        repeated.fold((0, None), |(count, oldest), send| {
            let oldest = oldest.map_or(send.since, |oldest: Instant| oldest.min(send.since));
            (count + 1, Some(oldest))
        })
    }

    /// Reports whether no send is unsettled.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn drop_oldest(&mut self, budget: &mut budget::Budget, now: Instant) {
        let oldest = self.targets.values().flatten().map(|send| send.since).min();
        // It counts as if it arrived now, as nothing is known of it.
        let mut dropped = Vec::new();
        self.targets.retain(|_, sends| {
            dropped.extend(sends.extract_if(.., |send| Some(send.since) == oldest));
            !sends.is_empty()
        });
        self.end_sends(&dropped, End::Arrived, budget, now);
    }

    fn end_sends(
        &mut self,
        sends: &[Unsettled],
        end: End,
        budget: &mut budget::Budget,
        now: Instant,
    ) {
        self.count -= sends.len();
        for send in sends {
            if let Some(request) = self.requests.get_mut(send.request) {
                request.unsettled -= 1;
                request.end_send(end, budget, now);
            }
            self.remove_if_over(send.request);
        }
    }

    fn remove_if_over(&mut self, key: RequestKey) {
        if self.requests.get(key).is_some_and(Request::is_over) {
            self.requests.remove(key);
        }
    }
}
