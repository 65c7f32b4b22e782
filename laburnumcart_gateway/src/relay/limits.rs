//! Limits that targets name, as all processes know them.
//!
//! A limit holds for all processes together, and each is told by answers to its own requests alone.
//! In a large fleet most of them would send for a long time before they are told, and keep away for
//! a long time after the limit has ended. So each tells the readers what it hears, and gets what
//! they know with the targets.

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

/// Time for which others are told that a limit has ended.
const ENDED: time::Duration = time::Duration::from_secs(10);

/// Time after which a limit is forgotten that no answer has named.
///
/// Its target may have gone. Longer than the longest time between two trials of a fleet.
const FORGET: time::Duration = time::Duration::from_secs(1800);

/// Most limits that are taken from another process.
const MOST: usize = 2048;

/// What one process tells another of a target's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Name of the target.
    pub target: id::TargetName,
    /// Its start.
    pub life: id::Life,
    /// Limit; none if it has ended.
    pub limit: Option<unit::Rate>,
    /// How long ago that was true.
    pub age: unit::Period,
}

/// What one process knows of all limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Version of its knowledge.
    pub version: u64,
    /// Limits.
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

/// What is known of all targets' limits.
#[derive(Debug, Default)]
pub struct Limits {
    heard: Mutex<collections::HashMap<id::TargetLife, quota::Heard>>,
    version: watch::Sender<Version>,
}

impl Limits {
    /// Returns what is known of one target.
    pub fn heard(&self, target: &id::TargetLife) -> quota::Heard {
        let heard = view::lock(&self.heard).get(target).copied();
        heard.unwrap_or_default()
    }

    /// Takes in an answer of a target; returns whether it is news.
    pub fn answer(&self, target: &id::TargetLife, word: quota::Word) -> bool {
        let mut all = view::lock(&self.heard);
        if word.limit == quota::Limit::None && !all.contains_key(target) {
            return false;
        }
        let heard = all.entry(target.clone()).or_default();
        let news = heard.answer(word, rand::random(), Instant::now());
        drop(all);
        if news {
            self.version.send_modify(|version| {
                version.all += 1;
                version.own += 1;
            });
        }
        news
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
                news |= heard.tell(told.limit, at, rand::random());
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
                ENDED
            };
            heard.at().is_some_and(|at| now < at + kept)
        });
        let told = all.iter().filter_map(|(target, heard)| {
            let at = heard.at()?;
            Some(Told {
                target: target.name.clone(),
                life: target.life,
                limit: heard.named().map(|named| named.rate),
                age: unit::Period(now.saturating_duration_since(at)),
            })
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
