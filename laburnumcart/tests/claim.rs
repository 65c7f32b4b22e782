//! The claim log, its table and the choice of owners, as plain state machines.

use std::{
    collections,
    net,
    time, //
};

use laburnumcart::{
    claim::{
        self,
        limiter,
        log,
        ownership,
        record,
        table, //
    },
    id,
    unit, //
};
use rstest::rstest;
use tokio::time::Instant;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn grant(key: u128, request: u128) -> record::Grant {
    record::Grant {
        key: id::Fingerprint(key),
        content: id::Fingerprint(key),
        request: id::RequestId(request),
        holder: claim::Holder {
            addr: net::SocketAddr::from(([10, 0, 0, 1], 7000)),
            incarnation: id::Incarnation(1),
        },
        keep: unit::Period::from_secs(100),
        age: unit::Period::default(),
    }
}

fn new_log(claims: usize, segments: u64) -> (log::Log, Instant) {
    let now = Instant::now();
    let limits = log::Limits {
        max_claims: claims,
        snapshot_segments: segments,
    };
    (log::Log::new(1, table::Table::default(), limits, now), now)
}

fn records(append: &log::Append) -> usize {
    match &append.segment {
        record::Segment::Batch { records, .. } => records.len(),
        _ => panic!("not a batch"),
    }
}

/// Claims that come while an append is in flight go into the next one together.
#[test]
fn next_batch_gathers_while_one_is_in_flight() {
    let (mut log, now) = new_log(100, 256);
    assert_eq!(log.claim(grant(1, 1), now), log::Outcome::Queued(0));
    let first = log.begin_append(now).unwrap();
    assert_eq!((first.number, records(&first)), (0, 1));
    for key in 2..6 {
        assert_eq!(log.claim(grant(key, key), now), log::Outcome::Queued(1));
    }
    assert_eq!(log.begin_append(now), None);
    log.append_succeeded(now);
    let second = log.begin_append(now).unwrap();
    assert_eq!((second.number, records(&second)), (1, 4));
}

/// A second request under a key cannot be told "taken" before the first one's fate is known: that
/// one may still be refused as not run.
#[test]
fn claim_of_a_pending_key_waits() {
    let (mut log, now) = new_log(100, 256);
    log.claim(grant(1, 1), now);
    assert_eq!(log.claim(grant(1, 2), now), log::Outcome::Wait(0));
    assert_eq!(log.claim(grant(1, 1), now), log::Outcome::Queued(0));
    log.begin_append(now).unwrap();
    log.append_rejected();
    assert_eq!(log.claim(grant(1, 2), now), log::Outcome::Queued(1));
    assert_eq!(log.begin_append(now).unwrap().number, 0);
    log.append_succeeded(now);
    assert_eq!(
        log.claim(grant(1, 3), now),
        log::Outcome::Taken(grant(1, 2))
    );
    assert_eq!(log.claim(grant(1, 2), now), log::Outcome::Granted);
}

/// A caller that has gone before its batch was sent leaves no record; later it is too late.
#[test]
fn withdrawn_claim_is_not_appended() {
    let (mut log, now) = new_log(100, 256);
    log.claim(grant(1, 1), now);
    log.claim(grant(2, 2), now);
    log.retain_pending(|key, _| key != id::Fingerprint(1));
    let append = log.begin_append(now).unwrap();
    assert_eq!(records(&append), 1);
    log.retain_pending(|_, _| false);
    log.append_succeeded(now);
    assert_eq!(log.claim(grant(1, 3), now), log::Outcome::Queued(1));
    assert!(matches!(
        log.claim(grant(2, 3), now),
        log::Outcome::Taken(_)
    ));
}

/// Claims beyond the limit are refused before anything is recorded, those in flight count.
#[test]
fn full_log_records_nothing() {
    let (mut log, now) = new_log(2, 256);
    log.claim(grant(1, 1), now);
    log.claim(grant(2, 2), now);
    assert_eq!(log.claim(grant(3, 3), now), log::Outcome::Full);
    assert_eq!(records(&log.begin_append(now).unwrap()), 2);
    log.append_succeeded(now);
    assert_eq!(log.claim(grant(3, 3), now), log::Outcome::Full);
    let later = now + 101 * SECOND;
    assert_eq!(log.claim(grant(3, 3), later), log::Outcome::Queued(1));
}

