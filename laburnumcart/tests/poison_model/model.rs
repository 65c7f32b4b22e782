//! Model of gateways, targets and callers, with random orders of events from a seed.

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

/// Length of a run.
const LENGTH_MS: u64 = 60_000;

/// Time after the third crash within which a content is refused.
const SPREAD_MS: u64 = 3000;

const GATEWAYS: usize = 5;
const TARGETS: usize = 8;

/// Time for which a request waits for a permit, and the pause between two tries.
const PERMIT_WAIT_MS: u64 = 1500;
const PERMIT_PAUSE_MS: u64 = 50;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Poison,
    Harmless,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    content: usize,
    /// Whether it waits as long as it is told.
    patient: bool,
}

enum Event {
    /// A caller sends its content to any gateway.
    Send { caller: usize },
    /// A gateway admits a request to a target.
    Admit { request: usize, since: u64 },
    /// A harmless request completes, or poison crashes its target.
    End { request: usize },
    /// A gateway learns that a request failed at a target that has crashed.
    Notice {
        gateway: usize,
        target: id::TargetLife,
        failure: poison::Failure,
    },
    /// A gateway is told of a completion.
    Completed {
        gateway: usize,
        content: usize,
        at: u64,
    },
    /// A crashed target is back.
    Return { target: usize },
    /// The owner of a content is told that a trial has ended.
    TrialEnd { content: usize },
}

#[derive(Clone, Debug)]
struct Request {
    caller: usize,
    content: usize,
    gateway: usize,
    target: usize,
    sent: u64,
    trial: bool,
    open: bool,
}

#[derive(Clone, Debug)]
struct Target {
    life: u64,
    /// Whether it takes requests; a target that is down does so until its gateways know.
    up: bool,
}

#[derive(Default)]
pub(crate) struct Seen {
    /// Arrivals at targets that were up, by content.
    arrivals: collections::HashMap<usize, Vec<u64>>,
    /// Crashes of targets, by each content that ran there.
    crashes: collections::HashMap<usize, Vec<u64>>,
    /// Refusals of each caller since its content was last sent to a target.
    refusals: collections::HashMap<usize, usize>,
    /// Greatest number of these of a caller with harmless content that waits as it is told.
    pub(crate) refused: usize,
}

pub(crate) struct Model {
    rng: rngs::StdRng,
    start: Instant,
    now: u64,
    number: u64,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: collections::HashMap<u64, Event>,
    kinds: Vec<Kind>,
    callers: Vec<Caller>,
    targets: Vec<Target>,
    gateways: Vec<poison::Crashes>,
    /// Permits of all contents, each given by the content's owner.
    trials: poison::Trials,
    requests: Vec<Request>,
    pub(crate) seen: Seen,
}

/// Returns the gateway that permits runs of a content.
fn owner(content: usize) -> usize {
    content % GATEWAYS
}

fn content_id(content: usize) -> id::Fingerprint {
    id::Fingerprint(1 + content as u128)
}

