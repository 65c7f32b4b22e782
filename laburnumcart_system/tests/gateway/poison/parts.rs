//! A part of prompts that crashes targets is refused in time, and sound requests are served.

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time,
};

use futures_util::future;
use http::StatusCode;
use laburnumcart_fakes::scripted::{
    Crash,
    ReceivedRequest,
    Step,
    Target, //
};
use rstest::rstest;
use serde_json::json;
use tokio::{
    task,
    time::Instant, //
};

use crate::support::{
    System,
    chunk,
    config,
    events,
    stream_end,
    stream_head,
    success,
    target_entry,
    unlimited_retries, //
};

const GATEWAYS: usize = 6;
const TARGETS: usize = 8;

/// Part that crashes each target that begins an answer on it.
const CRASHING: &str = "bad0bad0";

/// Part that all prompts begin with.
const FIRST: &str = "5c1e07a2";

/// Number of other parts that follow it in sound prompts.
const MIDDLE_PARTS: usize = 12;

/// Sound requests a second, over all gateways.
const SOUND_RATE: u32 = 40;

/// When requests with the part begin, and when all end.
const BEGIN: time::Duration = time::Duration::from_secs(3);
const END: time::Duration = time::Duration::from_secs(16);

/// Time after which a crashed target comes back as another one.
const DOWN_TIME: time::Duration = time::Duration::from_millis(2500);

/// Time after the fifth crash within which the requests with the part are refused.
const SPREAD_TIME: time::Duration = time::Duration::from_secs(3);

/// Arrivals that are allowed after that time.
const LATE_MAX: usize = 3;

/// Time after the fifth crash from which sound requests are served.
const SOUND_TIME: time::Duration = time::Duration::from_secs(1);

/// Shares of the sound requests that are begun and served from then on.
const BEGUN_MIN: f64 = 0.95;
const SERVED_MIN: f64 = 0.9;

type End = fn(&ReceivedRequest) -> Vec<Step>;

fn crash(crash: Crash) -> Vec<Step> {
    vec![
        Step::Pause(time::Duration::from_millis(30)),
        Step::Crash(crash),
    ]
}

fn before_its_head(_: &ReceivedRequest) -> Vec<Step> {
    crash(Crash::Refuses)
}

fn after_its_head(seen: &ReceivedRequest) -> Vec<Step> {
    [vec![stream_head(seen)], crash(Crash::Refuses)].concat()
}

fn after_an_event(seen: &ReceivedRequest) -> Vec<Step> {
    let begun = vec![stream_head(seen), chunk(&events(1..=1))];
    [begun, crash(Crash::Refuses)].concat()
}

fn silently(_: &ReceivedRequest) -> Vec<Step> {
    crash(Crash::Silent)
}

/// Answers a sound request, a stream for 0.8 s.
fn answer(seen: &ReceivedRequest) -> Vec<Step> {
    if seen.path().starts_with("/safe") {
        return vec![
            Step::Pause(time::Duration::from_millis(100)),
            success(seen, "done"),
        ];
    }
    let after = seen.header("last-event-id").and_then(|id| id.parse().ok());
    let first: u32 = after.map_or(1, |id: u32| id + 1);
    let mut steps = vec![
        Step::Pause(time::Duration::from_millis(30)),
        stream_head(seen),
    ];
    for event in first..=8 {
        steps.push(chunk(&events(event..=event)));
        steps.push(Step::Pause(time::Duration::from_millis(100)));
    }
    steps.push(stream_end());
    steps
}

/// Crashes and arrivals of requests with the part, as its targets see them.
#[derive(Clone, Default)]
struct Record {
    arrivals: Arc<Mutex<Vec<Instant>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
}

impl Record {
    fn fifth_crash(&self) -> Option<Instant> {
        self.crashes.lock().unwrap().get(4).copied()
    }

    /// Returns the time of the fifth crash, or of the last one if there are fewer.
    fn last_crash(&self) -> Instant {
        let crashes = self.crashes.lock().unwrap();
        let first = &crashes[..crashes.len().min(5)];
        *first.last().expect("a target crashed")
    }

    fn late(&self) -> usize {
        let Some(fifth) = self.fifth_crash() else {
            return 0;
        };
        let arrivals = self.arrivals.lock().unwrap();
        let late = arrivals.iter().filter(|at| **at > fifth + SPREAD_TIME);
        late.count()
    }
}

