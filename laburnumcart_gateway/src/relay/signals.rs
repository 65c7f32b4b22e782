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
    unit, //
};

use crate::view;

/// Time for which others are told that a limit has ended, or that a target leaves.
const RECENT: time::Duration = time::Duration::from_secs(10);

/// Time after which a limit, or that a target leaves, is forgotten if nothing says it again.
///
/// The target may have gone. Longer than the longest time between two trials of a fleet.
const FORGET: time::Duration = time::Duration::from_secs(1800);

/// Most signals that are taken from another process.
const MOST: usize = 2048;

/// What a target has said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// Its limit; none if that has ended.
    Limit(Option<unit::Rate>),
    /// It is leaving.
    Leaving,
}

/// What one process tells another of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
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
pub struct News {
    /// Version of its knowledge.
    pub version: u64,
    /// What targets have said.
    pub told: Vec<Told>,
}

/// Counts of changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Version {
    /// All changes.
    pub all: u64,
    /// Those that the own requests' answers have brought.
    pub own: u64,
}

/// What is known of all targets.
#[derive(Debug, Default)]
pub struct Signals {
    heard: Mutex<collections::HashMap<id::TargetLife, quota::Heard>>,
    version: watch::Sender<Version>,
}

impl Signals {
    /// Returns what is known of one target.
    pub fn heard(&self, target: &id::TargetLife) -> quota::Heard {
        let heard = view::lock(&self.heard).get(target).copied();
        heard.unwrap_or_default()
    }

    /// Takes in what an answer of a target says of its limit; returns whether it is news.
    pub fn answer(&self, target: &id::TargetLife, word: quota::Word) -> bool {
        let mut all = view::lock(&self.heard);
        if word.limit == quota::Limit::None && !all.contains_key(target) {
            return false;
        }
        let heard = all.entry(target.clone()).or_default();
        let news = heard.answer(word, rand::random(), Instant::now());
        drop(all);
        if news {
            self.count_own();
        }
        news
    }

    /// Takes in that an answer of a target says that it is leaving; returns whether it is news.
    pub fn leave(&self, target: &id::TargetLife) -> bool {
        let mut all = view::lock(&self.heard);
        let heard = all.entry(target.clone()).or_default();
        let news = heard.leave(Instant::now());
        drop(all);
        if news {
            self.count_own();
        }
        news
    }

    /// Returns the targets that have said that they are leaving.
    pub fn leaving(&self) -> collections::HashSet<id::TargetLife> {
        let all = view::lock(&self.heard);
        let leaving = all.iter().filter(|(_, heard)| heard.left().is_some());
        leaving.map(|(target, _)| target.clone()).collect()
    }

    fn count_own(&self) {
        self.version.send_modify(|version| {
            version.all += 1;
            version.own += 1;
        });
    }

    /// Takes in what another process knows.
    pub fn merge(&self, told: &[Told]) {
        let now = Instant::now();
        let mut all = view::lock(&self.heard);
        let mut news = false;
        for told in told.iter().take(MOST) {
            let target = id::TargetLife {
                name: told.target.clone(),
                life: told.life,
            };
            // What is older than this process's clock is too old to matter.
            if let Some(at) = now.checked_sub(told.age.0) {
                let heard = all.entry(target).or_default();
                news |= match told.signal {
                    Signal::Limit(rate) => heard.tell(rate, at, rand::random()),
                    Signal::Leaving => heard.leave(at),
                };
            }
        }
        drop(all);
        if news {
            self.version.send_modify(|version| version.all += 1);
        }
    }

    /// Lists what others should know.
    pub fn told(&self) -> Vec<Told> {
        let now = Instant::now();
        let mut all = view::lock(&self.heard);
        all.retain(|_, heard| {
            let kept = if heard.named().is_some() {
                FORGET
            } else {
                RECENT
            };
            let leaves = heard.left().is_some_and(|at| now < at + FORGET);
            leaves || heard.at().is_some_and(|at| now < at + kept)
        });
        let told = all.iter().flat_map(|(target, heard)| {
            let limit = Signal::Limit(heard.named().map(|named| named.rate));
            let limit = heard.at().map(|at| (limit, at));
            let left = heard.left().filter(|at| now < *at + RECENT);
            let leaving = left.map(|at| (Signal::Leaving, at));
            let told = |(signal, at)| Told {
                target: target.name.clone(),
                life: target.life,
                signal,
                age: unit::Period(now.saturating_duration_since(at)),
            };
            limit.into_iter().chain(leaving).map(told)
        });
        told.collect()
    }

    /// Lists what others should know, if more is known than in a version.
    pub fn since(&self, version: u64) -> Option<News> {
        let present = self.version.borrow().all;
        (present > version).then(|| News {
            version: present,
            told: self.told(),
        })
    }

    /// Returns a receiver of changes.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }
}
