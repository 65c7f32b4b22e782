//! Segments in which the origins of streams in flight outlive all processes.
//!
//! While a service has several software versions, a stream without a record goes on nowhere. The
//! records are in memory, and are lost if all processes are killed at once. So each process writes
//! the origins of its streams that are still in flight, many in one write, to segments of its own.
//! A segment is rewritten while it grows, and its number is used again once all of its streams have
//! ended. What a process cannot write in time, others write as well.

use std::{
    collections,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    freshness,
    id,
    origin::{
        Origin,
        records, //
    },
    unit, //
};

/// Time for which a segment grows; a longer one would be rewritten with ever more streams.
const GROWTH: time::Duration = time::Duration::from_secs(2);

/// Largest number of streams in a segment, about 100 bytes each.
const STREAMS_MAX: usize = 512;

/// Time after which a write is late, some times that of one by a store in order; streams that begin
/// meanwhile are written to another segment.
const LATE: time::Duration = time::Duration::from_millis(50);

/// Stream in flight.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Digest that names the stream.
    pub stream: id::Fingerprint,
    /// Service of its first target.
    pub service: id::ServiceName,
    /// Version of that target's software.
    pub version: id::SoftwareVersion,
    /// Time of day of the first event, in milliseconds since 1970.
    pub begun_ms: u64,
}

impl Entry {
    /// Converts a record; `None` if the version is not stated.
    pub fn new(begun: &records::Begun, now_ms: u64) -> Option<Self> {
        let age = u64::try_from(begun.age.0.as_millis()).unwrap_or(u64::MAX);
        Some(Self {
            stream: begun.stream,
            service: begun.origin.service.clone(),
            version: begun.origin.version.clone()?,
            begun_ms: now_ms.saturating_sub(age),
        })
    }

    /// Returns whether no caller can take the stream up any more.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let age = now_ms.saturating_sub(self.begun_ms);
        time::Duration::from_millis(age) >= records::RETENTION
    }

    /// Converts the entry to a record.
    pub fn into_begun(self, now_ms: u64) -> records::Begun {
        let age = time::Duration::from_millis(now_ms.saturating_sub(self.begun_ms));
        records::Begun {
            stream: self.stream,
            origin: Origin {
                service: self.service,
                version: Some(self.version),
                target: None,
            },
            age: unit::Period(age),
        }
    }
}

/// Who journals a stream first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This process.
    Own,
    /// Another one, which could not write it.
    Peer,
}

/// Entry of a segment.
#[derive(Clone, Debug)]
struct Slot {
    entry: Entry,
    /// Whether others need not write it.
    is_copied: bool,
}

/// One object of the journal.
#[derive(Clone, Debug, Default)]
struct Segment {
    /// Number, which is a part of its name.
    number: u32,
    /// Streams that began while it grew.
    slots: Vec<Slot>,
    /// Number of them that are written.
    written: usize,
    /// Start of the write that is not answered yet.
    writing: Option<freshness::BootTime>,
    /// Whether it belongs to this process.
    is_own: bool,
    opened: freshness::BootTime,
    /// When the last entry was added.
    changed: freshness::BootTime,
}

impl Segment {
    fn is_expired(&self, now: freshness::BootTime) -> bool {
        self.writing.is_none() && now.since(self.changed) >= records::RETENTION
    }

    fn grows(&self, now: freshness::BootTime) -> bool {
        self.is_own
            && now.since(self.opened) < GROWTH
            && self.slots.len() < STREAMS_MAX
            && !self.is_late(now)
    }

    fn is_unwritten(&self, now: freshness::BootTime) -> bool {
        self.slots.len() > self.written && !self.is_expired(now)
    }

    fn is_late(&self, now: freshness::BootTime) -> bool {
        self.writing.is_some_and(|at| now.since(at) >= LATE)
    }
}

/// Contents of a segment that is to be written.
#[derive(Clone, Debug)]
pub struct Write {
    /// Number of the segment.
    pub number: u32,
    /// All of its streams.
    pub entries: Vec<Entry>,
}

/// Segments of one process.
#[derive(Debug, Default)]
pub struct Journal {
    segments: Vec<Segment>,
    /// Streams that the segments hold.
    streams: collections::HashSet<id::Fingerprint>,
}

impl Journal {
    /// Adds a segment of an earlier process of the same name, whose streams may be in flight.
    pub fn restore(&mut self, number: u32, now: freshness::BootTime) {
        self.segments.push(Segment {
            number,
            changed: now,
            ..Segment::default()
        });
    }

    /// Adds a stream to a segment that grows, or to another one, unless a segment holds it.
    pub fn append(&mut self, entry: Entry, source: Source, now: freshness::BootTime) {
        if !self.streams.insert(entry.stream) {
            return;
        }
        let growing = self.segments.iter().rposition(|s| s.grows(now));
        let index = growing.unwrap_or_else(|| self.open(now));
        let segment = &mut self.segments[index];
        let is_copied = source == Source::Peer;
        segment.slots.push(Slot { entry, is_copied });
        segment.changed = now;
    }

    /// Returns whether streams in flight are not written yet.
    pub fn is_unwritten(&self, now: freshness::BootTime) -> bool {
        self.segments.iter().any(|s| s.is_unwritten(now))
    }

    /// Returns whether a write takes longer than it should.
    pub fn is_late(&self, now: freshness::BootTime) -> bool {
        self.segments.iter().any(|s| s.is_late(now))
    }

    /// Returns the streams that are not written yet and that no other process was asked to write.
    pub fn take_uncopied(&mut self, now: freshness::BootTime) -> Vec<Entry> {
        let mut taken = Vec::new();
        for segment in self.segments.iter_mut().filter(|s| s.is_unwritten(now)) {
            for slot in &mut segment.slots[segment.written..] {
                if !slot.is_copied {
                    slot.is_copied = true;
                    taken.push(slot.entry.clone());
                }
            }
        }
        taken
    }

    /// Returns a segment to be written, if any; it is not returned again until the write has ended.
    pub fn start_write(&mut self, now: freshness::BootTime) -> Option<Write> {
        let is_due = |s: &&mut Segment| s.is_unwritten(now) && s.writing.is_none();
        let segment = self.segments.iter_mut().find(is_due)?;
        segment.writing = Some(now);
        Some(Write {
            number: segment.number,
            entries: segment.slots.iter().map(|s| s.entry.clone()).collect(),
        })
    }

    /// Records that a segment was written with its first `count` entries; zero after a failure.
    pub fn finish_write(&mut self, number: u32, count: usize) {
        if let Some(segment) = self.segments.iter_mut().find(|s| s.number == number) {
            segment.writing = None;
            segment.written = segment.written.max(count);
        }
    }

    /// Takes out a segment whose streams have all ended, if any; its object is to be removed.
    pub fn take_expired(&mut self, now: freshness::BootTime) -> Option<u32> {
        let expired = self.segments.iter().position(|s| s.is_expired(now))?;
        let segment = self.segments.remove(expired);
        for slot in &segment.slots {
            self.streams.remove(&slot.entry.stream);
        }
        Some(segment.number)
    }

    /// Opens a segment, one whose streams have all ended or a new one, and returns its index.
    fn open(&mut self, now: freshness::BootTime) -> usize {
        let number = self.take_expired(now).unwrap_or_else(|| {
            let numbers = self.segments.iter().map(|s| s.number);
            numbers.max().map_or(0, |number| number + 1)
        });
        self.segments.push(Segment {
            number,
            is_own: true,
            opened: now,
            changed: now,
            ..Segment::default()
        });
        self.segments.len() - 1
    }
}
