//! Full calls, room, failures.

use std::time;

use laburnumcart::{
    batch,
    id,
    unit, //
};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::support::{
    MS,
    SHAPE,
    all,
    hold,
    made,
    push,
    queue, //
};

#[test]
fn a_call_takes_pieces_of_many_jobs() {
    let now = Instant::now();
    let mut queue = queue(1);
    let jobs = [3, 3, 2, 1].map(|pieces| push(&mut queue, pieces, 1000 * MS, now));
    let call = queue.next_call(now).unwrap();
    assert_eq!(call.pieces.len(), 8);
    assert!(queue.next_call(now).is_none(), "one call at a time");
    let events = queue.complete_call(&call, made(&call), now);
    assert_eq!(events.len(), 3);
    let call = queue.next_call(now).unwrap();
    let events = queue.complete_call(&call, made(&call), now);
    let batch::Event::Done(job, handles) = &events[0] else {
        panic!("{events:?}");
    };
    assert!(jobs.contains(job) && handles.len() == 1);
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
    let call = queue.next_call(now).unwrap();
    assert_eq!(call.pieces.len(), 6);
    let events = queue.complete_call(&call, made(&call), now);
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
    assert!(queue.next_call(now).is_none());
    for handle in &handles {
        queue.free_result(handle);
    }
    let call = queue.next_call(now).unwrap();
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
        let Some(call) = queue.next_call(now) else {
            break;
        };
        assert!(call.pieces.len() <= 3);
        done.extend(queue.complete_call(&call, made(&call), now));
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
    let sizes = [(); 2].map(|()| queue.next_call(now).unwrap().pieces.len());
    assert_eq!(sizes, [6, 6]);
}

#[test]
fn results_take_room_until_they_are_freed() {
    let now = Instant::now();
    let mut queue = queue(1);
    let handles = hold(&mut queue, now);
    for _ in 0..2 {
        push(&mut queue, 4, 1000 * MS, now);
    }
    let next = queue.next_call(now).unwrap();
    assert_eq!(next.pieces.len(), 4, "12 results fit, 8 lie there");
    queue.complete_call(&next, made(&next), now);
    assert!(queue.next_call(now).is_none());
    handles
        .iter()
        .for_each(|handle| assert!(queue.free_result(handle).is_some()));
    assert_eq!(queue.next_call(now).unwrap().pieces.len(), 4);
    assert!(queue.free_result(&handles[0]).is_none(), "freed once");
}

#[test]
fn results_expire() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    queue.complete_call(&call, made(&call), now);
    assert_eq!(queue.targets.used_bytes(call.target), unit::Size(8000));
    queue.expire(now + SHAPE.ttl);
    assert_eq!(queue.targets.used_bytes(call.target), unit::Size(0));
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
    let call = queue.next_call(now).unwrap();
    let events = queue.complete_call(&call, all(&call, batch::Outcome::NoRoom), now);
    assert!(events.is_empty());
    let next = queue.next_call(now).unwrap();
    assert_eq!(next.pieces.len(), 4);
    queue.complete_call(&next, all(&next, batch::Outcome::NoRoom), now);
    assert!(queue.next_call(now).is_none());
    let later = now + 600 * MS;
    queue.expire(later);
    assert!(
        queue.next_call(later).is_some(),
        "tried again after a while"
    );
}

// A target dies during a call. Its pieces go to the other one, and the job is done all the same.
#[test]
fn pieces_of_a_lost_call_go_elsewhere() {
    let now = Instant::now();
    let mut queue = queue(2);
    let job = push(&mut queue, 4, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert!(queue.fail_call(&call, true, now).is_empty());
    let other = queue.next_call(now).unwrap();
    assert_ne!(
        other.target, call.target,
        "the target that failed is paused"
    );
    let events = queue.complete_call(&other, made(&other), now);
    assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == job));
    // What the lost call may have made still takes room at its target.
    assert_eq!(queue.targets.used_bytes(call.target), unit::Size(4000));
}

// A piece that fails everywhere must not be sent for ever.
#[test]
fn a_job_that_fails_everywhere_is_given_up() {
    let start = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 1, 1000 * MS, start);
    for i in 1..100 {
        let now = start + i * 10 * MS;
        let Some(call) = queue.next_call(now) else {
            panic!("neither waiting nor given up");
        };
        let events = queue.complete_call(&call, all(&call, batch::Outcome::Failed), now);
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
    let call = queue.next_call(now).unwrap();
    let kept = batch::Handle::new("kept", id::Life(1));
    let outcomes = vec![batch::Outcome::Stored(kept.clone()), batch::Outcome::Gone];
    let events = queue.complete_call(&call, outcomes, now);
    let failed = batch::Event::Failed(job, batch::Failure::Gone);
    assert_eq!(events, [batch::Event::Orphan(kept), failed]);
}

// The caller leaves while its pieces are being made. The results that come later are freed.
#[test]
fn results_of_a_cancelled_job_are_orphans() {
    let now = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert!(queue.cancel(job).is_empty());
    let events = queue.complete_call(&call, made(&call), now);
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
    let call = queue.next_call(now).unwrap();
    let failed = batch::Event::Failed(waiting, batch::Failure::Unavailable);
    assert_eq!(queue.release_unstarted(), [failed]);
    let events = queue.complete_call(&call, made(&call), now);
    assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == running));
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
                Step::Take => calls.extend(queue.next_call(now)),
                Step::End(kind) => {
                    let Some(call) = calls.pop() else { continue };
                    prop_assert!(call.pieces.len() <= SHAPE.pieces);
                    events.extend(match kind {
                        0 => queue.fail_call(&call, true, now),
                        1 => queue.fail_call(&call, false, now),
                        2 => queue.complete_call(&call, all(&call, batch::Outcome::NoRoom), now),
                        3 => queue.complete_call(&call, all(&call, batch::Outcome::Gone), now),
                        _ => queue.complete_call(&call, made(&call), now),
                    });
                }
                Step::Free => {
                    if let Some(handle) = held.pop() {
                        queue.free_result(&handle);
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
                        queue.free_result(&handle);
                    }
                }
            }
        }
        // Time ends all that is left.
        for call in calls {
            queue.fail_call(&call, false, now);
        }
        for event in queue.expire(now + 10_000 * MS) {
            if let batch::Event::Failed(key, _) = event {
                prop_assert!(open.remove(&key));
            }
        }
        prop_assert!(open.is_empty());
        prop_assert_eq!(queue.waiting_pieces(), 0);
    }
}

// Inputs may be freed once they were read. When that is can be told only of a call whose turn comes
// at once; behind one that was given up it may come much later, and would find its inputs gone.
#[test]
fn only_calls_after_an_answered_one_tell_when_they_have_read() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert_eq!(
        queue.targets.input_read_time(call.target),
        None,
        "none was answered"
    );
    queue.complete_call(&call, made(&call), now + 300 * MS);
    let read = queue.targets.input_read_time(call.target).unwrap();
    assert!(read > time::Duration::ZERO && read < SHAPE.call_time);
    push(&mut queue, 4, 1000 * MS, now);
    let call = queue.next_call(now + 300 * MS).unwrap();
    queue.fail_call(&call, true, now + 900 * MS);
    assert_eq!(
        queue.targets.input_read_time(call.target),
        None,
        "the last was given up"
    );
}
