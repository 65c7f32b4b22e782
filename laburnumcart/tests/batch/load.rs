//! A load over some seconds, and what those who submit jobs get of it.

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
    made, //
};

/// A stage whose pieces are small and read much.
const SHAPE: ingress::Batching = ingress::Batching {
    pieces: 28,
    call_time: time::Duration::from_millis(240),
    piece_time: time::Duration::from_micros(7300),
    capacity: unit::Size(300_000),
    ttl: time::Duration::from_secs(4),
};

/// Data centre of each target; the inputs of jobs lie in them in the same proportion.
const ZONES: [&str; 5] = ["north", "north", "east", "east", "south"];

/// Bytes that a job reads.
const MOVED: unit::Size = unit::Size(1_440_000);

/// Time between the end of a job and the moment at which its results are freed.
const READ: time::Duration = time::Duration::from_millis(300);

/// What became of the jobs.
#[derive(Default)]
struct Tally {
    jobs: usize,
    on_time: usize,
    crossed: u64,
}

impl Tally {
    fn punctual(&self) -> f64 {
        self.on_time as f64 / self.jobs as f64
    }

    fn crossing(&self) -> f64 {
        self.crossed as f64 / (self.jobs as u64 * MOVED.0) as f64
    }
}

/// A queue before five targets, played in steps of time.
struct Play {
    queue: batch::Queue,
    zones: Vec<(batch::TargetKey, &'static str)>,
    now: Instant,
    calls: Vec<(Instant, batch::Call)>,
    frees: Vec<(Instant, batch::Handle)>,
    /// Jobs with their zone and the moment at which they are due.
    jobs: Vec<(batch::JobKey, &'static str, Instant)>,
    tally: Tally,
}

impl Play {
    fn new(now: Instant) -> Self {
        let mut queue = batch::Queue::new(SHAPE);
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

    fn come(&mut self, zone: &'static str, due: time::Duration) {
        let due = self.now + due;
        let spec = batch::Spec::new(6, unit::Size(6000), due)
            .deadline(self.now + 10_000 * MS)
            .near(Some(zone.parse().unwrap()), MOVED);
        self.jobs.push((self.queue.push(spec), zone, due));
        self.tally.jobs += 1;
    }

    /// Goes on by a step: results are freed, calls end, others are made.
    fn step(&mut self, step: time::Duration) {
        self.now += step;
        let now = self.now;
        let queue = &mut self.queue;
        self.frees.retain(|(at, handle)| {
            let kept = *at > now;
            if !kept {
                queue.free_result(handle);
            }
            kept
        });
        let (ended, running) = self.calls.drain(..).partition(|(end, _)| *end <= now);
        self.calls = running;
        for (_, call) in Vec::<(Instant, batch::Call)>::from_iter(ended) {
            self.end(&call);
        }
        while let Some(call) = self.queue.next_call(now) {
            self.start(call);
        }
    }

    fn start(&mut self, call: batch::Call) {
        let zone = self.zones.iter().find(|(key, _)| *key == call.target);
        let zone = zone.map(|(_, zone)| *zone);
        for piece in &call.pieces {
            let job = self.jobs.iter().find(|(key, _, _)| *key == piece.job);
            if job.is_some_and(|(_, near, _)| Some(*near) != zone) {
                self.tally.crossed += MOVED.0 / 6;
            }
        }
        let end = self.now + SHAPE.call_time + SHAPE.piece_time * call.pieces.len() as u32;
        self.calls.push((end, call));
    }

    fn end(&mut self, call: &batch::Call) {
        for event in self.queue.complete_call(call, made(call), self.now) {
            let batch::Event::Done(done, handles) = event else {
                panic!("nothing fails here: {event:?}");
            };
            let frees = handles.into_iter().map(|handle| (self.now + READ, handle));
            self.frees.extend(frees);
            let job = self.jobs.iter().position(|(key, _, _)| *key == done);
            let (_, _, due) = self.jobs.swap_remove(job.unwrap());
            self.tally.on_time += usize::from(self.now <= due);
        }
    }
}

/// Plays jobs that come at random times, so many a second, with so much time each.
fn play(rate: f64, due: time::Duration) -> Tally {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let mut play = Play::new(Instant::now());
    let step = 5 * MS;
    for _ in 0..6000 {
        if rng.random_bool(rate * step.as_secs_f64()) {
            play.come(ZONES[rng.random_range(0..ZONES.len())], due);
        }
        play.step(step);
    }
    while !play.jobs.is_empty() {
        play.step(step);
    }
    play.tally
}

// Each piece reads all that the stage before has made, 1.4 MB a job. With time to spare, jobs go to where
// that lies: none crosses between data centres at half of the capacity and 4% at nine tenths of it, where
// 55% and 50% did when jobs were left to free targets alone. All are on time in both cases.
#[test]
fn little_crosses_while_there_is_time() {
    for (rate, most) in [(26.0, 0.05), (45.0, 0.12)] {
        let tally = play(rate, 1500 * MS);
        assert!(tally.crossing() < most, "{} at {rate}", tally.crossing());
        assert!(tally.punctual() > 0.98, "{} at {rate}", tally.punctual());
    }
}

// There is hardly time for more than the call itself. What crosses is dear, but callers come first: no
// job waits for a target near its inputs.
#[test]
fn callers_without_time_do_not_wait() {
    let tally = play(26.0, 650 * MS);
    assert!(tally.punctual() > 0.95, "{}", tally.punctual());
}
