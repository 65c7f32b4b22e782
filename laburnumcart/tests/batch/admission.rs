//! A burst of requests with three stages, and how many of those that are begun end on time.

use std::{
    collections,
    time, //
};

use laburnumcart::{
    batch,
    forecast,
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

const STAGES: usize = 3;

/// Targets of each stage.
const TARGETS: usize = 5;

/// Pieces that a request has in each stage.
const PIECES: u32 = 6;

const SHAPE: ingress::Batching = ingress::Batching {
    pieces: 24,
    call: time::Duration::from_millis(200),
    piece: time::Duration::from_millis(7),
    room: unit::Size(1 << 30),
    ttl: time::Duration::from_secs(4),
};

/// Time within which a request is on time, and that it needs after its stages.
const OBJECTIVE: time::Duration = time::Duration::from_millis(1900);
const REST: time::Duration = time::Duration::from_millis(200);

/// Requests that the stages can do in a second, with full calls.
fn capacity() -> f64 {
    let call = SHAPE.call + SHAPE.piece * SHAPE.pieces as u32;
    let calls = TARGETS as f64 / call.as_secs_f64();
    calls * SHAPE.pieces as f64 / f64::from(PIECES)
}

struct Request {
    id: u64,
    start: Instant,
    rank: u8,
}

/// What became of the requests.
#[derive(Default)]
struct Tally {
    begun: usize,
    on_time: usize,
}

struct Play {
    now: Instant,
    rng: rngs::StdRng,
    queues: Vec<batch::Queue>,
    calls: Vec<(Instant, usize, batch::Call)>,
    jobs: collections::HashMap<(usize, batch::JobKey), Request>,
    tally: Tally,
}

impl Play {
    fn new(seed: u64) -> Self {
        let queue = |_| {
            let mut queue = batch::Queue::new(SHAPE);
            for _ in 0..TARGETS {
                queue.engines.add("north".parse().unwrap());
            }
            queue
        };
        Self {
            now: Instant::now(),
            rng: rngs::StdRng::seed_from_u64(seed),
            queues: (0..STAGES).map(queue).collect(),
            calls: Vec::new(),
            jobs: collections::HashMap::new(),
            tally: Tally::default(),
        }
    }

    fn spec(&self, request: &Request, stage: usize) -> batch::Spec {
        let later = (STAGES - 1 - stage) as u32;
        let rest = REST + (SHAPE.call + SHAPE.piece * 12 + 60 * MS) * later;
        let due = request.start + OBJECTIVE - rest;
        let deadline = request.start + 6000 * MS - rest;
        batch::Spec::new(PIECES, unit::Size(1000), due)
            .deadline(deadline)
            .rank(request.rank)
    }

    /// Has a request judged by the queues of all its stages, and begins it if it can be on time.
    fn arrive(&mut self, request: Request) {
        let specs: Vec<_> = (0..STAGES).map(|i| self.spec(&request, i)).collect();
        let step = |i: usize| forecast::Step {
            after: i.checked_sub(1).into_iter().collect(),
            own: SHAPE.call + SHAPE.piece * 12 + 60 * MS,
            outlook: Some(self.queues[i].forecast(&specs[i], self.now)),
        };
        let steps: Vec<_> = (0..STAGES).map(step).collect();
        let time = forecast::Time {
            slack: OBJECTIVE,
            left: 6000 * MS,
            rest: REST,
            again: false,
        };
        if forecast::judge(&steps, time) != forecast::Judgement::OnTime {
            return;
        }
        self.tally.begun += 1;
        for (queue, spec) in self.queues.iter_mut().zip(specs).skip(1) {
            queue.expect(request.id, spec);
        }
        self.submit(0, request);
    }

    fn submit(&mut self, stage: usize, request: Request) {
        let spec = self.spec(&request, stage);
        self.queues[stage].unexpect(request.id);
        let key = self.queues[stage].push(spec);
        self.jobs.insert((stage, key), request);
    }

    /// Ends the calls whose time is over and makes new ones.
    fn step(&mut self) {
        let now = self.now;
        for stage in 0..STAGES {
            let events = self.queues[stage].expire(now);
            self.settle(stage, events);
        }
        let ended = self.calls.extract_if(.., |(end, ..)| *end <= now);
        for (_, stage, call) in ended.collect::<Vec<_>>() {
            let events = self.queues[stage].finish(&call, made(&call), now);
            self.settle(stage, events);
        }
        for stage in 0..STAGES {
            while let Some(call) = self.queues[stage].take(now) {
                let length = self.queues[stage].engines.promised(call.pieces.len());
                let length = length.mul_f64(self.rng.random_range(1.0..1.1));
                self.calls.push((now + length, stage, call));
            }
        }
    }

    fn settle(&mut self, stage: usize, events: Vec<batch::Event>) {
        for event in events {
            match event {
                batch::Event::Done(key, handles) => {
                    let request = self.jobs.remove(&(stage, key)).unwrap();
                    for handle in handles {
                        self.queues[stage].free(&handle);
                    }
                    match stage + 1 {
                        STAGES => self.end(&request),
                        next => self.submit(next, request),
                    }
                }
                batch::Event::Failed(key, _) => {
                    self.jobs.remove(&(stage, key));
                }
                batch::Event::Orphan(handle) => {
                    self.queues[stage].free(&handle);
                }
            }
        }
    }

    fn end(&mut self, request: &Request) {
        self.tally.on_time += usize::from(self.now + REST <= request.start + OBJECTIVE);
    }

    /// Plays a burst of some times the capacity, after a calm second.
    fn burst(mut self, times: f64) -> Tally {
        let (mut owed, mut id) = (0.0, 0u64);
        for step in 0..1000 {
            owed += 0.01
                * capacity()
                * if (100..700).contains(&step) {
                    times
                } else {
                    0.5
                };
            while owed >= 1.0 && step < 700 {
                owed -= 1.0;
                id += 1;
                let rank = u8::from(!id.is_multiple_of(6));
                let start = self.now;
                self.arrive(Request { id, start, rank });
            }
            self.step();
            self.now += 10 * MS;
        }
        self.tally
    }
}

// Twice as many callers come as the stages can serve. Those who are refused know it at once; those
// whose requests are begun are told nothing until the answer. If requests are begun until the queue
// is as long as their objective, half of them end just after it, and what was done for them is lost
// for all others. Three of four that are begun end on time, and they are three quarters of what the
// stages can do at all.
#[test]
fn what_is_begun_in_a_burst_ends_on_time() {
    for seed in 0..5 {
        for times in [1.3, 2.0, 3.0] {
            let tally = Play::new(seed).burst(times);
            let punctual = tally.on_time as f64 / tally.begun as f64;
            let served = tally.on_time as f64 / (6.0 * capacity());
            assert!(
                punctual >= 0.75,
                "{punctual} of those begun, {times} times the capacity"
            );
            assert!(
                served >= 0.75,
                "{served} of the capacity, {times} times the capacity"
            );
        }
    }
}
