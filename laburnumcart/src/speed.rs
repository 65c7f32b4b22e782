//! Speed of the targets of one service, as a factor on the time that work usually takes.
//!
//! The factor of a target combines a figure that the target reports, which changes within fractions
//! of a second, and one that is learned by comparing its answers with those of the other targets.
//! The middle target of a service has the learned factor 1, which also holds for targets without
//! samples.

use std::time;

use tokio::time::Instant;

/// Lower bound of the reported and of the learned factor.
///
/// A false report or a few exceptional answers must neither attract all work nor keep off all work
/// for good.
const FACTOR_MIN: f64 = 0.25;
/// Upper bound of the learned factor, see [`FACTOR_MIN`].
const FACTOR_MAX: f64 = 4.0;

/// Upper bound of the reported slowdown; a slow machine may have busy neighbours as well.
const REPORT_MAX: f64 = 10.0;

/// Time after which a reported slowdown has no effect; it falls linearly until then.
///
/// Slowdowns last about this long, and a report comes at any time within one, so the probability
/// that it still lasts falls linearly.
const REPORT_TTL: time::Duration = time::Duration::from_millis(600);

/// Time after the last usable report until the factors of a service are no longer used.
const ACTIVE_FOR: time::Duration = time::Duration::from_secs(60);

/// Time after the last sample until the learned factor starts to decay.
const LEARNED_HOLD: time::Duration = time::Duration::from_secs(30);

/// Time in which a decaying learned factor halves its logarithm.
///
/// A target that gets little work because it was slow is tried again so, and its new answers
/// decide.
const LEARNED_HALF_LIFE: time::Duration = time::Duration::from_secs(60);

/// Least weight of the newest sample of a target.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Least weight of the newest sample of a service.
const BASELINE_WEIGHT: f64 = 0.02;

/// Number of octaves of expected work with separate means, from 1 ms.
const OCTAVES: usize = 16;

/// Steps of the affinity factor in an octave.
const STEPS: f64 = 2.0;

/// Distance in steps from which the affinity factor follows the learned one.
///
/// Above half a step, a factor near the border of two steps would move sessions to and fro.
const STEP_HYSTERESIS: f64 = 0.75;

/// Time between two log lines about unusable reports of one target.
const FAULT_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Slowdown in a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Figure {
    /// The report states none.
    #[default]
    Absent,
    /// Time that work takes, relative to its usual time.
    Usable(f64),
    /// The same, limited to what is plausible.
    Bounded(f64),
    /// The report states something that is not a positive number.
    Unreadable,
}

impl Figure {
    /// Converts a slowdown in percent of the usual time.
    ///
    /// ```
    /// use laburnumcart::speed;
    ///
    /// assert_eq!(speed::Figure::from_percent(250.0), speed::Figure::Usable(2.5));
    /// assert_eq!(speed::Figure::from_percent(10_000.0), speed::Figure::Bounded(10.0));
    /// assert_eq!(speed::Figure::from_percent(0.0), speed::Figure::Unreadable);
    /// ```
    pub fn from_percent(percent: f64) -> Self {
        let ratio = percent / 100.0;
        if !ratio.is_finite() || ratio <= 0.0 {
            return Self::Unreadable;
        }
        match (FACTOR_MIN..=REPORT_MAX).contains(&ratio) {
            true => Self::Usable(ratio),
            false => Self::Bounded(ratio.clamp(FACTOR_MIN, REPORT_MAX)),
        }
    }
}

/// Estimated speed of one run of a target.
#[derive(Clone, Debug)]
pub struct Estimate {
    reported: f64,
    reported_at: Option<Instant>,
    /// Mean of the reported slowdown at the times of the samples.
    mean: f64,
    /// Learned factor, as its natural logarithm.
    log: f64,
    learned: f64,
    samples: u32,
    sampled_at: Option<Instant>,
    /// Affinity factor in steps.
    step: f64,
    affinity: f64,
    /// Time of the last log line about unusable reports.
    fault_at: Option<Instant>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            reported: 1.0,
            reported_at: None,
            mean: 1.0,
            log: 0.0,
            learned: 1.0,
            samples: 0,
            sampled_at: None,
            step: 0.0,
            affinity: 1.0,
            fault_at: None,
        }
    }
}