/// Starts a target that ends by a request with the part.
async fn target(record: &Record, end: End) -> Target {
    let record = record.clone();
    let ended = atomic::AtomicBool::new(false);
    let script = move |seen: &ReceivedRequest, _: usize| {
        let prompt = seen.header("x-laburnumcart-prompt-prefix");
        if !prompt.is_some_and(|prompt| prompt.contains(CRASHING)) {
            return answer(seen);
        }
        record.arrivals.lock().unwrap().push(Instant::now());
        if !ended.swap(true, atomic::Ordering::Relaxed) {
            record.crashes.lock().unwrap().push(Instant::now());
        }
        end(seen)
    };
    Target::start(script).await.unwrap()
}

/// A sound request as its caller saw it.
struct Outcome {
    sent: Instant,
    begun: bool,
    served: bool,
}

struct Fleet {
    gateways: Vec<System>,
    record: Record,
    start: Instant,
    number: atomic::AtomicUsize,
    outcomes: Mutex<Vec<Outcome>>,
}

/// What callers send, and how targets end.
#[derive(Clone, Copy)]
struct Case {
    /// Path of the requests, up to what differs.
    path: &'static str,
    /// Parts of the prompts that crash targets, but for the last one.
    parts: &'static [&'static str],
    end: End,
    /// Requests with the part a second.
    rate: u32,
    /// Attempts of a request.
    attempts: u32,
}

impl Fleet {
    async fn start(case: &Case) -> (Self, Vec<Target>) {
        let record = Record::default();
        let started = (0..TARGETS).map(|_| target(&record, case.end));
        let targets = future::join_all(started).await;
        let names: Vec<_> = (0..TARGETS).map(|n| format!("i-{n}")).collect();
        let listed = names.iter().zip(&targets);
        let listed: Vec<_> = listed.map(|(n, t)| (n.as_str(), "desk", t)).collect();
        let config = config(|c| {
            c["services"][0]["engine"] = json!({ "slots": 64, "kv_cache_tokens": 400_000 });
            for route in c["routes"].as_array_mut().unwrap() {
                route["max_attempts"] = json!(case.attempts);
            }
        });
        let first = System::start_with_bounds(unlimited_retries(), config, &listed).await;
        let mut gateways = first.start_peers(2..=GATEWAYS).await;
        gateways.push(first);
        let fleet = Self {
            gateways,
            record,
            start: Instant::now(),
            number: atomic::AtomicUsize::new(0),
            outcomes: Mutex::default(),
        };
        (fleet, targets)
    }

    /// Sends a request that no other one is equal to; returns whether it began and was served.
    async fn send(&self, path: &str, parts: &[&str]) -> (bool, bool) {
        let number = self.number.fetch_add(1, atomic::Ordering::Relaxed);
        let gateway = &self.gateways[number % GATEWAYS];
        let parts = parts.iter().map(|part| format!("{part}:100"));
        let own = format!("{:x}:100", 0x1000_0000 + number);
        let prompt = parts.chain([own]).collect::<Vec<_>>().join(",");
        let path = format!("{path}/{number}");
        let call = gateway.try_call(&path, |headers| {
            let attempt = format!("attempt-{number}");
            headers.insert("x-laburnumcart-attempt-id", attempt.parse().unwrap());
            headers.insert("x-laburnumcart-prompt-prefix", prompt.parse().unwrap());
            headers.insert("x-laburnumcart-token-usage", "300,8".parse().unwrap());
        });
        match call.await {
            Ok(response) => {
                let begun = response.status == StatusCode::OK;
                (begun, begun && response.complete)
            }
            Err(_) => (false, false),
        }
    }

    /// Sends sound requests, each of which shares its parts with others.
    async fn send_sound(self: Arc<Self>, path: &'static str) {
        let mut tick = tokio::time::interval(time::Duration::from_secs(1) / SOUND_RATE);
        let mut sends = task::JoinSet::new();
        while self.start.elapsed() < END {
            tick.tick().await;
            let middle = format!("77{:x}", sends.len() % MIDDLE_PARTS);
            let fleet = self.clone();
            sends.spawn(async move {
                let sent = Instant::now();
                let (begun, served) = fleet.send(path, &[FIRST, &middle]).await;
                let outcome = Outcome {
                    sent,
                    begun,
                    served,
                };
                fleet.outcomes.lock().unwrap().push(outcome);
            });
        }
        sends.join_all().await;
    }

