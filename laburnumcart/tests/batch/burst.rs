//! Requests with three stages in a burst, over the queues of these stages and their owners.

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

pub(crate) const STAGES: usize = 3;

/// Targets of each stage.
const TARGETS: usize = 5;

/// Pieces that a request has in each stage.
const PIECES: u32 = 6;

const SHAPE: ingress::Batching = ingress::Batching {
    pieces: 24,
    call_time: time::Duration::from_millis(200),
    piece_time: time::Duration::from_millis(7),
    capacity: unit::Size(1 << 30),
    ttl: time::Duration::from_secs(4),
};

/// Time within which a request is on time, and that it needs after its stages.
const OBJECTIVE: time::Duration = time::Duration::from_millis(1900);
const REST: time::Duration = time::Duration::from_millis(200);

/// Time after which a request is of no use.
const DEADLINE: time::Duration = time::Duration::from_millis(6000);

/// Longest wait for what the owner of a queue says of it.
const NOTICE: time::Duration = time::Duration::from_millis(80);

/// Shortest and longest time after which a refused caller comes again.
const RETRY: (time::Duration, time::Duration) = (
    time::Duration::from_millis(300),
    time::Duration::from_millis(2000),
);

/// Length of a step.
const STEP: time::Duration = time::Duration::from_millis(10);

/// Requests that the stages can do in a second, with full calls.
pub(crate) fn capacity() -> f64 {
    let call = SHAPE.call_time + SHAPE.piece_time * SHAPE.pieces as u32;
    let calls = TARGETS as f64 / call.as_secs_f64();
    calls * SHAPE.pieces as f64 / f64::from(PIECES)
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    id: u64,
    start: Instant,
    rank: u8,
    again: bool,
}

/// What an owner does once it comes to it.
enum Act {
    Judge(Request, [bool; STAGES]),
    Submit(usize, Request),
    Answer(usize, batch::Call),
    End(usize, batch::Call),
    Return(Request),
}

/// What became of the requests of a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) came: usize,
    pub(crate) begun: usize,
    pub(crate) on_time: usize,
}

/// The processors of the queues' owners.
struct Owners {
    of: [usize; STAGES],
    free: [Instant; STAGES],
    /// Time of one message.
    message: time::Duration,
}

impl Owners {
    /// Returns when the owner of a queue is done with a message that comes now.
    fn handle(&mut self, stage: usize, now: Instant) -> Instant {
        let free = &mut self.free[self.of[stage]];
        *free = now.max(*free) + self.message;
        *free
    }

    fn is_free(&self, stage: usize, now: Instant) -> bool {
        self.free[self.of[stage]] <= now
    }
}

pub(crate) struct Play {
    start: Instant,
    now: Instant,
    rng: rngs::StdRng,
    queues: Vec<batch::Queue>,
    owners: Owners,
    /// Whether refused callers come again, and late ones are served.
    returns: bool,
    acts: Vec<(Instant, Act)>,
    jobs: collections::HashMap<(usize, batch::JobKey), Request>,
    /// By the second in which the request came first.
    tallies: Vec<Tally>,
}

impl Play {
    /// Starts without load; owners take no time.
    pub(crate) fn new(seed: u64) -> Self {
        let queue = |_| {
            let mut queue = batch::Queue::new(SHAPE);
            for _ in 0..TARGETS {
                queue.targets.add("north".parse().unwrap());
            }
            queue
        };
        let now = Instant::now();
        Self {
            start: now,
            now,
            rng: rngs::StdRng::seed_from_u64(seed),
            queues: (0..STAGES).map(queue).collect(),
            owners: Owners {
                of: [0, 1, 2],
                free: [now; STAGES],
                message: time::Duration::ZERO,
            },
            returns: false,
            acts: Vec::new(),
            jobs: collections::HashMap::new(),
            tallies: Vec::new(),
        }
    }

    /// Sets which processor owns which queue, and how long a message takes it.
    pub(crate) fn owners(mut self, of: [usize; STAGES], message: time::Duration) -> Self {
        self.owners.of = of;
        self.owners.message = message;
        self
    }

    /// Lets refused callers come again, once.
    pub(crate) fn returns(mut self) -> Self {
        self.returns = true;
        self
    }

    fn tally(&mut self, request: &Request) -> &mut Tally {
        let second = (request.start - self.start).as_secs() as usize;
        if self.tallies.len() <= second {
            self.tallies.resize(second + 1, Tally::default());
        }
        &mut self.tallies[second]
    }

    fn spec(&self, request: &Request, stage: usize) -> batch::Spec {
        let later = (STAGES - 1 - stage) as u32;
        let rest = REST + (SHAPE.call_time + SHAPE.piece_time * 12 + 60 * MS) * later;
        let due = request.start + OBJECTIVE - rest;
        let deadline = request.start + DEADLINE - rest;
        batch::Spec::new(PIECES, unit::Size(1000), due)
            .deadline(deadline)
            .rank(request.rank)
    }

