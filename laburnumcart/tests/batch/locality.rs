//! Simulation of a queue over some seconds: jobs on time and bytes moved between data centres.

use std::time;

use laburnumcart::{
    batch,
    ingress,
    unit, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs, //
};
use tokio::time::Instant;

use crate::support::{
    MS,
    stored, //
};

/// Parameters of a stage whose pieces are small and read large inputs.
const BATCHING: ingress::Batching = ingress::Batching {
    pieces: 28,
    call_time: time::Duration::from_millis(240),
    piece_time: time::Duration::from_micros(7300),
    capacity: unit::Size(300_000),
    ttl: time::Duration::from_secs(4),
};

/// Data centre of each target; the inputs of jobs are spread over them in the same proportion.
const ZONES: [&str; 5] = ["north", "north", "east", "east", "south"];

/// Size of a job's inputs.
const INPUT_SIZE: unit::Size = unit::Size(1_440_000);

/// Time from the end of a job until its results are freed.
const FREE_DELAY: time::Duration = time::Duration::from_millis(300);

/// Counts of jobs, and bytes moved between data centres.
#[derive(Default)]
struct Tally {
    jobs: usize,
    on_time: usize,
    moved: u64,
}

impl Tally {
    fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.jobs as f64
    }

    fn moved_share(&self) -> f64 {
        self.moved as f64 / (self.jobs as u64 * INPUT_SIZE.0) as f64
    }
}

/// Simulation of a queue with five targets.
struct Simulation {
    queue: batch::Queue,
    zones: Vec<(batch::TargetKey, &'static str)>,
    now: Instant,
    calls: Vec<(Instant, batch::Call)>,
    frees: Vec<(Instant, batch::Handle)>,
    /// Jobs with the data centre of their inputs and their due time.
    jobs: Vec<(batch::JobKey, &'static str, Instant)>,
    tally: Tally,
}

impl Simulation {
    fn new(now: Instant) -> Self {
        let mut queue = batch::Queue::new(BATCHING);
        let add = |zone: &&'static str| (queue.targets.add(zone.parse().unwrap()), *zone);
        let zones = ZONES.iter().map(add).collect();
        Self {
            queue,
            zones,
            now,
            calls: Vec::new(),
            frees: Vec::new(),
            jobs: Vec::new(),
            tally: Tally::default(),
        }
    }

    fn arrive(&mut self, zone: &'static str, due: time::Duration) {
        let due = self.now + due;
        let spec = batch::Spec::new(6, unit::Size(6000), due)
            .deadline(self.now + 10_000 * MS)
            .near(Some(zone.parse().unwrap()), INPUT_SIZE);
        self.jobs.push((self.queue.push(spec), zone, due));
        self.tally.jobs += 1;
    }

    /// Advances the time by a step: frees results, ends calls and starts others.
    fn step(&mut self, step: time::Duration) {
        self.now += step;
        let now = self.now;
        let queue = &mut self.queue;
        self.frees.retain(|(at, handle)| {
            let is_kept = *at > now;
            if !is_kept {
                queue.free_result(handle);
            }
            is_kept
        });
        let (ended, running) = self.calls.drain(..).partition(|(end, _)| *end <= now);
        self.calls = running;
        for (_, call) in Vec::<(Instant, batch::Call)>::from_iter(ended) {
            self.end_call(&call);
        }
        while let Some(call) = self.queue.next_call(now) {
            self.start_call(call);
        }
    }

    fn start_call(&mut self, call: batch::Call) {
        let zone = self.zones.iter().find(|(key, _)| *key == call.target);
        let zone = zone.map(|(_, zone)| *zone);
        for piece in &call.pieces {
            let job = self.jobs.iter().find(|(key, _, _)| *key == piece.job);
            if job.is_some_and(|(_, near, _)| Some(*near) != zone) {
                self.tally.moved += INPUT_SIZE.0 / 6;
            }
        }
        let end = self.now + BATCHING.call_time + BATCHING.piece_time * call.pieces.len() as u32;
        self.calls.push((end, call));
    }

    fn end_call(&mut self, call: &batch::Call) {
        for event in self.queue.complete_call(call, stored(call), self.now) {
            let batch::Event::Done(done, handles) = event else {
                panic!("unexpected event: {event:?}");
            };
            let frees = handles
                .into_iter()
                .map(|handle| (self.now + FREE_DELAY, handle));
            self.frees.extend(frees);
            let job = self.jobs.iter().position(|(key, _, _)| *key == done);
            let (_, _, due) = self.jobs.swap_remove(job.unwrap());
            self.tally.on_time += usize::from(self.now <= due);
        }
    }
}

/// Simulates jobs that arrive at random times, `rate` per second, each due after `due`.
fn simulate(rate: f64, due: time::Duration) -> Tally {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let mut simulation = Simulation::new(Instant::now());
    let step = 5 * MS;
    for _ in 0..6000 {
        if rng.random_bool(rate * step.as_secs_f64()) {
            simulation.arrive(ZONES[rng.random_range(0..ZONES.len())], due);
        }
        simulation.step(step);
    }
    while !simulation.jobs.is_empty() {
        simulation.step(step);
    }
    simulation.tally
}

// Jobs that go to any idle target would move half of their inputs between data centres.
#[test]
fn jobs_with_slack_move_few_bytes_between_data_centres() {
    for (rate, most) in [(26.0, 0.05), (45.0, 0.12)] {
        let tally = simulate(rate, 1500 * MS);
        assert!(
            tally.moved_share() < most,
            "{} at {rate}",
            tally.moved_share()
        );
        assert!(
            tally.on_time_share() > 0.98,
            "{} at {rate}",
            tally.on_time_share()
        );
    }
}

// A job with hardly more time than one call needs must not wait for a target near its inputs.
#[test]
fn jobs_without_slack_do_not_wait_for_a_near_target() {
    let tally = simulate(26.0, 650 * MS);
    assert!(tally.on_time_share() > 0.95, "{}", tally.on_time_share());
}