    /// Sends requests with the part that crashes targets.
    async fn send_crashing(self: Arc<Self>, case: Case) {
        tokio::time::sleep_until(self.start + BEGIN).await;
        let mut tick = tokio::time::interval(time::Duration::from_secs(1) / case.rate);
        let mut sends = task::JoinSet::new();
        while self.start.elapsed() < END {
            tick.tick().await;
            let fleet = self.clone();
            sends.spawn(async move { fleet.send(case.path, case.parts).await });
        }
        sends.join_all().await;
    }

    /// Replaces crashed targets by new ones after a while.
    async fn replace_crashed(&self, mut targets: Vec<Target>, end: End) {
        // When each target crashed, by its number; `None` once it has been replaced.
        let mut crashed: collections::HashMap<usize, Option<Instant>> = collections::HashMap::new();
        while self.start.elapsed() < END {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            for number in 0..targets.len() {
                if !targets[number].is_crashed() {
                    continue;
                }
                let at = crashed.entry(number).or_insert(Some(Instant::now()));
                if at.is_none_or(|at| at.elapsed() < DOWN_TIME) {
                    continue;
                }
                *at = None;
                let next = target(&self.record, end).await;
                let system = &self.gateways[0];
                system.remove(&format!("servers/i-{number}")).await;
                let entry = target_entry("desk", &next, "ready");
                let name = format!("servers/i-{}", targets.len());
                system.put(&name, &entry).await;
                targets.push(next);
            }
        }
    }

    /// Returns the shares of sound requests sent between two times that were begun and served.
    fn shares(&self, from: Instant, until: Instant) -> (f64, f64) {
        let outcomes = self.outcomes.lock().unwrap();
        let sent = outcomes.iter().filter(|o| from <= o.sent && o.sent < until);
        let sent: Vec<_> = sent.collect();
        let share = |count: usize| count as f64 / sent.len().max(1) as f64;
        let begun = sent.iter().filter(|outcome| outcome.begun).count();
        let served = sent.iter().filter(|outcome| outcome.served).count();
        (share(begun), share(served))
    }
}

const ALONE: &[&str] = &[CRASHING];
const FIRST_OF_TWO: &[&str] = &[CRASHING, "770"];
const IN_THE_MIDDLE: &[&str] = &[FIRST, CRASHING];
const BESIDE_SOUND: &[&str] = &[FIRST, "771", CRASHING];

fn case(path: &'static str, parts: &'static [&'static str], end: End) -> Case {
    Case {
        path,
        parts,
        end,
        rate: 5,
        attempts: 1,
    }
}

#[rstest]
#[case::stream_before_its_head(case("/stream", ALONE, before_its_head))]
#[case::stream_after_its_head(case("/stream", FIRST_OF_TWO, after_its_head))]
#[case::stream_after_an_event(case("/stream", IN_THE_MIDDLE, after_an_event))]
#[case::stream_that_falls_silent(case("/stream", BESIDE_SOUND, silently))]
#[case::plain(Case { attempts: 2, ..case("/safe", IN_THE_MIDDLE, before_its_head) })]
#[case::once(case("/once", IN_THE_MIDDLE, before_its_head))]
#[case::resumed_stream(Case { attempts: 3, ..case("/resumed", IN_THE_MIDDLE, after_an_event) })]
#[case::seldom(Case { rate: 1, ..case("/stream", IN_THE_MIDDLE, after_an_event) })]
#[case::often(Case { rate: 20, attempts: 2, ..case("/resumed", IN_THE_MIDDLE, before_its_head) })]
#[tokio::test]
async fn a_part_of_prompts_that_crashes_targets_is_refused_beside_sound_requests(
    #[case] case: Case,
) {
    let (fleet, targets) = Fleet::start(&case).await;
    let fleet = Arc::new(fleet);
    tokio::join!(
        fleet.clone().send_sound(case.path),
        fleet.clone().send_crashing(case),
        fleet.replace_crashed(targets, case.end),
    );
    let from = fleet.record.last_crash() + SOUND_TIME;
    let (begun, served) = fleet.shares(from, fleet.start + END);
    let before = fleet.shares(fleet.start, fleet.start + BEGIN - SOUND_TIME);
    let arrivals = fleet.record.arrivals.lock().unwrap().len();
    let crashes = fleet.record.crashes.lock().unwrap().len();
    let late = fleet.record.late();
    println!("{arrivals} arrivals, {crashes} crashes, {late} arrivals late");
    println!("sound: {before:?} before, {begun:.2} begun, {served:.2} served");
    assert!(late <= LATE_MAX, "{late} late arrivals of {arrivals}");
    assert!(begun >= BEGUN_MIN * before.0, "{begun} begun");
    assert!(served >= SERVED_MIN * before.1, "{served} served");
}