/// Segments of an epoch are replayed: the batches alone, or a snapshot and what follows it. A
/// snapshot that its owner did not finish must not hide the batches before it.
#[rstest]
#[case::whole(false)]
#[case::unfinished(true)]
fn replay_restores_the_table(#[case] unfinished: bool) {
    let now = Instant::now();
    let batch = |at, key| record::Segment::Batch {
        at: unit::Period::from_secs(at),
        records: vec![record::Record::Grant(grant(key, key))],
    };
    let part = |last| record::Segment::Snapshot {
        at: unit::Period::from_secs(20),
        first: 1,
        last,
        grants: vec![grant(1, 1)],
    };
    let segments = [
        batch(10, 1),
        part(!unfinished),
        batch(30, 2),
        record::Segment::Seal(2),
    ];
    let mut table = table::Table::default();
    table.insert(grant(9, 9), now);
    log::replay(&mut table, &segments, now);
    assert!(table.get(id::Fingerprint(1)).is_some());
    assert!(table.get(id::Fingerprint(2)).is_some());
    assert_eq!(table.get(id::Fingerprint(9)).is_some(), unfinished);
}

/// A replayed claim is as old as its owner saw it become, so that it is forgotten no sooner than
/// its retention after the grant, and not a whole retention after the replay.
#[test]
fn replay_keeps_ages() {
    let now = Instant::now();
    let batch = |at, key| record::Segment::Batch {
        at: unit::Period::from_secs(at),
        records: vec![record::Record::Grant(grant(key, key))],
    };
    let mut table = table::Table::default();
    log::replay(&mut table, &[batch(0, 1), batch(60, 2)], now);
    table.expire(now + 39 * SECOND);
    assert_eq!(table.len(), 2);
    table.expire(now + 40 * SECOND);
    assert!(table.get(id::Fingerprint(1)).is_none());
    assert!(table.get(id::Fingerprint(2)).is_some());
}

/// A key that was released and claimed again is kept for the retention of its second claim.
#[test]
fn expiry_of_a_released_claim_spares_the_next() {
    let now = Instant::now();
    let mut table = table::Table::default();
    table.insert(grant(1, 1), now);
    let release = record::Record::Release {
        key: id::Fingerprint(1),
        request: id::RequestId(1),
    };
    table.apply(&release, now);
    table.insert(grant(1, 2), now + 50 * SECOND);
    table.expire(now + 120 * SECOND);
    assert!(table.get(id::Fingerprint(1)).is_some());
}

/// A snapshot is due after enough segments, and supersedes them once its last part is durable.
#[test]
fn snapshot_after_enough_segments() {
    let (mut log, now) = new_log(100_000, 4);
    for key in 0..4 {
        assert!(!log.wants_snapshot());
        log.claim(grant(key, key), now);
        log.begin_append(now).unwrap();
        log.append_succeeded(now);
    }
    assert!(log.wants_snapshot());
    let parts = log.snapshot(now + SECOND);
    assert_eq!(parts.len(), 1);
    for (number, segment) in &parts {
        assert_eq!(*number, log.next_segment());
        log.snapshot_part_succeeded(segment);
    }
    assert!(!log.wants_snapshot());
    let mut table = table::Table::default();
    let segments: Vec<_> = parts.into_iter().map(|(_, segment)| segment).collect();
    log::replay(&mut table, &segments, now);
    assert_eq!(table.len(), 4);
}

/// A part of a snapshot, and a full batch, fit into an object of 1 MiB.
#[test]
fn segments_fit_into_an_object() {
    let grants: Vec<_> = (0..log::PART_MAX as u128)
        .map(|key| record::Grant {
            holder: claim::Holder {
                addr: "[2001:db8:1111:2222:3333:4444:5555:6666]:65535"
                    .parse()
                    .unwrap(),
                incarnation: id::Incarnation(u64::MAX),
            },
            keep: unit::Period(time::Duration::from_micros(123_456_789_012)),
            age: unit::Period(time::Duration::from_micros(123_456_789_011)),
            ..grant(u128::MAX - key, key)
        })
        .collect();
    let batch = record::Segment::Batch {
        at: unit::Period::from_secs(1),
        records: grants.iter().cloned().map(record::Record::Grant).collect(),
    };
    let part = record::Segment::Snapshot {
        at: unit::Period::from_secs(1),
        first: 0,
        last: true,
        grants,
    };
    for segment in [batch, part] {
        let text = serde_json::to_string(&segment).unwrap();
        assert!(text.len() < 1 << 20, "{}", text.len());
        assert_eq!(
            serde_json::from_str::<record::Segment>(&text).unwrap(),
            segment
        );
    }
}

