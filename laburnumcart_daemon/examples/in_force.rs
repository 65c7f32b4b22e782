//! Measures the time from the accept of a bundle until it is in force in the last process.
//!
//! `cargo run --release -p laburnumcart_daemon --example in_force [PROCESSES]`
//!
//! All processes share one thread and a paused clock, so that the times are those of the protocol:
//! waits, pauses and the service's limits, without the processor time of many processes on one
//! machine.

use std::{
    collections, env, net,
    sync::{
        self,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time,
};

use rand::Rng;
use tokio::{
    task,
    time::Instant, //
};

use laburnumcart::{
    document,
    head,
    id,
    signing,
    unit, //
};
use laburnumcart_daemon::{
    bundle,
    metrics, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use laburnumcart_wire::agent;

const ARAYA: &str = include_str!("../../examples/araya/bundle.json");

/// Calls that the object service takes a second.
const RATE: f64 = 2000.0;

/// Time of a call of the object service or of a peer.
const CALL: unit::Period = unit::Period::from_millis(3);

/// Time between two heartbeats, and the peers that one process exchanges them with.
const BEAT: time::Duration = time::Duration::from_secs(1);
const LINKS: usize = 8;

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() {
    let count = env::args().nth(1).and_then(|arg| arg.parse().ok());
    let count: u16 = count.unwrap_or(1020);
    for (name, scene) in [
        ("object service up", Scene::Up),
        (
            "object service down after the accept, one process has it",
            Scene::Down,
        ),
    ] {
        measure(name, scene, count).await;
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Scene {
    Up,
    Down,
}

async fn measure(name: &str, scene: Scene, count: u16) {
    let mut fleet = Fleet::new(count);
    fleet.accept("first").await;
    fleet.reached(id::Generation(1)).await;
    tokio::time::sleep(time::Duration::from_secs(60)).await;
    let before = fleet.store.calls.load(Ordering::Relaxed);
    let start = Instant::now();
    if scene == Scene::Down {
        // The watches end without an answer before the head is moved.
        fleet.set_down(true);
        fleet.accept_at_one("second").await;
    } else {
        fleet.accept("second").await;
    }
    let mut times = fleet.reached(id::Generation(2)).await;
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize] - start;
    let calls = fleet.store.calls.load(Ordering::Relaxed) - before;
    println!(
        "{name}: {count} processes, median {:?}, 99% {:?}, last {:?}; {calls} calls of the service",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

/// Processes, and the links over which heartbeats tell them of generations.
struct Fleet {
    store: Limited,
    key: signing::SecretKey,
    head: Option<head::Head>,
    feeds: Vec<bundle::Feed>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Fleet {
    fn new(count: u16) -> Self {
        let key = signing::SecretKey::generate().expect("random numbers");
        let name = "ana".parse().expect("a name");
        let keys = collections::BTreeMap::from([(name, key.public().into())]);
        let trust = signing::Trust::new(keys, 1, &document::Path::root()).expect("valid settings");
        let store = Limited::new();
        store.set_down(false);
        let feed = |_| bundle::Feed::new(&metrics::Metrics::new());
        let feeds: Vec<_> = (0..count).map(feed).collect();
        let network = Network(sync::Arc::new(feeds.clone()));
        let mut tasks = Vec::new();
        for (number, feed) in feeds.iter().enumerate() {
            // Two entries are named in each process's settings.
            let options = bundle::Options::new(trust.clone()).peers([addr(0), addr(1)]);
            let run = bundle::run(feed.clone(), store.clone(), network.clone(), options);
            tasks.push(task::spawn(run));
            tasks.push(task::spawn(beat(number, feeds.clone())));
        }
        Self {
            store,
            key,
            head: None,
            feeds,
            tasks,
        }
    }

    fn set_down(&self, down: bool) {
        self.store.set_down(down);
    }

    fn envelope(&self, title: &str) -> String {
        let mut bundle: serde_json::Value = serde_json::from_str(ARAYA).expect("JSON");
        bundle["title"] = title.into();
        let mut envelope = signing::Envelope::new(bundle.to_string());
        envelope.sign("ana".parse().expect("a name"), &self.key);
        envelope.to_text()
    }

    fn next(&mut self, envelope: &str) -> head::Head {
        let digest = signing::Digest::of(envelope.as_bytes());
        let head = head::Head::after(self.head.as_ref(), digest, id::Nonce::random());
        self.head = Some(head.clone());
        head
    }

    async fn accept(&mut self, title: &str) {
        let envelope = self.envelope(title);
        let head = self.next(&envelope);
        let store = &self.store.store;
        let key = head::object_key(head.accepted.digest);
        store
            .put(&key, store::Expect::Absent, &envelope)
            .await
            .expect("created");
        let now = store.get(head::KEY).await.expect("read");
        let expect = now.map_or(store::Expect::Absent, |o| store::Expect::Version(o.version));
        store
            .put(head::KEY, expect, &head.to_text())
            .await
            .expect("accepted");
    }

    /// Lets the last process have the new bundle as if it alone had read the service in time.
    async fn accept_at_one(&mut self, title: &str) {
        let envelope = self.envelope(title);
        let head = self.next(&envelope);
        let other = memory::Memory::new();
        let key = head::object_key(head.accepted.digest);
        other
            .put(&key, store::Expect::Absent, &envelope)
            .await
            .expect("created");
        other
            .put(head::KEY, store::Expect::Absent, &head.to_text())
            .await
            .expect("accepted");
        let feed = self.feeds.last().expect("at least one process").clone();
        let name = "ana".parse().expect("a name");
        let keys = collections::BTreeMap::from([(name, self.key.public().into())]);
        let trust = signing::Trust::new(keys, 1, &document::Path::root()).expect("valid settings");
        let network = Network(sync::Arc::default());
        let run = bundle::run(feed, other, network, bundle::Options::new(trust));
        self.tasks.push(task::spawn(run));
    }

    /// Waits until all processes have a generation, and returns when each got it.
    async fn reached(&self, generation: id::Generation) -> Vec<Instant> {
        let mut waits = task::JoinSet::new();
        for feed in &self.feeds {
            let mut changes = feed.changes();
            waits.spawn(async move {
                let reached = changes.wait_for(|now| *now >= generation).await;
                reached.map(drop).expect("the feed lives");
                Instant::now()
            });
        }
        waits.join_all().await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(task::JoinHandle::abort);
    }
}

/// Exchanges heartbeats with some peers, whose generations are heard with them.
async fn beat(number: usize, feeds: Vec<bundle::Feed>) {
    let phase = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(BEAT.mul_f64(phase)).await;
    let links: Vec<usize> = (0..LINKS)
        .map(|_| rand::rng().random_range(0..feeds.len()))
        .collect();
    loop {
        for link in &links {
            feeds[*link].record_generation(feeds[number].generation(), addr(number));
            feeds[number].record_generation(feeds[*link].generation(), addr(*link));
        }
        tokio::time::sleep(BEAT).await;
    }
}

fn addr(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], number as u16))
}

#[derive(Clone)]
struct Network(sync::Arc<Vec<bundle::Feed>>);

impl bundle::Peers for Network {
    async fn fetch(
        &self,
        peer: net::SocketAddr,
        least: id::Generation,
    ) -> Result<Option<agent::SignedBundle>, bundle::PeerError> {
        tokio::time::sleep(CALL.0).await;
        let feed = self.0.get(usize::from(peer.port()));
        Ok(feed.and_then(|feed| feed.show(least)))
    }
}

/// An object service that refuses calls beyond its rate.
#[derive(Clone)]
struct Limited {
    store: memory::Memory,
    calls: sync::Arc<AtomicU64>,
    bucket: sync::Arc<sync::Mutex<(f64, Instant)>>,
}

impl Limited {
    fn new() -> Self {
        Self {
            store: memory::Memory::new(),
            calls: sync::Arc::default(),
            bucket: sync::Arc::new(sync::Mutex::new((RATE, Instant::now()))),
        }
    }

    fn set_down(&self, down: bool) {
        self.store.set_faults(memory::Faults {
            down,
            slow: CALL,
            ..Default::default()
        });
    }

    fn enter(&self) -> Result<(), store::Failure> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut bucket = self.bucket.lock().expect("not poisoned");
        let now = Instant::now();
        let filled = bucket.0 + RATE * (now - bucket.1).as_secs_f64();
        *bucket = (filled.min(RATE), now);
        if bucket.0 < 1.0 {
            let retry = Some(unit::Period::from_secs(1));
            return Err(store::Failure::Unavailable { retry });
        }
        bucket.0 -= 1.0;
        Ok(())
    }
}

impl Store for Limited {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.enter()?;
        self.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.enter()?;
        self.store.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.enter()?;
        self.store.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.enter()?;
        self.store.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.enter()?;
        self.store.watch(prefix, after, wait).await
    }
}
