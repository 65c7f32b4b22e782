//! Bundle synchronisation: bundles come into force, spread between processes and never revert.

use std::{
    collections,
    future,
    net,
    sync,
    time, //
};

use rstest::rstest;
use serde_json::value;
use tokio::task;

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

/// Maximum time for a bundle to come into force, on the paused clock.
const SOON: time::Duration = time::Duration::from_secs(8);

fn key() -> signing::SecretKey {
    signing::SecretKey::generate().expect("random numbers")
}

/// A fleet with a shared object service, in which any process can fetch from any other.
struct Fleet {
    store: memory::Memory,
    key: signing::SecretKey,
    network: Network,
    head: Option<head::Head>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            store: memory::Memory::new(),
            key: key(),
            network: Network::default(),
            head: None,
        }
    }

    fn trust(&self) -> signing::Trust {
        let name = "ana".parse().expect("a name");
        let keys = collections::BTreeMap::from([(name, self.key.public().into())]);
        signing::Trust::new(keys, 1, &document::Path::root()).expect("valid settings")
    }

    fn sign(&self, text: &str) -> String {
        let mut envelope = signing::Envelope::new(text);
        envelope.sign("ana".parse().expect("a name"), &self.key);
        envelope.to_text()
    }

    /// Writes an envelope and moves the head to it, without the checks of the operator's tool.
    async fn accept(&mut self, envelope: &str) -> id::Generation {
        let digest = signing::Digest::of(envelope.as_bytes());
        self.accept_as(digest, envelope).await
    }

    async fn accept_as(&mut self, digest: signing::Digest, envelope: &str) -> id::Generation {
        let key = head::object_key(digest);
        let _ = self.store.put(&key, store::Expect::Absent, envelope).await;
        let head = head::Head::after(self.head.as_ref(), digest, id::Nonce::random());
        let generation = head.accepted.generation;
        self.write_head(&head.to_text()).await;
        self.head = Some(head);
        generation
    }

    async fn write_head(&self, text: &str) {
        let now = self.store.get(head::KEY).await.expect("read");
        let expect = now.map_or(store::Expect::Absent, |o| store::Expect::Version(o.version));
        self.store
            .put(head::KEY, expect, text)
            .await
            .expect("written");
    }

    async fn accept_title(&mut self, title: &str) -> id::Generation {
        let envelope = self.sign(&titled(title));
        self.accept(&envelope).await
    }

    /// Starts a process with the given peers in its settings.
    fn start(&self, number: u16, peers: &[u16]) -> Process {
        let feed = bundle::Feed::new(&metrics::Metrics::new());
        self.network.lock().insert(addr(number), feed.clone());
        let peers: Vec<_> = peers.iter().map(|peer| addr(*peer)).collect();
        let options = bundle::Options::new(self.trust()).peers(peers);
        let run = bundle::run(
            feed.clone(),
            self.store.clone(),
            self.network.clone(),
            options,
        );
        Process {
            feed,
            task: task::spawn(run),
        }
    }

    fn set_down(&self, down: bool) {
        self.store.set_faults(memory::Faults {
            down,
            ..Default::default()
        });
    }
}

struct Process {
    feed: bundle::Feed,
    task: task::JoinHandle<()>,
}

impl Process {
    /// Waits until a generation is in force.
    async fn until(&self, generation: id::Generation) {
        let mut changes = self.feed.changes();
        let reached = changes.wait_for(|now| *now >= generation);
        let reached = tokio::time::timeout(SOON, reached).await;
        let now = self.feed.generation();
        assert!(
            reached.is_ok(),
            "generation {now} in force, not {generation}"
        );
    }

    /// Waits until a failure was counted three times.
    async fn counted(&self, reason: bundle::Failure) {
        let counted = async {
            while self.feed.failure_count(reason) < 3 {
                tokio::time::sleep(time::Duration::from_millis(100)).await;
            }
        };
        let counted = tokio::time::timeout(10 * SOON, counted).await;
        let generation = self.feed.generation();
        assert!(
            counted.is_ok(),
            "{reason} not counted; generation {generation} in force"
        );
    }

