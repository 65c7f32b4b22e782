//! Benchmark of claims: object-service writes per claim and latency, by rate and method.
//!
//! Methods: one object per key, the sharded log, and the log without a limit on appends. They run
//! alternately against the same kind of store, with a latency of some milliseconds and a write
//! limit.

use std::{
    collections,
    net,
    sync::{
        self,
        atomic, //
    },
    time, //
};

use tokio::{
    task,
    time as clock, //
};

use laburnumcart::{
    claim::{
        self,
        log,
        record,
        table, //
    },
    id,
    unit, //
};
use laburnumcart_entry::claims;
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use laburnumcart_wire::entry;

/// Latency of a store call in microseconds: minimum, and maximum of the random addition.
const STORE_DELAY: (u64, u64) = (3_000, 4_000);

/// Writes per second that the store accepts.
const STORE_WRITES: u64 = 400;

/// Delay of a call between two entries.
const PEER_DELAY: time::Duration = time::Duration::from_micros(500);

/// Default offered rates in claims per second.
const RATES: [u64; 3] = [10, 100, 600];

/// Duration of a run in seconds, and of the warm-up before it.
const RUN: (u64, u64) = (5, 4);

/// Runs of each method at each rate.
const ROUNDS: usize = 2;

/// Segments between two snapshots; small, so that a short run includes deletions.
const SEGMENTS: u64 = 32;

/// Number of claims in the table whose size is measured.
const TABLE: u64 = 140_000;

/// Number of entries over which the claims are distributed.
const ENTRIES: u16 = 3;

/// A store with latency, a limit on writes, and counters.
#[derive(Default)]
struct Limited {
    memory: memory::Memory,
    window: sync::Mutex<Option<(clock::Instant, u64)>>,
    writes: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    deletes: atomic::AtomicU64,
}

impl Limited {
    async fn delay(&self) {
        let extra = rand::random_range(0..STORE_DELAY.1);
        clock::sleep(time::Duration::from_micros(STORE_DELAY.0 + extra)).await;
    }

    /// Counts a write, or refuses it above the limit.
    fn admit(&self) -> Result<(), store::Failure> {
        let now = clock::Instant::now();
        let mut window = self.window.lock().expect("lock is not poisoned");
        let (start, count) = window.get_or_insert((now, 0));
        if now.duration_since(*start) >= time::Duration::from_millis(100) {
            (*start, *count) = (now, 0);
        }
        if *count >= STORE_WRITES / 10 {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            let retry = Some(unit::Period::from_millis(100));
            return Err(store::Failure::Unavailable { retry });
        }
        *count += 1;
        self.writes.fetch_add(1, atomic::Ordering::Relaxed);
        Ok(())
    }
}

impl Store for Limited {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.delay().await;
        self.memory.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.delay().await;
        self.admit()?;
        self.memory.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.delay().await;
        self.admit()?;
        self.deletes.fetch_add(1, atomic::Ordering::Relaxed);
        self.memory.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.delay().await;
        self.memory.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.memory.watch(prefix, after, wait).await
    }
}

type Entry = sync::Arc<claims::Service<Limited, Peers>>;

#[derive(Clone, Default)]
struct Peers(sync::Arc<sync::Mutex<collections::HashMap<net::SocketAddr, Entry>>>);

impl Peers {
    async fn reach(&self, addr: net::SocketAddr) -> Result<Entry, claims::Unreachable> {
        clock::sleep(PEER_DELAY).await;
        let entries = self.0.lock().expect("lock is not poisoned");
        entries.get(&addr).cloned().ok_or(claims::Unreachable)
    }
}

impl claims::Peers for Peers {
    async fn claim(
        &self,
        addr: net::SocketAddr,
        claim: entry::Claim,
    ) -> Result<entry::Decision, claims::Unreachable> {
        Ok(self.reach(addr).await?.serve_claim(claim).await)
    }

    async fn release(
        &self,
        addr: net::SocketAddr,
        release: entry::Release,
    ) -> Result<bool, claims::Unreachable> {
        Ok(self.reach(addr).await?.serve_release(release).await)
    }

    async fn fetch(
        &self,
        _: net::SocketAddr,
        _: entry::Fetch,
    ) -> Result<entry::Answer, claims::Unreachable> {
        Err(claims::Unreachable)
    }
}

/// Method of making claims durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Method {
    PerKey,
    /// Log with this number of shards.
    Log(u16),
    /// Log without a rate limit on appends.
    LogUnpaced(u16),
}

/// Client of one run.
#[derive(Clone)]
enum Client {
    PerKey(sync::Arc<Limited>),
    Log(Vec<Entry>),
}

impl Client {
    fn new(method: Method, store: &sync::Arc<Limited>) -> Self {
        let (rate, shards) = match method {
            Method::PerKey => return Self::PerKey(store.clone()),
            Method::Log(shards) => (unit::Rate(300.0), shards),
            Method::LogUnpaced(shards) => (unit::Rate(1e6), shards),
        };
        let peers = Peers::default();
        let addr = |number| net::SocketAddr::from(([127, 0, 0, 1], number));
        let live: Vec<_> = (1..=ENTRIES).map(addr).collect();
        let start = |addr| {
            let incarnation = id::Incarnation::random();
            let service = claims::Builder::new(claim::Holder { addr, incarnation })
                .write_rate(rate)
                .shards(shards)
                .snapshot_interval(SEGMENTS)
                .start(store.clone(), sync::Arc::new(peers.clone()));
            service.set_live_entries(live.clone());
            let mut entries = peers.0.lock().expect("lock is not poisoned");
            entries.insert(addr, service.clone());
            service
        };
        Self::Log(live.iter().copied().map(start).collect())
    }

