//! Shares of a fleet-wide budget.

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

const LIMIT: fleet_budget::Limit = fleet_budget::Limit {
    ratio: 0.2,
    extra: 40.0,
};

/// Step of the simulated time.
const TICK: time::Duration = time::Duration::from_millis(250);

/// Ticks per window.
const WINDOW: usize = 40;

/// Ticks after which spending of a process that has ended no longer counts.
const SETTLE_TICKS: usize = 88;

fn name(i: usize) -> id::InstanceName {
    format!("gateway-{i}").parse().unwrap()
}

fn at(seconds: u64) -> BootTime {
    BootTime(time::Duration::from_secs(seconds))
}

/// One process of the simulated system.
struct Process {
    incarnation: u64,
    share: fleet_budget::Share,
    budget: budget::Budget,
    /// Tick of the newest listing that the process has read.
    listing_tick: usize,
    /// Tick until which the process is paused.
    paused_until: usize,
    /// Tick until which the process cannot reach the store.
    disconnected_until: usize,
}

/// Incarnations by process, as the store lists them.
type Listing = collections::BTreeMap<usize, u64>;

/// Processes that start, crash, pause and lose the store while all targets fail.
struct Fleet {
    rng: rand::rngs::StdRng,
    start: Instant,
    incarnations: u64,
    processes: Vec<Option<Process>>,
    /// Last tick in which each process was running.
    last_running: Vec<usize>,
    /// Listing of the store at each tick.
    listings: Vec<Listing>,
    /// Requests at each tick.
    requests: Vec<usize>,
    /// Extra attempts at each tick.
    spent: Vec<usize>,
}

impl Fleet {
    fn new(seed: u64, size: usize) -> Self {
        Self {
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            start: Instant::now(),
            incarnations: 0,
            processes: (0..size).map(|_| None).collect(),
            last_running: vec![0; size],
            listings: vec![Listing::new()],
            requests: Vec::new(),
            spent: Vec::new(),
        }
    }

    /// Simulates one tick; `load` is the mean number of requests per process.
    fn step(&mut self, load: usize) {
        let tick = self.requests.len();
        let mut listing = self.listings[tick].clone();
        let (mut requests, mut spent) = (0, 0);
        for i in 0..self.processes.len() {
            self.inject_event(i, tick, &mut listing);
            let now = self.start + TICK * tick as u32;
            let Some(process) = self.processes[i]
                .as_mut()
                .filter(|p| p.paused_until <= tick)
            else {
                continue;
            };
            let rng = &mut self.rng;
            if process.disconnected_until <= tick {
                listing.insert(i, process.incarnation);
                let oldest = process.listing_tick.max(tick.saturating_sub(WINDOW));
                process.listing_tick = rng.random_range(oldest..=tick);
                let known = &self.listings[process.listing_tick];
                let own = match known.get(&i) {
                    None => OwnEntry::Absent,
                    Some(incarnation) if *incarnation == process.incarnation => OwnEntry::Present,
                    Some(_) => OwnEntry::PreviousLife,
                };
                let others: Vec<_> = known
                    .keys()
                    .filter(|k| **k != i)
                    .map(|k| name(*k))
                    .collect();
                let at = BootTime(TICK * process.listing_tick as u32);
                process.share.update(own, &others, at);
            }
            let fraction = process.share.fraction(BootTime(TICK * tick as u32));
            process.budget.set_reserve(LIMIT.reserve(fraction));
            let arrived = rng.random_range(0..=load * 2);
            (0..arrived).for_each(|_| process.budget.deposit(now));
            requests += arrived;
            if rng.random_bool(0.3) {
                spent += (0..1000)
                    .take_while(|_| process.budget.try_spend(now))
                    .count();
            }
        }
        self.listings.push(listing);
        self.requests.push(requests);
        self.spent.push(spent);
    }

