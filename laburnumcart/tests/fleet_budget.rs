//! Parts of what all processes may spend together.

use std::{
    collections,
    time, //
};

use laburnumcart::{
    budget,
    fleet_budget::{
        self,
        OwnEntry, //
    },
    freshness::BootTime,
    id, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;
use tokio::time::Instant;

const BOUND: fleet_budget::Limit = fleet_budget::Limit {
    ratio: 0.2,
    extra: 40.0,
};

/// Step of the simulated time, and steps of a window.
const TICK: time::Duration = time::Duration::from_millis(250);
const WINDOW: usize = 40;

/// Steps after which nothing that a process has spent counts.
const SETTLED: usize = 88;

fn name(i: usize) -> id::InstanceName {
    format!("gateway-{i}").parse().unwrap()
}

fn moment(seconds: u64) -> BootTime {
    BootTime(time::Duration::from_secs(seconds))
}

/// One process of the simulated system.
struct Process {
    life: u64,
    allotment: fleet_budget::Share,
    budget: budget::Budget,
    /// Tick of the newest listing that it has read.
    read: usize,
    /// Tick until which it stands still, and until which it hears nothing of the store.
    frozen: usize,
    cut: usize,
}

/// Lives by name, as the store lists them.
type Listing = collections::BTreeMap<usize, u64>;

/// Processes that start, are killed, stand still and lose the store while all targets fail.
struct Fleet {
    random: rand::rngs::StdRng,
    start: Instant,
    lives: u64,
    processes: Vec<Option<Process>>,
    /// Tick in which each has lived last.
    ended: Vec<usize>,
    /// What the store has listed at each tick.
    listings: Vec<Listing>,
    /// Requests and extra sends at each tick.
    requests: Vec<usize>,
    spent: Vec<usize>,
}

impl Fleet {
    fn new(seed: u64, size: usize) -> Self {
        Self {
            random: rand::rngs::StdRng::seed_from_u64(seed),
            start: Instant::now(),
            lives: 0,
            processes: (0..size).map(|_| None).collect(),
            ended: vec![0; size],
            listings: vec![Listing::new()],
            requests: Vec::new(),
            spent: Vec::new(),
        }
    }

    /// Plays one tick; `load` is the mean number of requests that a process gets.
    fn step(&mut self, load: usize) {
        let tick = self.requests.len();
        let mut listing = self.listings[tick].clone();
        let (mut requests, mut spent) = (0, 0);
        for i in 0..self.processes.len() {
            self.trouble(i, tick, &mut listing);
            let now = self.start + TICK * tick as u32;
            let Some(process) = self.processes[i].as_mut().filter(|p| p.frozen <= tick) else {
                continue;
            };
            let random = &mut self.random;
            if process.cut <= tick {
                listing.insert(i, process.life);
                let oldest = process.read.max(tick.saturating_sub(WINDOW));
                process.read = random.random_range(oldest..=tick);
                let known = &self.listings[process.read];
                let own = match known.get(&i) {
                    None => OwnEntry::Absent,
                    Some(life) if *life == process.life => OwnEntry::Present,
                    Some(_) => OwnEntry::PreviousLife,
                };
                let others: Vec<_> = known
                    .keys()
                    .filter(|k| **k != i)
                    .map(|k| name(*k))
                    .collect();
                let at = BootTime(TICK * process.read as u32);
                process.allotment.update(own, &others, at);
            }
            let part = process.allotment.fraction(BootTime(TICK * tick as u32));
            process.budget.set_reserve(BOUND.reserve(part));
            let came = random.random_range(0..=load * 2);
            (0..came).for_each(|_| process.budget.deposit(now));
            requests += came;
            if random.random_bool(0.3) {
                spent += (0..1000)
                    .take_while(|_| process.budget.try_spend(now))
                    .count();
            }
        }
        self.listings.push(listing);
        self.requests.push(requests);
        self.spent.push(spent);
    }

    /// Lets something happen to a process, seldom.
    fn trouble(&mut self, i: usize, tick: usize, listing: &mut Listing) {
        let (kind, length) = (
            self.random.random_range(0..200),
            self.random.random_range(1..200),
        );
        if self.processes[i].is_some() {
            self.ended[i] = tick;
        }
        match (&mut self.processes[i], kind) {
            (None, 0..10) => {
                self.lives += 1;
                self.processes[i] = Some(Process {
                    life: self.lives,
                    allotment: fleet_budget::Share::default(),
                    budget: BOUND.budget(self.start + TICK * tick as u32),
                    read: tick,
                    frozen: 0,
                    cut: 0,
                });
            }
            (process @ Some(_), 0..2) => *process = None,
            // Entries outlive their processes.
            (None, 150..155) if self.ended[i] + SETTLED < tick => {
                listing.remove(&i);
            }
            (Some(process), 2) => process.frozen = tick + length,
            (Some(process), 3) => process.cut = tick + length,
            _ => {}
        }
    }

    /// Panics if any window has more extra sends than its requests allow.
    fn check(&self) {
        let count = |all: &[usize], from: isize| -> usize {
            let end = (from + WINDOW as isize).clamp(0, all.len() as isize) as usize;
            all[from.clamp(0, all.len() as isize) as usize..end]
                .iter()
                .sum()
        };
        for from in 0..self.spent.len() as isize {
            let before = [0, WINDOW / 2, WINDOW].map(|back| from - back as isize);
            let requests = before.map(|from| count(&self.requests, from));
            let most = *requests.iter().max().unwrap() as f64;
            let allowed = BOUND.ratio * most + BOUND.extra;
            let spent = count(&self.spent, from);
            assert!(
                spent as f64 <= allowed,
                "tick {from}: {spent}, {allowed} allowed"
            );
        }
    }
}

// Processes start again and again, join, leave, stand still and are cut off while all targets fail.
#[rstest]
fn all_processes_together_stay_within_the_bound(
    #[values(1, 2, 4, 9)] size: usize,
    #[values(0, 1, 6)] load: usize,
) {
    let mut spent = 0;
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, size);
        (0..800).for_each(|_| fleet.step(load));
        fleet.check();
        spent += fleet.spent.iter().sum::<usize>();
    }
    assert!(spent > 0, "nothing was ever spent");
}