    fn title(&self) -> String {
        let snapshot = self.feed.current().expect("a bundle in force");
        snapshot.bundle.title.clone()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn addr(number: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], number))
}

fn titled(title: &str) -> String {
    let mut bundle: serde_json::Value = serde_json::from_str(ARAYA).expect("JSON");
    bundle["title"] = title.into();
    bundle.to_string()
}

type Feeds = collections::HashMap<net::SocketAddr, bundle::Feed>;

/// Feeds of all processes by address, which replace connections.
#[derive(Clone, Default)]
struct Network(sync::Arc<sync::Mutex<Feeds>>);

impl Network {
    fn lock(&self) -> sync::MutexGuard<'_, Feeds> {
        self.0.lock().expect("not poisoned")
    }
}

impl bundle::Peers for Network {
    async fn fetch(
        &self,
        peer: net::SocketAddr,
        least: id::Generation,
    ) -> Result<Option<agent::SignedBundle>, bundle::PeerError> {
        let feed = self.lock().get(&peer).cloned();
        let feed = feed.ok_or_else(|| bundle::PeerError {
            cause: "no such process".into(),
        })?;
        Ok(feed.signed_bundle(least))
    }
}

/// Peers that always return the same bundle.
struct Fixed(agent::SignedBundle);

impl bundle::Peers for Fixed {
    fn fetch(
        &self,
        _: net::SocketAddr,
        _: id::Generation,
    ) -> impl Future<Output = Result<Option<agent::SignedBundle>, bundle::PeerError>> {
        future::ready(Ok(Some(self.0.clone())))
    }
}

#[tokio::test(start_paused = true)]
async fn accepted_bundle_comes_into_force_in_all_processes() {
    let mut fleet = Fleet::new();
    let processes: Vec<_> = (0..20).map(|number| fleet.start(number, &[])).collect();
    for title in ["one", "two", "three"] {
        let generation = fleet.accept_title(title).await;
        for process in &processes {
            process.until(generation).await;
            assert_eq!(process.title(), title);
        }
    }
}

/// Generation 3 restores the bundle of generation 1.
#[tokio::test(start_paused = true)]
async fn rollback_is_a_new_generation() {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    let good = fleet.sign(&titled("good"));
    fleet.accept(&good).await;
    let bad = fleet.accept_title("bad").await;
    process.until(bad).await;
    let again = fleet.accept(&good).await;
    process.until(again).await;
    assert_eq!(again, id::Generation(3));
    assert_eq!(process.title(), "good");
}

fn foreign(_: &Fleet) -> String {
    let mut envelope = signing::Envelope::new(titled("foreign"));
    envelope.sign("ana".parse().expect("a name"), &key());
    envelope.to_text()
}

/// The head is moved, without the operator's tool, to an unsigned, untrusted or invalid bundle.
#[rstest]
#[case::unsigned(|_: &Fleet| signing::Envelope::new(titled("x")).to_text(), bundle::Failure::Signature)]
#[case::unknown_key(foreign, bundle::Failure::Signature)]
#[case::not_an_envelope(|_: &Fleet| "{}".into(), bundle::Failure::Signature)]
#[case::invalid(|f: &Fleet| f.sign(r#"{"format":1}"#), bundle::Failure::Content)]
#[case::broken_rule(|f: &Fleet| f.sign(&titled("x").replace("\"weight\":40", "\"weight\":0")), bundle::Failure::Content)]
#[tokio::test(start_paused = true)]
async fn a_bad_bundle_changes_nothing(
    #[case] bad: fn(&Fleet) -> String,
    #[case] reason: bundle::Failure,
) {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    let first = fleet.accept_title("good").await;
    process.until(first).await;

    let bad = bad(&fleet);
    fleet.accept(&bad).await;
    process.counted(reason).await;
    assert_eq!(process.feed.generation(), first);
    assert_eq!(process.title(), "good");

    let next = fleet.accept_title("better").await;
    process.until(next).await;
    assert_eq!(process.title(), "better");
}

