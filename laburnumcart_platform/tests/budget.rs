//! Token buckets of calls to the object service.

use std::time;

use tokio::time::Instant;

use laburnumcart::unit;
use laburnumcart_platform::budget;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Takes until the bucket refuses.
fn take_all(bucket: &mut budget::Bucket, now: Instant) -> u32 {
    let mut count = 0;
    while bucket.try_take(now).is_ok() {
        count += 1;
    }
    count
}

#[test]
fn calls_over_the_rate_are_refused_at_once() {
    let start = Instant::now();
    let mut bucket = budget::Bucket::new(unit::Rate(40.0), start);
    assert_eq!(take_all(&mut bucket, start), 10);
    let taken: u32 = (1..=100)
        .map(|tick| take_all(&mut bucket, start + SECOND / 10 * tick))
        .sum();
    assert_eq!(taken, 400);
}

#[test]
fn refusal_tells_when_the_next_call_is_due() {
    let start = Instant::now();
    let mut bucket = budget::Bucket::new(unit::Rate(40.0), start);
    take_all(&mut bucket, start);
    let due = bucket.try_take(start).unwrap_err();
    assert_eq!(due, unit::Period::from_millis(25));
    assert!(bucket.try_take(start + due.0).is_ok());
}

#[test]
fn waiting_calls_take_a_token_a_second() {
    let start = Instant::now();
    let mut bucket = budget::Bucket::new(unit::Rate(40.0), start);
    for _ in 0..10 {
        bucket.try_hold(start).unwrap();
    }
    let taken: u32 = (1..=100)
        .map(|tick| take_all(&mut bucket, start + SECOND / 10 * tick))
        .sum();
    assert_eq!(taken, 300);
    for _ in 0..10 {
        bucket.release(start + SECOND * 10);
    }
    assert_eq!(take_all(&mut bucket, start + SECOND * 20), 10);
}

#[test]
fn waiting_calls_never_exceed_the_rate() {
    let start = Instant::now();
    let mut bucket = budget::Bucket::new(unit::Rate(3.0), start);
    for tick in 0..100 {
        let _ = bucket.try_hold(start + SECOND * tick);
    }
    assert_eq!(bucket.waiting_calls(), 3);
}
