//! Detection of crashes of targets, and of the contents that failed with them.
//!
//! A request that fails, is given up by its caller or waits at a silent target shows that something
//! is wrong, not what. The target is then checked by a probe, as its entry in the store may stay
//! for seconds, or for the whole of an outage of the store. If it has crashed, the contents that
//! ran there are reported to all processes ([`crate::relay::signals`]), with the parts of their
//! prompts.

mod in_flight;
pub mod run;

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    poison, //
};

use crate::{
    budgets,
    dialect,
    metrics,
    peers,
    pool,
    quotas,
    relay::signals,
    view, //
};

pub use self::in_flight::Content;
use self::{
    in_flight::{
        InFlight,
        RunKey,
        TargetState, //
    },
    run::Run, //
};

/// Interval at which targets with requests in flight are examined for silence.
pub const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Least time between two checks of a target that is only silent.
const SILENCE_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time after which what comes from a target was sent after a request had reached it.
const TRANSIT_MAX: time::Duration = time::Duration::from_millis(50);

/// Interval at which a silent target is probed, in a small fleet.
const SILENT_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of processes from which each probes a silent target less often.
const PROBING_MEMBERS: usize = 10;

/// Greatest multiple of the interval.
const PROBE_INTERVALS_MAX: usize = 5;

/// Path of a probe if the configuration states none.
const DEFAULT_PROBE_PATH: &str = "/";

/// Time for the body of a status check.
const PROBE_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

#[derive(Default)]
struct State {
    failures: poison::Failures,
    targets: collections::HashMap<id::TargetLife, TargetState>,
}

/// Detects crashes of the targets that this process sends requests to.
pub struct Detector {
    pool: Arc<pool::Pool>,
    dialect: Arc<dyn dialect::Dialect>,
    quotas: Arc<quotas::Quotas>,
    budgets: Arc<budgets::Budgets>,
    view: Arc<view::View>,
    signals: Arc<signals::Signals>,
    metrics: metrics::CrashMetrics,
    state: Mutex<State>,
}

impl Detector {
    /// Creates a detector without requests in flight.
    pub fn new(
        pool: Arc<pool::Pool>,
        dialect: Arc<dyn dialect::Dialect>,
        quotas: Arc<quotas::Quotas>,
        budgets: Arc<budgets::Budgets>,
    ) -> Arc<Self> {
        Arc::new(Self {
            pool,
            dialect,
            view: quotas.view().clone(),
            signals: quotas.signals.clone(),
            metrics: quotas.signals.metrics().clone(),
            quotas,
            budgets,
            state: Mutex::default(),
        })
    }

    /// Records that a request or a batch call is about to be sent.
    pub fn begin(
        self: &Arc<Self>,
        target: &view::Target,
        content: Content,
        trials: Vec<peers::trial::Trial>,
    ) -> Run {
        let life = target.key();
        let mut state = view::lock(&self.state);
        let targets = &mut state.targets;
        let known = targets
            .entry(life.clone())
            .or_insert_with(|| TargetState::new(target));
        let key = known.runs.insert(InFlight {
            content,
            service: target.service.clone(),
            sent: Instant::now(),
            response: None,
            survived: false,
        });
        Run::new(self.clone(), life, key, trials)
    }

    /// Records that a target has sent a part of a response's body.
    fn record_bytes(&self, target: &id::TargetLife, key: RunKey) {
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        let Some(known) = state.targets.get_mut(target) else {
            return;
        };
        known.heard = Some(now);
        if let Some(run) = known.runs.get_mut(key) {
            let first = run.response.map_or(now, |(first, _)| first);
            run.response = Some((first, now));
        }
    }

    /// Records that a target answered a request that was sent at `sent`.
    pub fn record_answer(&self, target: &id::TargetLife, sent: Instant) {
        let mut state = view::lock(&self.state);
        state.failures.record_answer(target, sent);
        if let Some(known) = state.targets.get_mut(target) {
            known.heard = Some(Instant::now());
        }
        drop(state);
        self.signals.record_answer(target, sent);
        self.budgets.settle(target, sent);
    }

    /// Applies a new list of targets: a target with failures that is not listed has crashed.
    pub fn update_listed(&self, targets: &view::Targets) {
        let listed: collections::HashMap<_, _> =
            targets.all().map(|t| (t.name.clone(), t.life)).collect();
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        state.failures.expire(now);
        let unlisted = state.failures.targets();
        let unlisted = unlisted.filter(|target| listed.get(&target.name) != Some(&target.life));
        let unlisted: Vec<_> = unlisted.cloned().collect();
        for target in unlisted {
            let failures = state.failures.take_removed(&target, now);
            self.signals
                .record_crash(&target, &failures, poison::Sign::Unlisted);
        }
    }

