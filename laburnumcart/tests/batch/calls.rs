//! Filling of calls, room for results, and failures.

use std::time;

use laburnumcart::{
    batch,
    id,
    unit, //
};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::support::{
    BATCHING,
    MS,
    push,
    queue,
    repeat,
    store_results,
    stored, //
};

#[test]
fn a_call_takes_pieces_of_many_jobs() {
    let now = Instant::now();
    let mut queue = queue(1);
    let jobs = [3, 3, 2, 1].map(|pieces| push(&mut queue, pieces, 1000 * MS, now));
    let call = queue.next_call(now).unwrap();
    assert_eq!(call.pieces.len(), 8);
    assert!(queue.next_call(now).is_none(), "one call at a time");
    let events = queue.complete_call(&call, stored(&call), now);
    assert_eq!(events.len(), 3);
    let call = queue.next_call(now).unwrap();
    let events = queue.complete_call(&call, stored(&call), now);
    let batch::Event::Done(job, handles) = &events[0] else {
        panic!("{events:?}");
    };
    assert!(jobs.contains(job) && handles.len() == 1);
}

// The results of a split job's first pieces would occupy room until another call does the rest.
#[test]
fn a_job_is_not_split_over_calls() {
    let now = Instant::now();
    let mut queue = queue(1);
    for _ in 0..3 {
        push(&mut queue, 3, 1000 * MS, now);
    }
    let call = queue.next_call(now).unwrap();
    assert_eq!(call.pieces.len(), 6);
    let events = queue.complete_call(&call, stored(&call), now);
    assert!(
        matches!(
            &events[..],
            [batch::Event::Done(..), batch::Event::Done(..)]
        ),
        "{events:?}"
    );
}

// Small jobs that use up all room as it is freed would starve jobs with many pieces.
#[test]
fn small_jobs_do_not_take_the_room_of_large_ones() {
    let now = Instant::now();
    let mut queue = queue(1);
    let handles = store_results(&mut queue, now);
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

// A job that waits for more room than a target has would never start.
#[test]
fn a_job_larger_than_the_capacity_is_split() {
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
        done.extend(queue.complete_call(&call, stored(&call), now));
        queue.expire(now + BATCHING.ttl);
    }
    assert!(
        matches!(&done[..], [batch::Event::Done(key, _)] if *key == job),
        "{done:?}"
    );
}

#[test]
fn waiting_pieces_are_spread_over_idle_targets() {
    let now = Instant::now();
    let mut queue = queue(2);
    push(&mut queue, 12, 1000 * MS, now);
    let sizes = [(); 2].map(|()| queue.next_call(now).unwrap().pieces.len());
    assert_eq!(sizes, [6, 6]);
}

#[test]
fn results_occupy_room_until_they_are_freed() {
    let now = Instant::now();
    let mut queue = queue(1);
    let handles = store_results(&mut queue, now);
    for _ in 0..2 {
        push(&mut queue, 4, 1000 * MS, now);
    }
    let next = queue.next_call(now).unwrap();
    assert_eq!(next.pieces.len(), 4, "room for 12 results, 8 are stored");
    queue.complete_call(&next, stored(&next), now);
    assert!(queue.next_call(now).is_none());
    handles
        .iter()
        .for_each(|handle| assert!(queue.free_result(handle).is_some()));
    assert_eq!(queue.next_call(now).unwrap().pieces.len(), 4);
    assert!(queue.free_result(&handles[0]).is_none(), "already freed");
}

#[test]
fn results_expire() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    queue.complete_call(&call, stored(&call), now);
    assert_eq!(queue.targets.used_bytes(call.target), unit::Size(8000));
    queue.expire(now + BATCHING.ttl);
    assert_eq!(queue.targets.used_bytes(call.target), unit::Size(0));
}

// Unknown results of an earlier owner occupy room; as many pieces at once would fail again.
#[test]
fn a_target_without_room_gets_fewer_pieces_for_a_while() {
    let now = Instant::now();
    let mut queue = queue(1);
    for _ in 0..2 {
        push(&mut queue, 4, 3000 * MS, now);
    }
    let call = queue.next_call(now).unwrap();
    let events = queue.complete_call(&call, repeat(&call, batch::Outcome::NoRoom), now);
    assert!(events.is_empty());
    let next = queue.next_call(now).unwrap();
    assert_eq!(next.pieces.len(), 4);
    queue.complete_call(&next, repeat(&next, batch::Outcome::NoRoom), now);
    assert!(queue.next_call(now).is_none());
    let later = now + 600 * MS;
    queue.expire(later);
    assert!(
        queue.next_call(later).is_some(),
        "the room is tried again later"
    );
}

// A target crashes during a call.
#[test]
fn pieces_of_a_failed_call_go_to_another_target() {
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
    let events = queue.complete_call(&other, stored(&other), now);
    assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == job));
    // Results that the failed call may have left still occupy room at its target.
    assert_eq!(queue.targets.used_bytes(call.target), unit::Size(4000));
}

