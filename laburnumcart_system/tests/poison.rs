//! A request that crashes each target that executes it, beside innocent ones.

use std::{
    collections,
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    time, //
};

use futures_util::future;
use laburnumcart_fakes::expected;
use laburnumcart_system::{
    fleet,
    http,
    sample,
    wait, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::time::Instant;

/// Text that crashes each target that executes it.
const PILL: &str = "this crashes the model";

const TARGETS: usize = 5;

/// Innocent requests in flight through each entry.
const CALLERS: usize = 8;

/// Answers to wait for before the poison comes, so that retries have a budget.
const WARM: usize = 400;

/// Most targets that crash after the first crash was noticed.
const AFTER_DETECTION: usize = 2;

/// Rounds of poison after the first one that was refused at once through both entries.
const ROUNDS: usize = 10;

/// Returns pipelines of one stage; all run on the same targets.
fn bundle() -> Value {
    let stages = json!([{"name": "encode", "service": "encoders"}]);
    let promise = json!({"deadline": "20s", "priority": "normal"});
    let team = |token: &str| {
        json!({
            "tokens": [sample::token_digest(token)],
            "weight": 1,
            "pipelines": {"check": promise, "other": promise, "open": promise},
            "queue_limit": 1000,
        })
    };
    json!({
        "format": 1,
        "title": "poison",
        "services": {"encoders": {"kind": "pool"}},
        "pipelines": {
            "check": {"stages": stages},
            "other": {"stages": stages},
            "open": {"idempotent": false, "stages": stages},
        },
        "teams": {"clinic": team(sample::CLINIC_TOKEN), "federation": team(sample::FEDERATION_TOKEN)},
        "claims": {"retention": "10m", "shards": 2},
    })
}

async fn start() -> fleet::Fleet {
    let args = ["--service-time", "20ms", "--restart", "700ms"];
    let service = fleet::Service::new("encoders", "pool", TARGETS).args(&args);
    let fleet = fleet::Fleet::start(fleet::Plan::new(vec![service], bundle())).await;
    set_pill(&fleet, PILL).await;
    fleet
}

/// Sets the text that crashes targets; the empty text crashes none.
async fn set_pill(fleet: &fleet::Fleet, text: &str) {
    for node in 0..TARGETS {
        fleet
            .set_target_behaviour(node, &json!({"crash_on": text}))
            .await;
    }
}

fn poison() -> Value {
    json!({"applicant": 7, "text": PILL})
}

/// Innocent traffic through both entries and what came of it.
#[derive(Default)]
struct Traffic {
    stop: AtomicBool,
    next: AtomicUsize,
    done: AtomicUsize,
    /// Contents that needed more than one attempt.
    again: Mutex<Vec<usize>>,
    lost: Mutex<Vec<String>>,
}

impl Traffic {
    fn body(number: usize) -> Value {
        json!({"applicant": number, "text": "an innocent statement"})
    }

    /// Sends one request after the other through an entry until told to stop.
    async fn run(&self, fleet: &fleet::Fleet, entry: usize) {
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            self.send(fleet, entry, number).await;
        }
    }

    async fn send(&self, fleet: &fleet::Fleet, entry: usize, number: usize) {
        let body = Self::body(number);
        let call = fleet::Call::new("check", sample::FEDERATION_TOKEN, body.clone());
        let answer = fleet.call(entry, &call).await;
        let right = expected::pool("encode", &body, &Value::Null);
        match answer {
            Ok(answer) if answer.status == 200 && answer.json()["output"] == right => {
                self.done.fetch_add(1, Ordering::Relaxed);
                if answer.json()["stages"][0]["attempts"] != 1 {
                    self.again.lock().unwrap().push(number);
                }
            }
            other => self
                .lost
                .lock()
                .unwrap()
                .push(format!("{number}: {other:?}")),
        }
    }

    /// Waits until so many requests have been answered from now on.
    async fn wait(&self, count: usize) {
        let until = self.done.load(Ordering::Relaxed) + count;
        wait::until("innocent answers", || async {
            (self.done.load(Ordering::Relaxed) >= until).then_some(())
        })
        .await;
    }

    /// Checks that nothing was lost and that what ran beside the poison is served now.
    async fn check(&self, fleet: &fleet::Fleet) {
        let again = self.again.lock().unwrap().clone();
        let resent = again.iter().flat_map(|number| {
            let send = move |entry| self.send(fleet, entry, *number);
            (0..fleet.entries.len()).map(send)
        });
        future::join_all(resent).await;
        let lost = self.lost.lock().unwrap();
        println!(
            "innocents answered={} retried={} lost={}",
            self.done.load(Ordering::Relaxed),
            again.len(),
            lost.len()
        );
        assert!(lost.is_empty(), "{lost:#?}");
    }
}

