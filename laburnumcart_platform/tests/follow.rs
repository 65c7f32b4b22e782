//! A mirrored prefix under outages, lost history and stale reads.

use std::{
    collections,
    sync::{
        self,
        atomic, //
    },
    time,
};

use proptest::prelude::*;
use tokio::sync::watch;

use laburnumcart::unit;
use laburnumcart_platform::{
    follow, memory,
    store::{
        self,
        Store, //
    },
};

type Mirror = watch::Receiver<sync::Arc<follow::Snapshot>>;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// A service that counts watches and can answer lists from old copies.
#[derive(Default)]
struct Replica {
    memory: memory::Memory,
    watches: atomic::AtomicUsize,
    /// Old listings, given out after a watch was told that its revision is too old.
    old: sync::Mutex<collections::VecDeque<store::Listing>>,
}

impl Store for Replica {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.memory.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.memory.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.memory.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        let old = self.old.lock().unwrap().pop_front();
        match old {
            Some(listing) => Ok(listing),
            None => self.memory.list(prefix).await,
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.watches.fetch_add(1, atomic::Ordering::Relaxed);
        let current = self.old.lock().unwrap().is_empty();
        match current {
            true => self.memory.watch(prefix, after, wait).await,
            false => Err(store::Failure::Compacted),
        }
    }
}

fn start(store: impl Store + Clone) -> Mirror {
    let settings = follow::Settings::default();
    let (follower, mirror) = follow::follower(store, "p/", settings);
    tokio::spawn(follower.run());
    mirror
}

async fn create(memory: &memory::Memory, key: &str, value: &str) -> store::Version {
    memory.put(key, store::Expect::Absent, value).await.unwrap()
}

/// Waits until the mirror holds exactly these values.
async fn holds(mirror: &mut Mirror, values: &[(&str, &str)]) {
    let same = |snapshot: &sync::Arc<follow::Snapshot>| {
        let objects = snapshot.objects.values();
        let found: Vec<_> = objects
            .map(|o| (o.key.as_str(), o.value.as_str()))
            .collect();
        snapshot.listed && found == values
    };
    let wait = tokio::time::timeout(SECOND * 60, mirror.wait_for(same));
    wait.await.expect("mirror does not catch up").unwrap();
}

fn faults(memory: &memory::Memory, set: impl FnOnce(&mut memory::Faults)) {
    let mut faults = memory::Faults::default();
    set(&mut faults);
    memory.set_faults(faults);
}

#[tokio::test(start_paused = true)]
async fn mirror_follows_changes() {
    let memory = memory::Memory::new();
    let first = create(&memory, "p/a", "1").await;
    create(&memory, "q/a", "0").await;
    let mut mirror = start(memory.clone());
    holds(&mut mirror, &[("p/a", "1")]).await;
    create(&memory, "p/b", "2").await;
    holds(&mut mirror, &[("p/a", "1"), ("p/b", "2")]).await;
    memory.delete("p/a", first).await.unwrap();
    holds(&mut mirror, &[("p/b", "2")]).await;
}

// A process sees a change that it could not watch. The service is down for minutes; meanwhile an
// object is deleted, another created, and the history is cut, so that the watch can't go on. The
// follower lists again and removes what is gone.
#[tokio::test(start_paused = true)]
async fn mirror_catches_up_after_outage_and_compaction() {
    let memory = memory::Memory::new();
    let first = create(&memory, "p/a", "1").await;
    let mut mirror = start(memory.clone());
    holds(&mut mirror, &[("p/a", "1")]).await;
    faults(&memory, |faults| faults.down = true);
    tokio::time::sleep(SECOND * 300).await;
    holds(&mut mirror, &[("p/a", "1")]).await;
    faults(&memory, |_| ());
    memory.delete("p/a", first).await.unwrap();
    create(&memory, "p/b", "2").await;
    memory.compact();
    holds(&mut mirror, &[("p/b", "2")]).await;
}

// A process that starts during an outage shows that it knows nothing, rather than an empty list,
// and catches up once the service is back.
#[tokio::test(start_paused = true)]
async fn mirror_started_in_an_outage_is_not_listed() {
    let memory = memory::Memory::new();
    create(&memory, "p/a", "1").await;
    faults(&memory, |faults| faults.down = true);
    let mut mirror = start(memory.clone());
    tokio::time::sleep(SECOND * 30).await;
    assert!(!mirror.borrow_and_update().listed);
    faults(&memory, |_| ());
    holds(&mut mirror, &[("p/a", "1")]).await;
}

// A deleted object never comes back. A watch is told to list again, and the lists are answered
// from old copies that still hold it; they are older than what the mirror knows and are left aside
// until a current one comes.
#[tokio::test(start_paused = true)]
async fn stale_listing_never_takes_the_mirror_back() {
    let replica = sync::Arc::new(Replica::default());
    let memory = replica.memory.clone();
    let first = create(&memory, "p/a", "1").await;
    let old = memory.list("p/").await.unwrap();
    let mut mirror = start(replica.clone());
    holds(&mut mirror, &[("p/a", "1")]).await;
    memory.delete("p/a", first).await.unwrap();
    holds(&mut mirror, &[]).await;
    replica.old.lock().unwrap().extend(vec![old; 5]);
    create(&memory, "p/b", "2").await;
    for _ in 0..3000 {
        tokio::time::sleep(SECOND / 100).await;
        assert!(!mirror.borrow_and_update().objects.contains_key("p/a"));
    }
    assert!(replica.old.lock().unwrap().is_empty());
    holds(&mut mirror, &[("p/b", "2")]).await;
}

