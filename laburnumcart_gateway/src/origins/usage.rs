//! Usage notes in the store ([`laburnumcart::origin::usage`]).

use std::{
    collections, future,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use serde::Deserialize;
use tokio::time::Instant;

use laburnumcart::{
    event, freshness, id,
    origin::{
        history::Version,
        records,
        usage::{
            Usage,
            Used, //
        }, //
    },
    rendezvous,
};
use laburnumcart_platform::store;

use crate::{
    clock, dialect,
    view::{
        self,
        usage, //
    },
};

/// Pause before another call after a failed one.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause, to which it doubles while calls fail.
const RETRY_MAX: time::Duration = time::Duration::from_millis(1600);

/// Interval at which a version that has gone is noticed.
const IDLE_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Rate of writes of all processes together, and that of their reads, as a share of the writes that
/// the store bears.
const CALL_SHARE: f64 = 0.25;

/// Shortest interval between two reads of all notes.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Part of a process's entry that tells its runs apart.
#[derive(Deserialize)]
struct Entry {
    incarnation: id::Incarnation,
}

/// Writes the usage note of the process `own` until it ends, and reads all notes for its requests.
///
/// From the call on, streams avoid versions that the note lacks.
pub fn run<S: store::Store>(
    view: Arc<view::View>,
    store: S,
    layout: Arc<dyn dialect::StoreLayout>,
    own: &view::Member,
    store_writes: f64,
) -> impl future::Future<Output = ()> + use<S> {
    view.usage.enable(own.incarnation);
    let notes = Notes {
        view,
        store,
        layout,
        instance: own.instance.clone(),
        incarnation: own.incarnation,
        store_writes,
        refused: Mutex::default(),
    };
    async move {
        tokio::join!(notes.write(), notes.answer());
    }
}

struct Notes<S> {
    view: Arc<view::View>,
    store: S,
    layout: Arc<dyn dialect::StoreLayout>,
    instance: id::InstanceName,
    incarnation: id::Incarnation,
    /// Writes a second that the store bears.
    store_writes: f64,
    /// Versions of objects that cannot be read.
    refused: Mutex<collections::HashMap<String, store::Version>>,
}

/// The note of this process, as known to be stored.
struct Stored {
    usage: Usage,
    version: Option<store::Version>,
    /// From when on no earlier process of the instance has run.
    since: freshness::BootTime,
}

impl<S: store::Store> Notes<S> {
    async fn write(&self) {
        let mut stored = self.begin().await;
        let mut absent = collections::HashMap::new();
        let mut due = None;
        let mut pause = RETRY_PAUSE;
        let mut changes = self.view.subscribe();
        loop {
            let wanted = self.wanted(&stored, &mut absent, clock::now());
            let usage = &self.view.usage;
            if wanted == stored.usage && usage.has_noted(&wanted.current) {
                due = None;
                // The sender is dropped only with the view.
                let _ = tokio::time::timeout(IDLE_INTERVAL, changes.changed()).await;
                continue;
            }
            let now = Instant::now();
            let at = *due.get_or_insert_with(|| now + self.delay(&stored));
            if at > now {
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = usage.urgent() => due = Some(now),
                }
                continue;
            }
            due = None;
            match self.replace(&mut stored, wanted).await {
                Ok(()) => pause = RETRY_PAUSE,
                Err(error) => {
                    event!(Warn, "usage-note-unwritten", error = error);
                    tokio::time::sleep(pause).await;
                    pause = RETRY_MAX.min(pause * 2);
                    self.settle(&mut stored).await;
                }
            }
        }
    }

    /// Writes the first note, from what earlier processes of the instance left behind.
    async fn begin(&self) -> Stored {
        let since = clock::now();
        let mut pause = RETRY_PAUSE;
        loop {
            match self.write_first(since).await {
                Ok(stored) => return stored,
                Err(error) => event!(Warn, "usage-note-unwritten", error = error),
            }
            tokio::time::sleep(pause).await;
            pause = RETRY_MAX.min(pause * 2);
        }
    }

    async fn write_first(&self, since: freshness::BootTime) -> Result<Stored, store::Failure> {
        let key = format!("{}/{}", self.layout.members_prefix(), self.instance);
        let entry = self.store.get(&key).await?;
        let found = self.store.get(&self.key()).await?;
        let entry = entry.map(|object| self.parse::<Entry>(&object).map(|entry| entry.incarnation));
        let note = found.as_ref().map(|object| self.parse::<Usage>(object));
        let version = found.as_ref().map(|object| object.version);
        let usage = match (&entry, &note) {
            // What cannot be read may have named any version.
            (Some(None), _) | (_, Some(None)) => Usage {
                incarnation: self.incarnation,
                replaces: entry.flatten(),
                earlier: None,
                current: Used::new(),
            },
            (entry, note) => {
                let note = note.as_ref().and_then(Option::as_ref);
                match note.filter(|note| note.incarnation == self.incarnation) {
                    // The answer of an earlier write was lost.
                    Some(own) => own.clone(),
                    None => Usage::after(self.incarnation, entry.flatten(), note),
                }
            }
        };
        let mut wanted = usage.clone();
        for (service, version) in self.listed() {
            wanted.add(&service, version);
        }
        let mut stored = Stored {
            usage,
            version,
            since,
        };
        self.replace(&mut stored, wanted).await?;
        Ok(stored)
    }

    /// Writes the note if it is as last stored.
    async fn replace(&self, stored: &mut Stored, wanted: Usage) -> Result<(), store::Failure> {
        // Whether a failed write has taken effect is not known.
        self.view.usage.keep_noted(&wanted.current);
        let expect = stored
            .version
            .map_or(store::Expect::Absent, store::Expect::Version);
        let value = serde_json::to_string(&wanted).expect("a usage note is valid JSON");
        let version = self.store.put(&self.key(), expect, &value).await?;
        event!(
            Info,
            "usage-note",
            earlier = wanted.earlier.as_ref().map_or("any".to_owned(), label),
            current = label(&wanted.current)
        );
        self.view.usage.set_noted(wanted.current.clone());
        stored.usage = wanted;
        stored.version = Some(version);
        Ok(())
    }

    /// Finds out what the store holds after a failed write.
    async fn settle(&self, stored: &mut Stored) {
        let found = match self.store.get(&self.key()).await {
            Ok(found) => found,
            Err(error) => {
                event!(Warn, "usage-note-unread", error = error);
                return;
            }
        };
        stored.version = found.as_ref().map(|object| object.version);
        let note = found
            .as_ref()
            .and_then(|object| self.parse::<Usage>(object));
        if let Some(own) = note.filter(|note| note.incarnation == self.incarnation) {
            stored.usage = own;
            return;
        }
        event!(Warn, "usage-note-replaced", key = self.key());
        self.view.usage.keep_noted(&Used::new());
        stored.since = clock::now();
        stored.usage.earlier = None;
        stored.usage.current = Used::new();
    }

    /// Returns the note that this process needs now.
    fn wanted(
        &self,
        stored: &Stored,
        absent: &mut collections::HashMap<(id::ServiceName, Version), freshness::BootTime>,
        now: freshness::BootTime,
    ) -> Usage {
        let mut wanted = stored.usage.clone();
        if now.since(stored.since) >= records::RETENTION {
            wanted.earlier = Some(Used::new());
        }
        let listed = self.listed();
        absent.retain(|used, _| !listed.contains(used));
        for (service, versions) in &mut wanted.current {
            versions.retain(|version| {
                let used = (service.clone(), version.clone());
                if listed.contains(&used) {
                    return true;
                }
                let since = *absent.entry(used).or_insert(now);
                now.since(since) < records::RETENTION
            });
        }
        wanted.current.retain(|_, versions| !versions.is_empty());
        for (service, version) in listed {
            wanted.add(&service, version);
        }
        wanted
    }

    /// Returns the versions at which streams may begin.
    fn listed(&self) -> collections::BTreeSet<(id::ServiceName, Version)> {
        let targets = self.view.targets.load();
        let listed = targets
            .all()
            .map(|t| (t.service.clone(), t.version.clone()));
        listed.collect()
    }

    /// Returns how long this process waits, so that few write at once.
    fn delay(&self, stored: &Stored) -> time::Duration {
        if stored.usage.current.is_empty() {
            return time::Duration::ZERO;
        }
        let members = self.view.members.load();
        let mut members: Vec<_> = members.iter().collect();
        rendezvous::rank(&mut members, "usage", |m| rendezvous::Candidate {
            name: &m.instance,
            cores: m.cores,
        });
        let rank = members.iter().position(|m| m.instance == self.instance);
        self.spread(rank.unwrap_or(members.len()))
    }

    /// Returns the time in which this many processes may make one call each.
    fn spread(&self, processes: usize) -> time::Duration {
        let max_rate = self.store_writes * CALL_SHARE;
        time::Duration::from_secs_f64(processes as f64 / max_rate)
    }

    /// Answers questions for what all instances may have used.
    async fn answer(&self) {
        loop {
            let questions = self.view.usage.questions().await;
            let reading = self.read().await;
            for question in questions {
                // A request that has ended waits no more.
                let _ = question.send(reading.clone());
            }
            let members = self.view.members.load().len();
            tokio::time::sleep(self.spread(members).max(READ_INTERVAL)).await;
        }
    }

    /// Reads the entries, then the notes: a process writes its note first.
    async fn read(&self) -> usage::Reading {
        let mut instances: collections::BTreeMap<String, usage::Instance> = Default::default();
        for object in self.list(self.layout.members_prefix()).await? {
            let instance = instances.entry(name(&object)).or_default();
            instance.entry = Some(self.parse::<Entry>(&object)?.incarnation);
        }
        for object in self.list(self.layout.usage_prefix()).await? {
            let instance = instances.entry(name(&object)).or_default();
            instance.note = Some(self.parse::<Usage>(&object)?);
        }
        Some(Arc::new(instances))
    }

    async fn list(&self, prefix: &str) -> Option<Vec<store::Object>> {
        match self.store.list(prefix).await {
            Ok(listing) => Some(listing.objects),
            Err(error) => {
                event!(Warn, "usage-notes-unread", prefix = prefix, error = error);
                None
            }
        }
    }

    /// Parses an object, and logs once why it cannot be read.
    fn parse<T: for<'de> Deserialize<'de>>(&self, object: &store::Object) -> Option<T> {
        let parsed = serde_json::from_str(&object.value);
        if let Err(error) = &parsed {
            let mut refused = view::lock(&self.refused);
            let known = refused.insert(object.key.clone(), object.version);
            if known != Some(object.version) {
                event!(Warn, "usage-note-refused", key = object.key, error = error);
            }
        }
        parsed.ok()
    }

    fn key(&self) -> String {
        format!("{}/{}", self.layout.usage_prefix(), self.instance)
    }
}

/// Returns the instance that an object belongs to.
fn name(object: &store::Object) -> String {
    let name = object.key.rsplit_once('/').map_or("", |(_, name)| name);
    name.to_owned()
}

/// Returns versions as text for the log.
fn label(used: &Used) -> String {
    let services = used.iter().map(|(service, versions)| {
        let versions = versions.iter().map(|v| id::version_label(v.as_ref()));
        format!("{service}:{}", versions.collect::<Vec<_>>().join("+"))
    });
    services.collect::<Vec<_>>().join(",")
}
