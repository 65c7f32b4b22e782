//! Admission, retry, hedging and outlier decisions, and the statistics they are based on.
//!
//! All traffic threads share one lock: the state is small and it is held only briefly.

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::time;

use laburnumcart::{
    admission,
    budget,
    bundle,
    estimate,
    hedge,
    id,
    outlier,
    retry,
    unit,
    verdict, //
};

use crate::request;

/// Largest share of a service's targets that is ejected at a time.
const MAX_EJECTED: unit::Share = unit::Share(0.34);

/// Quantile of a stage's duration above which an attempt is a straggler.
const STRAGGLER_QUANTILE: f64 = 0.95;

/// Time from the first result of a stage until its attempts can be stragglers.
const WARMUP_TIME: time::Duration = time::Duration::from_secs(10);

/// Smallest multiple of the duration expected at dispatch that makes an attempt a straggler.
const STRAGGLER_FACTOR: u32 = 3;

type Key = (id::PipelineName, id::StageName);

/// Decides on the requests and attempts of one entry.
#[derive(Debug)]
pub struct Policy {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    admission: admission::Controller,
    teams: collections::HashMap<id::TeamName, admission::TeamKey>,
    services: collections::HashMap<id::ServiceName, Service>,
    /// Processing time at the target, to estimate whether a request can meet its deadline.
    busy: estimate::Estimates<Key>,
    /// Time from dispatch to the complete result, to detect stragglers.
    elapsed: estimate::Estimates<Key>,
    /// Arrival time of each stage's first result.
    first_results: collections::HashMap<Key, time::Instant>,
    throughput: estimate::Throughput,
}

#[derive(Debug)]
struct Service {
    retries: budget::Budget,
    hedges: budget::Budget,
    outliers: outlier::Detector,
    targets: collections::HashMap<id::TargetName, outlier::TargetKey>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd<'a> {
    /// Service of the target.
    pub service: &'a id::ServiceName,
    /// Target of the attempt.
    pub target: &'a id::TargetName,
    /// Time since the attempt was sent.
    pub elapsed: time::Duration,
    /// Refusal; `None` if the result is complete.
    pub refusal: Option<verdict::Refusal>,
}

impl Default for Policy {
    fn default() -> Self {
        let now = time::Instant::now();
        Self {
            state: Mutex::new(State {
                admission: admission::Controller::new(now),
                teams: collections::HashMap::new(),
                services: collections::HashMap::new(),
                busy: estimate::Estimates::default(),
                elapsed: estimate::Estimates::default(),
                first_results: collections::HashMap::new(),
                throughput: estimate::Throughput::new(now),
            }),
        }
    }
}

impl Policy {
    /// Admits a request, or refuses it before any of it has executed.
    pub fn admit(self: &Arc<Self>, head: &request::Head) -> Result<Admitted, verdict::Refusal> {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.check_deadline(head, now)?;
        let weight = head.rules.bundle.teams[&head.team].weight;
        let key = state.team_key(&head.team, weight);
        state
            .admission
            .admit(key, head.priority, now, &mut rand::rng())?;
        drop(state);
        Ok(Admitted {
            policy: self.clone(),
            key,
            outcome: admission::Outcome::Refused(verdict::Reason::Cancelled),
        })
    }

    /// Drops the state of teams, stages and services that are not in a new bundle.
    ///
    /// The samples of one stage take tens of kilobytes. A request of an older generation may add an
    /// entry again; it is dropped when the next bundle is applied.
    pub fn prune(&self, bundle: &bundle::Bundle) {
        let mut state = self.lock();
        let State {
            teams,
            admission,
            services,
            busy,
            elapsed,
            first_results,
            ..
        } = &mut *state;
        let is_known = |(pipeline, stage): &Key| {
            let pipeline = bundle.pipelines.get(pipeline);
            pipeline.is_some_and(|p| p.stages.iter().any(|s| s.name == *stage))
        };
        first_results.retain(|key, _| is_known(key));
        busy.retain(&is_known);
        elapsed.retain(is_known);
        services.retain(|service, _| bundle.services.contains_key(service));
        teams.retain(|team, key| {
            let kept = bundle.teams.contains_key(team);
            if !kept {
                admission.remove_team(*key);
            }
            kept
        });
    }

