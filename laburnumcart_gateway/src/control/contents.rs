//! Notes in the store of contents that have crashed several targets.
//!
//! Gateways tell each other of crashes, but those that start once no other is left know of none:
//! such a content would crash as many targets again. They read the notes. A note is written once a
//! content is limited or refused, not for each crash of a target.

use std::{
    collections,
    sync::Arc,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::{
    event,
    id,
    rendezvous,
    unit, //
};
use laburnumcart_platform::store;

use crate::{
    clock,
    dialect,
    relay::signals, //
    view,
};

/// Pause before another call after a failed one.
const RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Interval at which the notes are compared with the contents, while there are any.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of processes that write notes, so that the end of one loses none.
const WRITERS: usize = 2;

/// Maximum number of notes; of more contents, those with the most crashes are noted.
const NOTES_MAX: usize = 64;

/// Note of a content.
#[derive(Debug, Serialize, Deserialize)]
struct Note {
    /// Time of day to which the ages refer, in milliseconds since 1970.
    written_ms: u64,
    /// Crashes of the content, with their ages at that time.
    crashes: Vec<signals::TargetSignal>,
}

/// Contents that may not run freely, with the ages of their crashes at one time.
struct Suspects {
    /// Time of day to which the ages refer, in milliseconds since 1970.
    taken_ms: u64,
    contents: Vec<(id::Fingerprint, Vec<signals::TargetSignal>)>,
}

impl Suspects {
    /// Takes those with the most crashes.
    fn take(signals: &signals::Signals) -> Self {
        // Writing takes as long as the store does, and the ages must not seem those of its end.
        let taken_ms = clock::unix_ms();
        let mut contents = signals.suspected();
        contents.sort_by_key(|(_, crashes)| std::cmp::Reverse(crashes.len()));
        contents.truncate(NOTES_MAX);
        Self { taken_ms, contents }
    }
}

impl Note {
    /// Returns the crashes with their present ages.
    ///
    /// Crashes that seemed younger than they are would end after later sends have begun, so that
    /// the next crashes would not follow them in sequence.
    fn into_crashes(self) -> Vec<signals::TargetSignal> {
        let elapsed = clock::unix_ms().saturating_sub(self.written_ms);
        let elapsed = time::Duration::from_millis(elapsed);
        let crashes = self.crashes.into_iter();
        let aged = crashes.map(|crash| signals::TargetSignal {
            age: unit::Period(crash.age.0 + elapsed),
            ..crash
        });
        aged.collect()
    }
}

/// Reads and writes notes.
pub(super) struct Notes<S> {
    pub(super) store: S,
    pub(super) layout: Arc<dyn dialect::StoreLayout>,
    pub(super) view: Arc<view::View>,
    pub(super) own: id::InstanceName,
    pub(super) signals: Arc<signals::Signals>,
}

impl<S: store::Store> Notes<S> {
    /// Reads the notes of earlier processes, then writes notes until the process ends.
    pub(super) async fn run(self) {
        let mut noted = self.read().await;
        let mut changes = self.signals.subscribe();
        loop {
            changes.mark_unchanged();
            let suspects = Suspects::take(&self.signals);
            if self.is_writer() {
                self.write_all(&suspects, &mut noted).await;
                self.remove_others(&suspects, &mut noted).await;
            }
            let pause = tokio::time::sleep(CHECK_INTERVAL);
            tokio::select! {
                biased;
                // The sender is dropped only with the signals.
                _ = changes.changed() => {}
                () = pause, if !noted.is_empty() || !suspects.contents.is_empty() => {}
            }
        }
    }

    /// Reads the notes and returns the number of crashes in each.
    async fn read(&self) -> collections::HashMap<id::Fingerprint, usize> {
        let prefix = self.layout.contents_prefix();
        let listing = loop {
            match self.store.list(prefix).await {
                Ok(listing) => break listing,
                Err(error) => event!(Warn, "content-notes-unread", error = error),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        let mut noted = collections::HashMap::new();
        for object in &listing.objects {
            let name = object.key.rsplit_once('/').map_or("", |(_, name)| name);
            let note: Result<Note, _> = serde_json::from_str(&object.value);
            match (name.parse(), note) {
                (Ok(content), Ok(note)) => {
                    noted.insert(content, note.crashes.len());
                    self.signals.merge(&note.into_crashes());
                }
                _ => event!(Warn, "content-note-refused", key = object.key),
            }
        }
        noted
    }

    /// Writes the notes of contents that have more crashes than theirs tells.
    async fn write_all(
        &self,
        suspects: &Suspects,
        noted: &mut collections::HashMap<id::Fingerprint, usize>,
    ) {
        for (content, crashes) in &suspects.contents {
            if noted.get(content) >= Some(&crashes.len()) {
                continue;
            }
            let note = Note {
                written_ms: suspects.taken_ms,
                crashes: crashes.clone(),
            };
            match self.write(*content, &note).await {
                Ok(()) => {
                    noted.insert(*content, crashes.len());
                    event!(
                        Info,
                        "content-noted",
                        content = content,
                        crashes = crashes.len()
                    );
                }
                Err(error) => self.log_failure(*content, &error),
            }
        }
    }

    async fn write(&self, content: id::Fingerprint, note: &Note) -> Result<(), store::Failure> {
        let key = self.key(content);
        let known = self.store.get(&key).await?;
        let expect = known.map_or(store::Expect::Absent, |object| {
            store::Expect::Version(object.version)
        });
        let value = serde_json::to_string(note).expect("a note is valid JSON");
        match self.store.put(&key, expect, &value).await {
            // The other writer knows the same crashes.
            Ok(_) | Err(store::Failure::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Removes the notes of contents that have been cleared, or whose crashes have expired.
    async fn remove_others(
        &self,
        suspects: &Suspects,
        noted: &mut collections::HashMap<id::Fingerprint, usize>,
    ) {
        let is_suspected =
            |content: &id::Fingerprint| suspects.contents.iter().any(|(c, _)| c == content);
        let cleared: Vec<_> = noted.keys().filter(|c| !is_suspected(c)).copied().collect();
        for content in cleared {
            match self.remove(content).await {
                Ok(()) | Err(store::Failure::Conflict) => {
                    noted.remove(&content);
                }
                Err(error) => self.log_failure(content, &error),
            }
        }
    }

    async fn remove(&self, content: id::Fingerprint) -> Result<(), store::Failure> {
        let key = self.key(content);
        match self.store.get(&key).await? {
            Some(object) => self.store.delete(&key, object.version).await,
            None => Ok(()),
        }
    }

    fn key(&self, content: id::Fingerprint) -> String {
        format!("{}/{content}", self.layout.contents_prefix())
    }

    fn log_failure(&self, content: id::Fingerprint, error: &store::Failure) {
        event!(
            Warn,
            "content-note-failed",
            content = content,
            error = error
        );
    }

    /// Reports whether this process is among those that write notes.
    fn is_writer(&self) -> bool {
        let members = self.view.members.load();
        let mut members: Vec<_> = members.iter().collect();
        rendezvous::rank(&mut members, "contents", |m| rendezvous::Candidate {
            name: &m.instance,
            cores: m.cores,
        });
        let writers = members.iter().take(WRITERS);
        writers.into_iter().any(|m| m.instance == self.own)
    }
}
