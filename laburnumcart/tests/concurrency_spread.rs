//! The limit at a target whose calls take very different times.

use std::{
    cmp::Reverse,
    collections,
    time, //
};

use laburnumcart::concurrency;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;
use tokio::time::Instant;

const MEAN: f64 = 0.02;
const SECS: f64 = 60.0;

/// Keeps as many calls in flight as the limit allows at a target that executes `servers` at once
/// and queues the rest. Returns the throughput as a part of the capacity, and the mean latency as a
/// multiple of the mean service time.
fn run(servers: usize, seed: u64) -> (f64, f64) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let micros = |secs: f64| (secs * 1e6) as u64;
    let mut limit = concurrency::Limit::new();
    let mut free: collections::BinaryHeap<_> = (0..servers).map(|_| Reverse(0)).collect();
    let mut calls = collections::BinaryHeap::new();
    let (mut now, mut count, mut sum) = (0, 0, 0);
    while now < micros(SECS) {
        while calls.len() < limit.get() as usize {
            let service = micros(-MEAN * (1.0 - rng.random::<f64>()).ln());
            let Reverse(idle) = free.pop().unwrap();
            let end = now.max(idle) + service;
            free.push(Reverse(end));
            calls.push(Reverse((end, now)));
        }
        let in_flight = calls.len() as u32;
        let Reverse((end, sent)) = calls.pop().unwrap();
        now = end;
        let latency = time::Duration::from_micros(end - sent);
        limit.record_latency(latency, in_flight, start + time::Duration::from_micros(now));
        // The first fifth is for finding the limit.
        if now > micros(SECS / 5.0) {
            count += 1;
            sum += end - sent;
        }
    }
    let capacity = servers as f64 / MEAN * SECS * 0.8;
    (
        f64::from(count) / capacity,
        sum as f64 / f64::from(count) / 1e6 / MEAN,
    )
}

/// Service times are exponentially distributed. Taking the luckiest of small batches for the usual
/// latency, every other one would look congested and the target would run nearly empty.
#[rstest]
fn capacity_is_used(#[values(1, 4, 16, 64)] servers: usize, #[values(1, 2, 3)] seed: u64) {
    let (throughput, latency) = run(servers, seed);
    println!("servers={servers} seed={seed} throughput={throughput:.2} latency={latency:.2}");
    assert!(throughput >= 0.85, "{throughput}");
    assert!(latency <= 4.0, "{latency}");
}
