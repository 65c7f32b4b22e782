//! Streams that others write to their journals, as this process cannot.

use std::{
    mem,
    sync::Arc,
    time, //
};

use futures_util::future;

use laburnumcart::{
    event,
    origin::{
        homes,
        journal::{
            Entry,
            Source, //
        },
        records, //
    },
};

use crate::{
    clock,
    origins::Origins,
    view, //
};

/// Pauses in milliseconds between attempts to have others write streams.
const COPY_PAUSES: [u64; 5] = [50, 100, 200, 400, 800];

impl Origins {
    /// Keeps records that another process cannot write to its journal, and writes them here.
    pub(super) fn keep_copies(&self, begun: Vec<records::Begun>) {
        self.keep(begun.clone());
        for begun in &begun {
            self.journal(begun, Source::Peer);
        }
    }

    /// Has others write streams to their journals.
    pub(super) fn copy(&self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        let now_ms = clock::unix_ms();
        let begun = entries.into_iter().map(|e| e.into_begun(now_ms));
        view::lock(&self.uncopied).extend(begun);
        self.copies_due.notify_one();
    }

    /// Sends others what they are to write to their journals, until the process ends.
    pub async fn send_copies(self: Arc<Self>) {
        loop {
            self.copies_due.notified().await;
            let begun = mem::take(&mut *view::lock(&self.uncopied));
            if !begun.is_empty() {
                tokio::spawn(self.clone().send_copy(begun));
            }
        }
    }

    /// Sends streams to homes of the first one until one of them has confirmed it.
    async fn send_copy(self: Arc<Self>, begun: Vec<records::Begun>) {
        for pause in COPY_PAUSES {
            let homes = self.homes(begun[0].stream, homes::HOMES);
            let calls = homes
                .into_iter()
                .map(|home| self.clone().tell_all(home, begun.clone(), Some(true)));
            if future::join_all(calls).await.contains(&true) {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
        event!(Warn, "origin-copies-unsent", streams = begun.len());
    }
}
