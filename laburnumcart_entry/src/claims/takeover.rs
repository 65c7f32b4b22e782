//! Takeover of a shard by epochs and seals, without leases or synchronized clocks.

use std::time;

use tokio::{
    sync::watch,
    time as clock, //
};

use laburnumcart::claim::{
    self,
    log,
    record,
    table, //
};
use laburnumcart_platform::store;

use crate::claims::{
    append,
    compaction, //
};

/// Attempts at a write that conflicts or gets no response, before the takeover fails.
const MAX_ATTEMPTS: u32 = 8;

/// Pause between these attempts, so that a stale read can catch up.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(20);

#[derive(Debug)]
pub(super) enum Outcome {
    /// This process owns the shard.
    Owner(Box<TakenShard>),
    /// Another process owns the shard; its head, if it was read.
    Foreign(Option<record::Head>),
}

/// A shard that was taken over.
#[derive(Debug)]
pub(super) struct TakenShard {
    /// State of the new epoch, whose snapshot is durable.
    pub(super) log: log::Log,
    /// Segments that the snapshot supersedes.
    pub(super) superseded: Vec<compaction::Superseded>,
    /// Update of the head when they are deleted.
    pub(super) base: compaction::BaseUpdate,
}

/// Parameters of a takeover.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) shard: u16,
    /// This process.
    pub(super) holder: claim::Holder,
    /// Owner to replace; any other owner keeps the shard.
    pub(super) suspect: Option<claim::Holder>,
    /// Limits of the shard's log.
    pub(super) limits: log::Limits,
    /// Timeout of one call of the object service.
    pub(super) store_timeout: time::Duration,
}

impl Plan {
    /// Returns whether the owner that a head names may be replaced.
    fn may_replace(&self, head: &record::Head) -> bool {
        let Some(owner) = head.owner else { return true };
        // Another incarnation at the own address can only be an earlier one, which has ended.
        Some(owner) == self.suspect || owner.addr == self.holder.addr
    }
}