    /// Checks targets that are silent, and drops state that is not needed any more.
    pub fn sweep(self: &Arc<Self>) {
        self.record_survivals();
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        state.targets.retain(|_, known| !known.is_idle());
        let is_due = |known: &TargetState| {
            let checked = known.checked_at;
            known.is_silent(now) && checked.is_none_or(|at| now >= at + SILENCE_CHECK_INTERVAL)
        };
        let silent = state.targets.iter().filter(|(_, known)| is_due(known));
        let silent: Vec<_> = silent.map(|(target, _)| target.clone()).collect();
        for target in silent {
            self.start_check(&mut state, &target);
        }
    }

    /// Removes a run that ended without any doubt about its target.
    fn remove(&self, target: &id::TargetLife, key: RunKey) -> Option<InFlight> {
        let mut state = view::lock(&self.state);
        state.targets.get_mut(target)?.runs.remove(key)
    }

    /// Removes a run that completed, which clears its contents, and its parts if it was answered.
    fn complete(&self, target: &id::TargetLife, key: RunKey, answered: bool) {
        let Some(run) = self.remove(target, key) else {
            return;
        };
        let parts = match answered {
            true => run.content.parts(&run.service),
            false => Vec::new(),
        };
        self.signals
            .record_completion(|| run.content.fingerprints(), &parts);
    }

    /// Clears the parts of prompts with which targets have got past the start of a response.
    fn record_survivals(&self) {
        let mut survived = Vec::new();
        let mut state = view::lock(&self.state);
        let runs = state.targets.values_mut();
        for run in runs.flat_map(|known| known.runs.values_mut()) {
            if !run.survived && run.is_past_start() {
                run.survived = true;
                survived.push((run.content.clone(), run.service.clone()));
            }
        }
        drop(state);
        for (content, service) in survived {
            let parts = content.parts(&service);
            self.signals.record_completion(Vec::new, &parts);
        }
    }

    /// Removes a run that failed or was given up, and checks its target.
    fn fail(
        self: &Arc<Self>,
        target: &id::TargetLife,
        key: RunKey,
        trials: Vec<peers::trial::Trial>,
        given_up: bool,
    ) {
        let now = Instant::now();
        let mut state = view::lock(&self.state);
        let Some(known) = state.targets.get_mut(target) else {
            return;
        };
        let Some(run) = known.runs.remove(key) else {
            return;
        };
        // The end of a target that is leaving is no crash.
        if self.signals.get(target).leaving_since().is_some() || known.target.leaving {
            return;
        }
        let given_up = given_up && !known.is_quiet(&run, now);
        let needs_check = !given_up || !trials.is_empty();
        let failures: Vec<_> = run.failures(now, given_up).collect();
        if self.signals.is_crashed(target) {
            drop(state);
            let sign = poison::Sign::Unreached;
            self.signals.record_crash(target, &failures, sign);
            return;
        }
        known.trials.extend(trials);
        for failure in &failures {
            let kept = state.failures.record(target, failure.clone());
            self.metrics.failures.inc();
            event!(
                Info,
                "content-failed",
                request = run.content.attempt(),
                content = failure.content,
                parts = run.content.part_names(),
                target = target.name,
                life = target.life,
                ran_ms = (failure.failed - failure.sent).as_millis(),
                given_up = given_up,
                kept = kept
            );
        }
        if needs_check {
            self.start_check(&mut state, target);
        }
    }

    /// Starts a check of a target unless one is in progress.
    fn start_check(self: &Arc<Self>, state: &mut State, target: &id::TargetLife) {
        let Some(known) = state.targets.get_mut(target) else {
            return;
        };
        if !std::mem::replace(&mut known.checking, true) {
            tokio::spawn(self.clone().check(known.target.clone()));
        }
    }

    /// Checks a target until it is known whether it has crashed.
    async fn check(self: Arc<Self>, target: view::Target) {
        let life = target.key();
        let mut check = poison::Check::default();
        let outcome = loop {
            tokio::time::sleep(poison::Check::PAUSE).await;
            // A target that asked for a backoff has answered since it was sent the request.
            if !self.is_undecided(&life) || self.quotas.is_closed(&target) {
                break poison::Outcome::Alive;
            }
            if !self.quotas.can_probe(&target) {
                continue;
            }
            let probe = self.probe(&target).await;
            self.metrics.record_probe(probe);
            if let Some(outcome) = check.record(probe) {
                break outcome;
            }
        };
        if let poison::Outcome::Crashed(sign) = outcome {
            self.record_crash(&mut view::lock(&self.state), &life, sign);
        }
        drop(self.take_trials(&life));
        if outcome == poison::Outcome::Crashed(poison::Sign::Silent) {
            self.wait_for_answer(&target).await;
        }
        let mut state = view::lock(&self.state);
        let Some(known) = state.targets.get_mut(&life) else {
            return;
        };
        known.checking = false;
        known.checked_at = Some(Instant::now());
        // Requests that failed during the check may have met a later crash.
        if state.failures.is_open(&life) {
            self.start_check(&mut state, &life);
        }
        drop(state);
        drop(self.take_trials(&life));
    }

