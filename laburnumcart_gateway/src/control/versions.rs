//! Notes in the store of the software versions of each service.
//!
//! A process that starts while no other is left has nobody to ask which versions were listed
//! before. It reads the notes, which name every version at which streams may have begun: a version
//! is noted as soon as it is listed, and its targets get new streams once that is done, if others
//! take them. Without a note a process cannot tell whether the only version that it finds is the
//! one that began a stream. Notes are written when a version appears or has gone, not for streams.

use std::{
    collections,
    sync::Arc,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    origin::history,
    rendezvous, //
};
use laburnumcart_platform::store;

use crate::{
    clock,
    dialect,
    view, //
};

/// Pause before another call after a failed one.
const RETRY_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Interval at which the notes are compared with the listed versions while they differ.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Interval of that comparison otherwise, after which a version that has gone is noticed.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Delay of a note for each process that ranks before this one, so that few write at once.
const RANK_DELAY: time::Duration = time::Duration::from_millis(300);

/// Longest such delay; others have mostly told this process by then.
const DELAY_MAX: time::Duration = time::Duration::from_secs(3);

/// Note of a service.
#[derive(Debug, Serialize, Deserialize)]
struct Note {
    /// Versions, `null` for targets whose entries state none.
    versions: Vec<history::Version>,
}

/// Reads and writes notes.
pub(super) struct Notes<S> {
    pub(super) store: S,
    pub(super) layout: Arc<dyn dialect::StoreLayout>,
    pub(super) view: Arc<view::View>,
    pub(super) own: id::InstanceName,
}

impl<S: store::Store> Notes<S> {
    /// Reads the notes of earlier processes, then corrects them until the process ends.
    pub(super) async fn run(self) {
        self.read().await;
        let mut due: collections::HashMap<id::ServiceName, Instant> = collections::HashMap::new();
        let mut changes = self.view.subscribe();
        loop {
            if self.view.has_version_gap() {
                self.read().await;
            }
            let corrections = self.view.note_corrections(clock::now());
            due.retain(|service, _| corrections.iter().any(|c| c.service == *service));
            let now = Instant::now();
            for correction in corrections {
                let at = *due
                    .entry(correction.service.clone())
                    .or_insert_with(|| now + self.delay(&correction.service));
                if at <= now && !self.correct(&correction).await {
                    due.insert(correction.service, now + RETRY_PAUSE);
                }
            }
            match due.is_empty() {
                // The sender is dropped only with the view.
                true => drop(tokio::time::timeout(IDLE_INTERVAL, changes.changed()).await),
                false => tokio::time::sleep(CHECK_INTERVAL).await,
            }
        }
    }

    /// Reads all notes.
    async fn read(&self) {
        let (listing, sent) = loop {
            let sent = clock::now();
            match self.store.list(self.layout.versions_prefix()).await {
                Ok(listing) => break (listing, sent),
                Err(error) => event!(Warn, "version-notes-unread", error = error),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        for object in &listing.objects {
            let name = object.key.rsplit_once('/').map_or("", |(_, name)| name);
            let Ok(service) = name.parse::<id::ServiceName>() else {
                event!(Warn, "version-note-refused", key = object.key);
                continue;
            };
            let versions = parse(object).unwrap_or(vec![None]);
            self.view.add_noted(&service, &versions, clock::now());
        }
        self.view.record_notes_read(sent);
    }

    /// Corrects the note of a service; returns whether it names the right versions now.
    async fn correct(&self, correction: &history::Correction) -> bool {
        let service = &correction.service;
        match self.replace(correction).await {
            Ok(versions) => {
                let labels = versions.iter().map(|v| id::version_label(v.as_ref()));
                let labels: Vec<_> = labels.collect();
                let labels = labels.join(",");
                event!(Info, "version-note", service = service, versions = labels);
                self.view.add_noted(service, &versions, clock::now());
                self.view.remove_noted(service, &correction.gone);
                true
            }
            Err(error) => {
                event!(
                    Warn,
                    "version-note-failed",
                    service = service,
                    error = error
                );
                false
            }
        }
    }

    /// Reads the note of a service, replaces it if that is needed, and returns its versions.
    ///
    /// Another process may have written it since; what that one has added stays.
    async fn replace(
        &self,
        correction: &history::Correction,
    ) -> Result<Vec<history::Version>, store::Failure> {
        let key = format!("{}/{}", self.layout.versions_prefix(), correction.service);
        let found = self.store.get(&key).await?;
        let known = found
            .as_ref()
            .map(|object| parse(object).unwrap_or(vec![None]));
        let kept = known
            .iter()
            .flatten()
            .filter(|v| !correction.gone.contains(v));
        let mut versions: Vec<_> = kept.cloned().collect();
        let missing = correction.missing.iter().filter(|v| !versions.contains(v));
        let missing: Vec<_> = missing.cloned().collect();
        versions.extend(missing);
        if known.as_ref() == Some(&versions) {
            return Ok(versions);
        }
        let expect = found.map_or(store::Expect::Absent, |o| store::Expect::Version(o.version));
        let note = Note {
            versions: versions.clone(),
        };
        let value = serde_json::to_string(&note).expect("a note is valid JSON");
        self.store.put(&key, expect, &value).await?;
        Ok(versions)
    }

    /// Returns how long this process waits for others to write the note of a service.
    fn delay(&self, service: &id::ServiceName) -> time::Duration {
        let members = self.view.members.load();
        let mut members: Vec<_> = members.iter().collect();
        rendezvous::rank(&mut members, &format!("versions {service}"), |m| {
            rendezvous::Candidate {
                name: &m.instance,
                cores: m.cores,
            }
        });
        let rank = members.iter().position(|m| m.instance == self.own);
        (RANK_DELAY * rank.unwrap_or(members.len()) as u32).min(DELAY_MAX)
    }
}

/// Parses a note; beside a version that is not known, no other is the only one.
fn parse(object: &store::Object) -> Option<Vec<history::Version>> {
    let note: Result<Note, _> = serde_json::from_str(&object.value);
    if let Err(error) = &note {
        event!(
            Warn,
            "version-note-refused",
            key = object.key,
            error = error
        );
    }
    Some(note.ok()?.versions)
}
