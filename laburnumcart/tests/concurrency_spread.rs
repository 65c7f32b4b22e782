//! The concurrency limit of a target with widely varying service times.

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

/// Simulates a target that executes `servers` calls concurrently and queues the rest, with as many
/// calls in flight as the limit allows. Returns the throughput as a fraction of the capacity, and
/// the mean latency as a multiple of the mean service time.
fn simulate(servers: usize, seed: u64) -> (f64, f64) {
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
        // The first fifth is warm-up, in which the limit settles.
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

/// If the minimum of small batches were the usual latency, all others would look congested.
#[rstest]
fn capacity_is_used_with_exponential_service_times(
    #[values(1, 4, 16, 64)] servers: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let (throughput, latency) = simulate(servers, seed);
    println!("servers={servers} seed={seed} throughput={throughput:.2} latency={latency:.2}");
    assert!(throughput >= 0.85, "{throughput}");
    assert!(latency <= 4.0, "{latency}");
}
