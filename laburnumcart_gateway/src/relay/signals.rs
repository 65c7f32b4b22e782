//! What targets say of themselves in their answers, as all processes know it.
//!
//! A limit holds for all processes together, and a target leaves for all of them, but each is told
//! by answers to its own requests alone. In a large fleet most of them would send for a long time
//! before they are told, and keep away for a long time after a limit has ended. So each tells the
//! readers what it hears, and gets what they know with the targets.

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
    quota,
    strikes,
    unit, //
};

use crate::view;

/// Time for which others are told that a limit has ended, and the readers that a target leaves.
const RECENT: time::Duration = time::Duration::from_secs(10);

/// Time after which a limit, or that a target leaves, is forgotten if nothing says it again.
///
/// The target may have gone. Longer than the longest time between two trials of a fleet.
const FORGET: time::Duration = time::Duration::from_secs(1800);

/// Most signals that are taken from another process.
const MOST: usize = 2048;

/// Most failed requests that another process is told of.
const STRIKES_MOST: usize = 512;

/// What a target has said of itself, or what has failed there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// Its limit; none if that has ended.
    Limit(Option<unit::Rate>),
    /// It is leaving.
    Leaving,
    /// A request with this content, which ran for so long, has failed there.
    Failed(id::Fingerprint, unit::Period),
}

/// What one process tells another of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetSignal {
    /// Name of the target.
    pub target: id::TargetName,
    /// Its start.
    pub life: id::Life,
    /// What it has said.
    pub signal: Signal,
    /// How long ago that was true.
    pub age: unit::Period,
}

/// What one process knows of all targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalUpdate {
    /// Version of its knowledge.
    pub version: u64,
    /// What targets have said.
    #[serde(rename = "told")]
    pub signals: Vec<TargetSignal>,
}

/// Counts of changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Version {
    /// All changes.
    pub all: u64,
    /// Those that the own requests' answers have brought.
    pub local: u64,
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    heard: quota::Heard,
    /// Version of all knowledge in which the target began to leave.
    left: u64,
}

/// A target that is not there any more.
#[derive(Clone, Copy, Debug)]
struct Gone {
    /// When that was noticed.
    at: Instant,
    /// Version of all knowledge in which others are told of what failed there.
    version: u64,
}

/// Requests that have failed.
#[derive(Debug, Default)]
struct Struck {
    strikes: strikes::Strikes,
    /// Targets among theirs that are gone.
    gone: collections::HashMap<id::TargetLife, Gone>,
}

/// What is known of all targets.
#[derive(Debug, Default)]
pub struct Signals {
    known: Mutex<collections::HashMap<id::TargetLife, Known>>,
    struck: Mutex<Struck>,
    version: watch::Sender<Version>,
}

impl Signals {
    /// Returns what is known of one target.
    pub fn get(&self, target: &id::TargetLife) -> quota::Heard {
        let known = view::lock(&self.known).get(target).copied();
        known.unwrap_or_default().heard
    }

    /// Takes in what an answer of a target says of its limit; returns whether it is news.
    pub fn record_limit(&self, target: &id::TargetLife, word: quota::Word) -> bool {
        let mut all = view::lock(&self.known);
        if word.limit == quota::Limit::None && !all.contains_key(target) {
            return false;
        }
        let known = all.entry(target.clone()).or_default();
        let news = known.heard.answer(word, rand::random(), Instant::now());
        if news {
            self.count(true);
        }
        news
    }

    /// Takes in that an answer of a target says that it is leaving; returns whether it is news.
    pub fn record_leaving(&self, target: &id::TargetLife) -> bool {
        let mut all = view::lock(&self.known);
        let known = all.entry(target.clone()).or_default();
        let news = known.heard.leave(Instant::now());
        if news {
            known.left = self.count(true);
        }
        news
    }

    /// Takes in that a request has failed at a target.
    pub fn record_failure(&self, target: &id::TargetLife, strike: strikes::Strike) {
        let mut struck = view::lock(&self.struck);
        struck.strikes.add(target.clone(), strike);
    }

    /// Takes in which targets are still there; others are told of what failed at those that are
    /// not.
    pub fn update_listed(&self, is_listed: impl Fn(&id::TargetLife) -> bool) {
        let now = Instant::now();
        let mut struck = view::lock(&self.struck);
        let Struck { strikes, gone } = &mut *struck;
        strikes.forget(now);
        gone.retain(|target, _| strikes.has(target));
        let lost = |target: &&id::TargetLife| !gone.contains_key(*target) && !is_listed(target);
        let lost: Vec<_> = strikes.targets().filter(lost).cloned().collect();
        if !lost.is_empty() {
            let version = self.count(true);
            let lost = lost.into_iter();
            gone.extend(lost.map(|target| (target, Gone { at: now, version })));
        }
    }

