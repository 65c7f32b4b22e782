//! Decisions on requests and attempts, with what they are learnt from.
//!
//! The state is small and each decision short, so that one lock serves all traffic threads.

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

/// Most of a service's targets that are excluded at a time.
const EJECTED_MAX: unit::Share = unit::Share(0.34);

/// Quantile of a stage's time after which an attempt is a straggler.
const STRAGGLER: f64 = 0.95;

/// Time for which a stage is measured before an attempt of it can be a straggler.
const WARM: time::Duration = time::Duration::from_secs(10);

/// Multiple of the time expected at its dispatch after which an attempt is a straggler.
const SLOWER: u32 = 3;

/// A stage of a pipeline.
type Key = (id::PipelineName, id::StageName);

/// Decisions of one entry.
#[derive(Debug)]
pub struct Policy {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    admission: admission::Controller,
    teams: collections::HashMap<id::TeamName, admission::TeamKey>,
    services: collections::HashMap<id::ServiceName, Service>,
    /// Time that targets spent; tells what can still finish.
    busy: estimate::Estimates<Key>,
    /// Time from dispatch to the whole result; tells what is slow.
    elapsed: estimate::Estimates<Key>,
    /// When the first result of a stage came.
    since: collections::HashMap<Key, time::Instant>,
    drain: estimate::Throughput,
}

#[derive(Debug)]
struct Service {
    retries: budget::Budget,
    hedges: budget::Budget,
    ejector: outlier::Detector,
    targets: collections::HashMap<id::TargetName, outlier::TargetKey>,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Service of the target.
    pub service: &'a id::ServiceName,
    /// The target.
    pub target: &'a id::TargetName,
    /// Time since the attempt was sent.
    pub elapsed: time::Duration,
    /// `None` when the result is whole.
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
                since: collections::HashMap::new(),
                drain: estimate::Throughput::new(now),
            }),
        }
    }
}