/// The stored envelope was replaced after it was accepted and no longer matches its digest.
#[tokio::test(start_paused = true)]
async fn tampered_content_is_never_in_force() {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    let accepted = signing::Digest::of(fleet.sign(&titled("accepted")).as_bytes());
    let other = fleet.sign(&titled("signed too, and not what was accepted"));
    fleet.accept_as(accepted, &other).await;
    process.counted(bundle::Failure::Signature).await;
    assert!(process.feed.current().is_none());
}

/// Stale reads and a compacted history make the process list again and see older heads.
#[tokio::test(start_paused = true)]
async fn stale_reads_take_nobody_back() {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    let mut changes = process.feed.changes();
    let watcher = task::spawn(async move {
        let mut last = id::Generation(0);
        while changes.changed().await.is_ok() {
            let now = *changes.borrow_and_update();
            assert!(now > last, "from {last} to {now}");
            last = now;
        }
        last
    });
    let mut last = id::Generation(0);
    for round in 0..6 {
        last = fleet.accept_title(&format!("round {round}")).await;
        process.until(last).await;
        fleet.store.set_faults(memory::Faults {
            stale: unit::Period::from_secs(3),
            ..Default::default()
        });
        fleet.store.compact();
        tokio::time::sleep(time::Duration::from_secs(2)).await;
        assert_eq!(process.feed.generation(), last);
        fleet.store.set_faults(memory::Faults::default());
    }
    let feed = process.feed.clone();
    drop(process);
    drop(fleet);
    assert_eq!(feed.generation(), last);
    drop(feed);
    assert_eq!(watcher.await.expect("only up"), last);
}

/// The object service returns an older head again, as after a restore from a backup.
#[tokio::test(start_paused = true)]
async fn a_replayed_head_takes_nobody_back() {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    fleet.accept_title("old").await;
    let old = fleet.head.clone().expect("accepted").to_text();
    let new = fleet.accept_title("new").await;
    process.until(new).await;
    fleet.write_head(&old).await;
    tokio::time::sleep(SOON).await;
    assert_eq!(process.feed.generation(), new);
    assert_eq!(process.title(), "new");
}

/// A peer replays an older bundle, which must not come into force.
#[tokio::test(start_paused = true)]
async fn a_replayed_message_takes_nobody_back() {
    let mut fleet = Fleet::new();
    fleet.accept_title("old").await;
    let source = fleet.start(1, &[]);
    source.until(id::Generation(1)).await;
    let old = source
        .feed
        .signed_bundle(id::Generation(1))
        .expect("in force");
    let new = fleet.accept_title("new").await;

    let feed = bundle::Feed::new(&metrics::Metrics::new());
    let options = bundle::Options::new(fleet.trust());
    let run = bundle::run(feed.clone(), fleet.store.clone(), Fixed(old), options);
    let process = Process {
        feed,
        task: task::spawn(run),
    };
    process.until(new).await;
    fleet.set_down(true);
    for number in 0..10 {
        process
            .feed
            .record_peer_generation(id::Generation(9), addr(number));
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        assert_eq!(process.feed.generation(), new);
        assert_eq!(process.title(), "new");
    }
}

