//! The concurrency limit finds a target's capacity and stays there.

use std::time;

use laburnumcart::concurrency;
use rstest::rstest;
use tokio::time::Instant;

const BASE: time::Duration = time::Duration::from_millis(20);

/// Keeps a target of the given capacity saturated for `secs`; returns the greatest limit.
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
fn limit_finds_capacity_and_stays_there(#[case] capacity: u32) {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, capacity, 5, &mut now);
    // Sustained saturation over ten windows must not raise the limit further.
    let peak = saturate(&mut limit, capacity, 300, &mut now);
    assert!(peak <= 3 * capacity + 4, "{peak}");
    saturate(&mut limit, capacity, 2, &mut now);
    assert!(limit.get() >= capacity.div_ceil(2), "{}", limit.get());
}

#[test]
fn one_slow_call_does_not_lower_the_limit() {
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
fn light_traffic_does_not_raise_the_limit() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 16, 5, &mut now);
    let before = limit.get();
    // The pause discards the batch that was started under load.
    now += time::Duration::from_secs(10);
    for _ in 0..1000 {
        now += time::Duration::from_millis(500);
        limit.record_latency(BASE, 1, now);
    }
    assert_eq!(limit.get(), before);
}

/// A few fast calls during an idle hour must neither raise nor reset the limit.
#[test]
fn idle_period_keeps_the_limit() {
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
fn limit_is_at_least_one() {
    let (mut limit, mut now) = (concurrency::Limit::new(), Instant::now());
    saturate(&mut limit, 4, 1, &mut now);
    for i in 0..1000 {
        now += BASE;
        limit.record_refusal();
        limit.record_latency(BASE * i, limit.get(), now);
        assert!(limit.get() >= 1);
    }
}

/// Slow calls sent before a decrease must not lower the limit again for the same congestion.
#[test]
fn calls_sent_under_a_higher_limit_are_ignored() {
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

/// A search in each window would cut a slow target's capacity by a quarter and make callers late.
#[test]
fn search_is_not_repeated_while_its_result_is_kept() {
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
