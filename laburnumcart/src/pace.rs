//! Slow start: how many requests an instance may have in flight to a target that has just started
//! or recovered.
//!
//! A target that has just started looks idle to all instances and attracts their traffic at once.
//! How much it takes is not known before it answers. The allowance therefore follows the answers:
//! it doubles while they arrive in the usual time, and is halved when the target refuses or fails.

mod shared;
mod usual;

use std::time;

use derive_more::Display;
use tokio::time::Instant;

pub use shared::Shared;
pub use usual::{
    Kind,
    Usual, //
};

use crate::unit;

/// Allowance of a started target from all instances together.
const INITIAL: u32 = 4;

/// Multiple of the usual time up to which an answer counts as usual.
///
/// Times at one target vary by less without overload.
const USUAL_FACTOR: f64 = 1.5;

/// Time of answers in the usual time after which a target is full.
const STEADY_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Usual answers for each slow one with which a target is steady.
const STEADY_RATIO: u32 = 3;

/// Time of slow answers after which they are taken as the target's own speed.
///
/// A machine slower than the others would otherwise never get its share.
const SLOW_PERIOD: time::Duration = time::Duration::from_secs(5);

/// Greatest multiple of the usual time that is taken as a target's own speed.
const OWN_SPEED_MAX: f64 = 4.0;

/// First requests per second of all instances to a target that does not state that it is cold.
///
/// Each instance may send one. Without spreading, a target would get one from each at once.
const FIRST_RATE: unit::Rate = unit::Rate(80.0);

/// Longest time for which an instance leaves the first requests to others.
const FIRST_DELAY_MAX: time::Duration = time::Duration::from_secs(2);

/// Pause at the least allowance after a refusal or failure.
///
/// A target that refuses at once looks idle.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Longest pause at the least allowance after a slow answer.
const SLOW_PAUSE_MAX: time::Duration = time::Duration::from_secs(2);

/// Greatest multiple of the slots that explains the time of an answer.
const EXCESS_MAX: f64 = 4.0;

/// Time for which a load report is valid.
const REPORT_TTL: time::Duration = time::Duration::from_secs(1);

/// State of a target.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum State {
    /// Gets few requests until one is answered in the usual time.
    Probing,
    /// Gets as many requests as its answers allow.
    Growing,
    /// Is not limited.
    Full,
}

/// Why the state of a target changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// A new run of the target was observed.
    Started,
    /// The target did not accept a connection, or did not respond.
    Lost,
    /// Answers arrived in the usual time.
    Answers,
    /// Answers arrived in the usual time for a second.
    Steady,
    /// The allowance has reached the slots of the target.
    Slots,
    /// The target refused a request for lack of capacity.
    Refused,
    /// The target failed a request.
    Failed,
}

/// Change of a target's state, with the inputs that caused it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Previous state.
    pub before: State,
    /// New state.
    pub after: State,
    /// Input that decided.
    pub cause: Cause,
    /// Allowance before the change of state.
    pub allowance: u32,
    /// Answers in the usual time since the allowance changed.
    pub usual: u32,
    /// Slower answers since then.
    pub slow: u32,
    /// Last answer's time as a multiple of the usual one.
    pub ratio: Option<f64>,
    /// Requests at the target by its last report.
    pub running: Option<u32>,
    /// Time since the target was first limited.
    pub age: time::Duration,
    /// Time since the first answer after that.
    pub answered: Option<time::Duration>,
}

/// Observation of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The first answer to a request; `ratio` is its time as a multiple of the usual one, if known.
    Answer {
        /// When the request was sent.
        sent: Instant,
        /// Time of the answer, as a multiple of the usual time.
        ratio: Option<f64>,
    },
    /// A refusal for lack of capacity.
    Refusal {
        /// When the request was sent.
        sent: Instant,
    },
    /// A failed request, or one without an answer.
    Failure {
        /// When the request was sent.
        sent: Instant,
    },
    /// A refused connection, a crash, or silence of the target.
    Lost,
    /// Requests that the target has from all instances, and how many it runs at once.
    Report {
        /// Running and waiting requests.
        running: u32,
        /// Requests that the target runs at once, if it states it.
        slots: Option<u32>,
    },
}

/// Pace of one run of a target, as decided by one instance.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::pace;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut pace = pace::Pace::started(4, now);
/// assert_eq!(pace.allowance(), Some(1));
/// let answered = now + Duration::from_millis(50);
/// let answer = pace::Observation::Answer { sent: now, ratio: Some(1.0) };
/// pace.record(answer, answered);
/// assert_eq!((pace.state(), pace.allowance()), (pace::State::Growing, Some(2)));
/// ```
#[derive(Clone, Debug)]
pub struct Pace {
    state: State,
    allowance: u32,
    /// Instances that send to the target.
    members: u32,
    /// Part of the initial allowance for this instance.
    share: u32,
    /// When the target was first limited.
    started: Instant,
    /// First answer since then.
    answered: Option<Instant>,
    /// When the allowance last changed; answers to requests that were sent before do not count.
    changed: Instant,
    /// First counted answer at this allowance.
    window: Option<Instant>,
    /// Answers in the usual time in the window.
    usual: u32,
    /// Other answers in the window.
    slow: u32,
    /// First of the slow answers that may show the target's own speed.
    slow_since: Option<Instant>,
    /// Sum of the ratios since then.
    ratios: f64,
    /// Answers since then.
    ratio_count: u32,
    last_ratio: Option<f64>,
    /// Own speed of the target, as a multiple of the usual time.
    own_speed: f64,
    running: Option<(u32, Instant)>,
    slots: Option<u32>,
    /// When an answer or a report last arrived.
    last_heard: Option<Instant>,
    /// Time before which nothing is sent.
    paused_until: Instant,
}