impl Estimate {
    /// Returns the learned factor.
    pub fn learned(&self) -> f64 {
        self.learned
    }

    /// Returns the number of samples of the learned factor.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the reported slowdown relative to its mean.
    fn deviation(&self, now: Instant) -> f64 {
        let Some(at) = self.reported_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / REPORT_TTL.as_secs_f64();
        1.0 + (self.reported / self.mean - 1.0) * (1.0 - age).max(0.0)
    }

    /// Records the reported slowdown at the time of a sample.
    fn record_mean(&mut self, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let weight = sample_weight(self.samples, SAMPLE_WEIGHT);
        let reported = self.mean * self.deviation(now);
        self.mean += weight * (reported - self.mean);
    }

    fn set_log(&mut self, log: f64) {
        self.log = log.clamp(FACTOR_MIN.ln(), FACTOR_MAX.ln());
        self.learned = self.log.exp();
    }

    /// Sets the affinity factor; returns whether it has changed.
    fn update_step(&mut self) -> bool {
        let step = self.learned.log2() * STEPS;
        if (step - self.step).abs() <= STEP_HYSTERESIS {
            return false;
        }
        self.step = step.round();
        self.affinity = (self.step / STEPS).exp2();
        true
    }
}

/// Returns the weight of a sample that follows a first value counted as one sample.
fn sample_weight(samples: u32, least: f64) -> f64 {
    (1.0 / (1.0 + f64::from(samples))).max(least)
}

/// Mean logarithm of the time taken relative to the expected one, at a target with the factor 1.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    log: f64,
    samples: u32,
}

impl Baseline {
    /// Records a sample of a target.
    fn record(&mut self, estimate: &Estimate, log: f64) {
        let weight = match self.samples {
            0 => 1.0,
            samples => sample_weight(samples, BASELINE_WEIGHT),
        };
        self.samples = self.samples.saturating_add(1);
        self.log += weight * (log - estimate.log - self.log);
    }

    /// Records a sample of a target; returns its new learned factor as a logarithm.
    fn compare(&mut self, estimate: &Estimate, log: f64) -> f64 {
        self.record(estimate, log);
        let sample = (log - self.log).clamp(FACTOR_MIN.ln(), FACTOR_MAX.ln());
        let weight = sample_weight(estimate.samples, SAMPLE_WEIGHT);
        estimate.log + weight * (sample - estimate.log)
    }
}

/// Comparison of the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    enabled: bool,
    active: bool,
    /// Whether the factors were used at the last update.
    was_active: bool,
    reported_at: Option<Instant>,
    updated_at: Option<Instant>,
    first_tokens: [Baseline; OCTAVES],
    /// The mean over all octaves.
    scale: Baseline,
    pauses: Baseline,
}

impl Service {
    /// Sets whether factors are used while targets report their slowdown.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Reports whether factors are used.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns the factor on the time that work takes at a target.
    pub fn factor(&self, estimate: &Estimate, now: Instant) -> f64 {
        match self.active {
            true => estimate.learned * estimate.deviation(now),
            false => 1.0,
        }
    }

    /// Returns the learned factor on the time that work takes at a target.
    pub fn learned_factor(&self, estimate: &Estimate) -> f64 {
        match self.active {
            true => estimate.learned,
            false => 1.0,
        }
    }

    /// Returns the reported slowdown of a target relative to its mean.
    pub fn deviation(&self, estimate: &Estimate, now: Instant) -> f64 {
        match self.active {
            true => estimate.deviation(now),
            false => 1.0,
        }
    }

    /// Returns the learned factor of a target in steps, which most processes agree on.
    pub fn affinity_factor(&self, estimate: &Estimate) -> f64 {
        match self.active {
            true => estimate.affinity,
            false => 1.0,
        }
    }

    /// Returns the time to the first token relative to the expected one, at a target with the
    /// factor 1.
    pub fn scale(&self) -> f64 {
        match self.active {
            true => self.scale.log.exp(),
            false => 1.0,
        }
    }

