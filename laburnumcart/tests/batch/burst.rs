//! Simulation of multi-stage requests under load, with the queues of their stages and the
//! processors of the queue owners.

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
    stored, //
};

pub(crate) const STAGES: usize = 3;

/// Targets of each stage.
const TARGETS: usize = 5;

/// Pieces of a request in each stage.
const PIECES: u32 = 6;

const BATCHING: ingress::Batching = ingress::Batching {
    pieces: 24,
    call_time: time::Duration::from_millis(200),
    piece_time: time::Duration::from_millis(7),
    capacity: unit::Size(1 << 30),
    ttl: time::Duration::from_secs(4),
};

/// Time within which a request must be answered to count as on time.
const OBJECTIVE: time::Duration = time::Duration::from_millis(1900);

/// Time that a request needs after its last stage.
const REST: time::Duration = time::Duration::from_millis(200);

/// Time after which the answer is useless.
const DEADLINE: time::Duration = time::Duration::from_millis(6000);

/// Longest wait for the estimate of a queue owner.
const ESTIMATE_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// Shortest and longest pause before a refused caller retries.
const RETRY: (time::Duration, time::Duration) = (
    time::Duration::from_millis(300),
    time::Duration::from_millis(2000),
);

/// Length of a simulated step.
const STEP: time::Duration = time::Duration::from_millis(10);

/// Returns the requests per second that the stages can execute with full calls.
pub(crate) fn capacity() -> f64 {
    let call = BATCHING.call_time + BATCHING.piece_time * BATCHING.pieces as u32;
    let calls = TARGETS as f64 / call.as_secs_f64();
    calls * BATCHING.pieces as f64 / f64::from(PIECES)
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    id: u64,
    start: Instant,
    rank: u8,
    is_retry: bool,
}

/// Event at a given time.
enum Event {
    /// The estimates of a request have arrived; the flags tell which owners answered in time.
    Estimated(Request, [bool; STAGES]),
    /// A stage of a request arrives at its queue owner.
    Submitted(usize, Request),
    /// A target has answered a call.
    Answered(usize, batch::Call),
    /// The queue owner has processed the answer to a call.
    Completed(usize, batch::Call),
    /// A refused caller retries.
    Retried(Request),
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: usize,
    pub(crate) admitted: usize,
    pub(crate) on_time: usize,
}

/// Processors of the queue owners.
struct Owners {
    /// Processor of each stage's owner.
    processors: [usize; STAGES],
    /// Time at which each processor is idle.
    idle_at: [Instant; STAGES],
    /// Processor time of one message.
    message_time: time::Duration,
}

impl Owners {
    /// Returns when the owner of a queue has processed a message that arrives now.
    fn process_message(&mut self, stage: usize, now: Instant) -> Instant {
        let idle_at = &mut self.idle_at[self.processors[stage]];
        *idle_at = now.max(*idle_at) + self.message_time;
        *idle_at
    }

    fn is_idle(&self, stage: usize, now: Instant) -> bool {
        self.idle_at[self.processors[stage]] <= now
    }
}

pub(crate) struct Simulation {
    start: Instant,
    now: Instant,
    rng: rngs::StdRng,
    queues: Vec<batch::Queue>,
    owners: Owners,
    /// Whether refused callers retry and late requests are admitted.
    has_retries: bool,
    events: Vec<(Instant, Event)>,
    jobs: collections::HashMap<(usize, batch::JobKey), Request>,
    /// Counts by the second of the first arrival.
    tallies: Vec<Tally>,
}

