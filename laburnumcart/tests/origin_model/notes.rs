//! Usage notes and journals that gateways of the model write and read.

use std::collections;

use laburnumcart::{
    id,
    origin::{
        history::Known,
        journal::{
            Entry,
            Journal,
            Source, //
        },
        usage::{
            Instance,
            Possible,
            Usage, //
        },
    },
};
use rand::Rng;

use crate::{
    gateway::{
        Target,
        boot,
        service,
        version, //
    },
    model::Model,
    store::{
        Fate,
        Key,
        Value, //
    },
};

/// Time after which a process registers although its note is not written.
const REGISTER_WAIT: u64 = 1000;

/// Time for which new streams wait for the note of their version.
const NOTE_WAIT: u64 = 250;

/// Pause after a write that failed.
const RETRY_PAUSE: u64 = 300;

/// Largest fleet of which all members are asked.
const ASKED_ALL: usize = 32;

/// What one process has written.
#[derive(Default)]
pub(crate) struct Writer {
    pub(crate) incarnation: Option<id::Incarnation>,
    started: u64,
    usage: Option<Usage>,
    /// Versions that the note is known to name.
    noted: collections::BTreeSet<id::SoftwareVersion>,
    missing_since: Option<u64>,
    usage_due: u64,
    journal: Journal,
    journal_due: u64,
    has_journal: bool,
    pub(crate) unjournaled: Vec<id::Fingerprint>,
    /// Streams whose record was read from a journal.
    pub(crate) read: collections::HashSet<id::Fingerprint>,
}

impl Model {
    /// Lets gateways write what outlives them.
    pub(crate) fn write_objects(&mut self) {
        self.store.settle(self.now);
        for i in 0..self.joined {
            if !self.gateways[i].runs(self.now) {
                continue;
            }
            if self.gateways[i].writer.incarnation.is_none() {
                self.started_processes += 1;
                self.gateways[i].writer.incarnation =
                    Some(id::Incarnation(self.started_processes.into()));
                self.gateways[i].writer.started = self.now;
            }
            if self.reads_store(i) {
                self.write_usage(i);
                self.write_journal(i);
            }
        }
    }

    pub(crate) fn reads_store(&self, i: usize) -> bool {
        let gateway = &self.gateways[i];
        let is_up = self.store_until <= self.now && gateway.refused_until <= self.now;
        is_up && gateway.reaches_peers(self.now)
    }

    fn write_usage(&mut self, i: usize) {
        let (now, fate) = (self.now, self.fate());
        let writer = &mut self.gateways[i].writer;
        let Some(own) = writer.incarnation else {
            return;
        };
        let entry = self.store.entries.get(&i).copied();
        let found = self.store.usage(i);
        let usage = writer.usage.clone();
        let is_new = usage.is_none();
        let mut usage = usage.unwrap_or_else(|| Usage::after(own, entry, found));
        let mut is_needed = is_new;
        let listed = self.gateways[i].listed.iter().filter(|t| t.is_used());
        for target in listed {
            is_needed |= usage.add(&service(), Some(version(target.version)));
        }
        let writer = &mut self.gateways[i].writer;
        let names =
            |v: &Option<id::SoftwareVersion>| v.as_ref().is_some_and(|v| writer.noted.contains(v));
        is_needed |= !usage.current.values().flatten().all(names);
        if is_needed && writer.usage_due <= now {
            let key = Key::Usage(i);
            let expect = self.store.version(key);
            let value = Value::Usage(usage.clone());
            match self.store.put(key, expect, value, fate) {
                Some(_) => {
                    writer.noted = usage
                        .current
                        .values()
                        .flatten()
                        .flatten()
                        .cloned()
                        .collect();
                    writer.usage = Some(usage);
                }
                None => writer.usage_due = now + RETRY_PAUSE,
            }
        }
        if writer.usage.is_some() || writer.started + REGISTER_WAIT <= now {
            self.store.entries.insert(i, own);
            self.store.entered.insert(own);
        }
    }