// A piece that fails at every target must not be sent forever.
#[test]
fn a_job_fails_after_too_many_failed_sends() {
    let start = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 1, 1000 * MS, start);
    for i in 1..100 {
        let now = start + i * 10 * MS;
        let Some(call) = queue.next_call(now) else {
            panic!("the job is neither waiting nor failed");
        };
        let events = queue.complete_call(&call, repeat(&call, batch::Outcome::Failed), now);
        if !events.is_empty() {
            assert_eq!(events, [batch::Event::Failed(job, batch::Failure::Failed)]);
            return;
        }
    }
    panic!("the piece is sent forever");
}

// Results of a job that fails for a lost input would otherwise occupy room until they expire.
#[test]
fn results_of_a_failed_job_are_orphans() {
    let now = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    let handle = batch::Handle::new("result", id::Life(1));
    let outcomes = vec![batch::Outcome::Stored(handle.clone()), batch::Outcome::Gone];
    let events = queue.complete_call(&call, outcomes, now);
    let failed = batch::Event::Failed(job, batch::Failure::Gone);
    assert_eq!(events, [batch::Event::Orphan(handle), failed]);
}

// The caller disconnects while its pieces are in flight.
#[test]
fn results_of_a_cancelled_job_are_orphans() {
    let now = Instant::now();
    let mut queue = queue(1);
    let job = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert!(queue.cancel(job).is_empty());
    let events = queue.complete_call(&call, stored(&call), now);
    assert!(matches!(
        &events[..],
        [batch::Event::Orphan(_), batch::Event::Orphan(_)]
    ));
}

#[test]
fn jobs_fail_at_their_deadline() {
    let now = Instant::now();
    let mut queue = batch::Queue::new(BATCHING);
    let job = push(&mut queue, 2, 1000 * MS, now);
    assert!(queue.expire(now + 4999 * MS).is_empty());
    let late = batch::Event::Failed(job, batch::Failure::Late);
    assert_eq!(queue.expire(now + 5000 * MS), [late]);
}

// Jobs wholly in flight are completed by the leaving owner; the next one would execute them twice.
#[test]
fn a_leaving_owner_fails_only_jobs_with_waiting_pieces() {
    let now = Instant::now();
    let mut queue = queue(1);
    let running = push(&mut queue, 8, 900 * MS, now);
    let waiting = push(&mut queue, 2, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    let failed = batch::Event::Failed(waiting, batch::Failure::Unavailable);
    assert_eq!(queue.release_unstarted(), [failed]);
    let events = queue.complete_call(&call, stored(&call), now);
    assert!(matches!(&events[..], [batch::Event::Done(key, _)] if *key == running));
}

/// Step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Push(u32),
    Call,
    End(u8),
    Free,
    Wait(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1u32..12).prop_map(Step::Push),
        Just(Step::Call),
        (0u8..6).prop_map(Step::End),
        Just(Step::Free),
        (1u32..400).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Under any sequence of events, each job ends exactly once and no call exceeds the batch size.
    #[test]
    fn each_job_ends_once(steps in steps()) {
        let mut now = Instant::now();
        let mut queue = queue(2);
        let mut open = std::collections::HashSet::new();
        let mut calls: Vec<batch::Call> = Vec::new();
        let mut handles = Vec::new();
        let mut events = Vec::new();
        for step in steps {
            match step {
                Step::Push(pieces) => {
                    open.insert(push(&mut queue, pieces, 700 * MS, now));
                }
                Step::Call => calls.extend(queue.next_call(now)),
                Step::End(kind) => {
                    let Some(call) = calls.pop() else { continue };
                    prop_assert!(call.pieces.len() <= BATCHING.pieces);
                    events.extend(match kind {
                        0 => queue.fail_call(&call, true, now),
                        1 => queue.fail_call(&call, false, now),
                        2 => queue.complete_call(&call, repeat(&call, batch::Outcome::NoRoom), now),
                        3 => queue.complete_call(&call, repeat(&call, batch::Outcome::Gone), now),
                        _ => queue.complete_call(&call, stored(&call), now),
                    });
                }
                Step::Free => {
                    if let Some(handle) = handles.pop() {
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
                    batch::Event::Done(key, results) => {
                        prop_assert!(open.remove(&key));
                        handles.extend(results);
                    }
                    batch::Event::Failed(key, _) => prop_assert!(open.remove(&key)),
                    batch::Event::Orphan(handle) => {
                        queue.free_result(&handle);
                    }
                }
            }
        }
        // The remaining jobs end at their deadline.
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

// The call after an abandoned one reads its inputs late; they must not be freed before that.
#[test]
fn input_read_time_is_known_only_after_an_answered_call() {
    let now = Instant::now();
    let mut queue = queue(1);
    push(&mut queue, 8, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    assert_eq!(
        queue.targets.input_read_time(call.target),
        None,
        "no call was answered yet"
    );
    queue.complete_call(&call, stored(&call), now + 300 * MS);
    let read_time = queue.targets.input_read_time(call.target).unwrap();
    assert!(read_time > time::Duration::ZERO && read_time < BATCHING.call_time);
    push(&mut queue, 4, 1000 * MS, now);
    let call = queue.next_call(now + 300 * MS).unwrap();
    queue.fail_call(&call, true, now + 900 * MS);
    assert_eq!(
        queue.targets.input_read_time(call.target),
        None,
        "the last call failed"
    );
}