    /// Claims a fresh key; returns whether it was granted.
    async fn claim(&self, number: usize) -> bool {
        let key = id::Fingerprint(rand::random());
        match self {
            Self::PerKey(store) => {
                let path = format!("claims/keys/{key}");
                let value = format!("{{\"request\":\"{key}\"}}");
                store
                    .put(&path, store::Expect::Absent, &value)
                    .await
                    .is_ok()
            }
            Self::Log(entries) => {
                let params = claims::ClaimRequest {
                    key,
                    content: key,
                    request: id::RequestId(rand::random()),
                    retention: unit::Period::from_secs(3600),
                };
                let deadline = clock::Instant::now() + time::Duration::from_secs(5);
                let entry = &entries[number % entries.len()];
                entry.claim(params, deadline).await.decision == entry::Decision::Granted
            }
        }
    }
}

/// Measurements of one method at one rate.
#[derive(Default)]
struct Measurements {
    offered: usize,
    writes: u64,
    refused_writes: u64,
    deletes: u64,
    micros: Vec<u128>,
}

impl Measurements {
    fn quantile(&self, share: f64) -> f64 {
        let last = self.micros.len().saturating_sub(1) as f64;
        let index = (last * share).round() as usize;
        self.micros
            .get(index)
            .map_or(f64::NAN, |m| *m as f64 / 1000.0)
    }

    fn print(&mut self, method: Method, rate: u64) {
        self.micros.sort_unstable();
        let granted = self.micros.len();
        println!(
            "{method:?} rate={rate}/s offered={} granted={granted} writes={} deletes={} \
             refused_writes={} writes_per_claim={:.2} p50={:.1}ms p99={:.1}ms",
            self.offered,
            self.writes,
            self.deletes,
            self.refused_writes,
            self.writes as f64 / granted as f64,
            self.quantile(0.5),
            self.quantile(0.99),
        );
    }
}

/// Offers claims at a fixed rate and waits for all of them.
async fn offer(client: &Client, rate: u64, seconds: u64) -> Vec<Option<u128>> {
    let mut ticks = clock::interval(time::Duration::from_secs_f64(1.0 / rate as f64));
    let mut running: Vec<task::JoinHandle<Option<u128>>> = Vec::new();
    for number in 0..(rate * seconds) as usize {
        ticks.tick().await;
        let client = client.clone();
        running.push(tokio::spawn(async move {
            let start = clock::Instant::now();
            let granted = client.claim(number).await;
            granted.then(|| start.elapsed().as_micros())
        }));
    }
    let mut done = Vec::with_capacity(running.len());
    for claim in running {
        done.push(claim.await.expect("claims do not panic"));
    }
    done
}

async fn run(method: Method, rate: u64, result: &mut Measurements) {
    let store = sync::Arc::new(Limited::default());
    let client = Client::new(method, &store);
    // During the warm-up, entries take the shards over.
    offer(&client, rate.max(50), RUN.1).await;
    let before = store.writes.load(atomic::Ordering::Relaxed);
    let refused = store.refused.load(atomic::Ordering::Relaxed);
    let deletes = store.deletes.load(atomic::Ordering::Relaxed);
    let done = offer(&client, rate, RUN.0).await;
    result.offered += done.len();
    result.writes += store.writes.load(atomic::Ordering::Relaxed) - before;
    result.deletes += store.deletes.load(atomic::Ordering::Relaxed) - deletes;
    result.refused_writes += store.refused.load(atomic::Ordering::Relaxed) - refused;
    result.micros.extend(done.into_iter().flatten());
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

/// Prints the size of a claim in its owner's memory and in a snapshot.
fn print_sizes() {
    let now = clock::Instant::now();
    let before = resident();
    let mut table = table::Table::default();
    for number in 0..TABLE {
        let grant = record::Grant {
            key: id::Fingerprint(rand::random()),
            content: id::Fingerprint(rand::random()),
            request: id::RequestId(rand::random()),
            holder: claim::Holder {
                addr: net::SocketAddr::from(([10, 0, 0, 1], 7000)),
                incarnation: id::Incarnation(number),
            },
            keep: unit::Period::from_secs(3600),
            age: unit::Period::default(),
        };
        table.insert(grant, now);
    }
    let memory = resident() - before;
    let later = now + time::Duration::from_micros(1_234_567_891);
    let part: Vec<_> = table.grants(later).take(log::PART_MAX).collect();
    let segment = record::Segment::Snapshot {
        at: unit::Period::default(),
        first: 0,
        last: true,
        grants: part,
    };
    let text = serde_json::to_string(&segment).expect("segments serialize");
    println!(
        "claims={} memory_per_claim={}B snapshot_per_claim={}B",
        table.len(),
        memory / TABLE,
        text.len() / log::PART_MAX
    );
}

#[tokio::main]
async fn main() {
    print_sizes();
    let methods = [
        Method::PerKey,
        Method::Log(16),
        Method::Log(4),
        Method::LogUnpaced(16),
    ];
    let args: Vec<u64> = std::env::args()
        .skip(1)
        .flat_map(|arg| arg.parse())
        .collect();
    let rates = if args.is_empty() {
        RATES.to_vec()
    } else {
        args
    };
    for rate in rates {
        let mut results = methods.map(|method| (method, Measurements::default()));
        for _ in 0..ROUNDS {
            for (method, result) in &mut results {
                run(*method, rate, result).await;
            }
        }
        for (method, result) in &mut results {
            result.print(*method, rate);
        }
    }
}
