//! A connection to the store that counts calls and can be cut.

use std::{
    sync::{
        Arc,
        atomic, //
    },
    time,
};

use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};

/// A process's connection to the store, which counts calls and can be cut.
#[derive(Clone)]
pub(super) struct Connection {
    pub(super) memory: memory::Memory,
    pub(super) calls: Arc<atomic::AtomicUsize>,
    /// Calls of `get` and `put`.
    pub(super) object_calls: Arc<atomic::AtomicUsize>,
    pub(super) cut: Arc<atomic::AtomicBool>,
}

impl Connection {
    /// Counts a call, and fails if the connection is cut.
    fn count_call(&self) -> Result<(), store::Failure> {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        match self.cut.load(atomic::Ordering::Relaxed) {
            true => Err(store::Failure::Unavailable { retry: None }),
            false => Ok(()),
        }
    }
}

impl Store for Connection {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.object_calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.count_call()?;
        self.memory.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.object_calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.count_call()?;
        self.memory.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.count_call()?;
        self.memory.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.count_call()?;
        self.memory.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.count_call()?;
        let changes = self.memory.watch(prefix, after, wait).await;
        // A watch whose connection is cut meanwhile fails.
        match self.cut.load(atomic::Ordering::Relaxed) {
            true => Err(store::Failure::Unanswered),
            false => changes,
        }
    }
}
