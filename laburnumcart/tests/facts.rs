//! Merging of facts in any order and any number of times, and their expiry.

use std::time;

use laburnumcart::{
    facts,
    id,
    unit, //
};
use proptest::prelude::*;
use tokio::time::Instant;

fn facts() -> impl Strategy<Value = facts::Facts> {
    let incarnation = || (0u64..6).prop_map(id::Incarnation);
    let ttl = || (1u64..9).prop_map(|n| unit::Period::from_secs(n * 10));
    // Every report of a crash lists the same suspects.
    let crash = (incarnation(), ttl()).prop_map(|(id, ttl)| facts::Crash {
        id,
        suspects: vec![id::Fingerprint(id.0.into()), id::Fingerprint(99)],
        ttl,
    });
    let fingerprint = (0u128..4).prop_map(id::Fingerprint);
    let cleared =
        (fingerprint, incarnation(), ttl()).prop_map(|(fingerprint, crash, ttl)| facts::Cleared {
            fingerprint,
            crash,
            ttl,
        });
    (
        0u64..9,
        prop::collection::vec(incarnation(), 0..4),
        prop::collection::vec(crash, 0..4),
        prop::collection::vec(cleared, 0..4),
    )
        .prop_map(|(generation, leaving, crashes, cleared)| facts::Facts {
            generation: id::Generation(generation),
            leaving,
            crashes,
            cleared,
        })
}

/// Returns the facts of a table in a fixed order.
fn content(table: &facts::Table, now: Instant) -> facts::Facts {
    let mut facts = table
        .changes(facts::Version::default(), now)
        .unwrap_or_default();
    facts.leaving.sort();
    facts.crashes.sort_by_key(|crash| crash.id);
    facts
        .cleared
        .sort_by_key(|cleared| (cleared.fingerprint, cleared.crash));
    facts
}

fn merged(parts: &[&facts::Facts], now: Instant) -> facts::Table {
    let mut table = facts::Table::default();
    for part in parts {
        table.merge(part, now);
    }
    table
}

proptest! {
    #[test]
    fn merge_is_commutative_associative_idempotent(a in facts(), b in facts(), c in facts()) {
        let now = Instant::now();
        let whole = content(&merged(&[&a, &b, &c], now), now);
        prop_assert_eq!(&content(&merged(&[&c, &a, &b], now), now), &whole);
        let part = content(&merged(&[&b, &c], now), now);
        prop_assert_eq!(&content(&merged(&[&a, &part], now), now), &whole);
        let mut twice = merged(&[&a, &b, &c], now);
        prop_assert!(!twice.merge(&whole, now));
        prop_assert_eq!(&content(&twice, now), &whole);
    }

    #[test]
    fn peer_is_up_to_date_after_each_change(parts in prop::collection::vec(facts(), 1..6)) {
        let now = Instant::now();
        let (mut table, mut peer) = (facts::Table::default(), facts::Table::default());
        let mut sent = facts::Version::default();
        for part in &parts {
            table.merge(part, now);
            if let Some(changes) = table.changes(sent, now) {
                peer.merge(&changes, now);
            }
            sent = table.version();
            prop_assert_eq!(content(&peer, now), content(&table, now));
        }
    }
}

/// The latency of repeated exchanges between peers must not prolong a crash's time to live.
#[test]
fn circulating_facts_expire_on_time() {
    let mut now = Instant::now();
    let crash = facts::Crash {
        id: id::Incarnation(1),
        suspects: vec![id::Fingerprint(1)],
        ttl: unit::Period::from_secs(60),
    };
    let mut tables = [facts::Table::default(), facts::Table::default()];
    tables[0].add_crash(&crash, now);
    for step in 0..130 {
        let [one, two] = &mut tables;
        let (from, to) = if step % 2 == 0 {
            (one, two)
        } else {
            (two, one)
        };
        let sent = from.changes(facts::Version::default(), now);
        now += time::Duration::from_millis(500);
        to.merge(&sent.unwrap_or_default(), now);
    }
    assert!(tables.iter().all(|table| table.crashes(now).count() == 0));
}

#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut table = facts::Table::default();
    for i in 0..6000 {
        table.set_leaving(id::Incarnation(i), now + time::Duration::from_millis(i));
    }
    let kept = content(&table, now).leaving;
    assert_eq!((kept.len(), kept[0]), (4096, id::Incarnation(6000 - 4096)));
}