    /// Returns until when content is refused, as it has crashed targets; `content` is asked only if
    /// any target has crashed.
    pub fn quarantined_until(&self, content: impl FnOnce() -> id::Fingerprint) -> Option<Instant> {
        let Struck { strikes, gone } = &*view::lock(&self.struck);
        match gone.is_empty() {
            true => None,
            false => strikes.refused(content(), |t| gone.contains_key(t), Instant::now()),
        }
    }

    /// Returns the targets that have said that they are leaving.
    pub fn leaving_targets(&self) -> collections::HashSet<id::TargetLife> {
        let all = view::lock(&self.known);
        let leaving = all.iter().filter(|(_, known)| known.heard.left().is_some());
        leaving.map(|(target, _)| target.clone()).collect()
    }

    /// Counts a change and returns its version; called under the lock.
    fn count(&self, own: bool) -> u64 {
        self.version.send_modify(|version| {
            version.all += 1;
            version.local += u64::from(own);
        });
        self.version.borrow().all
    }

    /// Takes in what another process knows.
    pub fn merge(&self, told: &[TargetSignal]) {
        let now = Instant::now();
        let mut all = view::lock(&self.known);
        let mut struck = view::lock(&self.struck);
        for told in told.iter().take(MOST) {
            let target = id::TargetLife {
                name: told.target.clone(),
                life: told.life,
            };
            // What is older than this process's clock is too old to matter.
            let at = now.checked_sub(told.age.0);
            if let (Some(failed), Signal::Failed(content, ran)) = (at, told.signal) {
                let strike = strikes::Strike {
                    content,
                    sent: failed.checked_sub(ran.0).unwrap_or(failed),
                    failed,
                };
                if struck.strikes.add(target.clone(), strike) {
                    let version = self.count(false);
                    struck.gone.insert(target, Gone { at: now, version });
                }
            } else if let Some(at) = at {
                let known = all.entry(target).or_default();
                match told.signal {
                    Signal::Limit(rate) if known.heard.tell(rate, at, rand::random()) => {
                        self.count(false);
                    }
                    Signal::Leaving if known.heard.leave(at) => known.left = self.count(false),
                    Signal::Limit(_) | Signal::Leaving | Signal::Failed(..) => {}
                }
            }
        }
    }

    /// Lists what the readers should know.
    pub fn recent(&self) -> Vec<TargetSignal> {
        self.list(None)
    }

    /// Lists what one should know that knows a version, or has been told all along.
    fn list(&self, version: Option<u64>) -> Vec<TargetSignal> {
        let now = Instant::now();
        let mut all = view::lock(&self.known);
        all.retain(|_, Known { heard, .. }| {
            let kept = if heard.named().is_some() {
                FORGET
            } else {
                RECENT
            };
            let leaves = heard.left().is_some_and(|at| now < at + FORGET);
            leaves || heard.at().is_some_and(|at| now < at + kept)
        });
        let told = all.iter().flat_map(|(target, Known { heard, left })| {
            let limit = Signal::Limit(heard.named().map(|named| named.rate));
            let limit = heard.at().map(|at| (limit, at));
            let missed = version.is_some_and(|version| *left > version);
            let left = heard.left().filter(|at| missed || now < *at + RECENT);
            let leaving = left.map(|at| (Signal::Leaving, at));
            let told = |(signal, at)| TargetSignal {
                target: target.name.clone(),
                life: target.life,
                signal,
                age: unit::Period(now.saturating_duration_since(at)),
            };
            limit.into_iter().chain(leaving).map(told)
        });
        let mut told: Vec<_> = told.collect();
        let Struck { strikes, gone } = &*view::lock(&self.struck);
        let is_news = |target: &id::TargetLife| {
            let gone = gone.get(target);
            gone.is_some_and(|gone| match version {
                Some(version) => gone.version > version,
                None => now < gone.at + RECENT,
            })
        };
        let failed = strikes.iter().filter(|(target, _)| is_news(target));
        told.extend(
            failed
                .take(STRIKES_MOST)
                .map(|(target, strike)| TargetSignal {
                    target: target.name.clone(),
                    life: target.life,
                    signal: Signal::Failed(
                        strike.content,
                        unit::Period(strike.failed.saturating_duration_since(strike.sent)),
                    ),
                    age: unit::Period(now.saturating_duration_since(strike.failed)),
                }),
        );
        told
    }

    /// Lists what others should know, if more is known than in a version.
    pub fn updates_since(&self, version: u64) -> Option<SignalUpdate> {
        let present = self.version.borrow().all;
        (present > version).then(|| SignalUpdate {
            version: present,
            signals: self.list(Some(version)),
        })
    }

    /// Returns a receiver of changes.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }
}