    /// Starts, crashes, pauses, disconnects or unlists a process at random.
    fn inject_event(&mut self, i: usize, tick: usize, listing: &mut Listing) {
        let (kind, length) = (self.rng.random_range(0..200), self.rng.random_range(1..200));
        if self.processes[i].is_some() {
            self.last_running[i] = tick;
        }
        match (&mut self.processes[i], kind) {
            (None, 0..10) => {
                self.incarnations += 1;
                self.processes[i] = Some(Process {
                    incarnation: self.incarnations,
                    share: fleet_budget::Share::default(),
                    budget: LIMIT.budget(self.start + TICK * tick as u32),
                    listing_tick: tick,
                    paused_until: 0,
                    disconnected_until: 0,
                });
            }
            (process @ Some(_), 0..2) => *process = None,
            // The entry of a process remains listed for some time after its end.
            (None, 150..155) if self.last_running[i] + SETTLE_TICKS < tick => {
                listing.remove(&i);
            }
            (Some(process), 2) => process.paused_until = tick + length,
            (Some(process), 3) => process.disconnected_until = tick + length,
            _ => {}
        }
    }

    /// Panics if any window has more extra attempts than its requests allow.
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
            let allowed = LIMIT.ratio * most + LIMIT.extra;
            let spent = count(&self.spent, from);
            assert!(
                spent as f64 <= allowed,
                "tick {from}: {spent}, {allowed} allowed"
            );
        }
    }
}

// Processes restart, pause and lose the store while all targets fail.
#[rstest]
fn all_processes_together_stay_within_the_limit(
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

// The previous incarnation may have just spent its share.
#[test]
fn restarted_process_waits_for_its_share() {
    let mut share = fleet_budget::Share::default();
    share.update(OwnEntry::PreviousLife, [], at(100));
    share.update(OwnEntry::Present, [], at(101));
    assert_eq!(share.fraction(at(102)), 0.0);
    let settled = BootTime(at(101).0 + fleet_budget::SETTLE_TIME);
    share.update(OwnEntry::Present, [], settled);
    assert_eq!(share.fraction(settled), 1.0);
}

// A disconnected process does not learn of new ones, and would keep spending their shares.
#[test]
fn outdated_listing_gives_no_share() {
    let mut share = fleet_budget::Share::default();
    share.update(OwnEntry::Present, [], at(100));
    assert_eq!(share.fraction(at(101)), 1.0);
    let late = BootTime(at(101).0 + fleet_budget::MAX_AGE);
    assert_eq!(share.fraction(late), 0.0);
}

// The last spending of a process that has left is still in the window.
#[test]
fn process_that_has_left_counts_until_settled() {
    let mut share = fleet_budget::Share::default();
    share.update(OwnEntry::Present, [], at(100));
    share.update(OwnEntry::Present, [&name(2)], at(101));
    share.update(OwnEntry::Present, [], at(110));
    assert_eq!(share.fraction(at(110)), 0.5);
    let settled = BootTime(at(110).0 + fleet_budget::SETTLE_TIME);
    share.update(OwnEntry::Present, [], settled);
    assert_eq!(share.fraction(settled), 1.0);
}

// Requests move from one process to another while all targets fail, so both count them.
#[test]
fn moving_requests_do_not_double_the_budget() {
    let start = Instant::now();
    let requests: u32 = 1000;
    let spent = [0, 1].map(|turn| {
        let begin = start + budget::WINDOW * turn;
        let mut budget = LIMIT.budget(begin);
        (0..requests).for_each(|_| budget.deposit(begin));
        // The first spends at the end of its window, the second within the next.
        let end = begin + budget::WINDOW - time::Duration::from_secs(1);
        (0..requests).filter(|_| budget.try_spend(end)).count()
    });
    let allowed = LIMIT.ratio * f64::from(requests) + LIMIT.extra;
    assert!(spent[0] > 0);
    assert!(
        (spent[0] + spent[1]) as f64 <= allowed,
        "{spent:?}, {allowed} allowed"
    );
}
