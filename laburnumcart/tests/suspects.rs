//! Poison content beside other content at targets that crash.

use std::time;

use laburnumcart::{
    facts, id, suspects, unit,
    verdict::{
        Reason,
        Verdict, //
    },
};
use rstest::rstest;
use tokio::time::Instant;

const QUARANTINE: unit::Period = unit::Period::from_secs(600);
const POISON: id::Fingerprint = id::Fingerprint(0);

fn crash(table: &mut facts::Table, running: &[u128], now: Instant) {
    let running = running.iter().map(|content| id::Fingerprint(*content));
    table.add_crash(&suspects::crash_fact(running, QUARANTINE), now);
}

fn clear(table: &mut facts::Table, content: u128, now: Instant) {
    let known = suspects::Suspects::new(table, now);
    for cleared in known.clearances(id::Fingerprint(content), now) {
        table.add_cleared(&cleared, now);
    }
}

/// Poison content is resent under new ids, so it would crash one target after another.
#[test]
fn poison_crashes_two_targets_and_is_refused_for_a_while() {
    let now = Instant::now();
    let mut table = facts::Table::default();
    crash(&mut table, &[0, 1, 2, 3], now);
    let known = suspects::Suspects::new(&table, now);
    assert_eq!(known.status(POISON, now), suspects::Status::Suspect);
    assert!(!known.can_run(POISON, [id::Fingerprint(1)], now));
    assert!(!known.can_run(POISON, [POISON], now));
    assert!(known.can_run(POISON, [id::Fingerprint(7), id::Fingerprint(8)], now));

    // The poison crashes a second target, which runs other content.
    let later = now + time::Duration::from_secs(500);
    crash(&mut table, &[0, 7, 8], later);
    // The other content completes elsewhere and is cleared.
    for content in [1, 2, 3, 7, 8] {
        clear(&mut table, content, later);
    }
    let known = suspects::Suspects::new(&table, later);
    let refusal = known.refusal(POISON, later).unwrap();
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::Quarantined)
    );
    assert!(refusal.retry.unwrap() >= QUARANTINE);
    for content in [1, 2, 3, 7, 8] {
        assert_eq!(
            known.status(id::Fingerprint(content), later),
            suspects::Status::Clean
        );
    }
    let end = later + 2 * QUARANTINE.0;
    assert_eq!(known.refusal(POISON, end), None);
    table.expire(end);
    assert!(suspects::Suspects::new(&table, end).is_empty());
}

/// Before the first crash is known, content may run beside the poison again and look like it.
#[test]
fn innocent_beside_poison_twice_is_not_quarantined() {
    let now = Instant::now();
    let mut table = facts::Table::default();
    crash(&mut table, &[0, 1], now);
    crash(&mut table, &[0, 1], now);
    let known = suspects::Suspects::new(&table, now);
    assert_eq!(known.status(POISON, now), suspects::Status::Suspect);
    assert_eq!(
        known.status(id::Fingerprint(1), now),
        suspects::Status::Suspect
    );

    clear(&mut table, 1, now);
    let known = suspects::Suspects::new(&table, now);
    assert!(known.refusal(POISON, now).is_some());
    assert_eq!(
        known.status(id::Fingerprint(1), now),
        suspects::Status::Clean
    );
}

/// Content beside two poisons looks like a third until further crashes by both explain its own.
#[test]
fn innocent_beside_two_poisons_is_refused_until_both_are_known() {
    let now = Instant::now();
    let innocent = id::Fingerprint(1);
    let mut table = facts::Table::default();
    crash(&mut table, &[0, 1], now);
    crash(&mut table, &[9, 1], now);
    let known = suspects::Suspects::new(&table, now);
    assert!(known.refusal(innocent, now).is_some());
    assert_eq!(known.refusal(innocent, now + 2 * QUARANTINE.0), None);

    crash(&mut table, &[0, 2], now);
    crash(&mut table, &[9, 3], now);
    let known = suspects::Suspects::new(&table, now);
    for poison in [POISON, id::Fingerprint(9)] {
        assert!(known.refusal(poison, now).is_some());
    }
    assert_eq!(known.status(innocent, now), suspects::Status::Suspect);
    assert!(known.can_run(innocent, [], now));
}

/// If the order of facts mattered, one entry would refuse content that another one admits.
#[rstest]
#[case([0, 1, 2])]
#[case([2, 1, 0])]
#[case([1, 2, 0])]
fn status_does_not_depend_on_the_order_of_facts(#[case] order: [usize; 3]) {
    let now = Instant::now();
    let mut source = facts::Table::default();
    let mut parts = Vec::new();
    for running in [&[0, 1][..], &[0, 2]] {
        let before = source.version();
        crash(&mut source, running, now);
        parts.extend(source.changes(before, now));
    }
    let before = source.version();
    clear(&mut source, 1, now);
    parts.extend(source.changes(before, now));
    let mut table = facts::Table::default();
    for i in order {
        table.merge(&parts[i], now);
    }
    let known = suspects::Suspects::new(&table, now);
    assert!(known.refusal(POISON, now).is_some());
    assert_eq!(
        known.status(id::Fingerprint(1), now),
        suspects::Status::Clean
    );
    assert_eq!(
        known.status(id::Fingerprint(2), now),
        suspects::Status::Suspect
    );
}
