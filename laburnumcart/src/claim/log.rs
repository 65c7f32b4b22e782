//! Log of a shard at its owner: group commit with one append in flight, snapshots and replay.

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

/// Largest number of records in a batch; keeps a segment below the size limit of an object.
pub const BATCH_MAX: usize = 2048;

/// Largest number of claims in one part of a snapshot.
pub const PART_MAX: usize = 2048;

/// Segments that each further part of a snapshot must supersede; limits snapshots to an eighth of
/// the writes.
const SNAPSHOT_RATIO: u64 = 8;

/// Limits of one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest number of claims; more are refused.
    pub max_claims: usize,
    /// Smallest number of segments between two snapshots.
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

/// Serial number of a batch.
pub type Batch = u64;

/// Outcome of a claim at the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Already granted to this request; valid once the batch of [`Log::confirm_ownership`] is
    /// durable.
    Granted,
    /// Granted once the batch is durable.
    Queued(Batch),
    /// The key is changed by an unsettled batch; claim again once the batch is settled.
    Wait(Batch),
    /// Claimed by another request; valid once the batch of [`Log::confirm_ownership`] is durable.
    Taken(record::Grant),
    /// The limit of claims or of records in a batch is reached; nothing was recorded.
    Full,
}

/// An append, to be written by create-if-absent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Number of the segment within its epoch.
    pub number: u64,
    /// Batch that the append makes durable.
    pub batch: Batch,
    /// Value of the object.
    pub segment: record::Segment,
}

/// Log of one shard in one epoch, at the shard's owner.
///
/// At most one append is in flight. With two, the second could take effect without the first, and
/// a successor that seals the epoch at the gap would miss a granted claim.
#[derive(Debug)]
pub struct Log {
    epoch: record::Epoch,
    start: Instant,
    table: table::Table,
    limits: Limits,
    next_number: u64,
    /// First segment that the newest snapshot does not supersede.
    first_needed: u64,
    /// Number of the next segment when the last snapshot failed.
    postponed_at: u64,
    next_batch: Batch,
    next_records: Vec<record::Record>,
    /// Whether an append is wanted even without records.
    append_requested: bool,
    appending: Vec<record::Record>,
    in_flight: bool,
    pending: collections::HashMap<id::Fingerprint, (id::RequestId, Batch)>,
}

impl Log {
    /// Creates the log of an epoch that starts at `now` and has no segments.
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

    /// Returns the durable claims.
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

    /// Requests an append, empty if there are no records, and returns its batch.
    ///
    /// An owner whose epoch was sealed does not know it, and its table may be outdated: a claim may
    /// have been released and its key granted again. A durable append proves that the process was
    /// still the owner.
    pub fn confirm_ownership(&mut self) -> Batch {
        self.append_requested = true;
        self.next_batch
    }

    /// Claims a key; if it is free, the grant is added to the next batch.
    pub fn claim(&mut self, grant: record::Grant, now: Instant) -> Outcome {
        self.table.expire(now);
        if let Some((_, batch)) = self.pending.get(&grant.key) {
            return self.pending_outcome(&grant, *batch);
        }
        if let Some(old) = self.table.get(grant.key) {
            // The holder claims again after a lost answer; it acts on one answer only.
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

    /// Releases a claim whose request is proven never to have started.
    ///
    /// Returns the batch that records the release, or `None` if the request has no settled claim on
    /// the key.
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

    /// Drops the grants of the next batch for which `keep` returns false; they were in no append
    /// yet.
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

    /// Starts the next append, unless one is in flight or none is wanted.
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

    /// Records that the append in flight is durable.
    pub fn append_succeeded(&mut self, now: Instant) {
        for record in mem::take(&mut self.appending) {
            self.pending.remove(&record.key());
            self.table.apply(&record, now);
        }
        self.next_number += 1;
        self.in_flight = false;
    }

    /// Records that the append in flight is proven not to be in the log, now or later.
    pub fn append_rejected(&mut self) {
        for record in mem::take(&mut self.appending) {
            self.pending.remove(&record.key());
            // If a release were dropped with its append, the key would stay claimed for the rest of
            // its retention, and each resend would be answered with "may have run".
            if let record::Record::Release { .. } = record {
                self.add_record(record);
            }
        }
        self.in_flight = false;
    }

    /// Reports whether enough segments were appended since the last snapshot for a new one.
    pub fn wants_snapshot(&self) -> bool {
        let parts = (self.table.len() / PART_MAX + 1) as u64;
        let least = self
            .limits
            .snapshot_segments
            .max(SNAPSHOT_RATIO * (parts - 1));
        !self.in_flight && self.next_number - self.first_needed.max(self.postponed_at) >= least
    }

    /// Returns the parts of a snapshot with their segment numbers.
    ///
    /// The caller appends them in order and confirms each by [`Log::snapshot_part_succeeded`].
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

    /// Postpones the next snapshot after one could not be completed.
    pub fn postpone_snapshot(&mut self) {
        self.postponed_at = self.next_number;
    }

    /// Records that the next part of a snapshot is durable.
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

/// Replays the segments of one sealed epoch onto `table`, in the order of their numbers.
///
/// A snapshot supersedes everything before it once its last part exists; an incomplete one is
/// ignored, as no segment is deleted before it is complete. The age of a claim is what the epoch's
/// owner measured up to its last append.
pub fn replay(table: &mut table::Table, segments: &[record::Segment], now: Instant) {
    let end = segments.iter().filter_map(record::Segment::epoch_age).max();
    let end = end.unwrap_or_default();
    let mut parts = Parts::default();
    for segment in segments {
        let elapsed = segment.epoch_age().map(|at| end.0.saturating_sub(at.0));
        let elapsed = elapsed.unwrap_or_default();
        match segment {
            record::Segment::Batch { records, .. } => {
                for record in records {
                    table.apply(&age_record(record, elapsed), now);
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
                    .extend(grants.iter().map(|grant| age_grant(grant, elapsed)));
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

/// Parts of a snapshot that were read so far.
#[derive(Default)]
struct Parts {
    first: u64,
    grants: Vec<record::Grant>,
}

fn age_grant(grant: &record::Grant, elapsed: time::Duration) -> record::Grant {
    record::Grant {
        age: unit::Period(grant.age.0.saturating_add(elapsed)),
        ..grant.clone()
    }
}

fn age_record(record: &record::Record, elapsed: time::Duration) -> record::Record {
    match record {
        record::Record::Grant(grant) => record::Record::Grant(age_grant(grant, elapsed)),
        release => release.clone(),
    }
}
