//! Signals that targets give in their responses, shared between all processes.
//!
//! A rate limit applies to all processes together, and a shutdown concerns all of them, but each
//! process only sees the responses to its own requests. In a large fleet most processes would keep
//! sending for a long time before they notice, and hold back for a long time after a limit has
//! ended. Therefore each process reports signals to the readers, the processes that watch the store
//! for the others, and receives the signals of all others together with the list of targets.
//!
//! Crashes of targets are shared in the same way, with the contents that failed there.

mod contents;

use std::{
    collections,
    sync::Mutex,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use laburnumcart::{
    id,
    poison,
    quota,
    unit, //
};

use crate::{
    metrics,
    view, //
};

pub use self::contents::Completion;

/// Time for which the end of a limit is reported to peers.
///
/// Shutdowns, crashes and completions are reported to the readers for the same time.
const CHANGE_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Time after which an unconfirmed limit or shutdown is forgotten.
///
/// The state is dropped because the target may no longer exist. This time is longer than the
/// longest one between two probes of a limited target by the whole fleet.
const STATE_RETENTION: time::Duration = time::Duration::from_secs(1800);

/// Maximum number of signals that are merged from one message of a peer.
const MERGE_MAX: usize = 2048;

/// State that a target signalled, or a request that failed there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// Advertised rate limit; `None` if it has ended.
    Limit(Option<unit::Rate>),
    /// The target is shutting down.
    Leaving,
    /// The target has crashed; a request with this content failed there after this time.
    Failed(id::Fingerprint, unit::Period),
}

/// A signal of a target, as sent between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetSignal {
    /// Name of the target.
    pub target: id::TargetName,
    /// Start time of the target, which identifies one run of it.
    pub life: id::Life,
    /// Signal that the target gave.
    pub signal: Signal,
    /// Time since the target gave the signal.
    pub age: unit::Period,
    /// Whether a failed request was given up while its target was not silent.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub given_up: bool,
    /// Parts of the prompt of a failed request that may have caused the crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<id::Fingerprint>,
}

/// Signals of all targets that a peer doesn't have yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalUpdate {
    /// Version of the sender's signals.
    pub version: u64,
    /// Signals to merge.
    #[serde(rename = "told")]
    pub signals: Vec<TargetSignal>,
    /// Completions to merge.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub completed: Vec<Completion>,
}

/// Causes of a request that do not let it run freely.
#[derive(Clone, Debug, Default)]
pub struct Restrictions {
    /// Causes of which one request runs at a time.
    pub limited: Vec<id::Fingerprint>,
    /// Cause for which it is refused the longest, and until when.
    pub quarantine: Option<(id::Fingerprint, Instant)>,
}

/// Numbers of changes so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Version {
    /// Number of all changes.
    pub all: u64,
    /// Number of changes from responses to this process's own requests.
    pub local: u64,
}

/// Signals of one target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetState {
    limit: quota::TargetLimit,
    /// Value of [`Version::all`] at which the target began to shut down.
    leaving_version: u64,
}

/// Signals of all targets.
#[derive(Debug, Default)]
pub struct Signals {
    targets: Mutex<collections::HashMap<id::TargetLife, TargetState>>,
    contents: Mutex<contents::Contents>,
    version: watch::Sender<Version>,
    metrics: metrics::CrashMetrics,
}

impl Signals {
    /// Creates the signals of a process.
    pub fn new(metrics: metrics::CrashMetrics) -> Self {
        Self {
            metrics,
            ..Self::default()
        }
    }

    /// Returns the metrics of crashes.
    pub fn metrics(&self) -> &metrics::CrashMetrics {
        &self.metrics
    }

    /// Returns the limit and the shutdown state of a target.
    pub fn get(&self, target: &id::TargetLife) -> quota::TargetLimit {
        let state = view::lock(&self.targets).get(target).copied();
        state.unwrap_or_default().limit
    }

    /// Records the limit in a response of a target and returns whether it changed.
    pub fn record_limit(&self, target: &id::TargetLife, observation: quota::Observation) -> bool {
        let mut all = view::lock(&self.targets);
        if observation.limit == quota::Limit::None && !all.contains_key(target) {
            return false;
        }
        let state = all.entry(target.clone()).or_default();
        let has_changed = state
            .limit
            .record_answer(observation, rand::random(), Instant::now());
        if has_changed {
            self.bump_version(true);
        }
        has_changed
    }

    /// Records that a target is shutting down and returns whether that was unknown.
    pub fn record_leaving(&self, target: &id::TargetLife) -> bool {
        let mut all = view::lock(&self.targets);
        let state = all.entry(target.clone()).or_default();
        let is_new = state.limit.record_leaving(Instant::now());
        if is_new {
            state.leaving_version = self.bump_version(true);
        }
        is_new
    }

