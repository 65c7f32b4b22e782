//! Contents that failed at crashed targets, with what peers do not know of them yet.

use std::collections;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    poison,
    unit, //
};

use super::{
    CHANGE_RETENTION,
    Signal,
    TargetSignal, //
};
use crate::metrics;

/// Maximum number of failures, and of completions, in one message to a peer.
const MESSAGE_MAX: usize = 512;

/// Completion of a request whose content had failed at a crashed target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Fingerprint of the content.
    pub content: id::Fingerprint,
    /// Time since the completion.
    pub age: unit::Period,
}

/// When this process learned of something, for the messages to peers.
#[derive(Clone, Copy, Debug)]
struct Notice {
    at: Instant,
    /// Value of [`super::Version::all`] since which it is to be reported.
    version: u64,
}

impl Notice {
    /// Reports whether a peer that has a version lacks it; with `None`, whether it is recent.
    fn is_missing(&self, version: Option<u64>, now: Instant) -> bool {
        match version {
            Some(version) => self.version > version,
            None => now < self.at + CHANGE_RETENTION,
        }
    }
}

/// Crashes by content, as known to this process.
#[derive(Debug, Default)]
pub(super) struct Contents {
    pub(super) crashes: poison::Crashes,
    failures: collections::HashMap<(id::TargetLife, id::Fingerprint), Notice>,
    completions: collections::HashMap<id::Fingerprint, Notice>,
    /// Runs of limited content that this process permits.
    pub(super) trials: poison::Trials,
}

impl Contents {
    /// Adds failures at a crashed target and returns whether any is new.
    ///
    /// `version` is that of the signals once the failures have been added.
    pub(super) fn add(
        &mut self,
        target: &id::TargetLife,
        failures: &[poison::Failure],
        sign: poison::Sign,
        version: u64,
        metrics: &metrics::CrashMetrics,
    ) -> bool {
        let now = Instant::now();
        let mut added = 0;
        let is_known = self.crashes.first_failure(target).is_some();
        for failure in failures {
            let causes = failure.parts.iter().copied().chain([failure.content]);
            let before: Vec<_> = causes
                .map(|cause| (cause, self.crashes.status(cause, now)))
                .collect();
            if !self.crashes.add(target, failure.clone()) {
                continue;
            }
            added += 1;
            let key = (target.clone(), failure.content);
            self.failures.insert(key, Notice { at: now, version });
            for (cause, before) in before {
                self.log_status(cause, before, now, metrics);
            }
        }
        if added > 0 && !is_known {
            metrics.record_crash(sign);
            event!(
                Info,
                "target-crashed",
                target = target.name,
                life = target.life,
                sign = sign,
                contents = added
            );
        }
        added > 0
    }

    /// Records that a request with a cause completed at `at`; returns whether this clears it.
    pub(super) fn complete(
        &mut self,
        cause: id::Fingerprint,
        at: Instant,
        version: u64,
        metrics: &metrics::CrashMetrics,
    ) -> bool {
        let now = Instant::now();
        if !self.crashes.record_completion(cause, at) {
            return false;
        }
        self.completions.insert(cause, Notice { at: now, version });
        metrics.cleared.inc();
        event!(
            Info,
            "content-cleared",
            content = cause,
            part = self.crashes.is_part(cause),
            age_ms = now.saturating_duration_since(at).as_millis()
        );
        true
    }

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.crashes.expire(now);
        let kept = self.crashes.iter();
        let kept: collections::HashSet<_> = kept
            .map(|(target, failure)| (target.clone(), failure.content))
            .collect();
        self.failures.retain(|key, _| kept.contains(key));
        let crashes = &self.crashes;
        self.completions.retain(|cause, _| crashes.is_known(*cause));
    }

    /// Lists the failures for a peer that has a version, or for the readers with `None`.
    ///
    /// If there are too many, those of contents with the most crashes are listed.
    pub(super) fn failures(&self, version: Option<u64>) -> Vec<TargetSignal> {
        let now = Instant::now();
        let is_missing = |target: &id::TargetLife, content| {
            let notice = self.failures.get(&(target.clone(), content));
            notice.is_some_and(|notice| notice.is_missing(version, now))
        };
        let missing = self.crashes.iter();
        let missing = missing.filter(|(target, failure)| is_missing(target, failure.content));
        let mut missing: Vec<_> = missing.collect();
        if missing.len() > MESSAGE_MAX {
            let crashes = |content| self.crashes.crashed_targets(content).len();
            missing.sort_by_cached_key(|(_, f)| std::cmp::Reverse(crashes(f.content)));
            missing.truncate(MESSAGE_MAX);
        }
        missing
            .into_iter()
            .map(|(target, failure)| failed_signal(target, failure, now))
            .collect()
    }

    /// Lists all failures of requests with a cause.
    pub(super) fn failures_of(&self, cause: id::Fingerprint) -> Vec<TargetSignal> {
        let now = Instant::now();
        let all = self.crashes.failures_of(cause);
        all.map(|(target, failure)| failed_signal(target, failure, now))
            .collect()
    }

    /// Lists the completions for a peer that has a version, or for the readers with `None`.
    pub(super) fn completions(&self, version: Option<u64>) -> Vec<Completion> {
        let now = Instant::now();
        let is_missing = |content: &id::Fingerprint| {
            let notice = self.completions.get(content);
            notice.is_some_and(|notice| notice.is_missing(version, now))
        };
        let missing = self.crashes.completed();
        let missing = missing.filter(|(content, _)| is_missing(content));
        let missing = missing.map(|(content, at)| Completion {
            content,
            age: unit::Period(now.saturating_duration_since(at)),
        });
        missing.take(MESSAGE_MAX).collect()
    }

    /// Logs that a cause is limited or refused from now on.
    fn log_status(
        &self,
        cause: id::Fingerprint,
        before: poison::Status,
        now: Instant,
        metrics: &metrics::CrashMetrics,
    ) {
        let after = self.crashes.status(cause, now);
        if after == before {
            return;
        }
        let crashed = self.crashes.crashed_targets(cause);
        let is_part = self.crashes.is_part(cause);
        let targets: Vec<_> = crashed.iter().map(|(t, _)| t.name.as_str()).collect();
        let ages = crashed.iter();
        let ages = ages.map(|(_, at)| now.saturating_duration_since(*at).as_millis().to_string());
        let (targets, ages) = (targets.join(","), ages.collect::<Vec<_>>().join(","));
        match after {
            poison::Status::Clean => {}
            poison::Status::Limited => {
                metrics.limited.inc();
                event!(
                    Info,
                    "content-limited",
                    content = cause,
                    part = is_part,
                    targets = targets,
                    ages_ms = ages
                );
            }
            poison::Status::Quarantined(until) => {
                metrics.quarantined.inc();
                let left = until.saturating_duration_since(now);
                event!(
                    Warn,
                    "content-quarantined",
                    content = cause,
                    part = is_part,
                    targets = targets,
                    ages_ms = ages,
                    left_ms = left.as_millis()
                );
            }
        }
    }
}

fn failed_signal(target: &id::TargetLife, failure: &poison::Failure, now: Instant) -> TargetSignal {
    let ran = failure.failed.saturating_duration_since(failure.sent);
    TargetSignal {
        target: target.name.clone(),
        life: target.life,
        signal: Signal::Failed(failure.content, unit::Period(ran)),
        age: unit::Period(now.saturating_duration_since(failure.failed)),
        given_up: failure.given_up,
        parts: failure.parts.to_vec(),
    }
}
