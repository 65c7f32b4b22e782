//! Quantiles, refusal by deadline and `Retry-After`.

use std::time;

use laburnumcart::{
    estimate,
    verdict::{
        Reason,
        Verdict, //
    },
};
use proptest::prelude::*;
use rand::SeedableRng;
use tokio::time::Instant;

const fn millis(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn rng() -> rand::rngs::StdRng {
    rand::rngs::StdRng::seed_from_u64(7)
}

/// Returns the throughput of a queue that has completed ten entries per second for a minute.
fn steady_throughput(mut now: Instant) -> (estimate::Throughput, Instant) {
    let mut throughput = estimate::Throughput::new(now);
    for _ in 0..600 {
        now += millis(100);
        throughput.record(now);
    }
    (throughput, now)
}

/// A stage becomes ten times slower, then has no calls.
#[test]
fn quantile_follows_changes_and_expires() {
    let mut now = Instant::now();
    let mut quantiles = estimate::Quantiles::new(now);
    assert_eq!(quantiles.quantile(0.5, now), None);
    for slow in [10, 100] {
        for _ in 0..700 {
            now += millis(100);
            quantiles.record(millis(slow), now);
        }
        let median = quantiles.quantile(0.5, now).unwrap();
        assert!(
            median >= millis(slow) && median < millis(slow) * 102 / 100,
            "{median:?}"
        );
    }
    assert_eq!(quantiles.quantile(0.5, now + millis(600_000)), None);
}

#[test]
fn request_that_would_miss_its_deadline_in_the_queue_is_refused() {
    let (mut throughput, now) = steady_throughput(Instant::now());
    let remaining = estimate::Remaining {
        time_left: millis(2000),
        queued: 10,
        stage_time: millis(500),
    };
    assert_eq!(
        estimate::check_deadline(&remaining, &mut throughput, now, &mut rng()),
        Ok(())
    );
    let long = estimate::Remaining {
        queued: 40,
        ..remaining
    };
    let refusal = estimate::check_deadline(&long, &mut throughput, now, &mut rng()).unwrap_err();
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::DeadlineTooShort)
    );
    // The expected time exceeds the deadline by 2.5 s.
    let retry = refusal.retry.unwrap().0;
    assert!(retry > millis(2200) && retry < millis(3500), "{retry:?}");
}

/// Callers that are refused at the same time must not all return at once.
#[test]
fn refused_callers_return_at_the_rate_of_completions() {
    let (mut throughput, now) = steady_throughput(Instant::now());
    let mut rng = rng();
    let times: Vec<_> = (0..50)
        .map(|_| throughput.retry_after(millis(0), now, &mut rng))
        .collect();
    for start in 0..5 {
        let second = millis(start * 1000)..millis((start + 1) * 1000);
        let count = times.iter().filter(|t| second.contains(t)).count();
        assert!(count <= 15, "{times:?}");
    }
}

/// With too low an assumed rate, callers would avoid an idle process for most of a minute.
#[test]
fn refused_callers_of_a_new_process_return_soon() {
    let now = Instant::now();
    let mut throughput = estimate::Throughput::new(now);
    let mut rng = rng();
    for _ in 0..50 {
        assert!(throughput.retry_after(millis(0), now, &mut rng) < millis(2000));
    }
}

proptest! {
    #[test]
    fn retry_after_is_bounded(excess in 0u64..1_000_000, count in 1usize..100) {
        let now = Instant::now();
        let mut throughput = estimate::Throughput::new(now);
        let mut rng = rng();
        for _ in 0..count {
            let retry = throughput.retry_after(millis(excess), now, &mut rng);
            prop_assert!(retry >= millis(100) && retry <= millis(60_000));
        }
    }
}