    /// Records that a target has crashed, with the requests that failed there.
    pub fn record_crash(
        &self,
        target: &id::TargetLife,
        failures: &[poison::Failure],
        sign: poison::Sign,
    ) {
        let mut contents = view::lock(&self.contents);
        let next = self.version.borrow().all + 1;
        if contents.add(target, failures, sign, next, &self.metrics) {
            self.bump_version(true);
        }
    }

    /// Records that a request completed; clears its causes if they are suspected.
    ///
    /// `content` is computed only if any may be. That requests with `parts` complete is recorded in
    /// any case: a part that has just been sound is blamed later.
    pub fn record_completion(
        &self,
        content: impl FnOnce() -> Vec<id::Fingerprint>,
        parts: &[id::Fingerprint],
    ) {
        let mut contents = view::lock(&self.contents);
        let content = match contents.crashes.is_empty() {
            true => Vec::new(),
            false => content(),
        };
        for cause in content.into_iter().chain(parts.iter().copied()) {
            let next = self.version.borrow().all + 1;
            if contents.complete(cause, Instant::now(), next, &self.metrics) {
                self.bump_version(true);
            }
        }
    }

    /// Records that a target answered a request that was sent at `sent`.
    ///
    /// A target that was held to have crashed before is alive.
    pub fn record_answer(&self, target: &id::TargetLife, sent: Instant) {
        let mut contents = view::lock(&self.contents);
        let first = contents.crashes.first_failure(target);
        if first.is_some_and(|first| first < sent) {
            contents.crashes.retract(target);
        }
    }

    /// Returns whether a target is held to have crashed.
    pub fn is_crashed(&self, target: &id::TargetLife) -> bool {
        let contents = view::lock(&self.contents);
        contents.crashes.first_failure(target).is_some()
    }

    /// Returns what may be done with requests that have a cause.
    ///
    /// `cause` is computed only if any target has crashed.
    pub fn content_status(&self, cause: impl FnOnce() -> id::Fingerprint) -> poison::Status {
        let contents = view::lock(&self.contents);
        match contents.crashes.is_empty() {
            true => poison::Status::Clean,
            false => contents.crashes.status(cause(), Instant::now()),
        }
    }

    /// Returns which causes of a request do not let it run freely.
    ///
    /// `causes` are computed only if any target has crashed.
    pub fn restrictions(&self, causes: impl FnOnce() -> Vec<id::Fingerprint>) -> Restrictions {
        let contents = view::lock(&self.contents);
        let mut restrictions = Restrictions::default();
        if contents.crashes.is_empty() {
            return restrictions;
        }
        let now = Instant::now();
        for cause in causes() {
            match contents.crashes.status(cause, now) {
                poison::Status::Clean => {}
                poison::Status::Limited => restrictions.limited.push(cause),
                poison::Status::Quarantined(until) => {
                    let latest = restrictions.quarantine.map(|(_, until)| until);
                    if latest.is_none_or(|latest| latest < until) {
                        restrictions.quarantine = Some((cause, until));
                    }
                }
            }
        }
        restrictions
    }

    /// Permits a run with a limited cause, unless one is in progress.
    pub fn begin_trial(&self, cause: id::Fingerprint) -> bool {
        let now = Instant::now();
        let mut contents = view::lock(&self.contents);
        let status = contents.crashes.status(cause, now);
        !matches!(status, poison::Status::Quarantined(_)) && contents.trials.begin(cause, now)
    }

    /// Ends a run that this process has permitted.
    pub fn end_trial(&self, cause: id::Fingerprint) {
        view::lock(&self.contents).trials.end(cause);
    }

    /// Returns the crashes of a cause.
    pub fn crashes_of(&self, cause: id::Fingerprint) -> Vec<TargetSignal> {
        view::lock(&self.contents).failures_of(cause)
    }

    /// Returns the causes that may not run freely, with their crashes.
    pub fn suspected(&self) -> Vec<(id::Fingerprint, Vec<TargetSignal>)> {
        let contents = view::lock(&self.contents);
        let suspected = contents.crashes.suspected();
        suspected
            .map(|content| (content, contents.failures_of(content)))
            .collect()
    }

    /// Drops crashes past their retention time.
    pub fn expire_crashes(&self) {
        view::lock(&self.contents).expire(Instant::now());
    }

    /// Returns the targets that announced their shutdown.
    pub fn leaving_targets(&self) -> collections::HashSet<id::TargetLife> {
        let all = view::lock(&self.targets);
        let leaving = all
            .iter()
            .filter(|(_, state)| state.limit.leaving_since().is_some());
        leaving.map(|(target, _)| target.clone()).collect()
    }

