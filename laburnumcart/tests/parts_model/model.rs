//! Model of gateways, targets and prompts, with random orders of events from a seed.

use std::{
    cmp,
    collections,
    time, //
};

use laburnumcart::{
    id,
    poison::{
        self,
        Status, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs, //
};
use tokio::time::Instant;

use crate::{
    event::Event,
    outcome::{
        Crashing,
        Kind,
        Outcome, //
    },
};

/// Length of a run, and when the sound requests of its first seconds have ended.
const LENGTH_MS: u64 = 25_000;
const CALM_MS: u64 = 4000;

const GATEWAYS: usize = 5;
const TARGETS: usize = 9;

/// Number of parts that sound prompts have after the first one.
const MIDDLE_PARTS: u64 = 12;

/// Time after the fifth crash from which sound requests count.
const SOUND_MS: u64 = 1000;

/// Time for which a request waits for a permit, and the pause between two tries.
const PERMIT_WAIT_MS: u64 = 1500;
const PERMIT_PAUSE_MS: u64 = 100;

/// Time after the start of a response from which its target has survived the parts of the prompt.
const START_MS: u64 = 500;

#[derive(Clone, Debug)]
struct Request {
    /// The part that crashes its target, if it has one.
    crashing: Option<usize>,
    content: id::Fingerprint,
    parts: Vec<id::Fingerprint>,
    gateway: usize,
    arrived: u64,
    target: usize,
    life: u64,
    sent: u64,
    /// When the response begins, and when its target crashed.
    begins: u64,
    crashed: u64,
    trials: Vec<id::Fingerprint>,
    open: bool,
}

#[derive(Clone, Debug)]
struct Target {
    life: u64,
    up: bool,
}

pub(crate) struct Model {
    rng: rngs::StdRng,
    start: Instant,
    now: u64,
    number: u64,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: collections::HashMap<u64, Event>,
    /// Sound requests a second, and longest response.
    sound_rate: u64,
    longest: u64,
    crashing: Vec<Crashing>,
    targets: Vec<Target>,
    gateways: Vec<poison::Crashes>,
    trials: poison::Trials,
    requests: Vec<Request>,
    /// When each sound request arrived, and whether it was begun.
    sound: Vec<(u64, bool)>,
    refused: usize,
}

fn part_id(number: u64) -> id::Fingerprint {
    id::Fingerprint(u128::MAX - u128::from(number))
}

fn crashing_id(part: usize) -> id::Fingerprint {
    part_id(1000 + part as u64)
}

impl Model {
    pub(crate) fn new(kind: Kind, seed: u64) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let parts = match kind {
            Kind::Crashes => 0,
            _ => rng.random_range(1..=2),
        };
        let crashing = (0..parts).map(|_| Crashing {
            rate: rng.random_range(1..=20),
            has_first: rng.random_bool(0.7),
            ..Crashing::default()
        });
        let crashing: Vec<_> = crashing.collect();
        let mut model = Self {
            start: Instant::now(),
            now: 0,
            number: 0,
            queue: collections::BinaryHeap::new(),
            events: collections::HashMap::new(),
            sound_rate: rng.random_range(10..=100),
            longest: rng.random_range(300..=2000),
            crashing,
            targets: vec![Target { life: 1, up: true }; TARGETS],
            gateways: vec![poison::Crashes::default(); GATEWAYS],
            trials: poison::Trials::default(),
            requests: Vec::new(),
            sound: Vec::new(),
            refused: 0,
            rng,
        };
        model.after(0, Event::SendSound);
        for part in 0..parts {
            let begin = CALM_MS + model.rng.random_range(0..3000);
            model.after(begin, Event::SendCrashing { part });
        }
        if kind != Kind::Part {
            for _ in 0..model.rng.random_range(1..=6) {
                let at = model.rng.random_range(CALM_MS..LENGTH_MS);
                let size = match model.rng.random_bool(0.5) {
                    true => 1,
                    false => model.rng.random_range(2..=5),
                };
                model.after(at, Event::Rack { size });
            }
        }
        model
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + time::Duration::from_millis(ms)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.queue
            .push(cmp::Reverse((self.now + delay, self.number)));
        self.events.insert(self.number, event);
    }

    pub(crate) fn run(mut self) -> Outcome {
        while let Some(cmp::Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if at < LENGTH_MS
                && let Some(event) = self.events.remove(&number)
            {
                self.handle(event);
            }
        }
        self.outcome()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendSound => {
                let middle = self.rng.random_range(0..MIDDLE_PARTS);
                self.arrive(None, vec![part_id(0), part_id(1 + middle)]);
                let pause = self.rng.random_range(0..=2000 / self.sound_rate);
                self.after(pause, Event::SendSound);
            }
            Event::SendCrashing { part } => {
                let Crashing {
                    rate, has_first, ..
                } = self.crashing[part];
                let first = has_first.then_some(part_id(0));
                let parts = first.into_iter().chain([crashing_id(part)]);
                self.arrive(Some(part), parts.collect());
                let pause = self.rng.random_range(0..=2000 / rate);
                self.after(pause, Event::SendCrashing { part });
            }
            Event::Admit { request, since } => self.admit(request, since),
            Event::End { request } if self.requests[request].open => {
                match self.requests[request].crashing {
                    Some(part) => {
                        self.crashing[part].crashes.push(self.now);
                        let silent = self.rng.random_bool(0.2);
                        self.crash(self.requests[request].target, silent);
                    }
                    None => self.complete(request),
                }
            }
            Event::End { .. } => {}
            Event::Survive { request } => {
                if self.requests[request].open {
                    self.clear(request, false);
                }
            }
            Event::Notice {
                gateway,
                request,
                failed,
            } => self.notice(gateway, request, failed),
            Event::Completed { gateway, cause, at } => {
                let at = self.at(at);
                self.gateways[gateway].record_completion(cause, at);
            }
            Event::Return { target } => {
                self.targets[target].life += 1;
                self.targets[target].up = true;
            }
            Event::TrialEnd { request } => {
                for cause in std::mem::take(&mut self.requests[request].trials) {
                    self.trials.end(cause);
                }
            }
            Event::Rack { size } => {
                let first = self.rng.random_range(0..TARGETS);
                let silent = self.rng.random_bool(0.3);
                for n in 0..size {
                    let target = (first + n) % TARGETS;
                    if self.targets[target].up {
                        self.crash(target, silent);
                    }
                }
            }
        }
    }

    /// Lets a request that no other one is equal to arrive at any gateway.
    fn arrive(&mut self, crashing: Option<usize>, parts: Vec<id::Fingerprint>) {
        let request = self.requests.len();
        self.requests.push(Request {
            crashing,
            content: id::Fingerprint(request as u128),
            parts,
            gateway: self.rng.random_range(0..GATEWAYS),
            arrived: self.now,
            target: 0,
            life: 0,
            sent: 0,
            begins: 0,
            crashed: 0,
            trials: Vec::new(),
            open: false,
        });
        let since = self.now;
        self.admit(request, since);
    }

    fn admit(&mut self, number: usize, since: u64) {
        let now = self.at(self.now);
        let request = self.requests[number].clone();
        let mut limited = Vec::new();
        for cause in request.parts.iter().chain([&request.content]) {
            match self.gateways[request.gateway].status(*cause, now) {
                Status::Clean => {}
                Status::Limited => limited.push(*cause),
                Status::Quarantined(_) => return self.refuse(number),
            }
        }
        if let Some(trials) = self.begin_trials(&limited) {
            self.requests[number].trials = trials;
            self.send(number);
        } else if self.now >= since + PERMIT_WAIT_MS {
            self.refuse(number);
        } else {
            let event = Event::Admit {
                request: number,
                since,
            };
            self.after(PERMIT_PAUSE_MS, event);
        }
    }

    /// Asks the owner of each cause for a permit.
    fn begin_trials(&mut self, causes: &[id::Fingerprint]) -> Option<Vec<id::Fingerprint>> {
        let now = self.at(self.now);
        let mut held = Vec::new();
        for cause in causes {
            let owner = (cause.0 % GATEWAYS as u128) as usize;
            let status = self.gateways[owner].status(*cause, now);
            let is_refused = matches!(status, Status::Quarantined(_));
            if is_refused || !self.trials.begin(*cause, now) {
                held.iter().for_each(|cause| self.trials.end(*cause));
                return None;
            }
            held.push(*cause);
        }
        Some(held)
    }

    fn refuse(&mut self, number: usize) {
        let Request {
            crashing, arrived, ..
        } = self.requests[number];
        if crashing.is_none() {
            self.refused += 1;
            self.sound.push((arrived, false));
        }
    }

    fn send(&mut self, number: usize) {
        let target = self.choose(number);
        let life = self.targets[target].life;
        let begins = self.now + self.rng.random_range(20..150);
        let request = &mut self.requests[number];
        (request.target, request.life) = (target, life);
        (request.sent, request.begins) = (self.now, begins);
        let (crashing, arrived) = (request.crashing, request.arrived);
        if !self.targets[target].up {
            // The target is down, and its gateway does not know.
            if crashing.is_none() {
                self.sound.push((arrived, false));
            }
            self.report(number, self.now + 1, 80..400);
            return;
        }
        self.requests[number].open = true;
        match crashing {
            Some(part) => {
                self.crashing[part].arrivals.push(self.now);
                self.after(begins - self.now, Event::End { request: number });
            }
            None => {
                self.sound.push((arrived, true));
                let length = self.rng.random_range(20..self.longest);
                let end = begins - self.now + length;
                self.after(end, Event::End { request: number });
                if length > START_MS {
                    // Responses are looked at every 250 ms.
                    let survive = begins - self.now + START_MS + self.rng.random_range(0..250);
                    self.after(survive, Event::Survive { request: number });
                }
            }
        }
    }

    /// Chooses a target that the gateway does not hold for crashed; some are down all the same.
    fn choose(&mut self, number: usize) -> usize {
        let gateway = self.requests[number].gateway;
        for _ in 0..TARGETS {
            let target = self.rng.random_range(0..TARGETS);
            let life = self.life(target, self.targets[target].life);
            if self.gateways[gateway].first_failure(&life).is_none() {
                return target;
            }
        }
        self.rng.random_range(0..TARGETS)
    }

    fn life(&self, target: usize, life: u64) -> id::TargetLife {
        id::TargetLife {
            name: format!("engine-{target}").parse().unwrap(),
            life: id::Life(life),
        }
    }

    fn complete(&mut self, number: usize) {
        self.requests[number].open = false;
        self.clear(number, true);
        self.handle(Event::TrialEnd { request: number });
    }

    /// Clears the parts of a request, and its content if it has completed.
    fn clear(&mut self, number: usize, completed: bool) {
        let Request {
            gateway,
            content,
            parts,
            ..
        } = self.requests[number].clone();
        let now = self.at(self.now);
        let contents = completed.then_some(content);
        for cause in parts.into_iter().chain(contents) {
            if !self.gateways[gateway].record_completion(cause, now) {
                continue;
            }
            for peer in (0..GATEWAYS).filter(|peer| *peer != gateway) {
                let event = Event::Completed {
                    gateway: peer,
                    cause,
                    at: self.now,
                };
                let delay = self.rng.random_range(5..400);
                self.after(delay, event);
            }
        }
    }

    /// Crashes a target with all requests in flight there.
    fn crash(&mut self, target: usize, silent: bool) {
        self.targets[target].up = false;
        for number in 0..self.requests.len() {
            let request = &mut self.requests[number];
            if !request.open || request.target != target {
                continue;
            }
            request.open = false;
            request.crashed = self.now;
            match silent {
                true => self.report(number, self.now + 500, 1500..1800),
                false => self.report(number, self.now, 80..400),
            }
        }
        let down = self.rng.random_range(2000..4000);
        self.after(down, Event::Return { target });
    }

    /// Lets the gateway of a request notice its failure, and then the others.
    fn report(&mut self, request: usize, failed: u64, check: std::ops::Range<u64>) {
        let check = self.rng.random_range(check);
        let from = self.requests[request].gateway;
        for gateway in 0..GATEWAYS {
            let word = match gateway == from {
                true => 0,
                false => self.rng.random_range(5..700),
            };
            let event = Event::Notice {
                gateway,
                request,
                failed,
            };
            self.after(check + word, event);
        }
        // The owners are told of the crash with the end of the trial.
        self.after(check + 20, Event::TrialEnd { request });
    }

    fn notice(&mut self, gateway: usize, number: usize, failed: u64) {
        let request = &self.requests[number];
        let survived = request.crashed >= request.begins + START_MS;
        let parts = request.parts.iter().copied();
        let failure = poison::Failure {
            content: request.content,
            parts: parts.filter(|_| !survived).collect(),
            sent: self.at(request.sent),
            failed: self.at(failed),
            given_up: false,
        };
        let target = self.life(request.target, request.life);
        self.gateways[gateway].add(&target, failure);
    }

    fn outcome(&self) -> Outcome {
        let last = self.crashing.iter().filter_map(Crashing::fifth_or_last);
        let from = last.max().map_or(LENGTH_MS, |last| last + SOUND_MS);
        let sent = self.sound.iter().filter(|(at, _)| *at >= from);
        let begun = sent.clone().filter(|(_, begun)| *begun).count();
        Outcome {
            late: self
                .crashing
                .iter()
                .map(Crashing::late)
                .max()
                .unwrap_or_default(),
            begun: begun as f64 / sent.count().max(1) as f64,
            refused: self.refused,
        }
    }
}
