//! Exclusion of targets that fail or are slow compared with the others.
//!
//! A target that fails fast looks idle and would draw traffic. It is ejected after a run of
//! failures, or when its success rate or latency is far from that of the others. At most a share
//! of the targets is ejected at a time: when all fail alike, the cause is elsewhere, and ejecting
//! would only move the load. After a while single trials show whether a target has recovered.

use std::time;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::unit;

mod score;

use score::Score;

slotmap::new_key_type! {
    /// A target of one ejector.
    pub struct TargetKey;
}

/// Time between two comparisons of all targets.
pub const COMPARISON_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Failures in a row that eject a target at once.
const FAILURES: u32 = 5;

/// Successful trials that end an ejection.
const TRIALS: u32 = 3;

/// First time of an ejection, doubled by each one that follows a failed trial.
const BASE: time::Duration = time::Duration::from_secs(5);

/// Most doublings.
const DOUBLINGS: u32 = 6;

/// Time after which a trial that never ended is given up.
const TRIAL_MAX: time::Duration = time::Duration::from_secs(30);

/// Failure rate above that of the others that makes an outlier.
const FAILING: f64 = 0.25;

/// Multiple of the others' latency that makes an outlier.
const SLOW: f64 = 4.0;

/// How a call to a target ended; refusals for lack of room are not counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Whole answer after this time.
    Success(time::Duration),
    /// Failure of the target.
    Failure,
}

/// Standing of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Takes no work until this moment.
    Ejected(Instant),
    /// Takes one call at a time; `Some` is when the present one started.
    HalfOpen(Option<Instant>),
}

#[derive(Clone, Debug)]
struct Target {
    state: State,
    score: Score,
    /// Failures in a row.
    failed: u32,
    /// Successful trials in a row.
    passed: u32,
    /// Ejections without a recovery between.
    ejected: u32,
}

/// Ejector of the targets of one service.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{outlier, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut ejector = outlier::Detector::new(unit::Share(0.5), now);
/// let (bad, good) = (ejector.add(), ejector.add());
/// for _ in 0..5 {
///     ejector.record_outcome(bad, outlier::Outcome::Failure, now);
///     ejector.record_outcome(good, outlier::Outcome::Success(Duration::from_millis(20)), now);
/// }
/// assert!(!ejector.can_send(bad, now) && ejector.can_send(good, now));
/// // After a while a single trial is allowed.
/// let later = now + Duration::from_secs(10);
/// assert!(ejector.can_send(bad, later));
/// ejector.record_send(bad, later);
/// assert!(!ejector.can_send(bad, later));
/// ```
#[derive(Clone, Debug)]
pub struct Detector {
    targets: SlotMap<TargetKey, Target>,
    cap: f64,
    /// Targets that are not ready.
    out: usize,
    compared: Instant,
}

impl Detector {
    /// Creates an ejector that excludes at most a share of its targets.
    pub fn new(cap: unit::Share, now: Instant) -> Self {
        Self {
            targets: SlotMap::with_key(),
            cap: cap.0,
            out: 0,
            compared: now,
        }
    }

    /// Returns the number of targets that are ejected or on trial.
    pub fn ejected_count(&self) -> usize {
        self.out
    }

    /// Returns the standing of a target; one that was removed is ready.
    pub fn state(&self, key: TargetKey) -> State {
        self.targets.get(key).map_or(State::Ready, |t| t.state)
    }

    /// Reports whether a call may be sent to a target.
    pub fn can_send(&self, key: TargetKey, now: Instant) -> bool {
        match self.state(key) {
            State::Ready => true,
            State::Ejected(until) => until <= now,
            State::HalfOpen(None) => true,
            // A trial whose end is never told must not keep its target out for good.
            State::HalfOpen(Some(at)) => now.saturating_duration_since(at) > TRIAL_MAX,
        }
    }

    /// Adds a target.
    pub fn add(&mut self) -> TargetKey {
        self.targets.insert(Target {
            state: State::Ready,
            score: Score::default(),
            failed: 0,
            passed: 0,
            ejected: 0,
        })
    }

    /// Removes a target; with fewer left, those that fit no more under the cap are readmitted.
    pub fn remove(&mut self, key: TargetKey) {
        let removed = self.targets.remove(key);
        if removed.is_some_and(|target| target.state != State::Ready) {
            self.out -= 1;
        }
        self.readmit();
    }

    /// Tells that a call is sent to a target.
    pub fn record_send(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key)
            && target.state != State::Ready
        {
            target.state = State::HalfOpen(Some(now));
        }
    }

    /// Takes in how a call ended.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: Outcome, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.score.record(outcome);
        match outcome {
            Outcome::Success(_) => target.failed = 0,
            Outcome::Failure => target.failed += 1,
        }
        match target.state {
            State::Ready if target.failed >= FAILURES => self.eject(key, now),
            State::HalfOpen(_) => self.end_trial(key, outcome, now),
            // Calls that were sent before the ejection say nothing of recovery.
            State::Ready | State::Ejected(_) => {}
        }
        if now.saturating_duration_since(self.compared) >= COMPARISON_INTERVAL {
            self.compare(now);
        }
    }

    /// Compares all targets with one another, and ejects the outliers from the worst on.
    fn compare(&mut self, now: Instant) {
        self.compared = now;
        let ready = self.targets.iter().filter(|(_, t)| t.state == State::Ready);
        let scores = ready.filter(|(_, t)| t.score.is_enough());
        let scores: Vec<_> = scores.map(|(key, t)| (key, t.score)).collect();
        let usual = score::usual(scores.iter().map(|(_, score)| score));
        let mut outliers: Vec<_> = scores
            .iter()
            .map(|(key, score)| (score.excess(&usual), *key))
            .filter(|(excess, _)| *excess > 1.0)
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, key) in outliers {
            self.eject(key, now);
        }
        for target in self.targets.values_mut() {
            target.score = Score::default();
        }
    }

    /// Ejects a ready target, if the cap allows.
    fn eject(&mut self, key: TargetKey, now: Instant) {
        if self.out >= self.room() {
            return;
        }
        self.out += 1;
        self.exclude(key, now);
    }

    fn exclude(&mut self, key: TargetKey, now: Instant) {
        let target = &mut self.targets[key];
        let period = BASE * (1 << target.ejected.min(DOUBLINGS));
        target.state = State::Ejected(now + period);
        target.ejected += 1;
        target.passed = 0;
    }

    fn end_trial(&mut self, key: TargetKey, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Failure {
            self.exclude(key, now);
            return;
        }
        let target = &mut self.targets[key];
        target.passed += 1;
        target.state = State::HalfOpen(None);
        if target.passed >= TRIALS {
            self.restore(key);
        }
    }

    fn restore(&mut self, key: TargetKey) {
        let target = &mut self.targets[key];
        target.state = State::Ready;
        target.failed = 0;
        // A target that fails again soon after is kept out longer; each recovery forgives half.
        target.ejected /= 2;
        self.out -= 1;
    }

    fn readmit(&mut self) {
        while self.out > self.room() {
            let out = self.targets.iter().find(|(_, t)| t.state != State::Ready);
            let Some((key, _)) = out else {
                return;
            };
            self.restore(key);
        }
    }

    /// Returns the most targets that may be out.
    fn room(&self) -> usize {
        (self.cap * self.targets.len() as f64) as usize
    }
}
