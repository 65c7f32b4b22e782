//! Faults of the model: kills, cuts, a store that refuses, and versions that appear meanwhile.

use laburnumcart::origin::homes;
use rand::Rng;

use crate::{
    gateway::boot,
    model::Model, //
};

/// What the seed of a search draws.
#[derive(Clone, Debug)]
pub(crate) struct Knobs {
    /// Mean time between kills in seconds.
    kills_every: u64,
    kill: Kill,
    /// Number of versions that appear while gateways are dark.
    dark: usize,
    /// Whether they are older ones.
    rolls_back: bool,
    /// Whether all other targets leave meanwhile.
    replaces: bool,
    /// Mean time in seconds between versions that come and go, 0 for never.
    flash_every: u64,
    /// Mean time in seconds between times in which all gateways but one are cut off, 0 for never.
    cuts_every: u64,
    /// Whether the store alone refuses them then.
    refuses: bool,
    /// Whether the store refuses them for some time after a cut.
    refuses_after: bool,
    /// Share of the writes that fail.
    pub(crate) failed_writes: f64,
}

/// Gateways that are killed together.
#[derive(Clone, Copy, Debug)]
enum Kill {
    All,
    AllButOne,
    InTurn,
    Twice,
}

/// What happens later.
pub(crate) enum Change {
    Start(usize),
    Leave(usize),
    LeaveOthers(usize),
    KillOne(usize, u64),
    Kill,
}

impl Knobs {
    pub(crate) fn draw(rng: &mut impl Rng) -> Self {
        let kills = [Kill::All, Kill::AllButOne, Kill::InTurn, Kill::Twice];
        Self {
            kills_every: rng.random_range(5..20),
            kill: kills[rng.random_range(0..kills.len())],
            dark: [0, 1, 1, 2, 4][rng.random_range(0..5)],
            rolls_back: rng.random_bool(0.3),
            replaces: rng.random_bool(0.3),
            flash_every: [0, 0, 8, 15][rng.random_range(0..4)],
            cuts_every: [0, 0, 10, 20][rng.random_range(0..4)],
            refuses: rng.random_bool(0.5),
            refuses_after: rng.random_bool(0.5),
            failed_writes: [0.0, 0.0, 0.1, 0.4][rng.random_range(0..4)],
        }
    }
}

impl Model {
    /// Draws the faults of a search.
    pub(crate) fn draw_search(&mut self) {
        let Some(knobs) = self.knobs.clone() else {
            return;
        };
        self.apply_changes();
        if self.occurs(knobs.kills_every) {
            self.kill(knobs.kill);
            self.appear(&knobs);
        }
        if knobs.flash_every > 0 && self.occurs(knobs.flash_every) {
            let number = self.next_version(knobs.rolls_back);
            let until = self.now + self.search.random_range(500..5000);
            self.start_target(number);
            self.start_target(number);
            self.changes.push((until, Change::Leave(number)));
        }
        if knobs.cuts_every > 0 && self.occurs(knobs.cuts_every) {
            let spared = self.search.random_range(0..self.joined);
            let until = self.now + self.search.random_range(2000..9000);
            for i in (0..self.joined).filter(|i| *i != spared) {
                match knobs.refuses {
                    true => self.gateways[i].refused_until = until,
                    false => self.gateways[i].cut_until = until,
                }
                if knobs.refuses_after {
                    self.gateways[i].refused_until = until + 4000;
                }
            }
            if self.search.random_bool(0.5) {
                let change = match self.search.random_bool(0.5) {
                    true => Change::Kill,
                    false => Change::KillOne(spared, until + 1000),
                };
                self.changes.push((until - 500, change));
            }
        }
    }

    fn occurs(&mut self, secs: u64) -> bool {
        self.search.random_range(0..secs * 20) == 0
    }

    fn next_version(&mut self, rolls_back: bool) -> usize {
        match rolls_back {
            true => self.search.random_range(1..=self.newest),
            false => {
                self.newest += 1;
                self.newest
            }
        }
    }

