//! Versions that the usage note of this process names, and what the notes of all instances say.

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time,
};

use tokio::sync::{
    Notify,
    oneshot,
    watch, //
};

use laburnumcart::{
    id,
    origin::{
        history::Version,
        usage, //
    },
};

use crate::view;

/// Entry and usage note of an instance, as far as the store holds them.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    /// Process that the entry names.
    pub entry: Option<id::Incarnation>,
    /// Usage note.
    pub note: Option<usage::Usage>,
}

/// Entries and usage notes of all instances; `None` if one of them cannot be read.
pub type Reading = Option<Arc<collections::BTreeMap<String, Instance>>>;

/// What the writer of usage notes shares with requests.
#[derive(Debug, Default)]
pub struct State {
    own: OnceLock<id::Incarnation>,
    /// Versions that the note is known to name; `None` before it was written.
    noted: watch::Sender<Option<usage::Used>>,
    urgent: Notify,
    waiting: Mutex<Vec<oneshot::Sender<Reading>>>,
    asked: Notify,
}

impl State {
    /// Has the process `own` begin streams at noted versions only, as far as it can choose.
    pub fn enable(&self, own: id::Incarnation) {
        // A second call has no effect: a process has one incarnation.
        let _ = self.own.set(own);
    }

    /// Returns the incarnation of this process, if it writes a note.
    pub fn own(&self) -> Option<id::Incarnation> {
        self.own.get().copied()
    }

    /// Sets the versions that the note names.
    pub fn set_noted(&self, noted: usage::Used) {
        self.noted.send_replace(Some(noted));
    }

    /// Returns whether the note is known to name exactly these versions.
    pub fn has_noted(&self, used: &usage::Used) -> bool {
        self.noted.borrow().as_ref() == Some(used)
    }

    /// Removes all versions but those that a note about to be written names too.
    pub fn keep_noted(&self, used: &usage::Used) {
        self.noted.send_if_modified(|noted| {
            let known = noted.as_ref().map(|noted| intersection(noted, used));
            let is_modified = *noted != known;
            *noted = known;
            is_modified
        });
    }

    /// Returns the versions of targets of a service that the note lacks.
    pub fn not_noted(
        &self,
        service: &id::ServiceName,
        targets: &[Arc<view::Target>],
    ) -> Vec<Version> {
        if self.own.get().is_none() {
            return Vec::new();
        }
        let noted = self.noted.borrow();
        let noted = noted.as_ref().and_then(|noted| noted.get(service));
        let mut missing: Vec<Version> = Vec::new();
        for target in targets {
            let version = &target.version;
            if noted.is_none_or(|n| !n.contains(version)) && !missing.contains(version) {
                missing.push(version.clone());
            }
        }
        missing
    }

    /// Has the note written at once, and waits up to `limit` for it to name more versions.
    pub async fn wait_for_note(&self, limit: time::Duration, is_noted: impl Fn() -> bool) {
        self.urgent.notify_one();
        let mut noted = self.noted.subscribe();
        // The sender is dropped only with this state.
        let _ = tokio::time::timeout(limit, noted.wait_for(|_| is_noted())).await;
    }

    /// Waits up to `limit` for the first note, if this process writes one.
    pub async fn wait_until_written(&self, limit: time::Duration) {
        if self.own.get().is_none() {
            return;
        }
        let mut noted = self.noted.subscribe();
        // An entry without a note means that any version may have been used.
        let _ = tokio::time::timeout(limit, noted.wait_for(Option::is_some)).await;
    }

    /// Waits until the note is to be written at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Reads the entries and notes of all instances; `None` after `limit`.
    pub async fn read(&self, limit: time::Duration) -> Reading {
        self.own.get()?;
        let (sender, receiver) = oneshot::channel();
        view::lock(&self.waiting).push(sender);
        self.asked.notify_one();
        tokio::time::timeout(limit, receiver).await.ok()?.ok()?
    }

    /// Waits for questions, which a read that starts afterwards answers.
    pub async fn questions(&self) -> Vec<oneshot::Sender<Reading>> {
        loop {
            let waiting = std::mem::take(&mut *view::lock(&self.waiting));
            let waiting: Vec<_> = waiting.into_iter().filter(|s| !s.is_closed()).collect();
            if !waiting.is_empty() {
                return waiting;
            }
            self.asked.notified().await;
        }
    }
}

/// Returns the versions that both name.
fn intersection(one: &usage::Used, other: &usage::Used) -> usage::Used {
    let common = one.iter().filter_map(|(service, versions)| {
        let others = other.get(service)?;
        let versions = versions.intersection(others).cloned().collect();
        Some((service.clone(), versions))
    });
    common.collect()
}
