//! Outlier detection: ejects targets that fail or are slow compared with the others.
//!
//! A target that fails fast looks idle and would attract traffic. It is ejected after consecutive
//! failures, or when its failure rate or latency is far above that of the others. A cap limits the
//! ratio of ejected targets: if all fail alike, the cause lies elsewhere, and ejection would only
//! shift the load. After the ejection time, single probes show whether a target has recovered.

use std::time;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::unit;

mod score;

use score::Score;

slotmap::new_key_type! {
    /// Key of a target in one detector.
    pub struct TargetKey;
}

/// Time between two comparisons of all targets.
pub const COMPARISON_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Consecutive failures that eject a target at once.
const MAX_FAILURES: u32 = 5;

/// Successful probes that end an ejection.
const PROBES: u32 = 3;

/// Duration of the first ejection, doubled for each further one.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(5);

/// Greatest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 6;

/// Time after which a probe without an outcome is given up.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Excess of the failure rate over the median from which a target is an outlier.
const FAILURE_RATE_MARGIN: f64 = 0.25;

/// Multiple of the median latency from which a target is an outlier.
const LATENCY_FACTOR: f64 = 4.0;

/// Outcome of a call to a target; refusals for lack of capacity are not recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Complete response after this time.
    Success(time::Duration),
    /// The target failed.
    Failure,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Gets work.
    Ready,
    /// Gets no work until this time.
    Ejected(Instant),
    /// Gets one probe at a time; `Some` is when the one in flight was sent.
    HalfOpen(Option<Instant>),
}

#[derive(Clone, Debug)]
struct Target {
    state: State,
    score: Score,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive successful probes.
    probes_passed: u32,
    /// Ejections, halved by each recovery.
    ejections: u32,
}

/// Outlier detector of the targets of one service.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{outlier, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut detector = outlier::Detector::new(unit::Share(0.5), now);
/// let (bad, good) = (detector.add(), detector.add());
/// for _ in 0..5 {
///     detector.record_outcome(bad, outlier::Outcome::Failure, now);
///     detector.record_outcome(good, outlier::Outcome::Success(Duration::from_millis(20)), now);
/// }
/// assert!(!detector.can_send(bad, now) && detector.can_send(good, now));
/// // After the ejection time a single probe is allowed.
/// let later = now + Duration::from_secs(10);
/// assert!(detector.can_send(bad, later));
/// detector.record_send(bad, later);
/// assert!(!detector.can_send(bad, later));
/// ```
#[derive(Clone, Debug)]
pub struct Detector {
    targets: SlotMap<TargetKey, Target>,
    /// Greatest ratio of targets that are not ready.
    cap: f64,
    /// Targets that are not ready.
    ejected: usize,
    last_comparison: Instant,
}

impl Detector {
    /// Creates a detector that ejects at most the ratio `cap` of its targets.
    pub fn new(cap: unit::Share, now: Instant) -> Self {
        Self {
            targets: SlotMap::with_key(),
            cap: cap.0,
            ejected: 0,
            last_comparison: now,
        }
    }

    /// Returns the number of targets that are ejected or being probed.
    pub fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// Returns the state of a target; a removed one is ready.
    pub fn state(&self, key: TargetKey) -> State {
        self.targets.get(key).map_or(State::Ready, |t| t.state)
    }

    /// Reports whether a call may be sent to a target.
    pub fn can_send(&self, key: TargetKey, now: Instant) -> bool {
        match self.state(key) {
            State::Ready => true,
            State::Ejected(until) => until <= now,
            State::HalfOpen(None) => true,
            // A probe without an outcome must not keep its target ejected forever.
            State::HalfOpen(Some(at)) => now.saturating_duration_since(at) > PROBE_TIMEOUT,
        }
    }

    /// Adds a target.
    pub fn add(&mut self) -> TargetKey {
        self.targets.insert(Target {
            state: State::Ready,
            score: Score::default(),
            failures: 0,
            probes_passed: 0,
            ejections: 0,
        })
    }

    /// Removes a target; restores ejected ones that now exceed the cap.
    pub fn remove(&mut self, key: TargetKey) {
        let removed = self.targets.remove(key);
        if removed.is_some_and(|target| target.state != State::Ready) {
            self.ejected -= 1;
        }
        self.enforce_cap();
    }

    /// Records that a call is sent to a target.
    pub fn record_send(&mut self, key: TargetKey, now: Instant) {
        if let Some(target) = self.targets.get_mut(key)
            && target.state != State::Ready
        {
            target.state = State::HalfOpen(Some(now));
        }
    }

    /// Records the outcome of a call to a target.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: Outcome, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.score.record(outcome);
        match outcome {
            Outcome::Success(_) => target.failures = 0,
            Outcome::Failure => target.failures += 1,
        }
        match target.state {
            State::Ready if target.failures >= MAX_FAILURES => self.eject(key, now),
            State::HalfOpen(_) => self.end_probe(key, outcome, now),
            // Calls that were sent before the ejection do not show a recovery.
            State::Ready | State::Ejected(_) => {}
        }
        if now.saturating_duration_since(self.last_comparison) >= COMPARISON_INTERVAL {
            self.compare(now);
        }
    }

    /// Compares the ready targets and ejects the outliers, worst first.
    fn compare(&mut self, now: Instant) {
        self.last_comparison = now;
        let ready = self.targets.iter().filter(|(_, t)| t.state == State::Ready);
        let scores = ready.filter(|(_, t)| t.score.has_enough_calls());
        let scores: Vec<_> = scores.map(|(key, t)| (key, t.score)).collect();
        let medians = score::medians(scores.iter().map(|(_, score)| score));
        let mut outliers: Vec<_> = scores
            .iter()
            .map(|(key, score)| (score.excess(&medians), *key))
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
        if self.ejected >= self.max_ejected() {
            return;
        }
        self.ejected += 1;
        self.start_ejection(key, now);
    }

    fn start_ejection(&mut self, key: TargetKey, now: Instant) {
        let target = &mut self.targets[key];
        let period = BASE_EJECTION * (1 << target.ejections.min(MAX_DOUBLINGS));
        target.state = State::Ejected(now + period);
        target.ejections += 1;
        target.probes_passed = 0;
    }

    fn end_probe(&mut self, key: TargetKey, outcome: Outcome, now: Instant) {
        if outcome == Outcome::Failure {
            self.start_ejection(key, now);
            return;
        }
        let target = &mut self.targets[key];
        target.probes_passed += 1;
        target.state = State::HalfOpen(None);
        if target.probes_passed >= PROBES {
            self.restore(key);
        }
    }

    fn restore(&mut self, key: TargetKey) {
        let target = &mut self.targets[key];
        target.state = State::Ready;
        target.failures = 0;
        // Halved rather than reset, so that a target that soon fails again is ejected for longer.
        target.ejections /= 2;
        self.ejected -= 1;
    }

    /// Restores targets until the ejected ones are within the cap.
    fn enforce_cap(&mut self) {
        while self.ejected > self.max_ejected() {
            let ejected = self.targets.iter().find(|(_, t)| t.state != State::Ready);
            let Some((key, _)) = ejected else {
                return;
            };
            self.restore(key);
        }
    }

    /// Returns the greatest number of targets that may be ejected.
    fn max_ejected(&self) -> usize {
        (self.cap * self.targets.len() as f64) as usize
    }
}
