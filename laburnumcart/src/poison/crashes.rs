//! Crashes of targets by what may have caused them.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    id,
    poison::{
        Failure,
        completions::Completions,
        levels::{
            self,
            Level, //
        }, //
    },
};

/// Crashed targets after which a cause is refused.
pub(super) const CRASHES: usize = 3;

/// Time for which a crash is kept.
pub const RETENTION: time::Duration = time::Duration::from_secs(3600);

/// Greatest number of causes that are kept.
const CAUSES_MAX: usize = 4096;

/// Greatest number of crashes that are kept per cause.
const CAUSE_CRASHES_MAX: usize = 16;

/// What may be done with a request, by one of its causes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It can run.
    Clean,
    /// It can run while no other request with this cause runs, at any process.
    Limited,
    /// It is refused until this time.
    Quarantined(Instant),
}

/// Failure of a request at a crashed target.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) target: id::TargetLife,
    pub(super) failure: Failure,
}

/// What may have crashed targets: the content of a request, or a part of its prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Cause {
    pub(super) is_part: bool,
    /// In the order of the failures.
    pub(super) crashes: Vec<Crash>,
    /// When a request with it last completed.
    completed: Option<Instant>,
    /// Whether one had completed before its first crash.
    pub(super) was_sound: bool,
    /// When a completion last cleared it of a crash that was known by then.
    cleared: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Target {
    /// Time of the first failure.
    first: Instant,
    /// Time of the first failure that shows that the target was down.
    down: Option<Instant>,
    /// Causes of the requests that failed there.
    causes: collections::HashSet<id::Fingerprint>,
}

/// Contents that failed at crashed targets, as noticed by all processes.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{id, poison};
/// use tokio::time::Instant;
///
/// let content = id::Fingerprint(7);
/// let mut crashes = poison::Crashes::default();
/// let mut now = Instant::now();
/// for life in 1..=3 {
///     assert_eq!(crashes.status(content, now), poison::Status::Clean);
///     let target = id::TargetLife { name: "engine-1".parse().unwrap(), life: id::Life(life) };
///     let failed = now + Duration::from_millis(20);
///     crashes.add(&target, poison::Failure { content, parts: [].into(), sent: now, failed, given_up: false });
///     now = failed;
/// }
/// assert!(matches!(crashes.status(content, now), poison::Status::Quarantined(_)));
/// crashes.record_completion(content, now);
/// assert_eq!(crashes.status(content, now), poison::Status::Clean);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    causes: collections::HashMap<id::Fingerprint, Cause>,
    /// Crashed targets.
    targets: collections::HashMap<id::TargetLife, Target>,
    /// Causes with so many crashes that they may have a level.
    frequent: collections::HashSet<id::Fingerprint>,
    levels: collections::HashMap<id::Fingerprint, Level>,
    /// Completions of causes without a known crash.
    completions: Completions,
}

impl Cause {
    /// Reports whether a request completed after a crash.
    fn is_cleared(&self, crash: &Crash) -> bool {
        let completed = self.completed;
        completed.is_some_and(|at| at >= crash.failure.failed)
    }

    /// Drops the oldest crash that a completion has cleared; returns whether there was one.
    fn drop_cleared(&mut self) -> bool {
        let cleared = self.crashes.iter().position(|crash| self.is_cleared(crash));
        if let Some(index) = cleared {
            self.crashes.remove(index);
        }
        cleared.is_some()
    }
}

impl Crashes {
    /// Adds the failure of a request at a crashed target; returns whether it is new.
    ///
    /// Of several reports the one with the earliest end counts.
    ///
    /// If there are too many causes, one with a single crash makes room, so that contents that
    /// differ in each request cannot displace what has crashed several targets.
    pub fn add(&mut self, target: &id::TargetLife, failure: Failure) -> bool {
        let mut is_new = self.add_cause(target, failure.content, &failure);
        for part in failure.parts.iter() {
            is_new |= self.add_cause(target, *part, &failure);
        }
        self.update_levels();
        is_new
    }