    /// Counts a change and returns the new version; the caller holds the lock.
    fn bump_version(&self, is_local: bool) -> u64 {
        self.version.send_modify(|version| {
            version.all += 1;
            version.local += u64::from(is_local);
        });
        self.version.borrow().all
    }

    /// Merges signals from a peer.
    pub fn merge(&self, signals: &[TargetSignal]) {
        let now = Instant::now();
        let mut all = view::lock(&self.targets);
        let mut contents = view::lock(&self.contents);
        for signal in signals.iter().take(MERGE_MAX) {
            let target = id::TargetLife {
                name: signal.target.clone(),
                life: signal.life,
            };
            // An `Instant` cannot be earlier than the start of the clock. A signal given before
            // that is too old to matter.
            let at = now.checked_sub(signal.age.0);
            if let (Some(failed), Signal::Failed(content, ran)) = (at, signal.signal) {
                let failure = poison::Failure {
                    content,
                    sent: failed.checked_sub(ran.0).unwrap_or(failed),
                    failed,
                    given_up: signal.given_up,
                    parts: signal.parts.as_slice().into(),
                };
                let next = self.version.borrow().all + 1;
                let sign = poison::Sign::Reported;
                if contents.add(&target, &[failure], sign, next, &self.metrics) {
                    self.bump_version(false);
                }
            } else if let Some(at) = at {
                let state = all.entry(target).or_default();
                match signal.signal {
                    Signal::Limit(rate) if state.limit.merge(rate, at, rand::random()) => {
                        self.bump_version(false);
                    }
                    Signal::Leaving if state.limit.record_leaving(at) => {
                        state.leaving_version = self.bump_version(false);
                    }
                    Signal::Limit(_) | Signal::Leaving | Signal::Failed(..) => {}
                }
            }
        }
    }

    /// Merges completions from a peer.
    pub fn merge_completions(&self, completed: &[Completion]) {
        let now = Instant::now();
        let mut contents = view::lock(&self.contents);
        for completion in completed.iter().take(MERGE_MAX) {
            let Some(at) = now.checked_sub(completion.age.0) else {
                continue;
            };
            let next = self.version.borrow().all + 1;
            if contents.complete(completion.content, at, next, &self.metrics) {
                self.bump_version(false);
            }
        }
    }

    /// Returns the completions to report to the readers.
    pub fn recent_completions(&self) -> Vec<Completion> {
        view::lock(&self.contents).completions(None)
    }

    /// Returns the signals to report to the readers.
    pub fn recent(&self) -> Vec<TargetSignal> {
        self.list(None)
    }

    /// Lists the signals for a peer that has a version, or for the readers with `None`.
    fn list(&self, version: Option<u64>) -> Vec<TargetSignal> {
        let now = Instant::now();
        let mut all = view::lock(&self.targets);
        all.retain(|_, TargetState { limit, .. }| {
            let retention = if limit.advertised().is_some() {
                STATE_RETENTION
            } else {
                CHANGE_RETENTION
            };
            let is_leaving = limit
                .leaving_since()
                .is_some_and(|at| now < at + STATE_RETENTION);
            is_leaving || limit.confirmed_at().is_some_and(|at| now < at + retention)
        });
        let signals = all.iter().flat_map(|(target, state)| {
            let limit = Signal::Limit(state.limit.advertised().map(|named| named.rate));
            let limit = state.limit.confirmed_at().map(|at| (limit, at));
            let is_missing = version.is_some_and(|version| state.leaving_version > version);
            let left = state.limit.leaving_since();
            let left = left.filter(|at| is_missing || now < *at + CHANGE_RETENTION);
            let leaving = left.map(|at| (Signal::Leaving, at));
            let signal = |(signal, at)| TargetSignal {
                target: target.name.clone(),
                life: target.life,
                signal,
                age: unit::Period(now.saturating_duration_since(at)),
                given_up: false,
                parts: Vec::new(),
            };
            limit.into_iter().chain(leaving).map(signal)
        });
        let mut signals: Vec<_> = signals.collect();
        signals.extend(view::lock(&self.contents).failures(version));
        signals
    }

    /// Returns the signals for a peer that has a version, unless that is the current one.
    pub fn updates_since(&self, version: u64) -> Option<SignalUpdate> {
        let current = self.version.borrow().all;
        (current > version).then(|| SignalUpdate {
            version: current,
            signals: self.list(Some(version)),
            completed: view::lock(&self.contents).completions(Some(version)),
        })
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }
}
