//! Order of jobs, and choice of targets near their inputs.

use laburnumcart::{
    batch,
    unit, //
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
fn the_job_that_is_due_first_goes_first() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 2000 * MS, now);
    let urgent = push(&mut queue, 8, 900 * MS, now);
    // This job is already late and must not delay those that can still be on time.
    push(&mut queue, 8, 100 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == urgent));
}

// Among jobs of one team the more urgent route goes first, but not before a more urgent team.
#[test]
fn the_rank_of_the_team_outweighs_that_of_the_route() {
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
        queue.complete_call(&call, stored(&call), now);
    }
    order.dedup();
    assert_eq!(order, [first, second, last]);
}

// A started job that is late would otherwise occupy room with its first results until its deadline.
#[test]
fn a_started_job_goes_first_even_if_it_is_late() {
    let now = Instant::now();
    let mut queue = queue(1);
    let started = push(&mut queue, 10, 700 * MS, now);
    let call = queue.next_call(now).unwrap();
    queue.complete_call(&call, stored(&call), now);
    let fresh = push(&mut queue, 2, 3000 * MS, now);
    let call = queue.next_call(now + 1000 * MS).unwrap();
    let jobs: Vec<_> = call.pieces.iter().map(|p| p.job).collect();
    assert_eq!(jobs[..3], [started, started, fresh]);
}

/// Returns a job that moves four megabytes if it is executed outside its zone.
fn heavy(zone: &str, now: Instant) -> batch::Spec {
    batch::Spec::new(2, SIZE, now + 1000 * MS)
        .near(Some(zone.parse().unwrap()), unit::Size(4_000_000))
}

#[test]
fn jobs_are_executed_near_their_inputs() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(BATCHING);
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

// One call could take both jobs, but moving the inputs of one would cost more than a second call.
#[test]
fn a_job_is_left_to_an_idle_target_near_its_inputs() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(BATCHING);
    let north = queue.targets.add("north".parse().unwrap());
    queue.targets.add("south".parse().unwrap());
    let jobs = ["north", "south"].map(|zone| queue.push(heavy(zone, now)));
    let call = queue.next_call(now).unwrap();
    assert_eq!((call.target, call.pieces.len()), (north, 2));
    assert!(call.pieces.iter().all(|p| p.job == jobs[0]));
    let call = queue.next_call(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == jobs[1]));
    // A job does not wait where no near target will be idle in time.
    queue.push(heavy("south", now));
    assert!(queue.next_call(now).is_none());
    queue.targets.add("north".parse().unwrap());
    let later = now + 500 * MS;
    assert_eq!(queue.next_call(later).unwrap().pieces.len(), 2);
}

// The target near the inputs is busy and a remote one is idle.
#[test]
fn a_job_waits_for_a_busy_target_near_its_inputs_while_it_has_slack() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(BATCHING);
    let north = queue.targets.add("north".parse().unwrap());
    queue.push(heavy("north", now));
    let call = queue.next_call(now).unwrap();
    let south = queue.targets.add("south".parse().unwrap());
    let job = queue.push(heavy("north", now));
    assert!(queue.next_call(now).is_none());
    let mut early = queue.clone();
    early.complete_call(&call, stored(&call), now + 200 * MS);
    assert_eq!(early.next_call(now + 200 * MS).unwrap().target, north);
    let late = queue.next_call(now + 500 * MS).unwrap();
    assert_eq!((late.target, late.pieces[0].job), (south, job));
}