impl Pace {
    /// Creates the pace of a target that is not limited, as it was there before this instance.
    pub fn full(members: usize, now: Instant) -> Self {
        Self {
            state: State::Full,
            ..Self::started(members, now)
        }
    }

    /// Creates the pace of a target that has just started; `members` instances send to it.
    pub fn started(members: usize, now: Instant) -> Self {
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        let share = (INITIAL / members).max(1);
        Self {
            state: State::Probing,
            allowance: share,
            members,
            share,
            started: now,
            answered: None,
            changed: now,
            window: None,
            usual: 0,
            slow: 0,
            slow_since: None,
            ratios: 0.0,
            ratio_count: 0,
            last_ratio: None,
            own_speed: 1.0,
            running: None,
            slots: None,
            last_heard: None,
            paused_until: now,
        }
    }

    /// Delays the first request, so that those of all instances arrive one after the other.
    ///
    /// `rate` is what the target accepts while it is cold, if it states that it is; `rank` is the
    /// position of this instance among the members, from 0, in an order that all compute alike.
    #[must_use]
    pub fn spread(mut self, rate: Option<unit::Rate>, rank: usize) -> Self {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let rate = rate.unwrap_or(FIRST_RATE).0.max(f64::MIN_POSITIVE);
        let secs = f64::from(rank.saturating_add(1).saturating_sub(INITIAL)) / rate;
        let secs = secs.min(FIRST_DELAY_MAX.as_secs_f64());
        self.paused_until += time::Duration::from_secs_f64(secs);
        self
    }

    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the greatest number of requests in flight, at least 1; `None` if it is not limited.
    pub fn allowance(&self) -> Option<u32> {
        (self.state != State::Full).then_some(self.allowance)
    }

    /// Reports whether answers of the target show the usual time: it is not limited, and has no more
    /// requests than slots by its last report.
    pub fn is_comparable(&self, now: Instant) -> bool {
        self.state == State::Full && self.excess(now) <= 1.0
    }

    /// Reports whether one more request may be sent besides `in_flight` of this instance.
    pub fn can_send(&self, in_flight: u32, now: Instant) -> bool {
        self.state == State::Full || in_flight < self.allowance && now >= self.paused_until
    }

    /// Records an observation and returns the change of state that it caused.
    pub fn record(&mut self, observation: Observation, now: Instant) -> Option<Change> {
        match observation {
            Observation::Answer { sent, ratio } => self.record_answer(sent, ratio, now),
            Observation::Refusal { sent } => self.shrink(sent, Cause::Refused, now),
            Observation::Failure { sent } if self.state == State::Full => {
                // Single requests fail at targets that are well. One that has answered nothing
                // since the request was sent may have stopped.
                let is_heard = self.last_heard.is_some_and(|at| at >= sent);
                if is_heard { None } else { self.restart(now) }
            }
            Observation::Failure { sent } => self.shrink(sent, Cause::Failed, now),
            Observation::Lost => self.restart(now),
            Observation::Report { running, slots } => {
                self.last_heard = Some(now);
                self.running = Some((running, now));
                self.slots = slots.or(self.slots);
                None
            }
        }
    }

    fn record_answer(&mut self, sent: Instant, ratio: Option<f64>, now: Instant) -> Option<Change> {
        self.last_heard = Some(now);
        if self.state == State::Full {
            return None;
        }
        self.answered.get_or_insert(now);
        // Requests that were sent at another allowance do not show how the target takes this one.
        if sent < self.changed {
            return None;
        }
        // What waits at the target was sent by others as well, and says nothing of its speed.
        let ratio = ratio.map(|ratio| ratio / self.excess(now).min(EXCESS_MAX));
        self.last_ratio = ratio;
        let ratio = ratio.unwrap_or(1.0);
        self.window.get_or_insert(now);
        match ratio <= USUAL_FACTOR * self.own_speed {
            true => self.usual += 1,
            false => {
                self.slow += 1;
                self.slow_since.get_or_insert(now);
                self.pause_slow(now.saturating_duration_since(sent), now);
            }
        }
        if self.slow_since.is_some() {
            self.ratios += ratio;
            self.ratio_count += 1;
        }
        let age = self
            .window
            .map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        if self.usual.saturating_sub(self.slow) >= self.allowance && self.may_grow(now) {
            return self.grow(now);
        }
        if age >= STEADY_PERIOD {
            if self.usual > STEADY_RATIO * self.slow {
                return self.change(State::Full, Cause::Steady, now);
            }
            if self.usual >= self.slow {
                self.clear_slow();
            }
            self.clear_window();
        }
        if self
            .slow_since
            .is_some_and(|since| now >= since + SLOW_PERIOD)
        {
            self.learn_speed(now);
            self.clear_slow();
            self.clear_window();
        }
        None
    }

