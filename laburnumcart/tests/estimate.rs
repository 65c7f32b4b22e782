//! Quantiles, early refusal and Retry-After.

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

/// Returns a queue that has completed ten entries a second for a long time.
fn drain(mut now: Instant) -> (estimate::Throughput, Instant) {
    let mut drain = estimate::Throughput::new(now);
    for _ in 0..600 {
        now += millis(100);
        drain.record(now);
    }
    (drain, now)
}

/// A stage becomes ten times slower. Its quantile must follow within a window, and be withheld
/// once nothing was measured for long.
#[test]
fn quantile_follows_and_ages() {
    let mut now = Instant::now();
    let mut sample = estimate::Quantiles::new(now);
    assert_eq!(sample.quantile(0.5, now), None);
    for slow in [10, 100] {
        for _ in 0..700 {
            now += millis(100);
            sample.record(millis(slow), now);
        }
        let median = sample.quantile(0.5, now).unwrap();
        assert!(
            median >= millis(slow) && median < millis(slow) * 102 / 100,
            "{median:?}"
        );
    }
    assert_eq!(sample.quantile(0.5, now + millis(600_000)), None);
}

#[test]
fn refuses_what_cannot_finish_behind_the_queue() {
    let (mut drain, now) = drain(Instant::now());
    let outlook = estimate::Remaining {
        time_left: millis(2000),
        queued: 10,
        stage_time: millis(500),
    };
    assert_eq!(
        estimate::check_deadline(&outlook, &mut drain, now, &mut rng()),
        Ok(())
    );
    let long = estimate::Remaining {
        queued: 40,
        ..outlook
    };
    let refusal = estimate::check_deadline(&long, &mut drain, now, &mut rng()).unwrap_err();
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::DeadlineTooShort)
    );
    // It lacks 2.5 s; by then the queue is short enough.
    let retry = refusal.retry.unwrap().0;
    assert!(retry > millis(2200) && retry < millis(3500), "{retry:?}");
}

/// A burst of 50 callers is refused at one moment. They must come back at the rate at which the
/// queue is worked off, not all at once.
#[test]
fn refused_callers_come_back_at_the_drain_rate() {
    let (mut drain, now) = drain(Instant::now());
    let mut rng = rng();
    let times: Vec<_> = (0..50)
        .map(|_| drain.retry_after(millis(0), now, &mut rng))
        .collect();
    for start in 0..5 {
        let second = millis(start * 1000)..millis((start + 1) * 1000);
        let count = times.iter().filter(|t| second.contains(t)).count();
        assert!(count <= 15, "{times:?}");
    }
}

/// A burst meets a process that has just started, so that 50 callers are refused before anything has
/// ended. The rate is unknown; guessed too low, the last of them would stay away for most of a
/// minute while the queue is long empty. Those who come too early are told better then.
#[test]
fn refused_callers_of_a_new_process_come_back_soon() {
    let now = Instant::now();
    let mut drain = estimate::Throughput::new(now);
    let mut rng = rng();
    for _ in 0..50 {
        assert!(drain.retry_after(millis(0), now, &mut rng) < millis(2000));
    }
}

proptest! {
    #[test]
    fn retry_after_is_bounded(excess in 0u64..1_000_000, count in 1usize..100) {
        let now = Instant::now();
        let mut drain = estimate::Throughput::new(now);
        let mut rng = rng();
        for _ in 0..count {
            let retry = drain.retry_after(millis(excess), now, &mut rng);
            prop_assert!(retry >= millis(100) && retry <= millis(60_000));
        }
    }
}