// An earlier life may have spent its part a moment ago.
#[test]
fn a_process_that_starts_again_waits_for_its_part() {
    let mut allotment = fleet_budget::Share::default();
    allotment.update(OwnEntry::PreviousLife, [], moment(100));
    allotment.update(OwnEntry::Present, [], moment(101));
    assert_eq!(allotment.fraction(moment(102)), 0.0);
    let settled = BootTime(moment(101).0 + fleet_budget::SETTLE_TIME);
    allotment.update(OwnEntry::Present, [], settled);
    assert_eq!(allotment.fraction(settled), 1.0);
}

// Who is cut off does not hear of those that join, and would keep a part that is theirs.
#[test]
fn old_knowledge_gives_no_part() {
    let mut allotment = fleet_budget::Share::default();
    allotment.update(OwnEntry::Present, [], moment(100));
    assert_eq!(allotment.fraction(moment(101)), 1.0);
    let late = BootTime(moment(101).0 + fleet_budget::MAX_AGE);
    assert_eq!(allotment.fraction(late), 0.0);
}

// What a process that has left spent last is still in the window.
#[test]
fn a_process_that_has_left_counts_for_a_while() {
    let mut allotment = fleet_budget::Share::default();
    allotment.update(OwnEntry::Present, [], moment(100));
    allotment.update(OwnEntry::Present, [&name(2)], moment(101));
    allotment.update(OwnEntry::Present, [], moment(110));
    assert_eq!(allotment.fraction(moment(110)), 0.5);
    let settled = BootTime(moment(110).0 + fleet_budget::SETTLE_TIME);
    allotment.update(OwnEntry::Present, [], settled);
    assert_eq!(allotment.fraction(settled), 1.0);
}

// All targets fail as the requests move from one process to another.
#[test]
fn requests_that_move_are_not_paid_for_twice() {
    let start = Instant::now();
    let requests: u32 = 1000;
    let spent = [0, 1].map(|turn| {
        let begin = start + budget::WINDOW * turn;
        let mut budget = BOUND.budget(begin);
        (0..requests).for_each(|_| budget.deposit(begin));
        // The first spends at the end of its window, the second within the next.
        let end = begin + budget::WINDOW - time::Duration::from_secs(1);
        (0..requests).filter(|_| budget.try_spend(end)).count()
    });
    let allowed = BOUND.ratio * f64::from(requests) + BOUND.extra;
    assert!(spent[0] > 0);
    assert!(
        (spent[0] + spent[1]) as f64 <= allowed,
        "{spent:?}, {allowed} allowed"
    );
}
