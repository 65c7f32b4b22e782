//! The owner's side of a shard's log: group commit with one append in flight.

use std::{
    collections,
    mem,
    time, //
};

use tokio::time::Instant;

use crate::{
    claim::{
        record,
        table, //
    },
    id,
    unit, //
};

/// Most records of one batch; keeps a segment well under the largest value of an object.
pub const BATCH_MAX: usize = 2048;

/// Most claims of one part of a snapshot.
pub const PART_MAX: usize = 2048;

/// Segments that each part of a snapshot must replace, which bounds the share of writes that
/// snapshots take to an eighth.
const SNAPSHOT_RATIO: u64 = 8;

/// Bounds of one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most claims held; more are refused.
    pub max_claims: usize,
    /// Fewest segments between two snapshots.
    pub snapshot_segments: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_claims: 60_000,
            snapshot_segments: 256,
        }
    }
}

/// Number of a batch; grows by one with each.
pub type Batch = u64;

/// What becomes of a claim at the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Already durable for this very request; valid once [`Log::confirm_ownership`] is durable.
    Granted,
    /// Granted once the batch is durable.
    Queued(Batch),
    /// The key is changed by a batch that is not settled; ask again when it is.
    Wait(Batch),
    /// Claimed by another request; valid once [`Log::confirm_ownership`] is durable.
    Taken(record::Grant),
    /// No room for another claim; nothing was recorded.
    Full,
}

/// An append to be made by create-if-absent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Number of the segment in its epoch.
    pub number: u64,
    /// Batch that it makes durable.
    pub batch: Batch,
    /// Value of the object.
    pub segment: record::Segment,
}

/// State of the owner of a shard for one epoch.
///
/// At most one append is in flight. With two, the second could take effect without the first, and
/// a successor that seals the gap would miss a claim that was granted.
#[derive(Debug)]
pub struct Log {
    epoch: record::Epoch,
    start: Instant,
    table: table::Table,
    limits: Limits,
    next_number: u64,
    /// First number that the newest snapshot does not supersede.
    first_needed: u64,
    /// Number at which a snapshot failed last.
    postponed_at: u64,
    next_batch: Batch,
    next_records: Vec<record::Record>,
    /// Whether the next append is wanted even without records.
    append_requested: bool,
    appending: Vec<record::Record>,
    in_flight: bool,
    pending: collections::HashMap<id::Fingerprint, (id::RequestId, Batch)>,
}

