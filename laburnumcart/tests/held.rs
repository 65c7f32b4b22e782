//! Bytes held for callers, and the connections that are closed when they are too many.

use std::time;

use laburnumcart::held;
use proptest::prelude::*;
use tokio::time::Instant;

const LIMIT: usize = 1000;

fn after(start: Instant, ms: u64) -> Instant {
    start + time::Duration::from_millis(ms)
}

// A request that waits for its target must not pay for others, however much is held.
#[test]
fn only_stalled_connections_are_closed() {
    let now = Instant::now();
    let mut ledger = held::Ledger::new(LIMIT);
    let (waiting, stalled, empty) = (ledger.open(now), ledger.open(now), ledger.open(now));
    ledger.hold(waiting, 1200);
    ledger.hold(stalled, 600);
    ledger.record_progress(stalled, after(now, 50));
    ledger.record_stall(stalled);
    ledger.record_stall(empty);
    assert_eq!(ledger.evict(after(now, 50)), None);
    assert_eq!(ledger.evict(after(now, 51)), Some(stalled));
    assert_eq!(ledger.evict(after(now, 1000)), None);
    assert_eq!(ledger.total(), 1200);
}

// Large bodies must not shut out small ones, and a body of any size must fit in at some time.
#[test]
fn a_part_of_the_room_is_kept_for_small_bodies() {
    let now = Instant::now();
    let large = held::SMALL_MAX * 16;
    let mut ledger = held::Ledger::new(large * 3);
    let ids: Vec<_> = (0..18).map(|_| ledger.open(now)).collect();
    assert!(ledger.try_hold(ids[0], large));
    assert!(ledger.try_hold(ids[1], large));
    assert!(!ledger.try_hold(ids[2], large));
    assert!(!ledger.try_hold(ids[2], held::SMALL_MAX + 1));
    for id in &ids[3..17] {
        assert!(ledger.try_hold(*id, held::SMALL_MAX));
    }
    assert!(!ledger.try_hold(ids[17], 1), "the rest is for streams");
    ids.iter().for_each(|id| ledger.close(*id));
    let id = ledger.open(now);
    assert!(ledger.try_hold(id, large * 4));
}

// Streams that are read slowly would be closed whenever a large body waits, and give it no room.
#[test]
fn who_holds_little_is_not_closed_for_what_waits_for_room() {
    let now = Instant::now();
    let mut ledger = held::Ledger::new(held::SMALL_MAX * 6);
    let (little, much) = (ledger.open(now), ledger.open(now));
    ledger.hold(little, held::SMALL_MAX);
    ledger.hold(much, held::SMALL_MAX + 1);
    ledger.record_stall(little);
    ledger.record_stall(much);
    ledger.record_progress(much, after(now, 10));
    ledger.record_stall(much);
    assert_eq!(ledger.evict_large(after(now, 1000)), Some(much));
    assert_eq!(ledger.evict_large(after(now, 1000)), None);
    assert_eq!(ledger.evict_stalled(after(now, 1000)), Some(little));
}

// Answers that are read in part could keep the room from one another for good.
#[test]
fn the_oldest_large_answer_has_room_of_its_own() {
    let mut ledger = held::Ledger::new(held::SMALL_MAX * 48);
    let (first, second) = (ledger.begin_reading(), ledger.begin_reading());
    ledger.hold_shared(held::SMALL_MAX * 37);
    assert!(!ledger.try_hold_shared(held::Answer::Large(second), 1));
    assert!(!ledger.try_hold_shared(held::Answer::Unsized, 1));
    let oldest = held::Answer::Large(first);
    assert!(ledger.try_hold_shared(oldest, held::SMALL_MAX * 8));
    assert!(ledger.try_hold_shared(held::Answer::Small, held::SMALL_MAX));
    assert!(!ledger.try_hold_shared(oldest, 1));
    ledger.free_shared(held::SMALL_MAX * 9);
    ledger.end_reading(first);
    assert!(ledger.try_hold_shared(held::Answer::Large(second), held::SMALL_MAX));
}

// Callers that read nothing at all would otherwise outlast those that read a little.
#[test]
fn the_longest_without_progress_is_closed_first() {
    let now = Instant::now();
    let mut ledger = held::Ledger::new(LIMIT);
    let ids: Vec<_> = (0..4).map(|_| ledger.open(now)).collect();
    for (id, ms) in ids.iter().zip([30, 10, 40, 20]) {
        ledger.hold(*id, 500);
        ledger.record_progress(*id, after(now, ms));
        ledger.record_stall(*id);
    }
    let closed: Vec<_> = std::iter::from_fn(|| ledger.evict(after(now, 1000))).collect();
    assert_eq!(closed, [ids[1], ids[3]]);
}

// Connections are as limited as bytes: slow callers must not shut out others, nor be cut at once.
#[test]
fn room_is_made_only_by_callers_that_are_stalled_for_long() {
    let now = Instant::now();
    let mut ledger = held::Ledger::new(LIMIT);
    let ids: Vec<_> = (0..4).map(|_| ledger.open(now)).collect();
    for (id, ms) in ids.iter().zip([30, 10, 0, 0]) {
        ledger.record_progress(*id, after(now, ms));
    }
    for id in &ids[..3] {
        ledger.record_stall(*id);
    }
    for id in [ids[0], ids[1], ids[3]] {
        ledger.hold(id, 1);
    }
    assert_eq!(ledger.evict_stalled(after(now, 10)), None);
    assert_eq!(ledger.evict_stalled(after(now, 20)), Some(ids[1]));
    assert_eq!(ledger.evict_stalled(after(now, 20)), None);
    assert_eq!(ledger.evict_stalled(after(now, 40)), Some(ids[0]));
    assert_eq!(ledger.evict_stalled(after(now, 40)), None);
}

proptest! {
    // A sum that drifts from its parts would close sound connections, or none.
    #[test]
    fn the_total_is_the_sum_of_the_parts(
        steps in prop::collection::vec((0..8u8, 0..8usize, 0..700usize), 0..200)
    ) {
        let now = Instant::now();
        let mut ledger = held::Ledger::new(LIMIT);
        let mut ids = vec![ledger.open(now)];
        let mut shared = 0;
        let mut granted = 0;
        let mut stalled = std::collections::BTreeSet::new();
        for (kind, which, bytes) in steps {
            let id = ids[which % ids.len()];
            match kind {
                0 => ledger.hold(id, bytes),
                1 => ledger.free(id, bytes),
                2 => { ledger.hold_shared(bytes); shared += bytes; }
                3 => { ledger.free_shared(bytes); shared -= bytes.min(shared); }
                4 => ledger.close(id),
                5 => { ledger.record_stall(id); stalled.insert(id); }
                6 => {
                    let before = (ledger.total(), ledger.of(id));
                    if ledger.try_hold(id, bytes) && before.0 > 0 && bytes > 0 {
                        granted = granted.max(ledger.total());
                    } else if before.0 > 0 {
                        prop_assert_eq!((ledger.total(), ledger.of(id)), before);
                    }
                }
                _ => ids.push(ledger.open(now)),
            }
            while let Some(id) = ledger.evict(after(now, 1)) {
                prop_assert!(stalled.contains(&id), "closed though it waits for a target");
            }
            let sum: usize = ids.iter().map(|id| ledger.of(*id)).sum();
            prop_assert_eq!(ledger.total(), sum + shared);
            let of_stalled: usize = stalled.iter().map(|id| ledger.of(*id)).sum();
            prop_assert!(ledger.total() <= LIMIT || of_stalled == 0);
            prop_assert!(granted <= LIMIT);
        }
    }
}
