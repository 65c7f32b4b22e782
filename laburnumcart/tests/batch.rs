//! The queue of pieces: full calls, room, order, failures.

use std::time;

use laburnumcart::{
    batch,
    ingress,
    unit, //
};
use proptest::prelude::*;
use tokio::time::Instant;

const MS: time::Duration = time::Duration::from_millis(1);

const SHAPE: ingress::Batching = ingress::Batching {
    pieces: 8,
    call: time::Duration::from_millis(200),
    piece: time::Duration::from_millis(20),
    room: unit::Size(12_000),
    ttl: time::Duration::from_secs(4),
};

const SIZE: unit::Size = unit::Size(1000);

fn queue(targets: usize) -> batch::Queue {
    let mut queue = batch::Queue::new(SHAPE);
    for i in 0..targets {
        queue
            .engines
            .add(["north", "south"][i % 2].parse().unwrap());
    }
    queue
}

fn push(queue: &mut batch::Queue, pieces: u32, due: time::Duration, now: Instant) -> batch::JobKey {
    let spec = batch::Spec::new(pieces, SIZE, now + due).deadline(now + 5000 * MS);
    queue.push(spec)
}

fn made(call: &batch::Call) -> Vec<batch::Outcome> {
    let name = |p: &batch::Piece| format!("{:?}-{}-{:?}", p.job, p.index, call.engine);
    let outcome = |p| batch::Outcome::Made(batch::Handle(name(p)));
    call.pieces.iter().map(outcome).collect()
}

fn all(call: &batch::Call, outcome: batch::Outcome) -> Vec<batch::Outcome> {
    vec![outcome; call.pieces.len()]
}

/// Has a job of eight pieces made; returns the results, which lie at its target.
fn hold(queue: &mut batch::Queue, now: Instant) -> Vec<batch::Handle> {
    push(queue, 8, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    let events = queue.finish(&call, made(&call), now);
    let Ok([batch::Event::Done(_, handles)]) = <[_; 1]>::try_from(events) else {
        panic!("the job is done");
    };
    handles
}

#[test]
fn a_call_takes_pieces_of_many_jobs() {
    let now = Instant::now();
    let mut queue = queue(1);
    let jobs = [3, 3, 2, 1].map(|pieces| push(&mut queue, pieces, 1000 * MS, now));
    let call = queue.take(now).unwrap();
    assert_eq!(call.pieces.len(), 8);
    assert!(queue.take(now).is_none(), "one call at a time");
    let events = queue.finish(&call, made(&call), now);
    assert_eq!(events.len(), 3);
    let call = queue.take(now).unwrap();
    let events = queue.finish(&call, made(&call), now);
    let batch::Event::Done(job, handles) = &events[0] else {
        panic!("{events:?}");
    };
    assert!(jobs.contains(job) && handles.len() == 1);
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
    while let Some(call) = queue.take(now) {
        order.extend(call.pieces.iter().map(|p| p.job));
        queue.finish(&call, made(&call), now);
    }
    order.dedup();
    assert_eq!(order, [first, second, last]);
}

// Three jobs of three pieces wait, and a call takes eight. With the third job split, the results of
// its first pieces would lie at the target, unused, until another call has made the last one.
#[test]
fn a_job_is_not_split_over_calls() {
    let now = Instant::now();
    let mut queue = queue(1);
    for _ in 0..3 {
        push(&mut queue, 3, 1000 * MS, now);
    }
    let call = queue.take(now).unwrap();
    assert_eq!(call.pieces.len(), 6);
    let events = queue.finish(&call, made(&call), now);
    assert!(
        matches!(
            &events[..],
            [batch::Event::Done(..), batch::Event::Done(..)]
        ),
        "{events:?}"
    );
}

// Under load a job of many pieces finds no room, and jobs of few pieces would always find some. They
// must not take the room that the first one waits for, or callers with much to do would be served
// never.
#[test]
fn small_jobs_do_not_take_the_room_of_large_ones() {
    let now = Instant::now();
    let mut queue = queue(1);
    let handles = hold(&mut queue, now);
    let large = push(&mut queue, 8, 2000 * MS, now);
    for _ in 0..4 {
        push(&mut queue, 1, 2100 * MS, now);
    }
    assert!(queue.take(now).is_none());
    for handle in &handles {
        queue.free(handle);
    }
    let call = queue.take(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == large));
}