/// Keys spread over all shards, and owners over the live processes; the loss of one process moves
/// its shards alone.
#[test]
fn shards_spread_and_stay() {
    let team = "clinic".parse().unwrap();
    let mut shards = collections::HashSet::new();
    for number in 0..500 {
        shards.insert(claim::shard(claim::key(&team, &number.to_string()), 16));
    }
    assert_eq!(shards.len(), 16);
    let addr = |number| net::SocketAddr::from(([10, 0, 0, number], 7000));
    let live: Vec<_> = (1..=5).map(addr).collect();
    let rest = &live[1..];
    for shard in 0..64 {
        let owner = ownership::preferred_owner(shard, &live).unwrap();
        if owner != live[0] {
            assert_eq!(ownership::preferred_owner(shard, rest), Some(owner));
        }
    }
    assert_eq!(ownership::preferred_owner(0, &[]), None);
}

/// An owner is replaced after a time of silence, not at the first failure; soon after a change the
/// shard is left where it is, for longer with each change.
#[test]
fn suspicion_waits_longer_with_each_change() {
    let patience = ownership::Limits::default();
    let mut suspicion = ownership::Detector::new(patience);
    let mut now = Instant::now();
    assert_eq!(
        suspicion.record_failure(now),
        ownership::Action::Retry(patience.silence)
    );
    suspicion.record_success();
    assert_eq!(
        suspicion.record_failure(now),
        ownership::Action::Retry(patience.silence)
    );
    now += patience.silence;
    assert_eq!(suspicion.record_failure(now), ownership::Action::TakeOver);
    let mut waits = Vec::new();
    for _ in 0..4 {
        suspicion.record_owner_change(now);
        suspicion.record_failure(now);
        now += patience.silence;
        let ownership::Action::Settle(wait) = suspicion.record_failure(now) else {
            panic!("the shard would change hands at once");
        };
        waits.push(wait + patience.silence);
        now += wait;
    }
    let first = patience.settle_time;
    assert_eq!(waits, [first, first * 2, first * 4, first * 8]);
}

/// The owner's process is paused: it accepts connections and answers nothing, so that each try ends
/// only at a timeout of two seconds. The second one replaces it, as no answer came in between; a try
/// from a minute ago does not count.
#[test]
fn an_owner_whose_tries_time_out_is_replaced() {
    let patience = ownership::Limits::default();
    let mut suspicion = ownership::Detector::new(patience);
    let timeout = time::Duration::from_secs(2);
    let mut now = Instant::now();
    suspicion.record_failure(now);
    now += time::Duration::from_secs(60);
    assert_eq!(
        suspicion.record_failure(now),
        ownership::Action::Retry(patience.silence)
    );
    now += patience.silence + timeout;
    assert_eq!(suspicion.record_failure(now), ownership::Action::TakeOver);
}

/// The object service refuses the append that gives a claim back. The release stays for the next append;
/// dropped, it would leave the key claimed and each resend told "may have run".
#[test]
fn a_release_outlives_a_refused_append() {
    let now = Instant::now();
    let mut log = log::Log::new(1, Default::default(), Default::default(), now);
    log.claim(grant(7, 1), now);
    log.begin_append(now).unwrap();
    log.append_succeeded(now);
    log.release(id::Fingerprint(7), id::RequestId(1)).unwrap();
    log.begin_append(now).unwrap();
    log.append_rejected();
    assert!(matches!(log.claim(grant(7, 2), now), log::Outcome::Wait(_)));
    log.begin_append(now).unwrap();
    log.append_succeeded(now);
    assert!(matches!(
        log.claim(grant(7, 2), now),
        log::Outcome::Queued(_)
    ));
}

/// Appends start at once after a quiet time, and keep to the rate in the long run; a process that
/// owns a quarter of the shards has a quarter of the rate.
#[test]
fn pace_keeps_the_rate() {
    let mut pace = limiter::Limiter::new(unit::Rate(200.0), 16, 8);
    (0..4).for_each(|_| pace.add_shard());
    let start = Instant::now() + 10 * SECOND;
    assert_eq!(pace.reserve_slot(start), start);
    let last = (0..500).map(|_| pace.reserve_slot(start)).last().unwrap();
    let taken = (last - start).as_secs_f64();
    assert!((9.0..=10.0).contains(&taken), "{taken}");
    let later = last + 10 * SECOND;
    assert_eq!(pace.reserve_slot(later), later);
}