impl Policy {
    /// Admits a request or refuses it as not run.
    pub fn admit(self: &Arc<Self>, head: &request::Head) -> Result<Admitted, verdict::Refusal> {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.check(head, now)?;
        let weight = head.rules.bundle.teams[&head.team].weight;
        let key = state.team(&head.team, weight);
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

    /// Forgets the teams, stages and services that a new bundle has no more.
    ///
    /// A stage's samples take tens of kilobytes. A request of an older generation may bring a few
    /// back, which the next bundle's turn takes away.
    pub fn prune(&self, bundle: &bundle::Bundle) {
        let mut state = self.lock();
        let State {
            teams,
            admission,
            services,
            busy,
            elapsed,
            since,
            ..
        } = &mut *state;
        let is_known = |(pipeline, stage): &Key| {
            let pipeline = bundle.pipelines.get(pipeline);
            pipeline.is_some_and(|p| p.stages.iter().any(|s| s.name == *stage))
        };
        since.retain(|key, _| is_known(key));
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

    /// Returns the least time that a request needs from a stage on.
    pub fn rest(&self, head: &request::Head, from: usize) -> time::Duration {
        self.lock().rest(head, from, time::Instant::now())
    }

    /// Takes note that an attempt is sent.
    pub fn started(&self, service: &id::ServiceName, target: &id::TargetName) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let service = state.service(service, now);
        let key = service.key(target);
        service.ejector.record_send(key, now);
        service.hedges.deposit(now);
    }

    /// Takes in how an attempt ended.
    pub fn ended(&self, ended: &Ended<'_>) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let service = state.service(ended.service, now);
        let key = service.key(ended.target);
        let Some(refusal) = ended.refusal else {
            let outcome = outlier::Outcome::Success(ended.elapsed);
            service.ejector.record_outcome(key, outcome, now);
            service.retries.deposit(now);
            return;
        };
        if is_fault(refusal.reason) {
            service
                .ejector
                .record_outcome(key, outlier::Outcome::Failure, now);
        }
        if retry::is_overload(refusal.reason) {
            service.hedges.record_refusal(now);
        }
    }

    /// Takes in what a whole result took.
    pub fn took(
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
        state.since.entry(key.clone()).or_insert(now);
        state.elapsed.record(key, elapsed, now);
    }

    /// Decides what follows a failed attempt.
    pub fn retry(
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

    /// Decides whether an attempt that runs is raced by a second one; `expected` is the time that
    /// it was expected to take when it was sent.
    pub fn hedge(
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
        // In a burst all attempts take longer than those before it, as they wait. That was expected
        // when they were sent, and seconds of them would only lengthen the burst.
        let quantile = state.slow(&key, now);
        let attempt = hedge::Attempt {
            idempotent: head.stage_idempotent(stage),
            hedged: false,
            elapsed,
            remaining: head.remaining(),
            median: state.elapsed.quantile(&key, 0.5, now),
            quantile: quantile.map(|quantile| quantile.max(expected * SLOWER)),
        };
        let hedges = &mut state.service(&stage.service, now).hedges;
        hedges.set_ratio(ratio);
        hedge::decide(&attempt, hedges, now)
    }

    /// Reports whether a target is excluded as an outlier.
    pub fn is_ejected(&self, service: &id::ServiceName, target: &id::TargetName) -> bool {
        let now = time::Instant::now();
        let state = self.lock();
        let Some(service) = state.services.get(service) else {
            return false;
        };
        let key = service.targets.get(target);
        key.is_some_and(|key| !service.ejector.can_send(*key, now))
    }

    /// Forgets the targets of a service that are not in `known`.
    pub fn keep(&self, service: &id::ServiceName, known: &[id::TargetName]) {
        let mut state = self.lock();
        let Some(service) = state.services.get_mut(service) else {
            return;
        };
        let Service {
            targets, ejector, ..
        } = service;
        targets.retain(|target, key| {
            let kept = known.contains(target);
            if !kept {
                ejector.remove(*key);
            }
            kept
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn check(&mut self, head: &request::Head, now: time::Instant) -> Result<(), verdict::Refusal> {
        let outlook = estimate::Remaining {
            time_left: head.remaining(),
            queued: 0,
            stage_time: self.rest(head, 0, now),
        };
        estimate::check_deadline(&outlook, &mut self.drain, now, &mut rand::rng())
    }

    fn rest(&self, head: &request::Head, from: usize, now: time::Instant) -> time::Duration {
        let stages = head.stages().stages.iter().skip(from);
        let keys = stages.map(|stage| (head.pipeline.clone(), stage.name.clone()));
        self.busy.expected_rest(keys, head.priority, now)
    }

    /// Returns the time after which an attempt is slow, once that is known.
    ///
    /// The first results after a start come from idle targets and cold caches. Measured by them, all
    /// that follows in the first burst would be a straggler.
    fn slow(&self, key: &Key, now: time::Instant) -> Option<time::Duration> {
        let since = self.since.get(key)?;
        let known = now.saturating_duration_since(*since) >= WARM;
        known.then(|| self.elapsed.quantile(key, STRAGGLER, now))?
    }

    fn team(&mut self, team: &id::TeamName, weight: u32) -> admission::TeamKey {
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
                ejector: outlier::Detector::new(EJECTED_MAX, now),
                targets: collections::HashMap::new(),
            }
        })
    }
}

impl Service {
    fn key(&mut self, target: &id::TargetName) -> outlier::TargetKey {
        if let Some(key) = self.targets.get(target) {
            return *key;
        }
        let key = self.ejector.add();
        self.targets.insert(target.clone(), key);
        key
    }
}

/// Reports whether a refusal speaks against the target.
fn is_fault(reason: verdict::Reason) -> bool {
    matches!(
        reason,
        verdict::Reason::TargetFailed | verdict::Reason::Lost | verdict::Reason::Corrupt
    )
}

/// A request that counts against its team's share until it is dropped.
#[derive(Debug)]
pub struct Admitted {
    policy: Arc<Policy>,
    key: admission::TeamKey,
    outcome: admission::Outcome,
}

impl Admitted {
    /// Sets how the request ended.
    pub fn end(&mut self, refusal: Option<&verdict::Refusal>) {
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