// A job needs more room than a target has. It is made in parts, as nothing else would ever end it.
#[test]
fn a_job_larger_than_all_room_is_made_in_parts() {
    let now = Instant::now();
    let mut queue = queue(1);
    let spec = batch::Spec::new(6, unit::Size(4000), now + 1000 * MS);
    let job = queue.push(spec.deadline(now + 5000 * MS));
    let mut done = Vec::new();
    for _ in 0..3 {
        let Some(call) = queue.take(now) else {
            break;
        };
        assert!(call.pieces.len() <= 3);
        done.extend(queue.finish(&call, made(&call), now));
        queue.expire(now + SHAPE.ttl);
    }
    assert!(
        matches!(&done[..], [batch::Event::Done(key, _)] if *key == job),
        "{done:?}"
    );
}

#[test]
fn what_waits_is_spread_over_free_targets() {
    let now = Instant::now();
    let mut queue = queue(2);
    push(&mut queue, 12, 1000 * MS, now);
    let sizes = [(); 2].map(|()| queue.take(now).unwrap().pieces.len());
    assert_eq!(sizes, [6, 6]);
}

#[test]
fn the_job_that_is_due_first_goes_first() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 2000 * MS, now);
    let urgent = push(&mut queue, 8, 900 * MS, now);
    // This one cannot be on time any more; it must not hold up those that can.
    push(&mut queue, 8, 100 * MS, now);
    let call = queue.take(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == urgent));
}

#[test]
fn results_take_room_until_they_are_freed() {
    let now = Instant::now();
    let mut queue = queue(1);
    let handles = hold(&mut queue, now);
    for _ in 0..2 {
        push(&mut queue, 4, 1000 * MS, now);
    }
    let next = queue.take(now).unwrap();
    assert_eq!(next.pieces.len(), 4, "12 results fit, 8 lie there");
    queue.finish(&next, made(&next), now);
    assert!(queue.take(now).is_none());
    handles
        .iter()
        .for_each(|handle| assert!(queue.free(handle).is_some()));
    assert_eq!(queue.take(now).unwrap().pieces.len(), 4);
    assert!(queue.free(&handles[0]).is_none(), "freed once");
}

#[test]
fn results_expire() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    queue.finish(&call, made(&call), now);
    assert_eq!(queue.engines.used(call.engine), unit::Size(8000));
    queue.expire(now + SHAPE.ttl);
    assert_eq!(queue.engines.used(call.engine), unit::Size(0));
}

// An earlier owner of the queue had results made that this one does not know of. The target has no
// room for some pieces; the same number must not be sent again at once, in vain.
#[test]
fn room_that_others_take_is_left_alone() {
    let now = Instant::now();
    let mut queue = queue(1);
    for _ in 0..2 {
        push(&mut queue, 4, 3000 * MS, now);
    }
    let call = queue.take(now).unwrap();
    let events = queue.finish(&call, all(&call, batch::Outcome::NoRoom), now);
    assert!(events.is_empty());
    let next = queue.take(now).unwrap();
    assert_eq!(next.pieces.len(), 4);
    queue.finish(&next, all(&next, batch::Outcome::NoRoom), now);
    assert!(queue.take(now).is_none());
    let later = now + 600 * MS;
    queue.expire(later);
    assert!(queue.take(later).is_some(), "tried again after a while");
}

// A target dies during a call. Its pieces go to the other one, and the job is done all the same.
#[test]
fn pieces_of_a_lost_call_go_elsewhere() {
    let now = Instant::now();
    let mut queue = queue(2);
    let job = push(&mut queue, 4, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    assert!(queue.abandon(&call, true, now).is_empty());
    let other = queue.take(now).unwrap();
    assert_ne!(
        other.engine, call.engine,
        "the target that failed is paused"
    );
    let events = queue.finish(&other, made(&other), now);
    assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == job));
    // What the lost call may have made still takes room at its target.
    assert_eq!(queue.engines.used(call.engine), unit::Size(4000));
}

// A piece that fails everywhere must not be sent for ever.
#[test]
fn a_job_that_fails_everywhere_is_given_up() {
    let start = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 1, 1000 * MS, start);
    for i in 1..100 {
        let now = start + i * 10 * MS;
        let Some(call) = queue.take(now) else {
            panic!("neither waiting nor given up");
        };
        let events = queue.finish(&call, all(&call, batch::Outcome::Failed), now);
        if !events.is_empty() {
            assert_eq!(events, [batch::Event::Failed(job, batch::Failure::Failed)]);
            return;
        }
    }
    panic!("sent for ever");
}

// An input is gone with its target. The job fails at once, and what it has made is freed, or it
// would take room for seconds that nobody uses.
#[test]
fn a_failed_job_leaves_nothing_behind() {
    let now = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    let kept = batch::Handle("kept".into());
    let outcomes = vec![batch::Outcome::Made(kept.clone()), batch::Outcome::Gone];
    let events = queue.finish(&call, outcomes, now);
    let failed = batch::Event::Failed(job, batch::Failure::Gone);
    assert_eq!(events, [batch::Event::Orphan(kept), failed]);
}

