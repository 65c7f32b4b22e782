//! Claim log, table of claims, rate limiter and choice of owners.

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

fn record_count(append: &log::Append) -> usize {
    match &append.segment {
        record::Segment::Batch { records, .. } => records.len(),
        _ => panic!("not a batch"),
    }
}

#[test]
fn claims_during_an_append_share_the_next_batch() {
    let (mut log, now) = new_log(100, 256);
    assert_eq!(log.claim(grant(1, 1), now), log::Outcome::Queued(0));
    let first = log.begin_append(now).unwrap();
    assert_eq!((first.number, record_count(&first)), (0, 1));
    for key in 2..6 {
        assert_eq!(log.claim(grant(key, key), now), log::Outcome::Queued(1));
    }
    assert_eq!(log.begin_append(now), None);
    log.append_succeeded(now);
    let second = log.begin_append(now).unwrap();
    assert_eq!((second.number, record_count(&second)), (1, 4));
}

/// A pending claim may still be refused as not run, so a second request must not get "taken" yet.
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

/// A claim can be withdrawn only before its batch is appended.
#[test]
fn withdrawn_claim_is_not_appended() {
    let (mut log, now) = new_log(100, 256);
    log.claim(grant(1, 1), now);
    log.claim(grant(2, 2), now);
    log.retain_pending(|key, _| key != id::Fingerprint(1));
    let append = log.begin_append(now).unwrap();
    assert_eq!(record_count(&append), 1);
    log.retain_pending(|_, _| false);
    log.append_succeeded(now);
    assert_eq!(log.claim(grant(1, 3), now), log::Outcome::Queued(1));
    assert!(matches!(
        log.claim(grant(2, 3), now),
        log::Outcome::Taken(_)
    ));
}

/// Claims beyond the limit are refused without a record; pending claims count towards the limit.
#[test]
fn full_log_records_nothing() {
    let (mut log, now) = new_log(2, 256);
    log.claim(grant(1, 1), now);
    log.claim(grant(2, 2), now);
    assert_eq!(log.claim(grant(3, 3), now), log::Outcome::Full);
    assert_eq!(record_count(&log.begin_append(now).unwrap()), 2);
    log.append_succeeded(now);
    assert_eq!(log.claim(grant(3, 3), now), log::Outcome::Full);
    let later = now + 101 * SECOND;
    assert_eq!(log.claim(grant(3, 3), later), log::Outcome::Queued(1));
}

/// A complete snapshot supersedes the batches before it; an unfinished one must not hide them.
#[rstest]
#[case::finished(false)]
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

/// A replayed claim must expire after its retention time from the grant, not from the replay.
#[test]
fn replay_keeps_ages() {
    let now = Instant::now();
    let batch = |at, key| record::Segment::Batch {
        at: unit::Period::from_secs(at),
        records: vec![record::Record::Grant(grant(key, key))],
    };
    let mut table = table::Table::default();
    log::replay(&mut table, &[batch(0, 1), batch(60, 2)], now);
    // The first claim is 60 s old at the replay and is kept for 100 s.
    table.expire(now + 39 * SECOND);
    assert_eq!(table.len(), 2);
    table.expire(now + 40 * SECOND);
    assert!(table.get(id::Fingerprint(1)).is_none());
    assert!(table.get(id::Fingerprint(2)).is_some());
}

/// The expiry of a released claim must not drop a later claim on the same key.
#[test]
fn reclaimed_key_outlives_the_expiry_of_its_released_claim() {
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

/// A snapshot is wanted after enough segments, and supersedes them once its last part is durable.
#[test]
fn snapshot_is_taken_after_enough_segments() {
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

/// A full part of a snapshot and a full batch each fit into an object of 1 MiB.
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

/// Keys map to all shards; the loss of a process moves only the shards that it owned.
#[test]
fn shards_move_only_from_a_lost_process() {
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

/// Entries that cannot reach each other must not take a shard from one another again and again.
#[test]
fn takeover_waits_longer_after_each_change_of_owner() {
    let limits = ownership::Limits::default();
    let mut detector = ownership::Detector::new(limits);
    let mut now = Instant::now();
    // The first failure is not enough, also after a success.
    assert_eq!(
        detector.record_failure(now),
        ownership::Action::Retry(limits.silence)
    );
    detector.record_success();
    assert_eq!(
        detector.record_failure(now),
        ownership::Action::Retry(limits.silence)
    );
    now += limits.silence;
    assert_eq!(detector.record_failure(now), ownership::Action::TakeOver);
    let mut waits = Vec::new();
    for _ in 0..4 {
        detector.record_owner_change(now);
        detector.record_failure(now);
        now += limits.silence;
        let ownership::Action::Settle(wait) = detector.record_failure(now) else {
            panic!("the shard would change its owner at once");
        };
        waits.push(wait + limits.silence);
        now += wait;
    }
    let first = limits.settle_time;
    assert_eq!(waits, [first, first * 2, first * 4, first * 8]);
}

/// Calls to a paused owner fail only by timeout; two such failures must suffice to replace it.
#[test]
fn owner_whose_calls_time_out_is_replaced() {
    let limits = ownership::Limits::default();
    let mut detector = ownership::Detector::new(limits);
    let timeout = time::Duration::from_secs(2);
    let mut now = Instant::now();
    // A failure from a minute ago does not count.
    detector.record_failure(now);
    now += time::Duration::from_secs(60);
    assert_eq!(
        detector.record_failure(now),
        ownership::Action::Retry(limits.silence)
    );
    now += limits.silence + timeout;
    assert_eq!(detector.record_failure(now), ownership::Action::TakeOver);
}

/// Without its release, the key would stay claimed, and each resend would get "may have run".
#[test]
fn release_is_kept_after_a_rejected_append() {
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

/// Appends start at once after an idle time and otherwise keep to the process's part of the rate.
#[test]
fn limiter_keeps_to_the_rate() {
    let mut limiter = limiter::Limiter::new(unit::Rate(200.0), 16, 8);
    (0..4).for_each(|_| limiter.add_shard());
    let start = Instant::now() + 10 * SECOND;
    assert_eq!(limiter.reserve_slot(start), start);
    // A process with 4 of 16 shards has a quarter of the rate, 50 appends per second.
    let last = (0..500)
        .map(|_| limiter.reserve_slot(start))
        .last()
        .unwrap();
    let elapsed = (last - start).as_secs_f64();
    assert!((9.0..=10.0).contains(&elapsed), "{elapsed}");
    let later = last + 10 * SECOND;
    assert_eq!(limiter.reserve_slot(later), later);
}