impl Simulation {
    /// Creates a simulation without retries whose messages take no processor time.
    pub(crate) fn new(seed: u64) -> Self {
        let queue = |_| {
            let mut queue = batch::Queue::new(BATCHING);
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
                processors: [0, 1, 2],
                idle_at: [now; STAGES],
                message_time: time::Duration::ZERO,
            },
            has_retries: false,
            events: Vec::new(),
            jobs: collections::HashMap::new(),
            tallies: Vec::new(),
        }
    }

    /// Sets the processor of each queue's owner and the processor time of a message.
    pub(crate) fn with_owners(
        mut self,
        processors: [usize; STAGES],
        message_time: time::Duration,
    ) -> Self {
        self.owners.processors = processors;
        self.owners.message_time = message_time;
        self
    }

    /// Makes refused callers retry once.
    pub(crate) fn with_retries(mut self) -> Self {
        self.has_retries = true;
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
        let rest = REST + (BATCHING.call_time + BATCHING.piece_time * 12 + 60 * MS) * later;
        let due = request.start + OBJECTIVE - rest;
        let deadline = request.start + DEADLINE - rest;
        batch::Spec::new(PIECES, unit::Size(1000), due)
            .deadline(deadline)
            .rank(request.rank)
    }

    /// Asks the queue owners for estimates; the request is judged once all have answered, or at the
    /// timeout.
    fn arrive(&mut self, request: Request) {
        let now = self.now;
        let answers: [Instant; STAGES] =
            std::array::from_fn(|i| self.owners.process_message(i, now));
        let end = now + ESTIMATE_TIMEOUT;
        let answered = answers.map(|at| at <= end);
        let last = answers.into_iter().max().unwrap_or(now).min(end);
        self.events
            .push((last, Event::Estimated(request, answered)));
    }

    /// Admits a request if the queues of all its stages can be on time.
    fn judge(&mut self, request: Request, answered: [bool; STAGES]) {
        let specs: Vec<_> = (0..STAGES).map(|i| self.spec(&request, i)).collect();
        let stage = |i: usize| forecast::Stage {
            after: i.checked_sub(1).into_iter().collect(),
            duration: BATCHING.call_time + BATCHING.piece_time * 12 + 60 * MS,
            estimate: answered[i].then(|| self.queues[i].estimate_future(&specs[i], self.now)),
        };
        let stages: Vec<_> = (0..STAGES).map(stage).collect();
        let until =
            |limit: time::Duration| (request.start + limit).saturating_duration_since(self.now);
        let time = forecast::TimeBudget {
            slack: until(OBJECTIVE),
            remaining: until(DEADLINE),
            rest: REST,
            is_repeat: request.is_retry,
        };
        let judgement = forecast::judge(&stages, time);
        match judgement {
            forecast::Judgement::OnTime => {}
            forecast::Judgement::Late if self.has_retries => {}
            forecast::Judgement::Late => return,
            forecast::Judgement::Refused(after) => {
                if self.has_retries && !request.is_retry {
                    let at = self.now + after.clamp(RETRY.0, RETRY.1);
                    let retry = Request {
                        is_retry: true,
                        ..request
                    };
                    self.events.push((at, Event::Retried(retry)));
                }
                return;
            }
        }
        self.tally(&request).admitted += 1;
        for (queue, spec) in self.queues.iter_mut().zip(specs).skip(1) {
            queue.announce(request.id, spec);
        }
        self.submit(0, request);
    }

    fn submit(&mut self, stage: usize, request: Request) {
        let at = self.owners.process_message(stage, self.now);
        self.events.push((at, Event::Submitted(stage, request)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Estimated(request, answered) => self.judge(request, answered),
            Event::Retried(request) => self.arrive(request),
            Event::Submitted(stage, request) => {
                let spec = self.spec(&request, stage);
                self.queues[stage].withdraw(request.id);
                let key = self.queues[stage].push(spec);
                self.jobs.insert((stage, key), request);
            }
            Event::Answered(stage, call) => {
                let at = self.owners.process_message(stage, self.now);
                self.events.push((at, Event::Completed(stage, call)));
            }
            Event::Completed(stage, call) => {
                let events = self.queues[stage].complete_call(&call, stored(&call), self.now);
                self.record_events(stage, events);
            }
        }
    }

    /// Handles all events that are due and sends new calls.
    fn step(&mut self) {
        let now = self.now;
        for stage in 0..STAGES {
            let events = self.queues[stage].expire(now);
            self.record_events(stage, events);
        }
        loop {
            let due: Vec<_> = self.events.extract_if(.., |(at, _)| *at <= now).collect();
            if due.is_empty() {
                break;
            }
            due.into_iter().for_each(|(_, event)| self.handle(event));
        }
        for stage in 0..STAGES {
            while self.owners.is_idle(stage, now)
                && let Some(call) = self.queues[stage].next_call(now)
            {
                let length = self.queues[stage]
                    .targets
                    .nominal_call_time(call.pieces.len());
                let length = length.mul_f64(self.rng.random_range(1.0..1.1));
                let sent = self.owners.process_message(stage, now);
                self.events
                    .push((sent + length, Event::Answered(stage, call)));
            }
        }
    }

    fn record_events(&mut self, stage: usize, events: Vec<batch::Event>) {
        for event in events {
            match event {
                batch::Event::Done(key, handles) => {
                    let request = self.jobs.remove(&(stage, key)).unwrap();
                    for handle in handles {
                        self.queues[stage].free_result(&handle);
                    }
                    match stage + 1 {
                        STAGES => self.record_end(&request),
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

    fn record_end(&mut self, request: &Request) {
        let on_time = self.now + REST <= request.start + OBJECTIVE;
        self.tally(request).on_time += usize::from(on_time);
    }

    /// Runs a load, given as a multiple of the capacity for each second; returns the counts by
    /// second.
    pub(crate) fn run(mut self, load: &[f64]) -> Vec<Tally> {
        let (mut pending, mut id) = (0.0, 0u64);
        let steps = time::Duration::from_secs(1).div_duration_f64(STEP) as usize;
        for step in 0..(load.len() + 3) * steps {
            let times = load.get(step / steps).copied().unwrap_or(0.0);
            pending += times * capacity() / steps as f64;
            while pending >= 1.0 {
                pending -= 1.0;
                id += 1;
                let request = Request {
                    id,
                    start: self.now,
                    rank: u8::from(!id.is_multiple_of(6)),
                    is_retry: false,
                };
                self.tally(&request).arrived += 1;
                self.arrive(request);
            }
            self.step();
            self.now += STEP;
        }
        self.tallies
    }
}
