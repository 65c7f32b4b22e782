//! How long jobs will take, and which are given up.

use std::time;

use laburnumcart::{
    batch,
    quota, //
};
use tokio::time::Instant;

use crate::support::{
    MS,
    SHAPE,
    SIZE,
    made,
    push,
    queue, //
};

#[test]
fn the_outlook_grows_with_what_waits() {
    let now = Instant::now();
    let mut queue = queue(2);
    let spec = |due: u32| batch::Spec::new(4, SIZE, now + due * MS);
    let empty = queue.estimate_time(&spec(1000), now);
    assert_eq!(empty, 280 * MS);
    for _ in 0..8 {
        push(&mut queue, 8, 900 * MS, now);
    }
    assert!(queue.estimate_time(&spec(1000), now) > empty + 1000 * MS);
    // Jobs that are due later, or of a lower rank, do not hold up this one.
    assert_eq!(queue.estimate_time(&spec(500), now), empty);
    assert!(queue.estimate_time(&spec(500).rank(2), now) > empty);
    let none = batch::Queue::new(SHAPE);
    assert_eq!(none.estimate_time(&spec(1000), now), time::Duration::MAX);
}

// Jobs that earlier stages will bring in a moment do not wait yet. Left out, as many requests again
// would be admitted as the queue can do, and all of them would be late together.
#[test]
fn jobs_that_will_come_count() {
    let now = Instant::now();
    let mut queue = queue(2);
    let spec = batch::Spec::new(4, SIZE, now + 900 * MS);
    let empty = queue.estimate_future(&spec, now);
    for id in 0..10 {
        queue.announce(id, spec.clone());
    }
    let behind = queue.estimate_future(&spec, now);
    assert!(behind.turn.0 > empty.turn.0 + 500 * MS, "{behind:?}");
    for id in 0..5 {
        queue.withdraw(id);
    }
    assert!(queue.estimate_future(&spec, now).turn < behind.turn);
    // Those who announced the rest have gone.
    queue.expire(now + 1000 * MS);
    let later = batch::Spec::new(4, SIZE, now + 1900 * MS);
    assert_eq!(queue.estimate_future(&later, now + 1000 * MS), empty);
}

// All that the targets can do goes to jobs on time. A late job would be told of the few that wait
// before it now, and wait for ever behind those that come.
#[test]
fn late_jobs_get_what_those_on_time_leave() {
    let mut now = Instant::now();
    let mut queue = queue(1);
    let spec = |now| batch::Spec::new(2, SIZE, now);
    push(&mut queue, 8, 1000 * MS, now);
    let idle = queue.estimate_time(&spec(now), now);
    for _ in 0..20 {
        push(&mut queue, 8, 1000 * MS, now);
        let call = queue.next_call(now).unwrap();
        now += 360 * MS;
        let events = queue.complete_call(&call, made(&call), now);
        let batch::Event::Done(_, handles) = &events[0] else {
            panic!("{events:?}");
        };
        for handle in handles {
            queue.free_result(handle);
        }
    }
    let loaded = queue.estimate_time(&spec(now), now);
    assert!(loaded > 3 * idle, "{idle:?} {loaded:?}");
    // A job on time is not held up by that.
    assert!(queue.estimate_time(&spec(now + 2000 * MS), now) < loaded / 2);
}

// All instances were lost, and every target has just had some seconds of nothing but jobs on time. Callers come
// back with ten seconds left for what takes one. Judged by them alone, they would be refused for
// good, as no one comes back twice.
#[test]
fn full_seconds_do_not_count_for_ever() {
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
            let events = queue.complete_call(&call, made(&call), now);
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
    let back = batch::Spec::new(4, SIZE, now).deadline(now + 10_000 * MS);
    let outlook = queue.estimate_time(&back, now);
    assert!(outlook < 10_000 * MS, "{outlook:?}");
}

// Jobs that came in time have become late, as others keep coming that go before them. Kept to the
// deadline, their callers would have no time left to come again; they are told once it is known.
#[test]
fn late_jobs_that_cannot_be_done_are_given_up() {
    let mut now = Instant::now();
    let mut queue = queue(1);
    let spec = |now| batch::Spec::new(8, SIZE, now + 300 * MS).deadline(now + 3000 * MS);
    let jobs: Vec<_> = (0..12).map(|_| queue.push(spec(now))).collect();
    assert!(queue.expire(now).is_empty(), "they are on time");
    now += 200 * MS;
    let events = queue.expire(now);
    let given_up =
        |event: &batch::Event| matches!(event, batch::Event::Failed(_, batch::Failure::Busy(_)));
    // A call takes 0.36 s, so that seven are done in 2.8 s, and the rest never.
    assert!(
        !events.is_empty() && events.iter().all(given_up),
        "{events:?}"
    );
    assert!(events.len() < jobs.len());
    assert!(queue.next_call(now).is_some(), "the others are done");
}

// Jobs are refused for a target that backs off for minutes while another one is free.
#[tokio::test(start_paused = true)]
async fn the_outlook_counts_the_time_for_which_all_targets_back_off() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(SHAPE);
    let gates = ["north", "south"].map(|place| {
        let key = queue.targets.add(place.parse().unwrap());
        let gate = quota::Limiter::default();
        queue.targets.set_limiter(key, gate.clone());
        gate
    });
    let spec = batch::Spec::new(4, SIZE, now + 5000 * MS);
    let free = queue.estimate_time(&spec, now);
    let close = |gate: &quota::Limiter, left: time::Duration| {
        gate.set_bounds(quota::Bounds {
            backoff: Some(quota::Bound::blocked().until(now + left)),
            ..quota::Bounds::default()
        });
    };
    close(&gates[0], 600_000 * MS);
    assert_eq!(queue.estimate_time(&spec, now), free);
    close(&gates[1], 2000 * MS);
    assert_eq!(queue.estimate_time(&spec, now), free + 2000 * MS);
    push(&mut queue, 4, 900 * MS, now);
    assert!(queue.next_call(now).is_none());
    assert!(queue.next_call(now + 2000 * MS).is_some());
}
