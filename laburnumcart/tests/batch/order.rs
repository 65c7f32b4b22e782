//! Which job goes first, and where.

use laburnumcart::{
    batch,
    unit, //
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
fn the_job_that_is_due_first_goes_first() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 2000 * MS, now);
    let urgent = push(&mut queue, 8, 900 * MS, now);
    // This one cannot be on time any more; it must not hold up those that can.
    push(&mut queue, 8, 100 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == urgent));
}

// Two requests of one team come together, one on a more urgent route. It goes first, and still behind
// one of a more urgent team.
#[test]
fn routes_rank_behind_teams() {
    let now = Instant::now();
    let mut queue = queue(1);
    let rank = |major, minor| batch::Rank { major, minor };
    let mut push = |rank| {
        let spec = batch::Spec::new(4, SIZE, now + 2000 * MS).deadline(now + 5000 * MS);
        queue.push(spec.rank(rank))
    };
    let (last, second, first) = (push(rank(1, 1)), push(rank(1, 0)), push(rank(0, 1)));
    let mut order = Vec::new();
    while let Some(call) = queue.next_call(now) {
        order.extend(call.pieces.iter().map(|p| p.job));
        queue.complete_call(&call, made(&call), now);
    }
    order.dedup();
    assert_eq!(order, [first, second, last]);
}

// Room is short. A job has made some of its pieces and is late meanwhile; others that can still be
// on time come. Put behind them, it would hold the room of its results to its deadline, and so
// would every job after it. It is finished first.
#[test]
fn what_has_begun_goes_on_when_it_is_late() {
    let now = Instant::now();
    let mut queue = queue(1);
    let begun = push(&mut queue, 10, 700 * MS, now);
    let call = queue.next_call(now).unwrap();
    queue.complete_call(&call, made(&call), now);
    let fresh = push(&mut queue, 2, 3000 * MS, now);
    let call = queue.next_call(now + 1000 * MS).unwrap();
    let jobs: Vec<_> = call.pieces.iter().map(|p| p.job).collect();
    assert_eq!(jobs[..3], [begun, begun, fresh]);
}

/// Returns a job of which four megabytes cross unless it is executed in a data centre.
fn heavy(zone: &str, now: Instant) -> batch::Spec {
    batch::Spec::new(2, SIZE, now + 1000 * MS)
        .near(Some(zone.parse().unwrap()), unit::Size(4_000_000))
}

#[test]
fn jobs_are_executed_where_least_crosses() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(SHAPE);
    let north = queue.targets.add("north".parse().unwrap());
    let south = queue.targets.add("south".parse().unwrap());
    let (a, b) = (
        queue.push(heavy("south", now)),
        queue.push(heavy("north", now)),
    );
    let calls = [(); 2].map(|()| queue.next_call(now).unwrap());
    for call in calls {
        let job = if call.target == north { b } else { a };
        assert!(
            call.pieces.iter().all(|p| p.job == job),
            "{call:?} {south:?}"
        );
    }
}

// Targets are free in both data centres, and one call could take both jobs. In one of them the inputs
// of the other job would all cross, which costs more than a second call does.
#[test]
fn a_job_is_left_to_a_free_target_near_its_inputs() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(SHAPE);
    let north = queue.targets.add("north".parse().unwrap());
    queue.targets.add("south".parse().unwrap());
    let jobs = ["north", "south"].map(|zone| queue.push(heavy(zone, now)));
    let call = queue.next_call(now).unwrap();
    assert_eq!((call.target, call.pieces.len()), (north, 2));
    assert!(call.pieces.iter().all(|p| p.job == jobs[0]));
    let call = queue.next_call(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == jobs[1]));
    // With no target there that will be free in time, nothing waits for one.
    queue.push(heavy("south", now));
    assert!(queue.next_call(now).is_none());
    queue.targets.add("north".parse().unwrap());
    let later = now + 500 * MS;
    assert_eq!(queue.next_call(later).unwrap().pieces.len(), 2);
}

// The target near a job's inputs works on a call, one elsewhere is free. The job has time to wait and still
// be on time with as much to spare; it goes to the free one as soon as it has not.
#[test]
fn a_job_waits_for_a_target_near_its_inputs_while_it_has_time() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(SHAPE);
    let north = queue.targets.add("north".parse().unwrap());
    queue.push(heavy("north", now));
    let call = queue.next_call(now).unwrap();
    let south = queue.targets.add("south".parse().unwrap());
    let job = queue.push(heavy("north", now));
    assert!(queue.next_call(now).is_none());
    let mut early = queue.clone();
    early.complete_call(&call, made(&call), now + 200 * MS);
    assert_eq!(early.next_call(now + 200 * MS).unwrap().target, north);
    let late = queue.next_call(now + 500 * MS).unwrap();
    assert_eq!((late.target, late.pieces[0].job), (south, job));
}
