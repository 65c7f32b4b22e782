//! Notes in the store of services whose targets have several software versions.
//!
//! A process that starts while no other is left has nobody to ask which versions were listed
//! before. It reads the notes: a service without one has had a single version, so that streams of
//! it can go on. Notes are written when a second version appears, not for each stream.

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

/// Interval at which the notes are compared with the versions, while there are any.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Delay of a note for each process that ranks before this one, so that few write at once.
const RANK_DELAY: time::Duration = time::Duration::from_millis(300);

/// Note of a service with several versions.
#[derive(Debug, Serialize, Deserialize)]
struct Note {
    versions: Vec<id::SoftwareVersion>,
}

/// Reads and writes notes.
pub(super) struct Notes<S> {
    pub(super) store: S,
    pub(super) layout: Arc<dyn dialect::StoreLayout>,
    pub(super) view: Arc<view::View>,
    pub(super) own: id::InstanceName,
}

impl<S: store::Store> Notes<S> {
    /// Reads the notes of earlier processes, then writes notes until the process ends.
    pub(super) async fn run(self) {
        let mut noted = self.read().await;
        let mut due: collections::HashMap<id::ServiceName, Instant> = collections::HashMap::new();
        let mut changes = self.view.subscribe();
        loop {
            let several = self.view.several_versions(clock::now());
            let is_current = |service: &id::ServiceName| {
                several.contains_key(service) == noted.contains(service)
            };
            let known = several.keys().chain(&noted);
            let wrong: Vec<_> = known.filter(|s| !is_current(s)).cloned().collect();
            due.retain(|service, _| wrong.contains(service));
            let now = Instant::now();
            for service in wrong {
                let at = *due
                    .entry(service.clone())
                    .or_insert_with(|| now + self.delay(&service));
                if at > now {
                    continue;
                }
                if self.correct(&service, several.get(&service)).await {
                    match several.contains_key(&service) {
                        true => noted.insert(service),
                        false => noted.remove(&service),
                    };
                } else {
                    due.insert(service, now + RETRY_PAUSE);
                }
            }
            match noted.is_empty() && due.is_empty() {
                // The sender is dropped only with the view.
                true => drop(changes.changed().await),
                false => tokio::time::sleep(CHECK_INTERVAL).await,
            }
        }
    }

    /// Reads the notes and returns the services that have one.
    async fn read(&self) -> collections::HashSet<id::ServiceName> {
        let listing = loop {
            match self.store.list(self.layout.versions_prefix()).await {
                Ok(listing) => break listing,
                Err(error) => event!(Warn, "version-notes-unread", error = error),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        let mut noted = collections::HashSet::new();
        let mut seen = Vec::new();
        for object in &listing.objects {
            let name = object.key.rsplit_once('/').map_or("", |(_, name)| name);
            let Ok(service) = name.parse::<id::ServiceName>() else {
                event!(Warn, "version-note-refused", key = object.key);
                continue;
            };
            let note: Result<Note, _> = serde_json::from_str(&object.value);
            if let Err(error) = &note {
                event!(
                    Warn,
                    "version-note-refused",
                    key = object.key,
                    error = error
                );
            }
            // Beside a version that is not known, no other is the only one.
            let versions = note.map_or(vec![None], |note| {
                note.versions.into_iter().map(Some).collect()
            });
            seen.extend(versions.into_iter().map(|version| history::Seen {
                service: service.clone(),
                version,
                age_ms: 0,
            }));
            noted.insert(service);
        }
        let coverage = history::Coverage::Complete;
        let summary = history::Summary { coverage, seen };
        self.view.merge_versions(&summary, clock::now());
        noted
    }

    /// Writes the note of a service with these versions, or removes it without; returns whether
    /// that was done, by this process or another one.
    async fn correct(
        &self,
        service: &id::ServiceName,
        versions: Option<&Vec<id::SoftwareVersion>>,
    ) -> bool {
        let key = format!("{}/{service}", self.layout.versions_prefix());
        let result = match versions {
            Some(versions) => {
                let note = Note {
                    versions: versions.clone(),
                };
                let value = serde_json::to_string(&note).expect("a note is valid JSON");
                let written = self.store.put(&key, store::Expect::Absent, &value).await;
                written.map(|_| ())
            }
            None => match self.store.get(&key).await {
                Ok(Some(object)) => self.store.delete(&key, object.version).await,
                Ok(None) => Ok(()),
                Err(error) => Err(error),
            },
        };
        match result {
            Ok(()) | Err(store::Failure::Conflict) => {
                let several = versions.is_some();
                event!(Info, "version-note", service = service, several = several);
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
        RANK_DELAY * rank.unwrap_or(members.len()) as u32
    }
}