#[tokio::test(start_paused = true)]
async fn lagging_prefix_arrives_after_its_lag() {
    let lag = unit::Period::from_secs(10);
    let memory = memory::Memory::builder().lag("p/", lag).build();
    let mut mirror = start(memory.clone());
    holds(&mut mirror, &[]).await;
    create(&memory, "p/a", "1").await;
    let early = tokio::time::timeout(SECOND * 9, mirror.changed()).await;
    assert!(early.is_err());
    holds(&mut mirror, &[("p/a", "1")]).await;
}

#[tokio::test(start_paused = true)]
async fn burst_of_changes_is_fetched_in_few_calls() {
    let replica = sync::Arc::new(Replica::default());
    let mut mirror = start(replica.clone());
    holds(&mut mirror, &[]).await;
    for number in 0..1000 {
        create(&replica.memory, &format!("p/{number:04}"), "0").await;
        tokio::time::sleep(SECOND / 200).await;
    }
    let all = |snapshot: &sync::Arc<follow::Snapshot>| snapshot.objects.len() == 1000;
    let wait = tokio::time::timeout(SECOND * 60, mirror.wait_for(all));
    wait.await.expect("mirror does not catch up").unwrap();
    // 5 s of changes at two watches a second, with one before and one after.
    let watches = replica.watches.load(atomic::Ordering::Relaxed);
    assert!(watches <= 12, "{watches} watches");
}

// Changes come all the time, as when all targets register. Each watch would bring one or two of them
// and cost a call; the pauses grow while that goes on.
#[tokio::test(start_paused = true)]
async fn changes_that_go_on_are_fetched_in_fewer_calls() {
    let replica = sync::Arc::new(Replica::default());
    let settings = follow::Settings {
        interval: unit::Period::from_millis(100),
        longest_interval: unit::Period::from_millis(1000),
        ..Default::default()
    };
    let (follower, mut mirror) = follow::follower(replica.clone(), "p/", settings);
    tokio::spawn(follower.run());
    for number in 0..200 {
        create(&replica.memory, &format!("p/{number:04}"), "0").await;
        tokio::time::sleep(SECOND / 20).await;
    }
    let all = |snapshot: &sync::Arc<follow::Snapshot>| snapshot.objects.len() == 200;
    let wait = tokio::time::timeout(SECOND * 60, mirror.wait_for(all));
    wait.await.expect("mirror does not catch up").unwrap();
    // 10 s of changes at a watch a second, with a few before; 100 without growing pauses.
    let watches = replica.watches.load(atomic::Ordering::Relaxed);
    assert!(watches <= 16, "{watches} watches");
}

// The service is down for long. One follower asks often, the other seldom, as each call is paid for.
// When the first one is answered, the other must not sleep on with what it knew before.
#[tokio::test(start_paused = true)]
async fn a_return_is_shared() {
    let memory = memory::Memory::new();
    let returns = follow::Recovery::default();
    let start = |longest| {
        let settings = follow::Settings {
            longest_pause: longest,
            ..Default::default()
        };
        let (follower, mirror) = follow::follower(memory.clone(), "p/", settings);
        tokio::spawn(follower.share_recovery(&returns).run());
        mirror
    };
    let mut often = start(unit::Period::from_millis(400));
    let mut seldom = start(unit::Period::from_secs(600));
    holds(&mut often, &[]).await;
    holds(&mut seldom, &[]).await;
    faults(&memory, |faults| faults.down = true);
    tokio::time::sleep(SECOND * 300).await;
    faults(&memory, |_| {});
    create(&memory, "p/a", "1").await;
    let back = tokio::time::Instant::now();
    holds(&mut often, &[("p/a", "1")]).await;
    holds(&mut seldom, &[("p/a", "1")]).await;
    assert!(back.elapsed() < SECOND * 5, "{:?}", back.elapsed());
}

#[tokio::test(start_paused = true)]
async fn follower_ends_with_its_last_receiver() {
    let memory = memory::Memory::new();
    let settings = follow::Settings::default();
    let (follower, mirror) = follow::follower(memory, "p/", settings);
    let task = tokio::spawn(follower.run());
    drop(mirror);
    tokio::time::timeout(SECOND, task).await.unwrap().unwrap();
}

proptest! {
    /// Listings of any age, in any order, never take a key back to an older version.
    #[test]
    fn versions_never_decrease(writes in 1usize..20, ages in prop::collection::vec(0usize..20, 1..30)) {
        let mut snapshot = follow::Snapshot::default();
        let mut last = store::Version(0);
        for age in ages {
            let number = writes.saturating_sub(age).max(1) as u64;
            let object = store::Object {
                key: "p/a".into(),
                version: store::Version(number),
                value: "0".into(),
            };
            let listing = store::Listing {
                revision: store::Revision(number),
                objects: vec![object],
                ..Default::default()
            };
            let _ = snapshot.apply(listing);
            let version = snapshot.objects["p/a"].version;
            prop_assert!(version >= last);
            last = version;
        }
    }
}