    /// Pauses after a slow answer at the least allowance.
    ///
    /// One request of each of many instances may be more than a slow target can take. If each
    /// pauses in proportion to the excess, the initial allowance is in flight from all together, or
    /// as many as the target has slots.
    fn pause_slow(&mut self, taken: time::Duration, now: Instant) {
        if self.allowance > 1 {
            return;
        }
        let by_members = f64::from(self.members) / f64::from(INITIAL);
        let excess = by_members.max(self.excess(now)) - 1.0;
        let pause = taken.mul_f64(excess.max(0.0));
        self.paused_until = now + pause.min(SLOW_PAUSE_MAX);
    }

    /// Returns the requests at the target as a multiple of its slots, at least 1.
    fn excess(&self, now: Instant) -> f64 {
        match (self.fresh_running(now), self.slots) {
            (Some(running), Some(slots)) => (f64::from(running) / f64::from(slots.max(1))).max(1.0),
            _ => 1.0,
        }
    }

    /// Reports whether the target has free slots by its own report, or may have without one.
    fn has_headroom(&self, now: Instant) -> bool {
        match (self.fresh_running(now), self.slots) {
            (Some(running), Some(slots)) => running < slots,
            _ => true,
        }
    }

    fn fresh_running(&self, now: Instant) -> Option<u32> {
        let fresh = self.running.filter(|(_, at)| now < *at + REPORT_TTL);
        fresh.map(|(running, _)| running)
    }

    /// Reports whether the allowance may double.
    ///
    /// Each instance knows only its own requests; the target's report has those of all.
    fn may_grow(&self, now: Instant) -> bool {
        self.allowance < self.share || self.has_headroom(now)
    }

    fn grow(&mut self, now: Instant) -> Option<Change> {
        let allowance = self.allowance.saturating_mul(2);
        if self.slots.is_some_and(|slots| allowance >= slots) {
            return self.change(State::Full, Cause::Slots, now);
        }
        let change = self.change(State::Growing, Cause::Answers, now);
        self.set_allowance(allowance, now);
        change
    }

    /// Takes slow answers as the target's own speed, unless its load explains them.
    fn learn_speed(&mut self, now: Instant) {
        let is_reported = self.slots.is_some() && self.fresh_running(now).is_some();
        let is_lightly_used = self.allowance <= self.share || is_reported;
        if is_lightly_used && self.has_headroom(now) && self.ratio_count > 0 {
            let mean = self.ratios / f64::from(self.ratio_count);
            self.own_speed = mean.clamp(1.0, OWN_SPEED_MAX);
        }
    }

    /// Halves the allowance, once for all requests that were sent at the previous one.
    fn shrink(&mut self, sent: Instant, cause: Cause, now: Instant) -> Option<Change> {
        if self.state == State::Full || sent < self.changed {
            return None;
        }
        let allowance = (self.allowance / 2).max(1);
        let state = match allowance <= self.share {
            true => State::Probing,
            false => State::Growing,
        };
        let change = self.change(state, cause, now);
        if self.allowance == 1 {
            self.paused_until = now + REFUSED_PAUSE;
        }
        self.set_allowance(allowance, now);
        change
    }

    /// Limits the target as if it had just started.
    fn restart(&mut self, now: Instant) -> Option<Change> {
        let change = self.change(State::Probing, Cause::Lost, now);
        if change.is_some_and(|change| change.before == State::Full) {
            self.started = now;
        }
        self.answered = None;
        self.own_speed = 1.0;
        self.running = None;
        self.paused_until = now + REFUSED_PAUSE;
        self.set_allowance(self.share, now);
        change
    }

    fn change(&mut self, state: State, cause: Cause, now: Instant) -> Option<Change> {
        let before = std::mem::replace(&mut self.state, state);
        let since = |at: Instant| now.saturating_duration_since(at);
        (before != state).then(|| Change {
            before,
            after: state,
            cause,
            allowance: self.allowance,
            usual: self.usual,
            slow: self.slow,
            ratio: self.last_ratio,
            running: self.running.map(|(running, _)| running),
            age: since(self.started),
            answered: self.answered.map(since),
        })
    }

    fn set_allowance(&mut self, allowance: u32, now: Instant) {
        self.allowance = allowance;
        self.changed = now;
        self.clear_slow();
        self.clear_window();
    }

    fn clear_slow(&mut self) {
        self.slow_since = None;
        self.ratios = 0.0;
        self.ratio_count = 0;
    }

    fn clear_window(&mut self) {
        self.window = None;
        self.usual = 0;
        self.slow = 0;
    }
}