/// A peer returns a signed bundle with a head that names another one, or with a malformed head.
#[rstest]
#[case::other_digest(true, bundle::Failure::Signature)]
#[case::no_head(false, bundle::Failure::Head)]
#[tokio::test(start_paused = true)]
async fn bundle_that_was_not_accepted_is_rejected_from_a_peer(
    #[case] parses: bool,
    #[case] reason: bundle::Failure,
) {
    let fleet = Fleet::new();
    fleet.set_down(true);
    let digest = signing::Digest::of(b"another");
    let head = head::Head::after(None, digest, id::Nonce::random()).to_text();
    let head = if parses { head } else { "{}".into() };
    let raw = |text| value::RawValue::from_string(text).expect("JSON");
    let signed = agent::SignedBundle {
        generation: id::Generation(1),
        head: raw(head),
        envelope: raw(fleet.sign(&titled("x"))),
    };
    let feed = bundle::Feed::new(&metrics::Metrics::new());
    let options = bundle::Options::new(fleet.trust()).peers([addr(9)]);
    let run = bundle::run(feed.clone(), fleet.store.clone(), Fixed(signed), options);
    let process = Process {
        feed,
        task: task::spawn(run),
    };
    process.counted(reason).await;
    assert!(process.feed.current().is_none());
}

/// A bundle that only one process has read must reach the others through their peers.
#[tokio::test(start_paused = true)]
async fn a_bundle_spreads_while_the_object_service_is_down() {
    let mut fleet = Fleet::new();
    let processes: Vec<_> = (0..10).map(|number| fleet.start(number, &[])).collect();
    let first = fleet.accept_title("first").await;
    for process in &processes {
        process.until(first).await;
    }
    fleet.set_down(true);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    fleet.set_down(false);
    // Only process 20 reads the service before it goes down for good.
    let second = fleet.accept_title("second").await;
    let source_process = fleet.start(20, &[]);
    for process in &processes {
        process.task.abort();
    }
    source_process.until(second).await;
    fleet.set_down(true);
    let others: Vec<_> = (0..10).map(|number| fleet.start(number, &[])).collect();

    // Each process learns of the generation from the one before it, as in gossip.
    let mut source = addr(20);
    for (number, process) in others.iter().enumerate() {
        process.feed.record_peer_generation(second, source);
        process.until(second).await;
        assert_eq!(process.title(), "second");
        source = addr(number as u16);
    }
}

/// A process that starts during an outage must get the bundle although some of its peers are down.
#[tokio::test(start_paused = true)]
async fn a_process_that_starts_during_an_outage_asks_its_peers() {
    let mut fleet = Fleet::new();
    let generation = fleet.accept_title("x").await;
    let running = fleet.start(1, &[]);
    running.until(generation).await;
    fleet.set_down(true);
    // Peers 7 and 8 are unreachable.
    let started = fleet.start(2, &[7, 8, 1]);
    started.until(generation).await;
    assert_eq!(started.title(), "x");
}

/// A process that receives no messages must find a newer bundle by polling its peers.
#[tokio::test(start_paused = true)]
async fn peers_are_polled_while_the_object_service_is_down() {
    let mut fleet = Fleet::new();
    let first = fleet.accept_title("first").await;
    let polling = fleet.start(1, &[2]);
    polling.until(first).await;
    let second = fleet.accept_title("second").await;
    let envelope = fleet.sign(&titled("second"));
    fleet.set_down(true);
    let head = fleet.head.as_ref().expect("accepted").to_text();
    let raw = |text| value::RawValue::from_string(text).expect("JSON");
    let signed = agent::SignedBundle {
        generation: second,
        head: raw(head),
        envelope: raw(envelope),
    };
    let feed = bundle::Feed::new(&metrics::Metrics::new());
    let options = bundle::Options::new(fleet.trust()).peers([addr(1)]);
    let run = bundle::run(feed.clone(), fleet.store.clone(), Fixed(signed), options);
    fleet.network.lock().insert(addr(2), feed.clone());
    let peer = Process {
        feed,
        task: task::spawn(run),
    };
    peer.until(second).await;
    polling.until(second).await;
    assert_eq!(polling.title(), "second");
}

#[tokio::test(start_paused = true)]
async fn signed_bundle_is_returned_only_if_new_enough() {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    assert!(process.feed.signed_bundle(id::Generation(0)).is_none());
    let generation = fleet.accept_title("x").await;
    process.until(generation).await;
    assert!(process.feed.signed_bundle(generation).is_some());
    assert!(process.feed.signed_bundle(generation.next()).is_none());
}