// The caller leaves while its pieces are being made. The results that come later are freed.
#[test]
fn results_of_a_cancelled_job_are_orphans() {
    let now = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    assert!(queue.cancel(job).is_empty());
    let events = queue.finish(&call, made(&call), now);
    assert!(matches!(
        &events[..],
        [batch::Event::Orphan(_), batch::Event::Orphan(_)]
    ));
}

#[test]
fn jobs_end_at_their_deadline() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(SHAPE);
    let job = push(&mut queue, 2, 1000 * MS, now);
    assert!(queue.expire(now + 4999 * MS).is_empty());
    let late = batch::Event::Failed(job, batch::Failure::Late);
    assert_eq!(queue.expire(now + 5000 * MS), [late]);
}

// The owner leaves. Jobs that wait fail over to the next owner; those that are wholly in calls are
// answered here, as their results would be made twice otherwise.
#[test]
fn a_leaving_owner_gives_up_what_waits() {
    let now = Instant::now();
    let mut queue = queue(1);
    let running = push(&mut queue, 8, 900 * MS, now);
    let waiting = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    let failed = batch::Event::Failed(waiting, batch::Failure::Unavailable);
    assert_eq!(queue.hand_over(), [failed]);
    let events = queue.finish(&call, made(&call), now);
    assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == running));
}

