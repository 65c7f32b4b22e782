//! Gateways that follow one store through a few readers.

mod connection;
mod target_signals;

use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic, //
    },
    time,
};

use serde_json::json;

use laburnumcart::{
    id,
    readers, //
};
use laburnumcart_gateway::{
    clock,
    control,
    relay::{
        FollowReply,
        FollowRequest,
        RelayServer,
        cache,
        packed,
        signals, //
    },
    view, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use laburnumcart_wire::peer;
use platform::store_layout;

use crate::support::{
    config,
    wait_for, //
};

use self::connection::Connection;

/// Number of processes in the fleet; two of them are readers.
const PROCESSES: usize = 9;

/// Maximum age of the data with which keys are accepted.
const MAX_KEY_AGE: time::Duration = time::Duration::from_millis(4500);

/// Age of the data after which a process counts as cut off from the store.
const MAX_TABLE_AGE: time::Duration = time::Duration::from_secs(3);

/// Longest time after a call for which a follower does not probe the store.
const PROBE_PAUSE_MAX: time::Duration = time::Duration::from_millis(6100);

/// A process of the fleet, reduced to the part that follows the store.
struct Process {
    member: view::Member,
    view: Arc<view::View>,
    connection: Connection,
    served: peer::Handle,
    signals: Arc<signals::Signals>,
}

/// The relay interface of a process; a frozen one accepts calls and never answers.
struct Server {
    served: cache::RelayService,
    frozen: Arc<atomic::AtomicBool>,
}

#[jsonrpsee::core::async_trait]
impl RelayServer for Server {
    async fn follow(&self, ask: FollowRequest) -> jsonrpsee::core::RpcResult<FollowReply> {
        if self.frozen.load(atomic::Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        self.served.follow(ask).await
    }

    async fn part(
        &self,
        request: packed::PartRequest,
    ) -> jsonrpsee::core::RpcResult<Option<packed::Data>> {
        self.served.part(request).await
    }

    async fn tell(&self, signals: Vec<signals::TargetSignal>) -> jsonrpsee::core::RpcResult<()> {
        if self.frozen.load(atomic::Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        self.served.tell(signals).await
    }

    async fn tell_completed(
        &self,
        completed: Vec<signals::Completion>,
    ) -> jsonrpsee::core::RpcResult<()> {
        self.served.tell_completed(completed).await
    }

    async fn begin_trial(&self, content: id::Fingerprint) -> jsonrpsee::core::RpcResult<bool> {
        self.served.begin_trial(content).await
    }

    async fn end_trial(
        &self,
        content: id::Fingerprint,
        crashes: Vec<signals::TargetSignal>,
    ) -> jsonrpsee::core::RpcResult<()> {
        self.served.end_trial(content, crashes).await
    }
}

struct Fleet {
    memory: memory::Memory,
    processes: Vec<Process>,
    frozen: Vec<Arc<atomic::AtomicBool>>,
}

impl Fleet {
    /// Starts the processes and waits until they know the configuration and each other.
    async fn start() -> Self {
        let memory = memory::Memory::new();
        let mut fleet = Self {
            memory,
            processes: Vec::new(),
            frozen: Vec::new(),
        };
        fleet.configure(1, "key").await;
        for i in 0..PROCESSES {
            fleet.add_process(i);
        }
        fleet.wait_for_version(1).await;
        let knows = |p: &Process| p.view.members.load().len() == PROCESSES;
        wait_for(|| fleet.processes.iter().all(knows)).await;
        fleet
    }

    fn add_process(&mut self, i: usize) {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let secret = format!("{i:032x}");
        let member = view::Member {
            instance: format!("gateway-{i}").parse().unwrap(),
            data_centre: "north".parse().unwrap(),
            peer: listener.local_addr().unwrap(),
            incarnation: laburnumcart::id::Incarnation::random(),
            cores: 1.0,
            secret: secret.clone(),
        };
        let cache = Arc::new(cache::Cache::default());
        let frozen = Arc::new(atomic::AtomicBool::new(false));
        let server = Server {
            served: cache::RelayService(cache.clone()),
            frozen: frozen.clone(),
        };
        let served = peer::Server::new(&[secret.parse().unwrap()]);
        let served = served.serve(listener, server.into_rpc()).unwrap();
        let view = Arc::new(view::View::default());
        let connection = Connection {
            memory: self.memory.clone(),
            calls: Arc::default(),
            object_calls: Arc::default(),
            cut: Arc::default(),
        };
        let layout = Arc::new(store_layout::StoreLayout);
        let (shared, own, store) = (view.clone(), member.clone(), connection.clone());
        let signals = cache.signals.clone();
        tokio::spawn(control::run(store, layout, shared, own, cache, true));
        self.frozen.push(frozen);
        self.processes.push(Process {
            member,
            view,
            connection,
            served,
            signals,
        });
    }

    async fn configure(&self, version: u64, key: &str) {
        let config = config(|c| {
            c["version"] = json!(version);
            c["tenants"][0]["api_keys"] = json!([key]);
        });
        let known = self.memory.get("config/main").await.unwrap();
        let expect = known.map_or(store::Expect::Absent, |o| store::Expect::Version(o.version));
        let value = config.to_string();
        self.memory
            .put("config/main", expect, &value)
            .await
            .unwrap();
    }

    async fn wait_for_version(&self, version: u64) {
        wait_for(|| self.processes.iter().all(|p| p.has_version(version))).await;
    }

    /// Returns the indices of the processes that are readers.
    fn readers(&self) -> Vec<usize> {
        let members = self.processes.iter().map(|p| readers::Member {
            name: &p.member.instance,
            data_centre: &p.member.data_centre,
            cores: p.member.cores,
        });
        let chosen = readers::choose(members);
        let is_reader = |i: &usize| {
            let name = &self.processes[*i].member.instance;
            chosen.iter().any(|r| r.name == name)
        };
        (0..self.processes.len()).filter(is_reader).collect()
    }

    fn calls(&self, who: &[usize]) -> usize {
        who.iter().map(|i| self.processes[*i].calls()).sum()
    }

    fn followers(&self) -> Vec<usize> {
        let readers = self.readers();
        (0..self.processes.len())
            .filter(|i| !readers.contains(i))
            .collect()
    }
}

impl Process {
    fn has_version(&self, version: u64) -> bool {
        let table = self.view.table.load();
        table.as_ref().is_some_and(|table| table.version == version)
    }

    fn calls(&self) -> usize {
        self.connection.calls.load(atomic::Ordering::Relaxed)
    }

    fn cut(&self, cut: bool) {
        self.connection.cut.store(cut, atomic::Ordering::Relaxed);
    }

    fn age(&self) -> time::Duration {
        self.view.freshness.age(clock::now()).unwrap()
    }
}

// Two of nine processes poll the store for all; otherwise store calls would grow with the fleet.
#[tokio::test]
async fn changes_reach_all_through_the_readers() {
    let fleet = Fleet::start().await;
    let (readers, followers) = (fleet.readers(), fleet.followers());
    assert_eq!((readers.len(), followers.len()), (2, 7));
    let (before, followers_before) = (fleet.calls(&readers), fleet.calls(&followers));
    for version in 2..8 {
        fleet.configure(version, "key").await;
        fleet.wait_for_version(version).await;
    }
    let calls = fleet.calls(&readers) - before;
    let follower_calls = fleet.calls(&followers) - followers_before;
    assert!(
        follower_calls * 3 < calls,
        "{follower_calls} calls of followers, {calls} of readers"
    );
}

// Unless followers of a reader without the store ask others, a revoked key works for longer.
#[tokio::test]
async fn cut_off_reader_delays_nobody() {
    let fleet = Fleet::start().await;
    fleet.processes[fleet.readers()[0]].cut(true);
    fleet.configure(2, "other").await;
    fleet.wait_for_version(2).await;
    assert!(fleet.processes.iter().all(|p| p.age() < MAX_KEY_AGE));
}

// The store refuses a third of the processes, including the readers, and serves the others.
#[tokio::test]
async fn refused_processes_follow_others() {
    let fleet = Fleet::start().await;
    for reader in fleet.readers() {
        fleet.processes[reader].cut(true);
    }
    for version in 2..4 {
        fleet.configure(version, "other").await;
        fleet.wait_for_version(version).await;
    }
    assert!(fleet.processes.iter().all(|p| p.age() < MAX_KEY_AGE));
}

// Followers that ask each other first learn late that the store refuses the readers alone.
#[tokio::test]
async fn followers_read_before_they_ask_each_other() {
    let fleet = Fleet::start().await;
    let (readers, followers) = (fleet.readers(), fleet.followers());
    for follower in &followers {
        fleet.frozen[*follower].store(true, atomic::Ordering::Relaxed);
    }
    tokio::time::sleep(PROBE_PAUSE_MAX).await;
    let before: Vec<_> = fleet.processes.iter().map(Process::calls).collect();
    for reader in readers {
        fleet.processes[reader].cut(true);
    }
    let oldest = Cell::new(time::Duration::ZERO);
    wait_for(|| {
        let ages = followers.iter().map(|i| fleet.processes[*i].age());
        oldest.set(ages.fold(oldest.get(), time::Duration::max));
        followers
            .iter()
            .all(|i| fleet.processes[*i].calls() > before[*i])
    })
    .await;
    assert!(oldest.get() < MAX_TABLE_AGE, "{:?}", oldest.get());
}

// A reader that hangs while the evacuation ends must not restore it from its old data.
#[tokio::test]
async fn evacuations_reach_all_and_never_come_back() {
    let fleet = Fleet::start().await;
    let knows = |count: usize| {
        let evacuated = |p: &Process| p.view.evacuated().is_some_and(|e| e.len() == count);
        fleet.processes.iter().all(evacuated)
    };
    wait_for(|| knows(0)).await;
    let reader = fleet.readers()[0];
    fleet.processes[reader].cut(true);
    let put = fleet
        .memory
        .put("evacuations/south", store::Expect::Absent, "{}");
    let version = put.await.unwrap();
    wait_for(|| knows(1)).await;
    fleet.frozen[reader].store(true, atomic::Ordering::Relaxed);
    let delete = fleet.memory.delete("evacuations/south", version);
    delete.await.unwrap();
    wait_for(|| knows(0)).await;
    fleet.frozen[reader].store(false, atomic::Ordering::Relaxed);
    for _ in 0..40 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        assert!(knows(0));
    }
}

// Readers hang with open connections; their followers give up after a second and ask others.
#[tokio::test]
async fn frozen_reader_is_replaced() {
    let fleet = Fleet::start().await;
    for reader in fleet.readers() {
        fleet.frozen[reader].store(true, atomic::Ordering::Relaxed);
    }
    fleet.configure(2, "other").await;
    fleet.wait_for_version(2).await;
}

// When all readers are killed, the followers read the store themselves until new ones are chosen.
#[tokio::test]
async fn loss_of_all_readers_is_recovered() {
    let fleet = Fleet::start().await;
    let (readers, followers) = (fleet.readers(), fleet.followers());
    for reader in &readers {
        fleet.processes[*reader].served.stop();
        fleet.processes[*reader].cut(true);
    }
    fleet.configure(2, "other").await;
    wait_for(|| followers.iter().all(|i| fleet.processes[*i].has_version(2))).await;
}

// Each store call costs money, so during an outage the followers hardly call it.
#[tokio::test]
async fn only_readers_poll_during_an_outage() {
    let fleet = Fleet::start().await;
    let (readers, followers) = (fleet.readers(), fleet.followers());
    for process in &fleet.processes {
        process.cut(true);
    }
    let is_old = |p: &Process| p.age() > MAX_KEY_AGE;
    wait_for(|| fleet.processes.iter().all(is_old)).await;
    let (before, followers_before) = (fleet.calls(&readers), fleet.calls(&followers));
    wait_for(|| fleet.calls(&readers) > before + 15).await;
    let calls = fleet.calls(&readers) - before;
    let follower_calls = fleet.calls(&followers) - followers_before;
    assert!(
        follower_calls < calls,
        "{follower_calls} calls of followers, {calls} of readers"
    );
    for process in &fleet.processes {
        process.cut(false);
    }
    fleet.configure(2, "other").await;
    fleet.wait_for_version(2).await;
    wait_for(|| fleet.processes.iter().all(|p| p.age() < MAX_KEY_AGE)).await;
}

// A process that is cut off must not take its own old data, relayed by others, for new data.
#[tokio::test]
async fn nobody_grows_younger_by_asking_around() {
    let fleet = Fleet::start().await;
    for process in &fleet.processes {
        process.cut(true);
    }
    let ages = || fleet.processes.iter().map(Process::age).min().unwrap();
    let mut last = ages();
    let start = tokio::time::Instant::now();
    wait_for(|| ages() > time::Duration::from_secs(2)).await;
    while start.elapsed() < time::Duration::from_secs(4) {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let now = ages();
        assert!(now > last, "{now:?} after {last:?}");
        last = now;
    }
}

// After a power failure hundreds of processes register at once, so each may make one call only.
#[tokio::test]
async fn registration_takes_one_call() {
    let mut fleet = Fleet::start().await;
    // The restarted process must replace its old entry.
    fleet.add_process(0);
    let again = fleet.processes.last().unwrap();
    let incarnation = again.member.incarnation.to_string();
    let entry = || async {
        let entry = fleet.memory.get("gateways/gateway-0").await.unwrap();
        entry.is_some_and(|entry| entry.value.contains(&incarnation))
    };
    while !entry().await {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    wait_for(|| again.has_version(1)).await;
    let calls = again
        .connection
        .object_calls
        .load(atomic::Ordering::Relaxed);
    assert_eq!(calls, 1);
}

// Followers that considered a reader's unchanged data stale would all read the store themselves.
#[tokio::test]
async fn followers_do_not_read_while_nothing_changes() {
    let fleet = Fleet::start().await;
    let (readers, followers) = (fleet.readers(), fleet.followers());
    let (before, followers_before) = (fleet.calls(&readers), fleet.calls(&followers));
    // Without changes a reader's data ages up to two watch waits.
    wait_for(|| fleet.calls(&readers) > before + 30).await;
    let follower_calls = fleet.calls(&followers) - followers_before;
    assert!(
        follower_calls < 10,
        "{follower_calls} calls of followers, 30 of readers"
    );
}
