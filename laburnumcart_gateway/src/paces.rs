//! Paces of targets that have just started or recovered.

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time,
};

use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    pace,
    quota,
    unit, //
};

use crate::{
    metrics,
    view, //
};

/// Time for which the pace of a target that is no longer listed is kept.
///
/// Entries can expire during an outage of the store and return after it; these targets have not
/// started anew.
const UNLISTED_TTL: time::Duration = time::Duration::from_secs(600);

/// What limits the requests of this process to a target.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Rate limiter.
    pub limiter: quota::Limiter,
    /// Pace of the target.
    pub pace: pace::Shared,
}

#[derive(Debug)]
struct Entry {
    pace: pace::Shared,
    last_listed: Instant,
}

/// Paces of all targets, and the usual times of their services.
#[derive(Debug)]
pub struct Paces {
    instance: id::InstanceName,
    view: Arc<view::View>,
    enabled: atomic::AtomicBool,
    /// Whether the targets that were there before this process are known.
    complete: atomic::AtomicBool,
    entries: Mutex<collections::HashMap<id::TargetLife, Entry>>,
    usual: Mutex<collections::HashMap<id::ServiceName, pace::Usual>>,
    metrics: metrics::PaceMetrics,
}

impl Paces {
    /// Creates the paces of a process; they limit nothing until they are enabled.
    pub fn new(
        own: id::InstanceName,
        view: Arc<view::View>,
        metrics: metrics::PaceMetrics,
    ) -> Self {
        Self {
            instance: own,
            view,
            enabled: atomic::AtomicBool::new(false),
            complete: atomic::AtomicBool::new(false),
            entries: Mutex::default(),
            usual: Mutex::default(),
            metrics,
        }
    }

    /// Enables paces.
    pub fn enable(&self) {
        self.enabled.store(true, atomic::Ordering::Release);
    }

    fn is_enabled(&self) -> bool {
        self.enabled.load(atomic::Ordering::Acquire)
    }

    /// Returns the pace of a target, which limits nothing while paces are not enabled.
    pub fn pace(&self, target: &view::Target) -> pace::Shared {
        if !self.is_enabled() {
            return pace::Shared::default();
        }
        let now = Instant::now();
        let mut entries = view::lock(&self.entries);
        self.entry(&mut entries, target, now).pace.clone()
    }

    /// Updates the paces after a change of the listed targets.
    pub fn refresh(&self) {
        if !self.is_enabled() {
            return;
        }
        let now = Instant::now();
        let targets = self.view.targets.load();
        let mut entries = view::lock(&self.entries);
        for target in targets.all() {
            self.entry(&mut entries, target, now).last_listed = now;
        }
        entries.retain(|_, entry| now < entry.last_listed + UNLISTED_TTL);
        if self.view.is_loaded() {
            self.complete.store(true, atomic::Ordering::Release);
        }
    }

    fn entry<'a>(
        &self,
        entries: &'a mut collections::HashMap<id::TargetLife, Entry>,
        target: &view::Target,
        now: Instant,
    ) -> &'a mut Entry {
        entries.entry(target.key()).or_insert_with(|| {
            let members = self.view.member_count();
            let rank = self.own_rank(target);
            // A gateway that starts must not slow down targets that were there before.
            let pace = match self.complete.load(atomic::Ordering::Acquire) {
                true => {
                    let pace = pace::Pace::started(members, now);
                    pace.spread(self.cold_rate(target, now), rank)
                }
                false => pace::Pace::full(members, now),
            };
            if pace.state() != pace::State::Full {
                event!(
                    Info,
                    "target-pace",
                    target = target.name,
                    life = target.life,
                    service = target.service,
                    state = pace.state(),
                    cause = pace::Cause::Started,
                    members = members,
                    allowance = pace.allowance().unwrap_or_default()
                );
            }
            Entry {
                pace: pace::Shared::new(pace),
                last_listed: now,
            }
        })
    }

    /// Returns the position of this process among the members for a target.
    fn own_rank(&self, target: &view::Target) -> usize {
        let members = self.view.members.load();
        let members: Vec<_> = members.iter().map(|m| &m.instance).collect();
        let senders = quota::Senders {
            own: &self.instance,
            members: &members,
        };
        senders.own_rank(&target.name)
    }

    /// Returns the rate that a target accepts while it is cold, if it states that it is.
    fn cold_rate(&self, target: &view::Target, now: Instant) -> Option<unit::Rate> {
        target.cold_until.filter(|until| *until > now)?;
        let table = self.view.table.load();
        table.as_ref()?.service(&target.service)?.cold_rate
    }

    /// Records that a target answers nothing, not even status checks.
    pub fn record_silent(&self, target: &view::Target) {
        let pace = self.pace(target);
        self.record(target, &pace, pace::Observation::Lost);
    }

    /// Records the first answer of a target to a request of a kind.
    pub fn record_answer(
        &self,
        target: &view::Target,
        pace: &pace::Shared,
        kind: pace::Kind,
        sent: Instant,
    ) {
        if !self.is_enabled() {
            return;
        }
        let taken = sent.elapsed();
        let mut services = view::lock(&self.usual);
        let usual = services.entry(target.service.clone()).or_default();
        let ratio = usual.ratio(kind, taken);
        usual.record(kind, taken, pace.is_comparable(Instant::now()));
        drop(services);
        self.record(target, pace, pace::Observation::Answer { sent, ratio });
    }

    /// Records an observation of a target, and logs a change of its state.
    pub fn record(
        &self,
        target: &view::Target,
        pace: &pace::Shared,
        observation: pace::Observation,
    ) {
        let Some(change) = pace.record(observation, Instant::now()) else {
            return;
        };
        if change.after == pace::State::Full
            && let Some(answered) = change.answered
        {
            self.metrics.time_to_full.observe(answered.as_secs_f64());
        }
        event!(
            Info,
            "target-pace",
            target = target.name,
            life = target.life,
            service = target.service,
            state = change.after,
            before = change.before,
            cause = change.cause,
            allowance = change.allowance,
            usual = change.usual,
            slow = change.slow,
            ratio = format_args!("{:.2}", change.ratio.unwrap_or_default()),
            running = change.running.unwrap_or_default(),
            age_ms = change.age.as_millis()
        );
    }

    /// Updates the gauges.
    pub fn update_gauges(&self) {
        let entries = view::lock(&self.entries);
        let (mut probing, mut growing, mut allowance) = (0, 0, 0);
        let targets = self.view.targets.load();
        for target in targets.used() {
            let Some(entry) = entries.get(&target.key()) else {
                continue;
            };
            match entry.pace.state() {
                pace::State::Probing => probing += 1,
                pace::State::Growing => growing += 1,
                pace::State::Full => {}
            }
            allowance += i64::from(entry.pace.allowance().unwrap_or_default());
        }
        self.metrics.probing.set(probing);
        self.metrics.growing.set(growing);
        self.metrics.allowance.set(allowance);
    }
}