    /// Tells the owners of a request; it is judged once they have answered, or have not in time.
    fn arrive(&mut self, request: Request) {
        let now = self.now;
        let told: [Instant; STAGES] = std::array::from_fn(|i| self.owners.handle(i, now));
        let end = now + NOTICE;
        let asked = told.map(|at| at <= end);
        let last = told.into_iter().max().unwrap_or(now).min(end);
        self.acts.push((last, Act::Judge(request, asked)));
    }

    /// Begins a request if the queues of all its stages can be in time.
    fn judge(&mut self, request: Request, asked: [bool; STAGES]) {
        let specs: Vec<_> = (0..STAGES).map(|i| self.spec(&request, i)).collect();
        let step = |i: usize| forecast::Stage {
            after: i.checked_sub(1).into_iter().collect(),
            duration: SHAPE.call_time + SHAPE.piece_time * 12 + 60 * MS,
            estimate: asked[i].then(|| self.queues[i].estimate_future(&specs[i], self.now)),
        };
        let steps: Vec<_> = (0..STAGES).map(step).collect();
        let left =
            |limit: time::Duration| (request.start + limit).saturating_duration_since(self.now);
        let time = forecast::TimeBudget {
            slack: left(OBJECTIVE),
            remaining: left(DEADLINE),
            rest: REST,
            is_repeat: request.again,
        };
        let judgement = forecast::judge(&steps, time);
        match judgement {
            forecast::Judgement::OnTime => {}
            forecast::Judgement::Late if self.returns => {}
            forecast::Judgement::Late => return,
            forecast::Judgement::Refused(after) => {
                if self.returns && !request.again {
                    let at = self.now + after.clamp(RETRY.0, RETRY.1);
                    let again = true;
                    self.acts
                        .push((at, Act::Return(Request { again, ..request })));
                }
                return;
            }
        }
        self.tally(&request).begun += 1;
        for (queue, spec) in self.queues.iter_mut().zip(specs).skip(1) {
            queue.announce(request.id, spec);
        }
        self.submit(0, request);
    }

    fn submit(&mut self, stage: usize, request: Request) {
        let at = self.owners.handle(stage, self.now);
        self.acts.push((at, Act::Submit(stage, request)));
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Judge(request, asked) => self.judge(request, asked),
            Act::Return(request) => self.arrive(request),
            Act::Submit(stage, request) => {
                let spec = self.spec(&request, stage);
                self.queues[stage].withdraw(request.id);
                let key = self.queues[stage].push(spec);
                self.jobs.insert((stage, key), request);
            }
            Act::Answer(stage, call) => {
                let at = self.owners.handle(stage, self.now);
                self.acts.push((at, Act::End(stage, call)));
            }
            Act::End(stage, call) => {
                let events = self.queues[stage].complete_call(&call, made(&call), self.now);
                self.settle(stage, events);
            }
        }
    }

    /// Does what is due, and makes new calls.
    fn step(&mut self) {
        let now = self.now;
        for stage in 0..STAGES {
            let events = self.queues[stage].expire(now);
            self.settle(stage, events);
        }
        loop {
            let due: Vec<_> = self.acts.extract_if(.., |(at, _)| *at <= now).collect();
            if due.is_empty() {
                break;
            }
            due.into_iter().for_each(|(_, act)| self.act(act));
        }
        for stage in 0..STAGES {
            while self.owners.is_free(stage, now)
                && let Some(call) = self.queues[stage].next_call(now)
            {
                let length = self.queues[stage]
                    .targets
                    .nominal_call_time(call.pieces.len());
                let length = length.mul_f64(self.rng.random_range(1.0..1.1));
                let sent = self.owners.handle(stage, now);
                self.acts.push((sent + length, Act::Answer(stage, call)));
            }
        }
    }

    fn settle(&mut self, stage: usize, events: Vec<batch::Event>) {
        for event in events {
            match event {
                batch::Event::Done(key, handles) => {
                    let request = self.jobs.remove(&(stage, key)).unwrap();
                    for handle in handles {
                        self.queues[stage].free_result(&handle);
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
                    self.queues[stage].free_result(&handle);
                }
            }
        }
    }

    fn end(&mut self, request: &Request) {
        let on_time = self.now + REST <= request.start + OBJECTIVE;
        self.tally(request).on_time += usize::from(on_time);
    }

    /// Plays load in times of the capacity, by second, and returns what became of the requests of
    /// each.
    pub(crate) fn run(mut self, load: &[f64]) -> Vec<Tally> {
        let (mut owed, mut id) = (0.0, 0u64);
        let steps = time::Duration::from_secs(1).div_duration_f64(STEP) as usize;
        for step in 0..(load.len() + 3) * steps {
            let times = load.get(step / steps).copied().unwrap_or(0.0);
            owed += times * capacity() / steps as f64;
            while owed >= 1.0 {
                owed -= 1.0;
                id += 1;
                let request = Request {
                    id,
                    start: self.now,
                    rank: u8::from(!id.is_multiple_of(6)),
                    again: false,
                };
                self.tally(&request).came += 1;
                self.arrive(request);
            }
            self.step();
            self.now += STEP;
        }
        self.tallies
    }
}