    fn add_cause(
        &mut self,
        target: &id::TargetLife,
        cause: id::Fingerprint,
        failure: &Failure,
    ) -> bool {
        if !self.make_room(cause) {
            return false;
        }
        let completed = self.completions.last(cause);
        let known = self.causes.entry(cause).or_insert_with(|| Cause {
            is_part: cause != failure.content,
            completed,
            was_sound: completed.is_some(),
            ..Cause::default()
        });
        let reported = known.crashes.iter().position(|c| c.target == *target);
        let is_new = reported.is_none();
        if is_new && known.crashes.len() >= CAUSE_CRASHES_MAX && !known.drop_cleared() {
            return false;
        }
        if let Some(index) = reported {
            if !failure.precedes(&known.crashes[index].failure) {
                return false;
            }
            known.crashes.remove(index);
        }
        let crash = Crash {
            target: target.clone(),
            failure: failure.clone(),
        };
        let later = |other: &Crash| other.failure.failed > failure.failed;
        let index = known.crashes.iter().position(later);
        known
            .crashes
            .insert(index.unwrap_or(known.crashes.len()), crash);
        if known.crashes.len() >= CRASHES {
            self.frequent.insert(cause);
        }
        let target = self.targets.entry(target.clone()).or_insert(Target {
            first: failure.failed,
            down: None,
            causes: collections::HashSet::new(),
        });
        target.first = target.first.min(failure.failed);
        if !failure.given_up {
            let down = target.down.unwrap_or(failure.failed);
            target.down = Some(down.min(failure.failed));
        }
        target.causes.insert(cause);
        is_new
    }

    /// Records that a request with a cause completed; returns whether this clears it of a crash.
    pub fn record_completion(&mut self, cause: id::Fingerprint, at: Instant) -> bool {
        let Some(known) = self.causes.get_mut(&cause) else {
            self.completions.record(cause, at);
            return false;
        };
        let is_new = |crash: &Crash| {
            let failed = crash.failure.failed;
            failed <= at && known.cleared.is_none_or(|cleared| cleared < failed)
        };
        let clears = known.crashes.iter().any(is_new);
        known.completed = known.completed.max(Some(at));
        if clears {
            known.cleared = known.cleared.max(Some(at));
            self.update_levels();
        }
        clears
    }

    /// Returns what may be done with requests that have a cause.
    pub fn status(&self, cause: id::Fingerprint, now: Instant) -> Status {
        match self.levels.get(&cause) {
            None => Status::Clean,
            Some(Level::Limited) => Status::Limited,
            Some(Level::Quarantined {
                early,
                settled,
                until,
            }) => {
                let end = if now < *settled { *early } else { *until };
                match now < end {
                    true => Status::Quarantined(end),
                    false => Status::Limited,
                }
            }
        }
    }

    /// Reports whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    /// Reports whether a cause failed at a crashed target and has not completed since.
    pub fn is_suspected(&self, cause: id::Fingerprint) -> bool {
        let known = self.causes.get(&cause);
        known.is_some_and(|known| !self.counted(known).is_empty())
    }

    /// Returns the time of the first failure at a target if it has crashed.
    pub fn first_failure(&self, target: &id::TargetLife) -> Option<Instant> {
        Some(self.targets.get(target)?.first)
    }

    /// Returns the targets whose crashes count against a cause, in the order of its failures.
    pub fn crashed_targets(&self, cause: id::Fingerprint) -> Vec<(&id::TargetLife, Instant)> {
        let known = self.causes.get(&cause).into_iter();
        let counted = known.flat_map(|known| self.counted(known));
        counted
            .map(|crash| (&crash.target, crash.failure.failed))
            .collect()
    }

    /// Returns the causes that may not run freely.
    pub fn suspected(&self) -> impl Iterator<Item = id::Fingerprint> {
        self.levels.keys().copied()
    }

    /// Lists the failures of requests with their targets.
    pub fn iter(&self) -> impl Iterator<Item = (&id::TargetLife, &Failure)> {
        let contents = self.causes.values().filter(|known| !known.is_part);
        let crashes = contents.flat_map(|known| &known.crashes);
        crashes.map(|crash| (&crash.target, &crash.failure))
    }

    /// Lists the failures of requests with a cause.
    pub fn failures_of(
        &self,
        cause: id::Fingerprint,
    ) -> impl Iterator<Item = (&id::TargetLife, &Failure)> {
        let known = self.causes.get(&cause).into_iter();
        let crashes = known.flat_map(|known| &known.crashes);
        crashes.map(|crash| (&crash.target, &crash.failure))
    }

    /// Reports whether a crash of a cause is known.
    pub fn is_known(&self, cause: id::Fingerprint) -> bool {
        self.causes.contains_key(&cause)
    }

    /// Reports whether a cause is a part of prompts.
    pub fn is_part(&self, cause: id::Fingerprint) -> bool {
        self.causes.get(&cause).is_some_and(|known| known.is_part)
    }

    /// Lists the causes that have completed since a crash, with the time.
    pub fn completed(&self) -> impl Iterator<Item = (id::Fingerprint, Instant)> {
        let causes = self.causes.iter();
        causes.filter_map(|(cause, known)| Some((*cause, known.completed?)))
    }

    /// Forgets a crash: the target is alive.
    pub fn retract(&mut self, target: &id::TargetLife) {
        if self.targets.remove(target).is_some() {
            self.retain(|crash| crash.target != *target);
        }
    }