impl Log {
    /// Creates the state for an epoch that starts now without segments, within `limits`.
    pub fn new(epoch: record::Epoch, table: table::Table, limits: Limits, now: Instant) -> Self {
        Self {
            epoch,
            start: now,
            table,
            limits,
            next_number: 0,
            first_needed: 0,
            postponed_at: 0,
            next_batch: 0,
            next_records: Vec::new(),
            append_requested: false,
            appending: Vec::new(),
            in_flight: false,
            pending: collections::HashMap::new(),
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> record::Epoch {
        self.epoch
    }

    /// Returns the claims that are durable.
    pub fn table(&self) -> &table::Table {
        &self.table
    }

    /// Returns the number of the next segment.
    pub fn next_segment(&self) -> u64 {
        self.next_number
    }

    /// Returns the first batch that is not settled.
    pub fn first_unsettled(&self) -> Batch {
        match self.in_flight {
            true => self.next_batch - 1,
            false => self.next_batch,
        }
    }

    /// Reports whether an append is in flight.
    pub fn is_appending(&self) -> bool {
        self.in_flight
    }

    /// Reports whether an append is wanted.
    pub fn wants_append(&self) -> bool {
        self.append_requested || !self.next_records.is_empty()
    }

    /// Asks for an append, if only an empty one, and returns its batch.
    ///
    /// An owner that was sealed out does not know it, and what its table says may be out of date:
    /// a claim may have been given back since and its key granted again. That its append is
    /// durable proves that it was the owner until then.
    pub fn confirm_ownership(&mut self) -> Batch {
        self.append_requested = true;
        self.next_batch
    }

    /// Asks for a claim; its record gathers in the next batch if the key is free.
    pub fn claim(&mut self, grant: record::Grant, now: Instant) -> Outcome {
        self.table.expire(now);
        if let Some((_, batch)) = self.pending.get(&grant.key) {
            return self.pending_outcome(&grant, *batch);
        }
        if let Some(old) = self.table.get(grant.key) {
            // Its holder asks again because an answer was lost; it acts on one answer only.
            if old.request == grant.request {
                return Outcome::Granted;
            }
            return Outcome::Taken(old.clone());
        }
        if self.table.len() + self.pending.len() >= self.limits.max_claims
            || self.next_records.len() >= BATCH_MAX
        {
            return Outcome::Full;
        }
        Outcome::Queued(self.add_record(record::Record::Grant(grant)))
    }

    fn pending_outcome(&self, grant: &record::Grant, batch: Batch) -> Outcome {
        let records = self.next_records.iter().chain(&self.appending);
        let same = |record: &&record::Record| match record {
            record::Record::Grant(old) => old.key == grant.key && old.request == grant.request,
            record::Record::Release { .. } => false,
        };
        match records.into_iter().any(|record| same(&record)) {
            true => Outcome::Queued(batch),
            false => Outcome::Wait(batch),
        }
    }

    /// Gives back a claim whose request provably never started; returns the batch that records it,
    /// or `None` if the request does not hold the key.
    pub fn release(&mut self, key: id::Fingerprint, request: id::RequestId) -> Option<Batch> {
        if self.pending.contains_key(&key) {
            return None;
        }
        self.table.get(key).filter(|old| old.request == request)?;
        Some(self.add_record(record::Record::Release { key, request }))
    }

    fn add_record(&mut self, record: record::Record) -> Batch {
        let pending = (record.request(), self.next_batch);
        self.pending.insert(record.key(), pending);
        self.next_records.push(record);
        self.next_batch
    }

    /// Takes back the gathered grants that `keep` refuses; they were never in an append.
    pub fn retain_pending(&mut self, mut keep: impl FnMut(id::Fingerprint, id::RequestId) -> bool) {
        let pending = &mut self.pending;
        self.next_records.retain(|record| {
            let kept = match record {
                record::Record::Grant(grant) => keep(grant.key, grant.request),
                record::Record::Release { .. } => true,
            };
            if !kept {
                pending.remove(&record.key());
            }
            kept
        });
    }

    fn epoch_age(&self, now: Instant) -> unit::Period {
        unit::Period(now.saturating_duration_since(self.start))
    }

    /// Starts the next append, unless one is in flight or nothing waits.
    pub fn begin_append(&mut self, now: Instant) -> Option<Append> {
        if self.in_flight || !self.wants_append() {
            return None;
        }
        self.append_requested = false;
        self.appending = mem::take(&mut self.next_records);
        self.in_flight = true;
        let batch = self.next_batch;
        self.next_batch += 1;
        Some(Append {
            number: self.next_number,
            batch,
            segment: record::Segment::Batch {
                at: self.epoch_age(now),
                records: self.appending.clone(),
            },
        })
    }

    /// Records that the append in flight is in the log.
    pub fn append_succeeded(&mut self, now: Instant) {
        for record in mem::take(&mut self.appending) {
            self.pending.remove(&record.key());
            self.table.apply(&record, now);
        }
        self.next_number += 1;
        self.in_flight = false;
    }

    /// Records that the append in flight is provably not in the log and never will be.
    pub fn append_rejected(&mut self) {
        for record in mem::take(&mut self.appending) {
            self.pending.remove(&record.key());
            // A release that was dropped with its append would leave the key claimed for the rest
            // of its retention, and each resend would be told "may have run".
            if let record::Record::Release { .. } = record {
                self.add_record(record);
            }
        }
        self.in_flight = false;
    }

    /// Reports whether enough segments have come since the last snapshot for a new one.
    pub fn wants_snapshot(&self) -> bool {
        let parts = (self.table.len() / PART_MAX + 1) as u64;
        let least = self
            .limits
            .snapshot_segments
            .max(SNAPSHOT_RATIO * (parts - 1));
        !self.in_flight && self.next_number - self.first_needed.max(self.postponed_at) >= least
    }

    /// Returns the parts of a snapshot with their numbers; appended in order by the owner, each
    /// confirmed by [`Log::snapshot_part_succeeded`].
    pub fn snapshot(&mut self, now: Instant) -> Vec<(u64, record::Segment)> {
        self.table.expire(now);
        let first = self.next_number;
        let at = self.epoch_age(now);
        let grants: Vec<_> = self.table.grants(now).collect();
        let mut parts: Vec<_> = grants.chunks(PART_MAX).map(<[_]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let count = parts.len();
        let part = |(index, grants)| {
            let last = index + 1 == count;
            let segment = record::Segment::Snapshot {
                at,
                first,
                last,
                grants,
            };
            (first + index as u64, segment)
        };
        parts.into_iter().enumerate().map(part).collect()
    }

    /// Puts a snapshot off that could not be completed.
    pub fn postpone_snapshot(&mut self) {
        self.postponed_at = self.next_number;
    }

    /// Records that the next part of a snapshot is in the log.
    pub fn snapshot_part_succeeded(&mut self, segment: &record::Segment) {
        self.next_number += 1;
        if let record::Segment::Snapshot {
            first, last: true, ..
        } = segment
        {
            self.first_needed = *first;
        }
    }
}

/// Replays the segments of one sealed epoch, in the order of their numbers, onto `table`.
///
/// A snapshot supersedes everything before it once its last part is there; an incomplete one is
/// ignored, as nothing was deleted for it. A claim is as old as the epoch's owner saw it become,
/// up to its last append.
pub fn replay(table: &mut table::Table, segments: &[record::Segment], now: Instant) {
    let end = segments.iter().filter_map(record::Segment::epoch_age).max();
    let end = end.unwrap_or_default();
    let mut parts = Parts::default();
    for segment in segments {
        let held = segment.epoch_age().map(|at| end.0.saturating_sub(at.0));
        let held = held.unwrap_or_default();
        match segment {
            record::Segment::Batch { records, .. } => {
                for record in records {
                    table.apply(&age_record(record, held), now);
                }
            }
            record::Segment::Snapshot {
                first,
                last,
                grants,
                ..
            } => {
                if parts.first != *first {
                    parts = Parts::default();
                }
                parts.first = *first;
                parts
                    .grants
                    .extend(grants.iter().map(|grant| age_grant(grant, held)));
                if *last {
                    *table = table::Table::default();
                    for grant in mem::take(&mut parts.grants) {
                        table.insert(grant, now);
                    }
                }
            }
            record::Segment::Seal(_) => {}
        }
    }
}

/// Parts of a snapshot, read so far.
#[derive(Default)]
struct Parts {
    first: u64,
    grants: Vec<record::Grant>,
}

fn age_grant(grant: &record::Grant, held: time::Duration) -> record::Grant {
    record::Grant {
        age: unit::Period(grant.age.0.saturating_add(held)),
        ..grant.clone()
    }
}

fn age_record(record: &record::Record, held: time::Duration) -> record::Record {
    match record {
        record::Record::Grant(grant) => record::Record::Grant(age_grant(grant, held)),
        release => release.clone(),
    }
}