    fn kill(&mut self, kill: Kill) {
        let spared = self.search.random_range(0..self.joined);
        let down = self.search.random_range(100..3000);
        for i in 0..self.joined {
            let delay = match kill {
                Kill::AllButOne if i == spared => continue,
                Kill::InTurn => 300 * i as u64,
                _ => 0,
            };
            let until = self.now + delay + self.search.random_range(50..=down);
            self.changes
                .push((self.now + delay, Change::KillOne(i, until)));
        }
        if let Kill::Twice = kill {
            let again = self.now + self.search.random_range(500..2000);
            self.changes.push((again, Change::Kill));
        }
    }

    /// Has versions appear while gateways are dark.
    fn appear(&mut self, knobs: &Knobs) {
        for n in 0..knobs.dark {
            let number = self.next_version(knobs.rolls_back);
            let at = self.now + 50 + 200 * n as u64;
            for _ in 0..3 {
                self.changes.push((at, Change::Start(number)));
            }
            if knobs.replaces {
                self.changes.push((at + 100, Change::LeaveOthers(number)));
            }
        }
    }

    fn apply_changes(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.changes)
            .into_iter()
            .partition(|(at, _): &(u64, Change)| *at <= now);
        self.changes = later;
        for (_, change) in due {
            match change {
                Change::Start(number) => self.start_target(number),
                Change::Leave(number) => self.leave(|version| version == number),
                Change::LeaveOthers(number) => self.leave(|version| version != number),
                Change::KillOne(i, until) => {
                    self.gateways[i].restart();
                    self.gateways[i].down_until = until;
                }
                Change::Kill => self.kill(Kill::All),
            }
        }
    }

    fn leave(&mut self, is_meant: impl Fn(usize) -> bool) {
        let now = self.now;
        let targets = self.targets.iter_mut();
        for target in targets.filter(|t| t.is_used() && is_meant(t.version)) {
            target.leaving = Some(now);
        }
    }

    pub(crate) fn draw_faults(&mut self) {
        let length = self.rng.random_range(500..6000);
        let until = self.now + length;
        if self.happens(20) {
            self.store_until = until;
        }
        if self.happens(30) && self.joined < self.gateways.len() {
            let joining = &mut self.gateways[self.joined];
            joining.calm_since = self.now;
            self.joined += 1;
        }
        // Now and then all are killed at once.
        if self.happens(self.kills_every) {
            let longest = self.rng.random_range(100..4000);
            for i in 0..self.joined {
                self.gateways[i].restart();
                let down = self.rng.random_range(50..=longest.max(1000));
                self.gateways[i].down_until = self.now + down;
            }
        }
        let events = (self.joined / 20).max(1);
        for _ in 0..events {
            if !self.happens(4) {
                continue;
            }
            let i = self.rng.random_range(0..self.joined);
            let kind = self.rng.random_range(0..5);
            match kind {
                0 => self.stop(i),
                1 => {
                    self.gateways[i].restart();
                    self.gateways[i].down_until = self.now + 1000;
                }
                // A frozen process keeps its state.
                2 => self.gateways[i].down_until = until,
                3 => self.gateways[i].cut_until = until,
                _ => self.gateways[i].refused_until = until,
            }
        }
    }

    /// Stops a gateway, which hands its records over, and starts it again.
    fn stop(&mut self, i: usize) {
        let now = boot(self.now);
        if self.gateways[i].reaches_peers(self.now) {
            for begun in self.gateways[i].records.all(now) {
                for home in self.ranked(begun.stream, homes::HOMES + 1) {
                    if home != i && self.gateways[home].reaches_peers(self.now) {
                        self.gateways[home].records.insert(begun.clone(), now);
                    }
                }
            }
        }
        if self.reads_store(i) {
            self.store.entries.remove(&i);
        }
        self.gateways[i].restart();
        self.gateways[i].down_until = self.now + 1000;
    }
}