/// Runs innocent traffic through all entries while `story` runs.
async fn beside_innocents(
    fleet: &fleet::Fleet,
    traffic: &Traffic,
    story: impl Future<Output = ()>,
) {
    let callers = (0..CALLERS * fleet.entries.len())
        .map(|number| traffic.run(fleet, number % fleet.entries.len()));
    let story = async {
        traffic.wait(WARM).await;
        story.await;
        traffic.wait(WARM).await;
        traffic.stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(future::join_all(callers), story);
    traffic.check(fleet).await;
}

/// What a caller was told of one poisonous request.
#[derive(Debug)]
struct Told {
    verdict: String,
    reason: String,
    request: String,
    /// Whether the answer says when to come again.
    retry: bool,
}

impl Told {
    fn new(answer: Result<http::Response, http::Failure>) -> Self {
        let answer = answer.expect("an answer");
        let json = answer.json();
        let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
        assert_ne!(answer.status, 200, "{}", answer.body);
        Self {
            verdict: text("verdict"),
            reason: text("reason"),
            request: text("request"),
            retry: answer.header("retry-after").is_some(),
        }
    }

    fn is_refused_at_once(&self) -> bool {
        self.reason == "quarantined" && self.verdict == "not-run"
    }
}

/// Returns what all targets have executed; waits for those that are down.
async fn executions(fleet: &fleet::Fleet) -> Vec<Value> {
    let mut all = Vec::new();
    for node in &fleet.nodes {
        let rows = wait::until(&node.name, || async {
            let page = fleet.http.get(node.target_addr, "/admin/executions").await;
            page.ok()?.json()["executions"].as_array().cloned()
        });
        all.extend(rows.await);
    }
    all
}

/// Counts the executions of each request on all targets.
async fn executed(fleet: &fleet::Fleet) -> collections::HashMap<String, usize> {
    let mut counts = collections::HashMap::new();
    for row in executions(fleet).await {
        let request = row["request"].as_str().expect("request").to_owned();
        *counts.entry(request).or_default() += 1;
    }
    counts
}

/// Checks what callers were told against what the targets executed; returns the executions of the
/// poison, each of which has crashed a target.
async fn crashes(fleet: &fleet::Fleet, told: &[Told]) -> usize {
    let counts = executed(fleet).await;
    let count = |told: &Told| counts.get(&told.request).copied().unwrap_or(0);
    for told in told {
        let ran = count(told) > 0;
        assert!(told.verdict == "may-have-run" || !ran, "{told:?} ran");
        assert!(told.reason != "quarantined" || told.retry, "{told:?}");
    }
    told.iter().map(count).sum()
}

/// Sends the poison through the given entries at once.
async fn round(fleet: &fleet::Fleet, entries: &[usize]) -> Vec<Told> {
    let call = fleet::Call::new("check", sample::CLINIC_TOKEN, poison());
    let sent = entries.iter().map(|entry| fleet.call(*entry, &call));
    let answers = future::join_all(sent).await;
    answers.into_iter().map(Told::new).collect()
}

// A caller sends a request that crashes each target that executes it, and sends it again under a
// new id whenever it fails, through one entry after the other or through both at once. Others' work
// is on the same targets all the time. The entries hear of the crashes from different agents. All
// others get their right answers and none of them is taken for the poison, few targets crash, and
// the poison is refused at once through both entries in the end.
#[rstest]
#[case::alternately(vec![vec![0], vec![1]], 0)]
#[case::at_once(vec![vec![0, 1], vec![1, 0]], 1)]
#[tokio::test(flavor = "multi_thread")]
async fn poison_is_refused_and_innocents_are_served(
    #[case] rounds: Vec<Vec<usize>>,
    #[case] beside_first: usize,
) {
    let fleet = start().await;
    let traffic = Traffic::default();
    let story = async {
        let begun = Instant::now();
        let mut told: Vec<Told> = Vec::new();
        let mut quiet = 0;
        let mut since = time::Duration::ZERO;
        let mut turns = rounds.iter().cycle();
        while quiet < ROUNDS {
            assert!(begun.elapsed() < wait::TIMEOUT, "never refused: {told:#?}");
            let round = round(&fleet, turns.next().expect("a round")).await;
            if !round.iter().all(Told::is_refused_at_once) {
                since = begun.elapsed();
                quiet = 0;
            } else {
                quiet += 1;
            }
            told.extend(round);
        }
        let crashes = crashes(&fleet, &told).await;
        println!(
            "crashes={crashes} sent={} refused_after={since:?}",
            told.len()
        );
        // What was sent at the same moment as the first may crash a target before any is known
        // to have crashed.
        assert!(
            crashes <= 1 + AFTER_DETECTION.min(1 + beside_first),
            "{told:#?}"
        );
    };
    beside_innocents(&fleet, &traffic, story).await;
    // With the fault gone, the same content of another team and of another pipeline is served,
    // as it is other content; the quarantine is not lifted by that.
    set_pill(&fleet, "").await;
    for (pipeline, token) in [
        ("check", sample::FEDERATION_TOKEN),
        ("other", sample::CLINIC_TOKEN),
    ] {
        let call = fleet::Call::new(pipeline, token, poison());
        let answer = fleet.call(0, &call).await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert!(
        round(&fleet, &[0, 1])
            .await
            .iter()
            .all(Told::is_refused_at_once)
    );
}

/// Counts the executions of requests that must not be repeated, by request.
async fn executed_once(fleet: &fleet::Fleet) -> collections::HashMap<String, usize> {
    let mut counts = collections::HashMap::new();
    for row in executions(fleet).await {
        if row["idempotent"] == false {
            let request = row["request"].as_str().expect("request").to_owned();
            *counts.entry(request).or_default() += 1;
        }
    }
    counts
}

// A caller sends a request that must not execute twice; it crashes its target. The caller sends it
// again and again with the same key, through both entries at once. It has executed once in all, and
// every answer says that it may have run. Then the caller takes new keys, which makes new requests
// of it: each executes once at most, and in the end they are refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn poison_not_to_be_repeated_executes_once() {
    let fleet = start().await;
    let traffic = Traffic::default();
    let story = async {
        let send = |entry: usize, key: String| {
            let call = fleet::Call::new("open", sample::CLINIC_TOKEN, poison()).key(key);
            let fleet = &fleet;
            async move { Told::new(fleet.call(entry, &call).await) }
        };
        for _ in 0..5 {
            let both = (0..2).map(|entry| send(entry, "case".into()));
            for told in future::join_all(both).await {
                assert_eq!(told.verdict, "may-have-run", "{told:?}");
            }
        }
        let counts = executed_once(&fleet).await;
        assert_eq!(counts.values().sum::<usize>(), 1, "{counts:?}");
        let mut told = Vec::new();
        for number in 0..ROUNDS {
            let both = (0..2).map(|entry| send(entry, format!("case-{number}-{entry}")));
            told.extend(future::join_all(both).await);
        }
        let counts = executed_once(&fleet).await;
        assert!(counts.values().all(|count| *count == 1), "{counts:?}");
        println!("crashes={} sent={}", counts.len(), told.len());
        assert!(counts.len() <= 1 + AFTER_DETECTION, "{told:#?}");
        let last = told.iter().rev().take(2);
        assert!(last.into_iter().all(Told::is_refused_at_once), "{told:#?}");
    };
    beside_innocents(&fleet, &traffic, story).await;
}
