//! The limit finds a target's capacity and keeps to it.

use std::time;

use laburnumcart::concurrency;
use rstest::rstest;
use tokio::time::Instant;

const BASE: time::Duration = time::Duration::from_millis(20);

/// Runs calls at a target of the given capacity, with as many in flight as the limit allows.
fn saturate(limit: &mut concurrency::Limit, capacity: u32, secs: u64, now: &mut Instant) -> u32 {
    let end = *now + time::Duration::from_secs(secs);
    let mut peak = 0;
    while *now < end {
        let n = limit.get();
        let latency = BASE.mul_f64((f64::from(n) / f64::from(capacity)).max(1.0));
        *now += latency / n;
        limit.record_latency(latency, n, *now);
        peak = peak.max(limit.get());
    }
    peak
}

#[rstest]
#[case(1)]
#[case(4)]
#[case(16)]
#[case(64)]
fn finds_capacity_and_stays_there(#[case] capacity: u32) {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, capacity, 5, &mut now);
    // Ten windows of lasting saturation must not let the limit creep up.
    let peak = saturate(&mut limit, capacity, 300, &mut now);
    assert!(peak <= 3 * capacity + 4, "{peak}");
    saturate(&mut limit, capacity, 2, &mut now);
    assert!(limit.get() >= capacity.div_ceil(2), "{}", limit.get());
}

#[test]
fn one_slow_call_changes_nothing() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 16, 5, &mut now);
    let before = limit.get();
    limit.record_latency(BASE * 100, before, now);
    for _ in 0..200 {
        now += BASE / 16;
        let latency = BASE.mul_f64((f64::from(limit.get()) / 16.0).max(1.0));
        limit.record_latency(latency, limit.get(), now);
        assert!(limit.get() * 10 >= before * 9, "{before} {}", limit.get());
    }
}

#[test]
fn light_traffic_proves_nothing_of_a_higher_limit() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 16, 5, &mut now);
    let before = limit.get();
    // The pause voids the batch that was begun under load.
    now += time::Duration::from_secs(10);
    for _ in 0..1000 {
        now += time::Duration::from_millis(500);
        limit.record_latency(BASE, 1, now);
    }
    assert_eq!(limit.get(), before);
}

/// The target is idle for an hour but for a few calls. These are fast, yet prove nothing of a
/// higher limit: it must neither grow nor be forgotten.
#[test]
fn idle_period_changes_nothing() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 16, 5, &mut now);
    let before = limit.get();
    for _ in 0..60 {
        now += time::Duration::from_secs(60);
        limit.record_latency(BASE, 1, now);
    }
    assert_eq!((limit.get(), limit.base_latency()), (before, Some(BASE)));
}

#[test]
fn never_below_one() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 4, 1, &mut now);
    for i in 0..1000 {
        now += BASE;
        limit.record_refusal();
        limit.record_latency(BASE * i, limit.get(), now);
        assert!(limit.get() >= 1);
    }
}

/// The limit was just cut. Calls that started before still end, slow as under the old limit. They
/// must not cut it again, or one congestion would be answered many times.
#[test]
fn calls_from_before_a_cut_do_not_count() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 16, 5, &mut now);
    let before = limit.get();
    limit.record_refusal();
    let after = limit.get();
    assert!(after < before);
    for in_flight in (after + 1..=before).rev().cycle().take(100) {
        limit.record_latency(BASE * 10, in_flight, now);
    }
    assert_eq!(limit.get(), after);
}

/// A target takes half a second for a call and is saturated for minutes. Its latency was searched for
/// once, by halving the limit for a batch, and has not risen since. Halving it again each window took
/// a quarter of its capacity for seconds, the queue grew, and callers near capacity were late.
#[test]
fn known_latency_is_not_searched_for_again() {
    let base = time::Duration::from_millis(500);
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    let mut run = |limit: &mut concurrency::Limit, secs: u64| {
        let end = now + time::Duration::from_secs(secs);
        let mut lowest = u32::MAX;
        while now < end {
            let n = limit.get();
            let latency = base.mul_f64((f64::from(n) / 4.0).max(1.0));
            now += latency / n;
            limit.record_latency(latency, n, now);
            lowest = lowest.min(limit.get());
        }
        lowest
    };
    run(&mut limit, 30);
    assert!(run(&mut limit, 240) >= 4);
}