    /// Records the slowdown in a report of a target; returns whether a fault of it is to be logged.
    pub fn record_figure(&mut self, estimate: &mut Estimate, figure: Figure, now: Instant) -> bool {
        if !self.enabled {
            return false;
        }
        if let Figure::Usable(ratio) | Figure::Bounded(ratio) = figure {
            estimate.reported = ratio;
            estimate.reported_at = Some(now);
            self.reported_at = Some(now);
            self.active = true;
        }
        if matches!(figure, Figure::Absent | Figure::Usable(_)) {
            return false;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FAULT_INTERVAL;
        let is_logged = estimate.fault_at.is_some_and(is_recent);
        if !is_logged {
            estimate.fault_at = Some(now);
        }
        !is_logged
    }

    /// Records a sample of a plain target, whose mean answer time is kept by the caller.
    pub fn record_answer(&mut self, estimate: &mut Estimate, now: Instant) {
        if self.active {
            estimate.record_mean(now);
        }
    }

    /// Records the time to the first token; `expected` is the one at a target with the factor 1.
    pub fn record_first_token(
        &mut self,
        estimate: &mut Estimate,
        expected: time::Duration,
        taken: time::Duration,
        now: Instant,
    ) {
        let millis = (expected.as_secs_f64() * 1e3).max(1.0);
        let octave = (millis.log2() as usize).min(OCTAVES - 1);
        let ratio = taken.as_secs_f64() * 1e3 / millis;
        if self.active && ratio > 0.0 {
            self.scale.record(estimate, ratio.ln());
            let log = self.first_tokens[octave].compare(estimate, ratio.ln());
            learn(estimate, log, now);
        }
    }

    /// Records the mean pause between the events of a stream.
    pub fn record_pause(&mut self, estimate: &mut Estimate, pause: time::Duration, now: Instant) {
        if self.active && !pause.is_zero() {
            let log = self.pauses.compare(estimate, pause.as_secs_f64().ln());
            learn(estimate, log, now);
        }
    }

    /// Ends what has expired and scales the learned factors so that the middle one is 1.
    ///
    /// To be called about once a second. Returns the keys of the targets whose affinity factor has
    /// changed, and whether the factors are used if that has changed.
    pub fn update<'a, K>(
        &mut self,
        estimates: impl Iterator<Item = (K, &'a mut Estimate)>,
        now: Instant,
    ) -> (Vec<K>, Option<bool>) {
        if !self.enabled {
            return (Vec::new(), None);
        }
        let is_over = |at: Instant| now.saturating_duration_since(at) >= ACTIVE_FOR;
        self.active = self.active && !self.reported_at.is_none_or(is_over);
        let change = (self.active != self.was_active).then_some(self.active);
        self.was_active = self.active;
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let mut estimates: Vec<_> = estimates.collect();
        for (_, estimate) in &mut estimates {
            let held_until = estimate.sampled_at.map(|at| at + LEARNED_HOLD);
            let decaying = held_until
                .map(|until| now.saturating_duration_since(until.max(updated_at)))
                .unwrap_or_default();
            if !decaying.is_zero() {
                let halvings = decaying.as_secs_f64() / LEARNED_HALF_LIFE.as_secs_f64();
                estimate.set_log(estimate.log * 0.5f64.powf(halvings));
            }
        }
        let sampled = estimates.iter().filter(|(_, e)| e.sampled_at.is_some());
        let mut logs: Vec<f64> = sampled.map(|(_, e)| e.log).collect();
        let count = logs.len();
        if count > 0 {
            let (_, middle, _) = logs.select_nth_unstable_by(count / 2, f64::total_cmp);
            self.shift(*middle, estimates.iter_mut().map(|(_, e)| &mut **e));
        }
        let changed = estimates.into_iter().filter_map(|(key, estimate)| {
            let is_changed = estimate.update_step();
            is_changed.then_some(key)
        });
        (changed.collect(), change)
    }

    /// Moves a common logarithm from the factors of sampled targets to the means of the service.
    fn shift<'a>(&mut self, common: f64, estimates: impl Iterator<Item = &'a mut Estimate>) {
        for estimate in estimates.filter(|e| e.sampled_at.is_some()) {
            estimate.set_log(estimate.log - common);
        }
        let baselines = self
            .first_tokens
            .iter_mut()
            .chain([&mut self.scale, &mut self.pauses]);
        for baseline in baselines.filter(|b| b.samples > 0) {
            baseline.log += common;
        }
    }
}

/// Applies a sample to a target.
fn learn(estimate: &mut Estimate, log: f64, now: Instant) {
    estimate.set_log(log);
    estimate.record_mean(now);
    estimate.sampled_at = Some(now);
}
