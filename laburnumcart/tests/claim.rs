//! The claim log, its table and the choice of owners, as plain state machines.

use std::{
    collections,
    net,
    time, //
};

use laburnumcart::{
    claim::{
        self,
        log,
        pace,
        record,
        route,
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
    let limits = log::Limits { claims, segments };
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
    assert_eq!(log.claim(grant(1, 1), now), log::Step::Queued(0));
    let first = log.begin(now).unwrap();
    assert_eq!((first.number, records(&first)), (0, 1));
    for key in 2..6 {
        assert_eq!(log.claim(grant(key, key), now), log::Step::Queued(1));
    }
    assert_eq!(log.begin(now), None);
    log.durable(now);
    let second = log.begin(now).unwrap();
    assert_eq!((second.number, records(&second)), (1, 4));
}

/// A second request under a key cannot be told "taken" before the first one's fate is known: that
/// one may still be refused as not run.
#[test]
fn claim_of_a_pending_key_waits() {
    let (mut log, now) = new_log(100, 256);
    log.claim(grant(1, 1), now);
    assert_eq!(log.claim(grant(1, 2), now), log::Step::Wait(0));
    assert_eq!(log.claim(grant(1, 1), now), log::Step::Queued(0));
    log.begin(now).unwrap();
    log.rejected();
    assert_eq!(log.claim(grant(1, 2), now), log::Step::Queued(1));
    assert_eq!(log.begin(now).unwrap().number, 0);
    log.durable(now);
    assert_eq!(log.claim(grant(1, 3), now), log::Step::Taken(grant(1, 2)));
    assert_eq!(log.claim(grant(1, 2), now), log::Step::Granted);
}

/// A caller that has gone before its batch was sent leaves no record; later it is too late.
#[test]
fn withdrawn_claim_is_not_appended() {
    let (mut log, now) = new_log(100, 256);
    log.claim(grant(1, 1), now);
    log.claim(grant(2, 2), now);
    log.withdraw(|key, _| key != id::Fingerprint(1));
    let append = log.begin(now).unwrap();
    assert_eq!(records(&append), 1);
    log.withdraw(|_, _| false);
    log.durable(now);
    assert_eq!(log.claim(grant(1, 3), now), log::Step::Queued(1));
    assert!(matches!(log.claim(grant(2, 3), now), log::Step::Taken(_)));
}

/// Claims beyond the limit are refused before anything is recorded, those in flight count.
#[test]
fn full_log_records_nothing() {
    let (mut log, now) = new_log(2, 256);
    log.claim(grant(1, 1), now);
    log.claim(grant(2, 2), now);
    assert_eq!(log.claim(grant(3, 3), now), log::Step::Full);
    assert_eq!(records(&log.begin(now).unwrap()), 2);
    log.durable(now);
    assert_eq!(log.claim(grant(3, 3), now), log::Step::Full);
    let later = now + 101 * SECOND;
    assert_eq!(log.claim(grant(3, 3), later), log::Step::Queued(1));
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
        log.begin(now).unwrap();
        log.durable(now);
    }
    assert!(log.wants_snapshot());
    let parts = log.snapshot(now + SECOND);
    assert_eq!(parts.len(), 1);
    for (number, segment) in &parts {
        assert_eq!(*number, log.next());
        log.part_durable(segment);
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
        let owner = route::preferred(shard, &live).unwrap();
        if owner != live[0] {
            assert_eq!(route::preferred(shard, rest), Some(owner));
        }
    }
    assert_eq!(route::preferred(0, &[]), None);
}

/// An owner is replaced after a time of silence, not at the first failure; soon after a change the
/// shard is left where it is, for longer with each change.
#[test]
fn suspicion_waits_longer_with_each_change() {
    let patience = route::Patience::default();
    let mut suspicion = route::Suspicion::new(patience);
    let mut now = Instant::now();
    assert_eq!(
        suspicion.unreachable(now),
        route::Advice::Again(patience.silence)
    );
    suspicion.answered();
    assert_eq!(
        suspicion.unreachable(now),
        route::Advice::Again(patience.silence)
    );
    now += patience.silence;
    assert_eq!(suspicion.unreachable(now), route::Advice::Take);
    let mut waits = Vec::new();
    for _ in 0..4 {
        suspicion.changed(now);
        suspicion.unreachable(now);
        now += patience.silence;
        let route::Advice::Settle(wait) = suspicion.unreachable(now) else {
            panic!("the shard would change hands at once");
        };
        waits.push(wait + patience.silence);
        now += wait;
    }
    let first = patience.settle;
    assert_eq!(waits, [first, first * 2, first * 4, first * 8]);
}

/// The owner's process is paused: it accepts connections and answers nothing, so that each try ends
/// only at a timeout of two seconds. The second one replaces it, as no answer came in between; a try
/// from a minute ago does not count.
#[test]
fn an_owner_whose_tries_time_out_is_replaced() {
    let patience = route::Patience::default();
    let mut suspicion = route::Suspicion::new(patience);
    let timeout = time::Duration::from_secs(2);
    let mut now = Instant::now();
    suspicion.unreachable(now);
    now += time::Duration::from_secs(60);
    assert_eq!(
        suspicion.unreachable(now),
        route::Advice::Again(patience.silence)
    );
    now += patience.silence + timeout;
    assert_eq!(suspicion.unreachable(now), route::Advice::Take);
}

/// Appends start at once after a quiet time, and keep to the rate in the long run; a process that
/// owns a quarter of the shards has a quarter of the rate.
#[test]
fn pace_keeps_the_rate() {
    let mut pace = pace::Pace::new(unit::Rate(200.0), 16, 8);
    (0..4).for_each(|_| pace.gain());
    let start = Instant::now() + 10 * SECOND;
    assert_eq!(pace.reserve(start), start);
    let last = (0..500).map(|_| pace.reserve(start)).last().unwrap();
    let taken = (last - start).as_secs_f64();
    assert!((9.0..=10.0).contains(&taken), "{taken}");
    let later = last + 10 * SECOND;
    assert_eq!(pace.reserve(later), later);
}