impl Model {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut kinds = vec![Kind::Poison; rng.random_range(1..=3)];
        kinds.extend(vec![Kind::Harmless; rng.random_range(2..=5)]);
        let mut callers = Vec::new();
        for content in 0..kinds.len() {
            for _ in 0..rng.random_range(1..=4) {
                let patient = rng.random_bool(0.5);
                callers.push(Caller { content, patient });
            }
        }
        let mut model = Self {
            rng,
            start: Instant::now(),
            now: 0,
            number: 0,
            queue: collections::BinaryHeap::new(),
            events: collections::HashMap::new(),
            kinds,
            callers,
            targets: vec![Target { life: 1, up: true }; TARGETS],
            gateways: vec![poison::Crashes::default(); GATEWAYS],
            trials: poison::Trials::default(),
            requests: Vec::new(),
            seen: Seen::default(),
        };
        for caller in 0..model.callers.len() {
            let delay = model.rng.random_range(0..2000);
            model.after(delay, Event::Send { caller });
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

    pub(crate) fn run(mut self) -> Self {
        while let Some(cmp::Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            if at < LENGTH_MS {
                self.handle(event);
            }
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send { caller } => {
                let request = Request {
                    caller,
                    content: self.callers[caller].content,
                    gateway: self.rng.random_range(0..GATEWAYS),
                    target: 0,
                    sent: 0,
                    trial: false,
                    open: false,
                };
                self.requests.push(request);
                let request = self.requests.len() - 1;
                // The stages before a request take a while.
                let stages = self.rng.random_range(0..1000);
                self.after(
                    stages,
                    Event::Admit {
                        request,
                        since: self.now + stages,
                    },
                );
            }
            Event::Admit { request, since } => self.admit(request, since),
            Event::End { request } => self.end(request),
            Event::Notice {
                gateway,
                target,
                failure,
            } => {
                self.gateways[gateway].add(&target, failure);
            }
            Event::Completed {
                gateway,
                content,
                at,
            } => {
                let at = self.at(at);
                self.gateways[gateway].record_completion(content_id(content), at);
            }
            Event::Return { target } => {
                self.targets[target].life += 1;
                self.targets[target].up = true;
            }
            Event::TrialEnd { content } => self.trials.end(content_id(content)),
        }
    }

    fn admit(&mut self, number: usize, since: u64) {
        let Request {
            content, gateway, ..
        } = self.requests[number];
        let now = self.at(self.now);
        match self.gateways[gateway].status(content_id(content), now) {
            Status::Clean => self.send(number, false),
            Status::Quarantined(until) => {
                let left = until.duration_since(now).as_millis() as u64;
                self.refuse(number, left);
            }
            Status::Limited if self.begin_trial(content) => self.send(number, true),
            Status::Limited if self.now >= since + PERMIT_WAIT_MS => self.refuse(number, 1000),
            Status::Limited => {
                self.after(
                    PERMIT_PAUSE_MS,
                    Event::Admit {
                        request: number,
                        since,
                    },
                );
            }
        }
    }

    /// Asks the owner of a content for a permit.
    fn begin_trial(&mut self, content: usize) -> bool {
        let now = self.at(self.now);
        let status = self.gateways[owner(content)].status(content_id(content), now);
        !matches!(status, Status::Quarantined(_)) && self.trials.begin(content_id(content), now)
    }

    fn refuse(&mut self, number: usize, wait: u64) {
        let Request {
            caller, content, ..
        } = self.requests[number];
        let count = self.seen.refusals.entry(caller).or_default();
        *count += 1;
        if self.kinds[content] == Kind::Harmless && self.callers[caller].patient {
            self.seen.refused = self.seen.refused.max(*count);
        }
        let wait = wait.min(LENGTH_MS) * u64::from(self.callers[caller].patient);
        let pause = self.rng.random_range(100..500);
        self.after(wait + pause, Event::Send { caller });
    }

    fn send(&mut self, number: usize, trial: bool) {
        let target = self.rng.random_range(0..TARGETS);
        let Request {
            caller,
            content,
            gateway,
            ..
        } = self.requests[number];
        let request = &mut self.requests[number];
        (request.target, request.sent, request.trial) = (target, self.now, trial);
        self.seen.refusals.remove(&caller);
        if !self.targets[target].up {
            // Half of the targets that are down reset connections, the others refuse them.
            if self.rng.random_bool(0.5) {
                let life = self.life(target);
                let failed = self.now + 1;
                let check = self.rng.random_range(80..400);
                self.report(gateway, &life, content, (self.now, failed, check));
            }
            if trial {
                self.trials.end(content_id(content));
            }
            let pause = self.rng.random_range(50..500);
            self.after(pause, Event::Send { caller });
            return;
        }
        request.open = true;
        let run = match self.kinds[content] {
            Kind::Poison => {
                self.seen
                    .arrivals
                    .entry(content)
                    .or_default()
                    .push(self.now);
                self.rng.random_range(20..200)
            }
            Kind::Harmless => self.rng.random_range(20..1500),
        };
        self.after(run, Event::End { request: number });
    }

    fn life(&self, target: usize) -> id::TargetLife {
        id::TargetLife {
            name: format!("engine-{target}").parse().unwrap(),
            life: id::Life(self.targets[target].life),
        }
    }

    fn end(&mut self, number: usize) {
        let Request {
            content,
            target,
            open,
            ..
        } = self.requests[number];
        if !open {
            return;
        }
        match self.kinds[content] {
            Kind::Poison => self.crash(target),
            Kind::Harmless => self.complete(number),
        }
    }

    fn complete(&mut self, number: usize) {
        let Request {
            caller,
            content,
            gateway,
            trial,
            ..
        } = self.requests[number];
        self.requests[number].open = false;
        let now = self.at(self.now);
        if self.gateways[gateway].record_completion(content_id(content), now) {
            for peer in (0..GATEWAYS).filter(|peer| *peer != gateway) {
                let delay = self.rng.random_range(5..400);
                let at = self.now;
                self.after(
                    delay,
                    Event::Completed {
                        gateway: peer,
                        content,
                        at,
                    },
                );
            }
        }
        if trial {
            self.trials.end(content_id(content));
        }
        let pause = self.rng.random_range(100..800);
        self.after(pause, Event::Send { caller });
    }

    /// Crashes a target with all requests in flight there.
    fn crash(&mut self, target: usize) {
        let life = self.life(target);
        self.targets[target].up = false;
        // Whether it falls silent, so that its failures show late.
        let silent = self.rng.random_bool(0.2);
        let ran = self
            .requests
            .iter()
            .filter(|r| r.open && r.target == target);
        let ran: collections::BTreeSet<_> = ran.map(|request| request.content).collect();
        for content in ran {
            let crashes = self.seen.crashes.entry(content).or_default();
            crashes.push(self.now);
        }
        for number in 0..self.requests.len() {
            let Request {
                caller,
                content,
                gateway,
                target: at,
                sent,
                trial,
                open,
            } = self.requests[number];
            if !open || at != target {
                continue;
            }
            self.requests[number].open = false;
            let check = match silent {
                true => self.rng.random_range(700..1700),
                false => self.rng.random_range(80..400),
            };
            let failed = self.now + if silent { check } else { 0 };
            self.report(gateway, &life, content, (sent, failed, check));
            if trial {
                // The owner is told of the crash with the end of the trial.
                let told = check + 20;
                let failure = self.failure(content, sent, failed);
                let notice = Event::Notice {
                    gateway: owner(content),
                    target: life.clone(),
                    failure,
                };
                self.after(told, notice);
                self.after(told, Event::TrialEnd { content });
            }
            let pause = self.rng.random_range(100..1500);
            self.after(pause, Event::Send { caller });
        }
        let down = self.rng.random_range(500..4000);
        self.after(down, Event::Return { target });
    }

    fn failure(&self, content: usize, sent: u64, failed: u64) -> poison::Failure {
        poison::Failure {
            content: content_id(content),
            parts: [].into(),
            sent: self.at(sent),
            failed: self.at(failed),
            given_up: false,
        }
    }

    /// Lets a gateway notice a failure at a crashed target after `check`, and then its peers.
    fn report(
        &mut self,
        from: usize,
        target: &id::TargetLife,
        content: usize,
        (sent, failed, check): (u64, u64, u64),
    ) {
        for gateway in 0..GATEWAYS {
            let delay = match gateway == from {
                true => check,
                false => check + self.rng.random_range(5..700),
            };
            let notice = Event::Notice {
                gateway,
                target: target.clone(),
                failure: self.failure(content, sent, failed),
            };
            self.after(delay, notice);
        }
    }

    /// Returns the number of arrivals too late after the third crash, for the worst content.
    pub(crate) fn late(&self) -> usize {
        let late = self.seen.arrivals.iter().map(|(content, arrivals)| {
            let crashes = self.seen.crashes.get(content);
            let Some(third) = crashes.and_then(|crashes| crashes.get(2)) else {
                return 0;
            };
            let bound = third + SPREAD_MS;
            arrivals.iter().filter(|at| **at > bound).count()
        });
        late.max().unwrap_or_default()
    }
}
