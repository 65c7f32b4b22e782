//! Store client that reads watched topics through the readers, or from the store as a reader.

use std::{
    sync::Arc,
    time, //
};

use futures_util::future;

use laburnumcart_platform::store;

use crate::{
    control,
    dialect,
    relay::{
        Peers,
        cache,
        fetch, //
    },
    view, //
};

/// Minimum time between two reports of signals, so that a burst from many targets is one report.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Pause between attempts to get target signals after the start.
const SYNC_RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Store client that asks readers for watched topics and passes all other calls to the store.
pub struct RelayedStore<S, P>(Arc<fetch::Shared<S, P>>);

impl<S, P> Clone for RelayedStore<S, P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S: store::Store, P: Peers> RelayedStore<S, P> {
    /// Creates the store client of the process `own`.
    pub fn new(
        sources: control::Sources<S, P>,
        own: view::Member,
        view: Arc<view::View>,
        layout: Arc<dyn dialect::StoreLayout>,
        cache: Arc<cache::Cache>,
    ) -> Self {
        Self(Arc::new(fetch::Shared::new(
            sources, own, view, layout, cache,
        )))
    }

    /// Gets target signals from peers at the start, retrying until one answers.
    ///
    /// A process that reads the store itself asks its peers for nothing else.
    pub async fn sync_target_signals(&self) {
        let mut changes = self.0.view.subscribe();
        while !self.0.pull_signals().await {
            // At the first attempt the members are not known yet. One that knows which contents crash
            // targets may be about to stop.
            tokio::select! {
                biased;
                _ = changes.changed() => {}
                () = tokio::time::sleep(SYNC_RETRY_PAUSE) => {}
            }
        }
    }

    /// Reports target signals received by this process to the readers, until the process ends.
    pub async fn publish_target_signals(&self) {
        let mut version = self.0.cache.signals.subscribe();
        let mut reported = version.borrow().local;
        loop {
            // The sender is dropped only with these signals.
            if let Ok(version) = version.wait_for(|version| version.local > reported).await {
                reported = version.local;
            }
            let signals = self.0.cache.signals.recent();
            let completed = self.0.cache.signals.recent_completions();
            let candidates = self.0.candidates();
            let reports = candidates.readers.iter().map(|reader| {
                let (signals, completed) = (signals.clone(), completed.clone());
                self.0.peers.report(reader, signals, completed)
            });
            future::join_all(reports).await;
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }
}

impl<S: store::Store, P: Peers> store::Store for RelayedStore<S, P> {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.0.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.0.store.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.0.store.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        let Some(topic) = self.0.topic(prefix) else {
            return self.0.store.list(prefix).await;
        };
        match self.0.read(topic, None, time::Duration::ZERO).await? {
            fetch::Data::Listing(listing) => Ok(listing),
            // No source answers a request for all objects by changes.
            fetch::Data::Changes(_) => Err(store::Failure::Invalid),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        let Some(topic) = self.0.topic(prefix) else {
            return self.0.store.watch(prefix, after, wait).await;
        };
        match self.0.read(topic, Some(after), wait).await? {
            fetch::Data::Changes(changes) => Ok(changes),
            fetch::Data::Listing(_) => Err(store::Failure::Invalid),
        }
    }
}
