//! Taking a shard over, without a lease and without a clock.

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

/// Tries of a write whose answer was lost before the takeover is given up.
const TRIES: u32 = 8;

/// Pause before such a try, in which a lagging read may catch up.
const PAUSE: time::Duration = time::Duration::from_millis(20);

/// How a takeover ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// This process owns the shard.
    Owner(Box<TakenShard>),
    /// Another process got ahead.
    Foreign(Option<record::Head>),
}

/// A shard that was taken over.
#[derive(Debug)]
pub(super) struct TakenShard {
    /// State of the new epoch, its snapshot durable.
    pub(super) log: log::Log,
    /// Segments that the snapshot supersedes.
    pub(super) superseded: Vec<compaction::Superseded>,
    /// Head to move when they are deleted.
    pub(super) base: compaction::BaseUpdate,
}

/// Who takes which shard from whom.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    /// Shard to take.
    pub(super) shard: u16,
    /// This process.
    pub(super) holder: claim::Holder,
    /// Owner to replace; any other owner is left in place.
    pub(super) suspect: Option<claim::Holder>,
    /// Bounds of the shard.
    pub(super) limits: log::Limits,
    /// Longest wait for one call.
    pub(super) store_timeout: time::Duration,
}

impl Plan {
    /// Reports whether a head may be replaced.
    fn may_replace(&self, head: &record::Head) -> bool {
        let Some(owner) = head.owner else { return true };
        // At this process's own address another life can only be an earlier one, which is gone.
        Some(owner) == self.suspect || owner.addr == self.holder.addr
    }
}

/// Returns the number of shards, which the first process to ask fixes for good.
pub(super) async fn fix_shard_count(
    store: &impl store::Store,
    wanted: u16,
) -> Result<u16, store::Failure> {
    let shards = record::Shards { shards: wanted };
    let value = serde_json::to_string(&shards).expect("shards serialize");
    for _ in 0..TRIES {
        if let Some(object) = store.get(record::SHARDS_KEY).await? {
            let found: record::Shards = parse(&object.value)?;
            return Ok(found.shards.max(1));
        }
        let call = store.put(record::SHARDS_KEY, store::Expect::Absent, &value);
        match call.await {
            Ok(_) => return Ok(wanted),
            Err(store::Failure::Conflict | store::Failure::Unanswered) => {
                clock::sleep(PAUSE).await;
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
    limit: time::Duration,
) -> Result<Option<(record::Head, store::Version)>, store::Failure> {
    let key = record::head_key(shard);
    let Some(object) = append::with_timeout(limit, store.get(&key)).await? else {
        return Ok(None);
    };
    Ok(Some((parse(&object.value)?, object.version)))
}

/// Takes a shard over from the suspect.
///
/// The raised epoch alone does not stop a paused owner, which may append at any later time. The
/// seal does: it occupies the very slot that the owner would append to, so that its create fails
/// and it steps down before it answers. Nothing is granted before every older epoch is sealed and
/// replayed, and the snapshot of the new epoch is durable.
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
        let plain = |(_, segment): &(store::Object, record::Segment)| {
            !matches!(segment, record::Segment::Seal(_))
        };
        let objects = objects.into_iter().filter(plain);
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

/// Raises the epoch in the head by conditional update.
async fn raise_epoch(store: &impl store::Store, plan: &Plan) -> Result<Raised, store::Failure> {
    let key = record::head_key(plan.shard);
    let mut wrote = None;
    for _ in 0..TRIES {
        let found = read_head(store, plan.shard, plan.store_timeout).await?;
        if let Some((head, version)) = found
            && Some(head) == wrote
        {
            // The answer was lost after the write had taken effect.
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
        wrote = Some(next);
        let value = serde_json::to_string(&next).expect("heads serialize");
        let call = store.put(&key, expect, &value);
        match append::with_timeout(plan.store_timeout, call).await {
            Ok(version) => return Ok(Ok((next, version))),
            Err(store::Failure::Conflict | store::Failure::Unanswered) => {
                clock::sleep(PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(store::Failure::Unanswered)
}

/// Seals an older epoch at its next free number and returns its segments in order.
///
/// Only a listing whose last segment is a seal is whole, so one is read even after the seal was
/// created. A listing from before may lack segments: its owner may have appended, taken a snapshot
/// and deleted the slot that looked free, and would go on behind a seal that is created there.
async fn seal_epoch(
    store: &impl store::Store,
    plan: &Plan,
    epoch: record::Epoch,
    by: record::Epoch,
) -> Result<Vec<(store::Object, record::Segment)>, store::Failure> {
    let seal = record::Segment::Seal(by);
    let value = serde_json::to_string(&seal).expect("segments serialize");
    for _ in 0..TRIES {
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
            // The owner appended, or another process sealed, or the answer was lost.
            Err(store::Failure::Conflict | store::Failure::Unanswered) => {
                clock::sleep(PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(store::Failure::Unanswered)
}

/// Lists the segments of an epoch in the order of their numbers.
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

/// Appends the first snapshot of an epoch; `false` if the epoch was sealed meanwhile.
async fn write_snapshot(
    store: &impl store::Store,
    plan: &Plan,
    log: &mut log::Log,
) -> Result<bool, store::Failure> {
    let doubt = watch::Sender::new(false);
    for (number, segment) in log.snapshot(clock::Instant::now()) {
        let key = record::segment_key(plan.shard, log.epoch(), number);
        match append::append_segment(store, &key, &segment, plan.store_timeout, &doubt).await {
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