    fn write_journal(&mut self, i: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[i];
        if !gateway.writer.has_journal {
            gateway.writer.has_journal = true;
            for (owner, number, entries) in self.store.segments() {
                if owner == i {
                    gateway.writer.journal.restore(number, boot(now));
                }
                for entry in entries {
                    if gateway.records.find(entry.stream, boot(now)).is_none() {
                        gateway.writer.read.insert(entry.stream);
                    }
                    let begun = entry.clone().into_begun(now);
                    gateway.records.insert(begun, boot(now));
                }
            }
        }
        if gateway.history.known(&service(), boot(now)) == Known::Several {
            let streams = std::mem::take(&mut gateway.writer.unjournaled);
            let begun = streams
                .into_iter()
                .filter_map(|s| gateway.records.find(s, boot(now)));
            let entries: Vec<_> = begun.filter_map(|b| Entry::new(&b, now)).collect();
            for entry in entries {
                let journal = &mut gateway.writer.journal;
                journal.append(entry, Source::Own, boot(now));
            }
        }
        if gateway.writer.journal_due > now {
            return;
        }
        let interval = (self.joined as u64 * 10).max(50);
        while let Some(write) = self.gateways[i].writer.journal.start_write(boot(now)) {
            let fate = self.fate();
            let writer = &mut self.gateways[i].writer;
            writer.journal_due = now + interval;
            let key = Key::Segment(i, write.number);
            let expect = self.store.version(key);
            let count = write.entries.len();
            let value = Value::Segment(write.entries);
            if self.store.put(key, expect, value, fate).is_none() {
                writer.journal.finish_write(write.number, 0);
                break;
            }
            writer.journal.finish_write(write.number, count);
        }
    }

    /// Draws what becomes of a write.
    fn fate(&mut self) -> Fate {
        let Some(knobs) = &self.knobs else {
            return Fate::Done;
        };
        if !self.search.random_bool(knobs.failed_writes) {
            return Fate::Done;
        }
        match self.search.random_range(0..3) {
            0 => Fate::Refused,
            1 => Fate::Unanswered,
            _ => Fate::Late(self.now + self.search.random_range(50..4000)),
        }
    }

    /// Leaves the targets at which a gateway may begin a stream: those of noted versions, or any
    /// after a wait.
    pub(crate) fn retain_noted(&mut self, i: usize, live: &mut Vec<Target>) {
        let now = self.now;
        let writer = &mut self.gateways[i].writer;
        let is_noted = |t: &Target| writer.noted.contains(&version(t.version));
        if live.iter().any(is_noted) {
            live.retain(is_noted);
            writer.missing_since = None;
        } else if now < *writer.missing_since.get_or_insert(now) + NOTE_WAIT {
            live.clear();
        }
    }

    /// Returns whether the note of a gateway names a version.
    pub(crate) fn has_noted(&self, i: usize, number: usize) -> bool {
        self.gateways[i].writer.noted.contains(&version(number))
    }

    /// Returns the gateways that one asks for a stream, itself excluded.
    pub(crate) fn asked(&self, i: usize, ranked: Vec<usize>) -> Vec<usize> {
        let all = match self.has_usage && self.joined <= ASKED_ALL {
            true => (0..self.joined).collect(),
            false => ranked,
        };
        all.into_iter().filter(|peer| *peer != i).collect()
    }

    /// Returns the versions that are possible by the notes, if the store can be read.
    pub(crate) fn possible(&self, i: usize, answered: &[usize]) -> Possible {
        if !self.has_usage || !self.reads_store(i) {
            return Possible::Any;
        }
        let instances = (0..self.gateways.len()).map(|peer| {
            let has_answered = peer == i || answered.contains(&peer);
            let incarnation = self.gateways[peer].writer.incarnation;
            Instance {
                entry: self.store.entries.get(&peer).copied(),
                note: self.store.usage(peer),
                answered: incarnation.filter(|_| has_answered),
            }
        });
        Possible::of(instances, &[service()])
    }

    /// Returns what a stream's version follows from: what living gateways or the store hold.
    pub(crate) fn follows(
        &self,
        i: usize,
        stream: id::Fingerprint,
        number: usize,
    ) -> Option<&'static str> {
        let now = boot(self.now);
        let lives = |peer: usize| {
            peer == i
                || self.gateways[i].reaches_peers(self.now)
                    && self.gateways[peer].reaches_peers(self.now)
        };
        let mut living = (0..self.joined).filter(|peer| lives(*peer));
        if living.any(|peer| self.gateways[peer].records.find(stream, now).is_some()) {
            return Some("record");
        }
        let mut journals = self.store.segments().flat_map(|(_, _, entries)| entries);
        if journals.any(|entry| entry.stream == stream) {
            return Some("journal");
        }
        let answers: Vec<_> = (0..self.joined)
            .filter(|peer| lives(*peer))
            .filter_map(|peer| self.gateways[peer].writer.incarnation)
            .collect();
        let mut unwritten = self
            .store
            .entered
            .iter()
            .filter(|own| !self.store.stored.contains_key(own));
        if unwritten.any(|own| !answers.contains(own)) {
            return None;
        }
        let notes = self.store.stored.values();
        let ended = notes.filter(|note| !answers.contains(&note.incarnation));
        let versions: collections::BTreeSet<_> = ended
            .flat_map(|note| note.current.values().flatten())
            .collect();
        let is_only = versions.len() == 1 && versions.contains(&Some(version(number)));
        is_only.then_some("notes")
    }
}