    /// Takes the trials that have failed at a target.
    fn take_trials(&self, target: &id::TargetLife) -> Vec<peers::trial::Trial> {
        let mut state = view::lock(&self.state);
        let known = state.targets.get_mut(target);
        known.map_or_else(Vec::new, |known| std::mem::take(&mut known.trials))
    }

    /// Keeps requests from a silent target until it answers a probe, or is not listed any more.
    async fn wait_for_answer(&self, target: &view::Target) {
        self.quotas.set_silent(target, true);
        let since = Instant::now();
        let intervals = self.view.member_count() / PROBING_MEMBERS;
        let intervals = intervals.clamp(1, PROBE_INTERVALS_MAX);
        loop {
            tokio::time::sleep(SILENT_PROBE_INTERVAL * intervals as u32).await;
            let targets = self.view.targets.load();
            let is_listed = targets.find(&target.addr, target.life).is_some();
            drop(targets);
            if !is_listed || self.has_heard(&target.key(), since) {
                break;
            }
            let probe = self.probe(target).await;
            self.metrics.record_probe(probe);
            if [poison::Probe::Answered, poison::Probe::Replaced].contains(&probe) {
                break;
            }
        }
        self.quotas.set_silent(target, false);
    }

    /// Reports whether it is still open whether a target has crashed.
    fn is_undecided(&self, target: &id::TargetLife) -> bool {
        let state = view::lock(&self.state);
        let known = state.targets.get(target);
        let is_silent = known.is_some_and(|known| known.is_silent(Instant::now()));
        is_silent || state.failures.is_open(target)
    }

    /// Reports a crash with the contents that failed at the target or still wait there.
    fn record_crash(&self, state: &mut State, target: &id::TargetLife, sign: poison::Sign) {
        let now = Instant::now();
        let mut failures = state.failures.take_crashed(target);
        if let Some(known) = state.targets.get(target) {
            let runs = known.runs.values();
            failures.extend(runs.flat_map(|run| run.failures(known.failure_time(run, now), false)));
        }
        self.signals.record_crash(target, &failures, sign);
    }

    /// Probes a target.
    async fn probe(&self, target: &view::Target) -> poison::Probe {
        let life = target.key();
        let table = self.view.table.load();
        let service = table.as_ref().and_then(|t| t.service(&target.service));
        let path = service.and_then(|service| service.probe_path.as_deref());
        let path = path.unwrap_or(DEFAULT_PROBE_PATH);
        let request = self.dialect.encode_probe(&target.name, path);
        let sent = Instant::now();
        let exchange = async {
            let response = self.pool.probe(target, request).await?;
            let head = self.dialect.parse_response(&response.head);
            Ok((response, head))
        };
        let (response, head) = match tokio::time::timeout(poison::Check::TIMEOUT, exchange).await {
            Err(_) if self.has_heard(&life, sent) => return poison::Probe::Answered,
            Err(_) => return poison::Probe::Silent,
            Ok(Err(pool::Failure::Unreached)) => return poison::Probe::Unreached,
            // A process that has ended has no connections.
            Ok(Err(pool::Failure::Broken)) if !self.pool.is_connected(&life) => {
                return poison::Probe::Closed;
            }
            Ok(Err(_)) => return poison::Probe::Answered,
            Ok(Ok(answer)) => answer,
        };
        // The status alone shows that the target is alive; a whole body keeps the connection.
        let body = response.read_all(head.idle_timeout);
        let _ = tokio::time::timeout(PROBE_BODY_TIMEOUT, body).await;
        if head.misdirected || head.target.is_some_and(|name| name != target.name.as_str()) {
            return poison::Probe::Replaced;
        }
        self.record_answer(&life, sent);
        poison::Probe::Answered
    }

    /// Reports whether a target has read what was sent to it at `sent`, as it has sent something
    /// since.
    pub fn has_read(&self, target: &id::TargetLife, sent: Instant) -> bool {
        self.has_heard(target, sent + TRANSIT_MAX)
    }

    fn has_heard(&self, target: &id::TargetLife, since: Instant) -> bool {
        let state = view::lock(&self.state);
        let heard = state.targets.get(target).and_then(|known| known.heard);
        heard.is_some_and(|heard| heard >= since)
    }
}
