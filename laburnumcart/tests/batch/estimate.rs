//! Completion estimates of jobs, and early failure of those that cannot be on time.

use std::time;

use laburnumcart::{
    batch,
    quota, //
};
use tokio::time::Instant;

use crate::support::{
    BATCHING,
    MS,
    SIZE,
    push,
    queue,
    stored, //
};

#[test]
fn the_estimate_grows_with_the_waiting_jobs() {
    let now = Instant::now();
    let mut queue = queue(2);
    let spec = |due: u32| batch::Spec::new(4, SIZE, now + due * MS);
    let empty = queue.estimate_time(&spec(1000), now);
    assert_eq!(empty, 280 * MS);
    for _ in 0..8 {
        push(&mut queue, 8, 900 * MS, now);
    }
    assert!(queue.estimate_time(&spec(1000), now) > empty + 1000 * MS);
    // Jobs that are due later, or of a lower rank, do not delay this one.
    assert_eq!(queue.estimate_time(&spec(500), now), empty);
    assert!(queue.estimate_time(&spec(500).rank(2), now) > empty);
    let none = batch::Queue::new(BATCHING);
    assert_eq!(none.estimate_time(&spec(1000), now), time::Duration::MAX);
}

// If jobs in earlier stages were ignored, twice the capacity would be admitted, and all be late.
#[test]
fn announced_jobs_count() {
    let now = Instant::now();
    let mut queue = queue(2);
    let spec = batch::Spec::new(4, SIZE, now + 900 * MS);
    let empty = queue.estimate_future(&spec, now);
    for id in 0..10 {
        queue.announce(id, spec.clone());
    }
    let loaded = queue.estimate_future(&spec, now);
    assert!(loaded.by_rank.0 > empty.by_rank.0 + 500 * MS, "{loaded:?}");
    for id in 0..5 {
        queue.withdraw(id);
    }
    assert!(queue.estimate_future(&spec, now).by_rank < loaded.by_rank);
    // The rest are dropped at their due time, as their announcers may have crashed.
    queue.expire(now + 1000 * MS);
    let later = batch::Spec::new(4, SIZE, now + 1900 * MS);
    assert_eq!(queue.estimate_future(&later, now + 1000 * MS), empty);
}

// By the present queue alone, a late job would wait forever behind jobs that arrive later.
#[test]
fn estimates_of_late_jobs_count_arriving_jobs() {
    let mut now = Instant::now();
    let mut queue = queue(1);
    let spec = |now| batch::Spec::new(2, SIZE, now);
    push(&mut queue, 8, 1000 * MS, now);
    let idle = queue.estimate_time(&spec(now), now);
    // Jobs on time use the whole throughput.
    for _ in 0..20 {
        push(&mut queue, 8, 1000 * MS, now);
        let call = queue.next_call(now).unwrap();
        now += 360 * MS;
        let events = queue.complete_call(&call, stored(&call), now);
        let batch::Event::Done(_, handles) = &events[0] else {
            panic!("{events:?}");
        };
        for handle in handles {
            queue.free_result(handle);
        }
    }
    let loaded = queue.estimate_time(&spec(now), now);
    assert!(loaded > 3 * idle, "{idle:?} {loaded:?}");
    // A job on time is not affected.
    assert!(queue.estimate_time(&spec(now + 2000 * MS), now) < loaded / 2);
}

// If full load before an outage were extrapolated, all retries would be refused permanently.
#[test]
fn past_full_load_is_not_extrapolated_to_the_deadline() {
    let mut now = Instant::now();
    let mut queue = queue(4);
    for _ in 0..20 {
        let calls: Vec<_> = (0..4)
            .map(|_| {
                push(&mut queue, 8, 1000 * MS, now);
                queue.next_call(now).unwrap()
            })
            .collect();
        now += 360 * MS;
        for call in calls {
            let events = queue.complete_call(&call, stored(&call), now);
            let batch::Event::Done(_, handles) = &events[0] else {
                panic!("{events:?}");
            };
            for handle in handles {
                queue.free_result(handle);
            }
        }
    }
    for _ in 0..4 {
        push(&mut queue, 8, 1000 * MS, now);
        queue.next_call(now).unwrap();
    }
    for _ in 0..10 {
        push(&mut queue, 8, time::Duration::ZERO, now);
    }
    // A retry after the loss of all instances has ten seconds left for one second of work.
    let retry = batch::Spec::new(4, SIZE, now).deadline(now + 10_000 * MS);
    let estimate = queue.estimate_time(&retry, now);
    assert!(estimate < 10_000 * MS, "{estimate:?}");
}

// If jobs that have become late were kept until the deadline, their callers could not retry.
#[test]
fn late_jobs_that_would_miss_their_deadline_fail_early() {
    let mut now = Instant::now();
    let mut queue = queue(1);
    let spec = |now| batch::Spec::new(8, SIZE, now + 300 * MS).deadline(now + 3000 * MS);
    let jobs: Vec<_> = (0..12).map(|_| queue.push(spec(now))).collect();
    assert!(queue.expire(now).is_empty(), "all jobs are on time");
    now += 200 * MS;
    let events = queue.expire(now);
    let is_busy =
        |event: &batch::Event| matches!(event, batch::Event::Failed(_, batch::Failure::Busy(_)));
    // A call takes 0.36 s, so seven jobs are done within 2.8 s and the others are not.
    assert!(
        !events.is_empty() && events.iter().all(is_busy),
        "{events:?}"
    );
    assert!(events.len() < jobs.len());
    assert!(
        queue.next_call(now).is_some(),
        "the other jobs are executed"
    );
}

// One target that backs off for minutes must not cause refusals while another one is available.
#[tokio::test(start_paused = true)]
async fn the_outlook_counts_the_time_for_which_all_targets_back_off() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(BATCHING);
    let limiters = ["north", "south"].map(|place| {
        let key = queue.targets.add(place.parse().unwrap());
        let limiter = quota::Limiter::default();
        queue.targets.set_limiter(key, limiter.clone());
        limiter
    });
    let spec = batch::Spec::new(4, SIZE, now + 5000 * MS);
    let free = queue.estimate_time(&spec, now);
    let close = |limiter: &quota::Limiter, backoff: time::Duration| {
        limiter.set_bounds(quota::Bounds {
            backoff: Some(quota::Bound::blocked().until(now + backoff)),
            ..quota::Bounds::default()
        });
    };
    close(&limiters[0], 600_000 * MS);
    assert_eq!(queue.estimate_time(&spec, now), free);
    close(&limiters[1], 2000 * MS);
    assert_eq!(queue.estimate_time(&spec, now), free + 2000 * MS);
    push(&mut queue, 4, 900 * MS, now);
    assert!(queue.next_call(now).is_none());
    assert!(queue.next_call(now + 2000 * MS).is_some());
}