/// Returns the stored number of shards, or stores `wanted` if there is none; it never changes.
pub(super) async fn fix_shard_count(
    store: &impl store::Store,
    wanted: u16,
) -> Result<u16, store::Failure> {
    let shards = record::Shards { shards: wanted };
    let value = serde_json::to_string(&shards).expect("shards serialize");
    for _ in 0..MAX_ATTEMPTS {
        if let Some(object) = store.get(record::SHARDS_KEY).await? {
            let found: record::Shards = parse(&object.value)?;
            return Ok(found.shards.max(1));
        }
        let call = store.put(record::SHARDS_KEY, store::Expect::Absent, &value);
        match call.await {
            Ok(_) => return Ok(wanted),
            Err(store::Failure::Conflict | store::Failure::Unanswered) => {
                clock::sleep(RETRY_PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(store::Failure::Unanswered)
}

/// Reads the head of a shard.
pub(super) async fn read_head(
    store: &impl store::Store,
    shard: u16,
    timeout: time::Duration,
) -> Result<Option<(record::Head, store::Version)>, store::Failure> {
    let key = record::head_key(shard);
    let Some(object) = append::with_timeout(timeout, store.get(&key)).await? else {
        return Ok(None);
    };
    Ok(Some((parse(&object.value)?, object.version)))
}

/// Takes a shard over from the suspect.
///
/// Raising the epoch does not stop a paused owner, which may append at any later time. The seal
/// does: it occupies the segment number that the owner would use next, so that the owner's create
/// fails and it steps down before it replies. Nothing is granted before all older epochs are sealed
/// and replayed and the snapshot of the new epoch is durable.
pub(super) async fn take_over(
    store: &impl store::Store,
    plan: Plan,
) -> Result<Outcome, store::Failure> {
    let (head, version) = match raise_epoch(store, &plan).await? {
        Ok(raised) => raised,
        Err(foreign) => return Ok(Outcome::Foreign(foreign)),
    };
    let mut table = table::Table::default();
    let mut old = Vec::new();
    for epoch in head.base..head.epoch {
        let objects = seal_epoch(store, &plan, epoch, head.epoch).await?;
        let list_segments: Vec<_> = objects.iter().map(|(_, segment)| segment.clone()).collect();
        log::replay(&mut table, &list_segments, clock::Instant::now());
        let is_unsealed = |(_, segment): &(store::Object, record::Segment)| {
            !matches!(segment, record::Segment::Seal(_))
        };
        let objects = objects.into_iter().filter(is_unsealed);
        old.extend(objects.map(|(object, _)| compaction::Superseded {
            key: object.key,
            version: object.version,
        }));
    }
    let mut log = log::Log::new(head.epoch, table, plan.limits, clock::Instant::now());
    if !write_snapshot(store, &plan, &mut log).await? {
        return Ok(Outcome::Foreign(None));
    }
    let base = compaction::BaseUpdate {
        shard: plan.shard,
        head,
        version,
    };
    Ok(Outcome::Owner(Box::new(TakenShard {
        log,
        superseded: old,
        base,
    })))
}

type Raised = Result<(record::Head, store::Version), Option<record::Head>>;

/// Raises the epoch in the head by a conditional update.
async fn raise_epoch(store: &impl store::Store, plan: &Plan) -> Result<Raised, store::Failure> {
    let key = record::head_key(plan.shard);
    let mut written = None;
    for _ in 0..MAX_ATTEMPTS {
        let found = read_head(store, plan.shard, plan.store_timeout).await?;
        if let Some((head, version)) = found
            && Some(head) == written
        {
            // An earlier write had taken effect although its response was lost.
            return Ok(Ok((head, version)));
        }
        let (next, expect) = match found {
            Some((head, _)) if !plan.may_replace(&head) => return Ok(Err(Some(head))),
            Some((head, version)) => {
                let next = record::Head {
                    epoch: head.epoch + 1,
                    owner: Some(plan.holder),
                    base: head.base,
                };
                (next, store::Expect::Version(version))
            }
            None => {
                let next = record::Head {
                    epoch: 1,
                    owner: Some(plan.holder),
                    base: 1,
                };
                (next, store::Expect::Absent)
            }
        };
        written = Some(next);
        let value = serde_json::to_string(&next).expect("heads serialize");
        let call = store.put(&key, expect, &value);
        match append::with_timeout(plan.store_timeout, call).await {
            Ok(version) => return Ok(Ok((next, version))),
            Err(store::Failure::Conflict | store::Failure::Unanswered) => {
                clock::sleep(RETRY_PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(store::Failure::Unanswered)
}

/// Seals an older epoch at its next free segment number and returns its segments in order.
///
/// Only a listing that ends in a seal is complete, so the epoch is listed again after the seal was
/// created. Since an earlier listing, the owner may have appended, taken a snapshot and deleted the
/// segment whose number looked free; it would then continue behind a seal under that number.
async fn seal_epoch(
    store: &impl store::Store,
    plan: &Plan,
    epoch: record::Epoch,
    by: record::Epoch,
) -> Result<Vec<(store::Object, record::Segment)>, store::Failure> {
    let seal = record::Segment::Seal(by);
    let value = serde_json::to_string(&seal).expect("segments serialize");
    for _ in 0..MAX_ATTEMPTS {
        let segments = segments(store, plan, epoch).await?;
        if let Some((_, record::Segment::Seal(_))) = segments.last() {
            return Ok(segments);
        }
        let last = segments.last();
        let last = last.and_then(|(object, _)| record::segment_number(&object.key));
        let number = last.map_or(0, |number| number + 1);
        let key = record::segment_key(plan.shard, epoch, number);
        let call = store.put(&key, store::Expect::Absent, &value);
        match append::with_timeout(plan.store_timeout, call).await {
            Ok(_) => {}
            // The owner has appended, another process has sealed, or the response was lost.
            Err(store::Failure::Conflict | store::Failure::Unanswered) => {
                clock::sleep(RETRY_PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(store::Failure::Unanswered)
}

/// Lists the segments of an epoch by ascending number.
async fn segments(
    store: &impl store::Store,
    plan: &Plan,
    epoch: record::Epoch,
) -> Result<Vec<(store::Object, record::Segment)>, store::Failure> {
    let prefix = record::epoch_prefix(plan.shard, epoch);
    let listing = append::with_timeout(plan.store_timeout, store.list(&prefix)).await?;
    let mut segments = Vec::with_capacity(listing.objects.len());
    for object in listing.objects {
        let segment = parse(&object.value)?;
        segments.push((object, segment));
    }
    segments.sort_by_key(|(object, _)| record::segment_number(&object.key));
    Ok(segments)
}

/// Appends the first snapshot of an epoch; returns `false` if the epoch was sealed meanwhile.
async fn write_snapshot(
    store: &impl store::Store,
    plan: &Plan,
    log: &mut log::Log,
) -> Result<bool, store::Failure> {
    let in_doubt = watch::Sender::new(false);
    for (number, segment) in log.snapshot(clock::Instant::now()) {
        let key = record::segment_key(plan.shard, log.epoch(), number);
        match append::append_segment(store, &key, &segment, plan.store_timeout, &in_doubt).await {
            append::Outcome::Durable(_) => log.snapshot_part_succeeded(&segment),
            append::Outcome::Sealed => return Ok(false),
            append::Outcome::Refused(retry) => {
                return Err(store::Failure::Unavailable { retry });
            }
        }
    }
    Ok(true)
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, store::Failure> {
    serde_json::from_str(text).map_err(|_| store::Failure::Invalid)
}