    /// Returns the expected time of the stages from index `from` on.
    pub fn expected_rest(&self, head: &request::Head, from: usize) -> time::Duration {
        self.lock().expected_rest(head, from, time::Instant::now())
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&self, service: &id::ServiceName, target: &id::TargetName) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let service = state.service(service, now);
        let key = service.target_key(target);
        service.outliers.record_send(key, now);
        service.hedges.deposit(now);
    }

    /// Records the outcome of an attempt.
    pub fn record_end(&self, end: &AttemptEnd<'_>) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let service = state.service(end.service, now);
        let key = service.target_key(end.target);
        let Some(refusal) = end.refusal else {
            let outcome = outlier::Outcome::Success(end.elapsed);
            service.outliers.record_outcome(key, outcome, now);
            service.retries.deposit(now);
            return;
        };
        if is_target_fault(refusal.reason) {
            service
                .outliers
                .record_outcome(key, outlier::Outcome::Failure, now);
        }
        if retry::is_overload(refusal.reason) {
            service.hedges.record_refusal(now);
        }
    }

    /// Records the processing time and the total time of an attempt with a complete result.
    pub fn record_duration(
        &self,
        head: &request::Head,
        stage: &id::StageName,
        busy: time::Duration,
        elapsed: time::Duration,
    ) {
        let now = time::Instant::now();
        let key = (head.pipeline.clone(), stage.clone());
        let mut state = self.lock();
        state.busy.record(key.clone(), busy, now);
        state.first_results.entry(key.clone()).or_insert(now);
        state.elapsed.record(key, elapsed, now);
    }

    /// Decides whether a failed attempt is retried; `needed` is the expected time of this stage and
    /// those after it.
    pub fn decide_retry(
        &self,
        head: &request::Head,
        service: &id::ServiceName,
        attempts: &mut retry::Attempts,
        failure: &retry::Failure,
        needed: time::Duration,
    ) -> retry::Decision {
        let now = time::Instant::now();
        let time = retry::TimeBudget {
            remaining: head.remaining(),
            needed,
            now,
        };
        let mut state = self.lock();
        let retries = &mut state.service(service, now).retries;
        retries.set_ratio(head.rules.bundle.limits.retry_ratio);
        attempts.decide(failure, time, retries)
    }

    /// Decides whether to hedge an attempt in flight; `expected` is its duration as estimated at
    /// dispatch.
    pub fn decide_hedge(
        &self,
        head: &request::Head,
        stage: &bundle::Stage,
        elapsed: time::Duration,
        expected: time::Duration,
    ) -> hedge::Decision {
        let ratio = head.rules.bundle.limits.hedge_ratio;
        if ratio.0 == 0.0 {
            return hedge::Decision::Never;
        }
        let now = time::Instant::now();
        let key = (head.pipeline.clone(), stage.name.clone());
        let mut state = self.lock();
        // In a burst, attempts queue and exceed the usual quantile. Their estimate at dispatch
        // includes that wait, and hedging them would only prolong the burst.
        let quantile = state.straggler_threshold(&key, now);
        let attempt = hedge::Attempt {
            idempotent: head.is_stage_idempotent(stage),
            hedged: false,
            elapsed,
            remaining: head.remaining(),
            median: state.elapsed.quantile(&key, 0.5, now),
            quantile: quantile.map(|quantile| quantile.max(expected * STRAGGLER_FACTOR)),
        };
        let hedges = &mut state.service(&stage.service, now).hedges;
        hedges.set_ratio(ratio);
        hedge::decide(&attempt, hedges, now)
    }

    /// Returns whether a target is ejected as an outlier.
    pub fn is_ejected(&self, service: &id::ServiceName, target: &id::TargetName) -> bool {
        let now = time::Instant::now();
        let state = self.lock();
        let Some(service) = state.services.get(service) else {
            return false;
        };
        let key = service.targets.get(target);
        key.is_some_and(|key| !service.outliers.can_send(*key, now))
    }

    /// Drops the state of a service's targets that are not in `known`.
    pub fn retain_targets(&self, service: &id::ServiceName, known: &[id::TargetName]) {
        let mut state = self.lock();
        let Some(service) = state.services.get_mut(service) else {
            return;
        };
        let Service {
            targets, outliers, ..
        } = service;
        targets.retain(|target, key| {
            let kept = known.contains(target);
            if !kept {
                outliers.remove(*key);
            }
            kept
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn check_deadline(
        &mut self,
        head: &request::Head,
        now: time::Instant,
    ) -> Result<(), verdict::Refusal> {
        let estimate = estimate::Remaining {
            time_left: head.remaining(),
            queued: 0,
            stage_time: self.expected_rest(head, 0, now),
        };
        estimate::check_deadline(&estimate, &mut self.throughput, now, &mut rand::rng())
    }

    fn expected_rest(
        &self,
        head: &request::Head,
        from: usize,
        now: time::Instant,
    ) -> time::Duration {
        let stages = head.definition().stages.iter().skip(from);
        let keys = stages.map(|stage| (head.pipeline.clone(), stage.name.clone()));
        self.busy.expected_rest(keys, head.priority, now)
    }

    /// Returns the duration above which an attempt is a straggler; `None` during warm-up.
    ///
    /// The first results come from idle targets and cold caches, and would make every attempt of
    /// the first burst a straggler.
    fn straggler_threshold(&self, key: &Key, now: time::Instant) -> Option<time::Duration> {
        let first = self.first_results.get(key)?;
        let is_warm = now.saturating_duration_since(*first) >= WARMUP_TIME;
        is_warm.then(|| self.elapsed.quantile(key, STRAGGLER_QUANTILE, now))?
    }

    fn team_key(&mut self, team: &id::TeamName, weight: u32) -> admission::TeamKey {
        if let Some(key) = self.teams.get(team) {
            self.admission.set_weight(*key, weight);
            return *key;
        }
        let key = self.admission.add_team(weight);
        self.teams.insert(team.clone(), key);
        key
    }

    fn service(&mut self, name: &id::ServiceName, now: time::Instant) -> &mut Service {
        self.services.entry(name.clone()).or_insert_with(|| {
            let limits = bundle::Limits::default();
            Service {
                retries: budget::Budget::new(limits.retry_ratio, now),
                hedges: budget::Budget::new(limits.hedge_ratio, now),
                outliers: outlier::Detector::new(MAX_EJECTED, now),
                targets: collections::HashMap::new(),
            }
        })
    }
}

impl Service {
    fn target_key(&mut self, target: &id::TargetName) -> outlier::TargetKey {
        if let Some(key) = self.targets.get(target) {
            return *key;
        }
        let key = self.outliers.add();
        self.targets.insert(target.clone(), key);
        key
    }
}

/// Returns whether a refusal counts as a failure of the target in outlier detection.
fn is_target_fault(reason: verdict::Reason) -> bool {
    matches!(
        reason,
        verdict::Reason::TargetFailed | verdict::Reason::Lost | verdict::Reason::Corrupt
    )
}

/// An admitted request; counts against its team's share until dropped.
#[derive(Debug)]
pub struct Admitted {
    policy: Arc<Policy>,
    key: admission::TeamKey,
    outcome: admission::Outcome,
}

impl Admitted {
    /// Sets the outcome that is recorded on drop; `None` means success.
    pub fn set_outcome(&mut self, refusal: Option<&verdict::Refusal>) {
        self.outcome = refusal.map_or(admission::Outcome::Done, |refusal| {
            admission::Outcome::Refused(refusal.reason)
        });
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = time::Instant::now();
        let mut state = self.policy.lock();
        state.admission.finish(self.key, self.outcome, now);
    }
}
