//! Processor time that a long queue costs its owner.

use std::{
    hint,
    time, //
};

use laburnumcart::batch;
use tokio::time::Instant;

use crate::support::{
    BATCHING,
    MS,
    SIZE,
    stored, //
};

/// Targets of the service.
const TARGETS: usize = 40;

/// Number of waiting jobs, and of announced jobs.
const JOBS: u64 = 2000;

/// Bound on the cost of an arriving job, in passes over all waiting jobs.
const PASSES: u32 = 80;

/// Returns a queue without jobs.
fn empty() -> batch::Queue {
    let mut queue = batch::Queue::new(BATCHING);
    for _ in 0..TARGETS {
        queue.targets.add("north".parse().unwrap());
    }
    queue
}

/// Returns one of many jobs with ample time.
fn job(i: u64, pieces: u32, now: Instant) -> batch::Spec {
    let due = now + MS * (2000 + i % 977) as u32;
    batch::Spec::new(pieces, SIZE, due)
        .deadline(due + 4000 * MS)
        .rank((i % 3) as u8)
}

/// Returns a queue with so many waiting and announced jobs whose targets are all busy.
fn congested(jobs: u64, now: Instant) -> batch::Queue {
    let mut queue = empty();
    (0..jobs + TARGETS as u64 * 2).for_each(|i| _ = queue.push(job(i, 4, now)));
    while queue.next_call(now).is_some() {}
    (0..jobs).for_each(|i| queue.announce(i, job(i, 4, now)));
    queue
}

/// Returns a queue with so many waiting jobs whose targets are all idle, with room for half a job.
fn crowded(jobs: u64, now: Instant) -> batch::Queue {
    let mut queue = empty();
    (0..TARGETS as u64).for_each(|i| _ = queue.push(job(i, 8, now)));
    let calls: Vec<_> = std::iter::from_fn(|| queue.next_call(now)).collect();
    for call in &calls {
        queue.complete_call(call, stored(call), now);
    }
    (0..jobs).for_each(|i| _ = queue.push(job(i, 8, now)));
    queue
}

/// Returns the processor time of this thread, which the load of the machine does not affect.
fn cpu_time() -> time::Duration {
    let clock = nix::time::ClockId::CLOCK_THREAD_CPUTIME_ID;
    nix::time::clock_gettime(clock).unwrap().into()
}

/// Returns the shortest processor time of several runs of the same work.
fn shortest(mut work: impl FnMut()) -> time::Duration {
    let measured = (0..9).map(|_| {
        let start = cpu_time();
        (0..20).for_each(|_| work());
        cpu_time() - start
    });
    measured.min().unwrap()
}

/// Returns the processor time of one pass over so many due times, the least that an owner needs.
fn pass(jobs: u64, now: Instant) -> time::Duration {
    let dues: Vec<_> = (0..jobs)
        .map(|i| (now + MS * (i % 977) as u32, i))
        .collect();
    let until = now + MS * 500;
    let sum = || dues.iter().filter(|(due, _)| *due <= until).map(|(_, i)| i);
    shortest(|| _ = hint::black_box(sum().sum::<u64>()))
}

// An owner that sorts all jobs on each arrival is starved by a burst and stays starved after it.
#[test]
fn a_long_queue_is_not_sorted_on_each_arrival() {
    let now = Instant::now();
    let mut queue = congested(JOBS, now);
    let spec = batch::Spec::new(4, SIZE, now + 2500 * MS);
    let pass = pass(JOBS, now);
    let announced = shortest(|| _ = hint::black_box(queue.estimate_future(&spec, now)));
    let checked = shortest(|| _ = hint::black_box(queue.estimate_time(&spec, now)));
    let offered = shortest(|| assert!(queue.next_call(now).is_none()));
    println!("pass={pass:?} announced={announced:?} checked={checked:?} offered={offered:?}");
    let all = announced + checked + offered;
    assert!(all < PASSES * pass, "{all:?} of {pass:?}");
}

// Where room is the bottleneck, an owner that sorts all jobs on each message is starved.
#[test]
fn a_long_queue_is_not_sorted_while_no_target_has_room() {
    let now = Instant::now();
    let mut queue = crowded(JOBS, now);
    let pass = pass(JOBS, now);
    let offered = shortest(|| assert!(queue.next_call(now).is_none()));
    assert!(offered < PASSES * pass, "{offered:?} of {pass:?}");
}