    /// Drops crashes past their retention time.
    pub fn expire(&mut self, now: Instant) {
        let mut crashes = self.causes.values().flat_map(|known| &known.crashes);
        if crashes.any(|crash| crash.failure.failed + RETENTION <= now) {
            self.retain(|crash| now < crash.failure.failed + RETENTION);
        }
    }

    fn retain(&mut self, is_kept: impl Fn(&Crash) -> bool) {
        self.causes.retain(|_, known| {
            known.crashes.retain(&is_kept);
            !known.crashes.is_empty()
        });
        let causes = &self.causes;
        self.targets.retain(|target, known| {
            known.causes.retain(|cause| {
                let cause = causes.get(cause);
                cause.is_some_and(|c| c.crashes.iter().any(|crash| crash.target == *target))
            });
            !known.causes.is_empty()
        });
        self.frequent.retain(|cause| {
            let known = causes.get(cause);
            known.is_some_and(|known| known.crashes.len() >= CRASHES)
        });
        self.update_levels();
    }

    /// Returns whether there is room for a cause, after dropping another one if needed.
    fn make_room(&mut self, cause: id::Fingerprint) -> bool {
        if self.causes.len() < CAUSES_MAX || self.causes.contains_key(&cause) {
            return true;
        }
        let single = self.causes.iter().filter_map(|(cause, known)| {
            let [crash] = &known.crashes[..] else {
                return None;
            };
            Some((*cause, crash.failure.failed))
        });
        let oldest = single.min_by_key(|(_, failed)| *failed);
        let Some((oldest, _)) = oldest else {
            return false;
        };
        if let Some(known) = self.causes.remove(&oldest) {
            for crash in &known.crashes {
                self.forget_cause(&crash.target, oldest);
            }
        }
        true
    }

    fn forget_cause(&mut self, target: &id::TargetLife, cause: id::Fingerprint) {
        if let Some(known) = self.targets.get_mut(target) {
            known.causes.remove(&cause);
            if known.causes.is_empty() {
                self.targets.remove(target);
            }
        }
    }

    /// Returns the crashes that count against a cause.
    ///
    /// A request that was sent after the first failure at a target did not run when it crashed: it
    /// was sent to a target that was down already. Requests that were given up show nothing of it.
    pub(super) fn counted<'a>(&self, known: &'a Cause) -> Vec<&'a Crash> {
        let is_counted = |crash: &&Crash| !known.is_cleared(crash) && self.was_running(crash);
        known.crashes.iter().filter(is_counted).collect()
    }

    /// Reports whether a request ran when its target crashed.
    fn was_running(&self, crash: &Crash) -> bool {
        let target = self.targets.get(&crash.target);
        let down = target.and_then(|target| target.down);
        down.is_none_or(|down| crash.failure.sent <= down)
    }

    /// Reports whether all requests that ran when a target crashed had a cause.
    pub(super) fn was_alone(&self, cause: id::Fingerprint, target: &id::TargetLife) -> bool {
        let mut others = self.failed_at(target).flat_map(|known| &known.crashes);
        !others.any(|c| c.target == *target && self.was_running(c) && !c.failure.has(cause))
    }

    /// Returns the causes that failed at a crashed target.
    pub(super) fn failed_at(&self, target: &id::TargetLife) -> impl Iterator<Item = &Cause> {
        let target = self.targets.get(target).into_iter();
        let causes = target.flat_map(|target| &target.causes);
        causes.filter_map(|cause| self.causes.get(cause))
    }

    /// Reports whether no request without a cause is suspected of the crash of a target.
    pub(super) fn is_only_suspect(&self, cause: id::Fingerprint, target: &id::TargetLife) -> bool {
        let mut others = self.failed_at(target).flat_map(|known| self.counted(known));
        !others.any(|other| other.target == *target && !other.failure.has(cause))
    }

    /// Returns the causes that may have a level, with the crashes that count against them.
    pub(super) fn frequent(&self) -> impl Iterator<Item = (id::Fingerprint, Vec<&Crash>)> {
        let known = self.frequent.iter();
        let known = known.filter_map(|cause| Some((*cause, self.causes.get(cause)?)));
        let counted = known.map(|(cause, known)| (cause, self.counted(known)));
        counted.filter(|(_, crashes)| crashes.len() >= CRASHES)
    }

    /// Returns a cause with a known crash.
    pub(super) fn get(&self, cause: id::Fingerprint) -> Option<&Cause> {
        self.causes.get(&cause)
    }

    fn update_levels(&mut self) {
        self.levels = levels::weigh(self);
    }
}
