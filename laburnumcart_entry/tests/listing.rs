//! Watching the platform's list of instances.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time, //
};

use laburnumcart_entry::{
    listing,
    members, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use tokio::sync::watch;

/// Store that counts listings.
#[derive(Clone, Default)]
struct Counting {
    inner: memory::Memory,
    lists: Arc<AtomicUsize>,
}

impl Store for Counting {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.inner.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.inner.watch(prefix, after, wait).await
    }
}

impl Counting {
    async fn add(&self, name: &str) -> store::Version {
        let value = serde_json::json!({
            "name": name,
            "data_centre": "dc-1",
            "role": "entry",
            "addr": "127.0.0.1:1",
            "state": "live",
        });
        let (key, value) = (format!("{}{name}", members::PREFIX), value.to_string());
        let put = self.put(&key, store::Expect::Absent, &value).await;
        put.unwrap()
    }
}

async fn wait_count(list: &mut watch::Receiver<Vec<members::Instance>>, count: usize) {
    let found = list.wait_for(|list| list.len() == count);
    let limit = time::Duration::from_secs(60);
    let found = tokio::time::timeout(limit, found).await;
    drop(found.expect("the list was followed").unwrap());
}

// Listing all instances at every watch would make the traffic grow with the square of the fleet.
#[tokio::test(start_paused = true)]
async fn list_is_read_once_and_then_watched() {
    let store = Counting::default();
    let version = store.add("entry-1").await;
    let (sender, mut list) = watch::channel(Vec::new());
    let task = tokio::spawn(listing::follow(store.clone(), sender));
    wait_count(&mut list, 1).await;
    tokio::time::sleep(time::Duration::from_secs(600)).await;
    store.add("entry-2").await;
    wait_count(&mut list, 2).await;
    let key = format!("{}entry-1", members::PREFIX);
    store.delete(&key, version).await.unwrap();
    wait_count(&mut list, 1).await;
    assert_eq!(list.borrow()[0].name.as_str(), "entry-2");
    // More listings would exhaust the service's rate limits and the nodes' bandwidth.
    assert_eq!(store.lists.load(Ordering::Relaxed), 1);
    task.abort();
}

// An entry that only applied changes would miss the compacted ones and route to stopped instances.
#[tokio::test(start_paused = true)]
async fn compacted_history_causes_a_new_listing() {
    let store = Counting::default();
    store.add("entry-1").await;
    let (sender, mut list) = watch::channel(Vec::new());
    let task = tokio::spawn(listing::follow(store.clone(), sender));
    wait_count(&mut list, 1).await;
    store.inner.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    tokio::time::sleep(time::Duration::from_secs(60)).await;
    store.inner.set_faults(memory::Faults::default());
    store.add("entry-2").await;
    // Changes before this cannot be fetched one by one any more (410).
    store.inner.compact();
    wait_count(&mut list, 2).await;
    assert!(store.lists.load(Ordering::Relaxed) > 1);
    task.abort();
}
