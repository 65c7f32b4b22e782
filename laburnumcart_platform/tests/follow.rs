//! Followers during outages, after compaction of the history and with stale reads.

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

/// A service that counts watches and can return stale listings.
#[derive(Default)]
struct StaleStore {
    memory: memory::Memory,
    watches: atomic::AtomicUsize,
    /// Stale listings to return next; while there are any, watches fail as compacted.
    stale: sync::Mutex<collections::VecDeque<store::Listing>>,
}

impl Store for StaleStore {
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
        let stale = self.stale.lock().unwrap().pop_front();
        match stale {
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
        let current = self.stale.lock().unwrap().is_empty();
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

/// Waits until the mirror has exactly these values.
async fn wait_for_values(mirror: &mut Mirror, values: &[(&str, &str)]) {
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

fn set_faults(memory: &memory::Memory, set: impl FnOnce(&mut memory::Faults)) {
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
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
    create(&memory, "p/b", "2").await;
    wait_for_values(&mut mirror, &[("p/a", "1"), ("p/b", "2")]).await;
    memory.delete("p/a", first).await.unwrap();
    wait_for_values(&mut mirror, &[("p/b", "2")]).await;
}

// After a compaction no watch returns the missed changes: only a listing shows a deletion.
#[tokio::test(start_paused = true)]
async fn mirror_catches_up_after_outage_and_compaction() {
    let memory = memory::Memory::new();
    let first = create(&memory, "p/a", "1").await;
    let mut mirror = start(memory.clone());
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
    set_faults(&memory, |faults| faults.down = true);
    tokio::time::sleep(SECOND * 300).await;
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
    set_faults(&memory, |_| ());
    memory.delete("p/a", first).await.unwrap();
    create(&memory, "p/b", "2").await;
    memory.compact();
    wait_for_values(&mut mirror, &[("p/b", "2")]).await;
}

// A pause as long as after the failures before would delay the missed changes by seconds.
#[tokio::test(start_paused = true)]
async fn mirror_lists_at_once_when_a_watch_fails_as_compacted_after_an_outage() {
    let store = sync::Arc::new(StaleStore::default());
    let memory = store.memory.clone();
    let mut mirror = start(store.clone());
    wait_for_values(&mut mirror, &[]).await;
    set_faults(&memory, |faults| faults.down = true);
    tokio::time::sleep(SECOND * 300).await;
    set_faults(&memory, |_| ());
    create(&memory, "p/a", "1").await;
    // The next watch fails as compacted, and the listing after it is current.
    let listing = memory.list("p/").await.unwrap();
    store.stale.lock().unwrap().push_back(listing);
    let watches = store.watches.load(atomic::Ordering::Relaxed);
    while store.watches.load(atomic::Ordering::Relaxed) == watches {
        tokio::time::sleep(SECOND / 1000).await;
    }
    let compacted = tokio::time::Instant::now();
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
    let elapsed = compacted.elapsed();
    assert!(elapsed < SECOND / 10, "listed after {elapsed:?}");
}

// An empty snapshot at a start during an outage must not be taken for an empty prefix.
#[tokio::test(start_paused = true)]
async fn mirror_started_in_an_outage_is_not_listed() {
    let memory = memory::Memory::new();
    create(&memory, "p/a", "1").await;
    set_faults(&memory, |faults| faults.down = true);
    let mut mirror = start(memory.clone());
    tokio::time::sleep(SECOND * 30).await;
    assert!(!mirror.borrow_and_update().listed);
    set_faults(&memory, |_| ());
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
}

// Stale listings after a watch that failed as compacted must not restore a deleted object.
#[tokio::test(start_paused = true)]
async fn stale_listing_never_reverts_the_mirror() {
    let store = sync::Arc::new(StaleStore::default());
    let memory = store.memory.clone();
    let first = create(&memory, "p/a", "1").await;
    let stale = memory.list("p/").await.unwrap();
    let mut mirror = start(store.clone());
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
    memory.delete("p/a", first).await.unwrap();
    wait_for_values(&mut mirror, &[]).await;
    store.stale.lock().unwrap().extend(vec![stale; 5]);
    create(&memory, "p/b", "2").await;
    for _ in 0..3000 {
        tokio::time::sleep(SECOND / 100).await;
        assert!(!mirror.borrow_and_update().objects.contains_key("p/a"));
    }
    assert!(store.stale.lock().unwrap().is_empty());
    wait_for_values(&mut mirror, &[("p/b", "2")]).await;
}

#[tokio::test(start_paused = true)]
async fn lagging_prefix_arrives_after_its_lag() {
    let lag = unit::Period::from_secs(10);
    let memory = memory::Memory::builder().stale_reads("p/", lag).build();
    let mut mirror = start(memory.clone());
    wait_for_values(&mut mirror, &[]).await;
    create(&memory, "p/a", "1").await;
    let early = tokio::time::timeout(SECOND * 9, mirror.changed()).await;
    assert!(early.is_err());
    wait_for_values(&mut mirror, &[("p/a", "1")]).await;
}

#[tokio::test(start_paused = true)]
async fn burst_of_changes_is_fetched_in_few_calls() {
    let store = sync::Arc::new(StaleStore::default());
    let mut mirror = start(store.clone());
    wait_for_values(&mut mirror, &[]).await;
    for number in 0..1000 {
        create(&store.memory, &format!("p/{number:04}"), "0").await;
        tokio::time::sleep(SECOND / 200).await;
    }
    let all = |snapshot: &sync::Arc<follow::Snapshot>| snapshot.objects.len() == 1000;
    let wait = tokio::time::timeout(SECOND * 60, mirror.wait_for(all));
    wait.await.expect("mirror does not catch up").unwrap();
    // 5 s of changes at two watches a second, plus one before and one after.
    let watches = store.watches.load(atomic::Ordering::Relaxed);
    assert!(watches <= 12, "{watches} watches");
}

// Unless the interval grows, each watch under continuous changes returns only one or two of them.
#[tokio::test(start_paused = true)]
async fn continuous_changes_are_fetched_in_fewer_calls() {
    let store = sync::Arc::new(StaleStore::default());
    let settings = follow::Settings {
        interval: unit::Period::from_millis(100),
        longest_interval: unit::Period::from_millis(1000),
        ..Default::default()
    };
    let (follower, mut mirror) = follow::follower(store.clone(), "p/", settings);
    tokio::spawn(follower.run());
    // A change every 50 ms, as when all targets register.
    for number in 0..200 {
        create(&store.memory, &format!("p/{number:04}"), "0").await;
        tokio::time::sleep(SECOND / 20).await;
    }
    let all = |snapshot: &sync::Arc<follow::Snapshot>| snapshot.objects.len() == 200;
    let wait = tokio::time::timeout(SECOND * 60, mirror.wait_for(all));
    wait.await.expect("mirror does not catch up").unwrap();
    // 10 s of changes at one watch a second, plus a few before; 100 without growing intervals.
    let watches = store.watches.load(atomic::Ordering::Relaxed);
    assert!(watches <= 16, "{watches} watches");
}

// When one follower gets an answer, another must not stay in its backoff with a stale snapshot.
#[tokio::test(start_paused = true)]
async fn recovery_is_shared() {
    let memory = memory::Memory::new();
    let recovery = follow::Recovery::default();
    let start = |longest| {
        let settings = follow::Settings {
            longest_pause: longest,
            ..Default::default()
        };
        let (follower, mirror) = follow::follower(memory.clone(), "p/", settings);
        tokio::spawn(follower.share_recovery(&recovery).run());
        mirror
    };
    let mut frequent = start(unit::Period::from_millis(400));
    let mut rare = start(unit::Period::from_secs(600));
    wait_for_values(&mut frequent, &[]).await;
    wait_for_values(&mut rare, &[]).await;
    set_faults(&memory, |faults| faults.down = true);
    tokio::time::sleep(SECOND * 300).await;
    set_faults(&memory, |_| {});
    create(&memory, "p/a", "1").await;
    let recovered = tokio::time::Instant::now();
    wait_for_values(&mut frequent, &[("p/a", "1")]).await;
    wait_for_values(&mut rare, &[("p/a", "1")]).await;
    assert!(
        recovered.elapsed() < SECOND * 5,
        "{:?}",
        recovered.elapsed()
    );
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
    /// Listings of any age, in any order, never revert a key to an older version.
    #[test]
    fn versions_never_decrease(
        writes in 1usize..20,
        ages in prop::collection::vec(0usize..20, 1..30),
    ) {
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
