//! Bundles come into force, spread between processes and never revert.

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

/// Longest time that a bundle may take to come into force, on the paused clock.
const SOON: time::Duration = time::Duration::from_secs(8);

fn key() -> signing::SecretKey {
    signing::SecretKey::generate().expect("random numbers")
}

/// A fleet that shares an object service and in which any process can ask any other.
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

    /// Writes an envelope and moves the head to it, without the checks of an operator's tool.
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

    /// Starts a process that knows the given peers.
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

    /// Waits until a failure was counted and met again.
    async fn counted(&self, reason: bundle::Failure) {
        let counted = async {
            while self.feed.failures(reason) < 3 {
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

/// Feeds of all processes by address, in place of connections.
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
        Ok(feed.show(least))
    }
}

/// Peers that show what the test says.
struct Showing(agent::SignedBundle);

impl bundle::Peers for Showing {
    fn fetch(
        &self,
        _: net::SocketAddr,
        _: id::Generation,
    ) -> impl Future<Output = Result<Option<agent::SignedBundle>, bundle::PeerError>> {
        future::ready(Ok(Some(self.0.clone())))
    }
}

#[tokio::test(start_paused = true)]
async fn an_accepted_bundle_comes_into_force_everywhere() {
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

/// Generation 2 is rolled back: generation 3 brings the bundle of generation 1 back into force.
#[tokio::test(start_paused = true)]
async fn rolling_back_is_a_step_forward() {
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

/// Someone moves the head, past the operators' tool, to a bundle that no process may take: unsigned,
/// signed with a key that is not trusted, or invalid. The one in force stays, the failure is counted,
/// and the next good one comes into force.
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

/// The stored envelope was changed after it was accepted: its name no longer is its digest.
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

/// Reads and watches of the object service lag by seconds, and the head's history is cut, so that the
/// process lists again and sees heads that it has passed already. Its generation never goes down.
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

/// The object service gives the head of an older generation again, as a restored copy would.
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

/// A peer replays an older bundle to whoever asks. It is never taken in.
#[tokio::test(start_paused = true)]
async fn a_replayed_message_takes_nobody_back() {
    let mut fleet = Fleet::new();
    fleet.accept_title("old").await;
    let source = fleet.start(1, &[]);
    source.until(id::Generation(1)).await;
    let old = source.feed.show(id::Generation(1)).expect("in force");
    let new = fleet.accept_title("new").await;

    let feed = bundle::Feed::new(&metrics::Metrics::new());
    let options = bundle::Options::new(fleet.trust());
    let run = bundle::run(feed.clone(), fleet.store.clone(), Showing(old), options);
    let process = Process {
        feed,
        task: task::spawn(run),
    };
    process.until(new).await;
    fleet.set_down(true);
    for number in 0..10 {
        process
            .feed
            .record_generation(id::Generation(9), addr(number));
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        assert_eq!(process.feed.generation(), new);
        assert_eq!(process.title(), "new");
    }
}

/// A peer shows a signed bundle under a head that names another one, or a head that is none.
#[rstest]
#[case::other_digest(true, bundle::Failure::Signature)]
#[case::no_head(false, bundle::Failure::Head)]
#[tokio::test(start_paused = true)]
async fn a_peer_cannot_show_what_was_not_accepted(
    #[case] parses: bool,
    #[case] reason: bundle::Failure,
) {
    let fleet = Fleet::new();
    fleet.set_down(true);
    let digest = signing::Digest::of(b"another");
    let head = head::Head::after(None, digest, id::Nonce::random()).to_text();
    let head = if parses { head } else { "{}".into() };
    let raw = |text| value::RawValue::from_string(text).expect("JSON");
    let shown = agent::SignedBundle {
        generation: id::Generation(1),
        head: raw(head),
        envelope: raw(fleet.sign(&titled("x"))),
    };
    let feed = bundle::Feed::new(&metrics::Metrics::new());
    let options = bundle::Options::new(fleet.trust()).peers([addr(9)]);
    let run = bundle::run(feed.clone(), fleet.store.clone(), Showing(shown), options);
    let process = Process {
        feed,
        task: task::spawn(run),
    };
    process.counted(reason).await;
    assert!(process.feed.current().is_none());
}

/// The object service goes down right after the accept, when one process has the new bundle. The others
/// hear of its generation by the messages between processes and fetch the bundle from it, and from
/// each other.
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
    // Only the process with number 20 reads the service before it is down for good.
    let second = fleet.accept_title("second").await;
    let lucky = fleet.start(20, &[]);
    for process in &processes {
        process.task.abort();
    }
    lucky.until(second).await;
    fleet.set_down(true);
    let others: Vec<_> = (0..10).map(|number| fleet.start(number, &[])).collect();

    // Each process hears of the generation from the one before it, as messages carry it.
    let mut source = addr(20);
    for (number, process) in others.iter().enumerate() {
        process.feed.record_generation(second, source);
        process.until(second).await;
        assert_eq!(process.title(), "second");
        source = addr(number as u16);
    }
}

/// A process starts during an outage of the object service. It asks the peers in its settings, of which
/// some are gone, and comes under the bundle that they have.
#[tokio::test(start_paused = true)]
async fn a_process_that_starts_during_an_outage_asks_its_peers() {
    let mut fleet = Fleet::new();
    let generation = fleet.accept_title("x").await;
    let running = fleet.start(1, &[]);
    running.until(generation).await;
    fleet.set_down(true);
    let started = fleet.start(2, &[7, 8, 1]);
    started.until(generation).await;
    assert_eq!(started.title(), "x");
}

/// The same outage, and a newer bundle that a peer gets: a process that nobody tells of it finds it
/// by asking its peers regularly.
#[tokio::test(start_paused = true)]
async fn peers_are_asked_again_while_the_object_service_is_down() {
    let mut fleet = Fleet::new();
    let first = fleet.accept_title("first").await;
    let asking = fleet.start(1, &[2]);
    asking.until(first).await;
    let second = fleet.accept_title("second").await;
    let envelope = fleet.sign(&titled("second"));
    fleet.set_down(true);
    let head = fleet.head.as_ref().expect("accepted").to_text();
    let raw = |text| value::RawValue::from_string(text).expect("JSON");
    let shown = agent::SignedBundle {
        generation: second,
        head: raw(head),
        envelope: raw(envelope),
    };
    let feed = bundle::Feed::new(&metrics::Metrics::new());
    let options = bundle::Options::new(fleet.trust()).peers([addr(1)]);
    let run = bundle::run(feed.clone(), fleet.store.clone(), Showing(shown), options);
    fleet.network.lock().insert(addr(2), feed.clone());
    let peer = Process {
        feed,
        task: task::spawn(run),
    };
    peer.until(second).await;
    asking.until(second).await;
    assert_eq!(asking.title(), "second");
}

#[tokio::test(start_paused = true)]
async fn a_feed_shows_only_what_is_new_enough() {
    let mut fleet = Fleet::new();
    let process = fleet.start(1, &[]);
    assert!(process.feed.show(id::Generation(0)).is_none());
    let generation = fleet.accept_title("x").await;
    process.until(generation).await;
    assert!(process.feed.show(generation).is_some());
    assert!(process.feed.show(generation.next()).is_none());
}