// Room is short. A job has made some of its pieces and is late meanwhile; others that can still be
// on time come. Put behind them, it would hold the room of its results to its deadline, and so
// would every job after it. It is finished first.
#[test]
fn what_has_begun_goes_on_when_it_is_late() {
    let now = Instant::now();
    let mut queue = queue(1);
    let begun = push(&mut queue, 10, 700 * MS, now);
    let call = queue.take(now).unwrap();
    queue.finish(&call, made(&call), now);
    let fresh = push(&mut queue, 2, 3000 * MS, now);
    let call = queue.take(now + 1000 * MS).unwrap();
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
    let north = queue.engines.add("north".parse().unwrap());
    let south = queue.engines.add("south".parse().unwrap());
    let (a, b) = (
        queue.push(heavy("south", now)),
        queue.push(heavy("north", now)),
    );
    let calls = [(); 2].map(|()| queue.take(now).unwrap());
    for call in calls {
        let job = if call.engine == north { b } else { a };
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
    let north = queue.engines.add("north".parse().unwrap());
    queue.engines.add("south".parse().unwrap());
    let jobs = ["north", "south"].map(|zone| queue.push(heavy(zone, now)));
    let call = queue.take(now).unwrap();
    assert_eq!((call.engine, call.pieces.len()), (north, 2));
    assert!(call.pieces.iter().all(|p| p.job == jobs[0]));
    let call = queue.take(now).unwrap();
    assert!(call.pieces.iter().all(|p| p.job == jobs[1]));
    // With no target free there, nothing waits for one.
    queue.push(heavy("south", now));
    assert!(queue.take(now).is_none());
    queue.engines.add("north".parse().unwrap());
    assert_eq!(queue.take(now).unwrap().pieces.len(), 2);
}

#[test]
fn the_outlook_grows_with_what_waits() {
    let now = Instant::now();
    let mut queue = queue(2);
    let spec = |due: u32| batch::Spec::new(4, SIZE, now + due * MS);
    let empty = queue.outlook(&spec(1000), now);
    assert_eq!(empty, 280 * MS);
    for _ in 0..8 {
        push(&mut queue, 8, 900 * MS, now);
    }
    assert!(queue.outlook(&spec(1000), now) > empty + 1000 * MS);
    // Jobs that are due later, or of a lower rank, do not hold up this one.
    assert_eq!(queue.outlook(&spec(500), now), empty);
    assert!(queue.outlook(&spec(500).rank(2), now) > empty);
    let none = batch::Queue::new(SHAPE);
    assert_eq!(none.outlook(&spec(1000), now), time::Duration::MAX);
}

// Jobs that earlier stages will bring in a moment do not wait yet. Left out, as many requests again
// would be admitted as the queue can do, and all of them would be late together.
#[test]
fn jobs_that_will_come_count() {
    let now = Instant::now();
    let mut queue = queue(2);
    let spec = batch::Spec::new(4, SIZE, now + 900 * MS);
    let empty = queue.forecast(&spec, now);
    for id in 0..10 {
        queue.expect(id, spec.clone());
    }
    let behind = queue.forecast(&spec, now);
    assert!(behind.turn.0 > empty.turn.0 + 500 * MS, "{behind:?}");
    for id in 0..5 {
        queue.unexpect(id);
    }
    assert!(queue.forecast(&spec, now).turn < behind.turn);
    // Those who announced the rest have gone.
    queue.expire(now + 1000 * MS);
    let later = batch::Spec::new(4, SIZE, now + 1900 * MS);
    assert_eq!(queue.forecast(&later, now + 1000 * MS), empty);
}

// All that the targets can do goes to jobs on time. A late job would be told of the few that wait
// before it now, and wait for ever behind those that come.
#[test]
fn late_jobs_get_what_those_on_time_leave() {
    let mut now = Instant::now();
    let mut queue = queue(1);
    let spec = |now| batch::Spec::new(2, SIZE, now);
    push(&mut queue, 8, 1000 * MS, now);
    let idle = queue.outlook(&spec(now), now);
    for _ in 0..20 {
        push(&mut queue, 8, 1000 * MS, now);
        let call = queue.take(now).unwrap();
        now += 360 * MS;
        let events = queue.finish(&call, made(&call), now);
        let batch::Event::Done(_, handles) = &events[0] else {
            panic!("{events:?}");
        };
        for handle in handles {
            queue.free(handle);
        }
    }
    let loaded = queue.outlook(&spec(now), now);
    assert!(loaded > 3 * idle, "{idle:?} {loaded:?}");
    // A job on time is not held up by that.
    assert!(queue.outlook(&spec(now + 2000 * MS), now) < loaded / 2);
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
    assert!(queue.take(now).is_some(), "the others are done");
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Push(u32),
    Take,
    End(u8),
    Free,
    Wait(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1u32..12).prop_map(Step::Push),
        Just(Step::Take),
        (0u8..6).prop_map(Step::End),
        Just(Step::Free),
        (1u32..400).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Whatever happens, each job ends once, no call exceeds its batch, and what is accounted at a
    /// target never exceeds its room by more than what was lost there.
    #[test]
    fn each_job_ends_once(steps in steps()) {
        let mut now = Instant::now();
        let mut queue = queue(2);
        let mut open = std::collections::HashSet::new();
        let mut calls: Vec<batch::Call> = Vec::new();
        let mut held = Vec::new();
        let mut events = Vec::new();
        for step in steps {
            match step {
                Step::Push(pieces) => {
                    open.insert(push(&mut queue, pieces, 700 * MS, now));
                }
                Step::Take => calls.extend(queue.take(now)),
                Step::End(kind) => {
                    let Some(call) = calls.pop() else { continue };
                    prop_assert!(call.pieces.len() <= SHAPE.pieces);
                    events.extend(match kind {
                        0 => queue.abandon(&call, true, now),
                        1 => queue.abandon(&call, false, now),
                        2 => queue.finish(&call, all(&call, batch::Outcome::NoRoom), now),
                        3 => queue.finish(&call, all(&call, batch::Outcome::Gone), now),
                        _ => queue.finish(&call, made(&call), now),
                    });
                }
                Step::Free => {
                    if let Some(handle) = held.pop() {
                        queue.free(&handle);
                    }
                }
                Step::Wait(millis) => {
                    now += millis * MS;
                    events.extend(queue.expire(now));
                }
            }
            for event in events.drain(..) {
                match event {
                    batch::Event::Done(key, handles) => {
                        prop_assert!(open.remove(&key));
                        held.extend(handles);
                    }
                    batch::Event::Failed(key, _) => prop_assert!(open.remove(&key)),
                    batch::Event::Orphan(handle) => {
                        queue.free(&handle);
                    }
                }
            }
        }
        // Time ends all that is left.
        for call in calls {
            queue.abandon(&call, false, now);
        }
        for event in queue.expire(now + 10_000 * MS) {
            if let batch::Event::Failed(key, _) = event {
                prop_assert!(open.remove(&key));
            }
        }
        prop_assert!(open.is_empty());
        prop_assert_eq!(queue.waiting(), 0);
    }
}

// Inputs may be freed once they were read. When that is can be told only of a call whose turn comes
// at once; behind one that was given up it may come much later, and would find its inputs gone.
#[test]
fn only_calls_after_an_answered_one_tell_when_they_have_read() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 1000 * MS, now);
    let call = queue.take(now).unwrap();
    assert_eq!(
        queue.engines.reading(call.engine),
        None,
        "none was answered"
    );
    queue.finish(&call, made(&call), now + 300 * MS);
    let read = queue.engines.reading(call.engine).unwrap();
    assert!(read > time::Duration::ZERO && read < SHAPE.call);
    push(&mut queue, 4, 1000 * MS, now);
    let call = queue.take(now + 300 * MS).unwrap();
    queue.abandon(&call, true, now + 900 * MS);
    assert_eq!(
        queue.engines.reading(call.engine),
        None,
        "the last was given up"
    );
}
