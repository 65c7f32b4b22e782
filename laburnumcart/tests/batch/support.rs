//! Queues, jobs and outcomes shared by the tests of the batch queue.

use std::time;

use laburnumcart::{
    batch,
    id,
    ingress,
    unit, //
};
use tokio::time::Instant;

pub(crate) const MS: time::Duration = time::Duration::from_millis(1);

pub(crate) const BATCHING: ingress::Batching = ingress::Batching {
    pieces: 8,
    call_time: time::Duration::from_millis(200),
    piece_time: time::Duration::from_millis(20),
    capacity: unit::Size(12_000),
    ttl: time::Duration::from_secs(4),
};

pub(crate) const SIZE: unit::Size = unit::Size(1000);

pub(crate) fn queue(targets: usize) -> batch::Queue {
    let mut queue = batch::Queue::new(BATCHING);
    for i in 0..targets {
        queue
            .targets
            .add(["north", "south"][i % 2].parse().unwrap());
    }
    queue
}

/// Adds a job that is due after `due` and has a deadline of 5 s.
pub(crate) fn push(
    queue: &mut batch::Queue,
    pieces: u32,
    due: time::Duration,
    now: Instant,
) -> batch::JobKey {
    let spec = batch::Spec::new(pieces, SIZE, now + due).deadline(now + 5000 * MS);
    queue.push(spec)
}

/// Returns an outcome with a stored result for each piece of a call.
pub(crate) fn stored(call: &batch::Call) -> Vec<batch::Outcome> {
    let name = |p: &batch::Piece| format!("{:?}-{}-{:?}", p.job, p.index, call.target);
    let outcome = |p| batch::Outcome::Stored(batch::Handle::new(name(p), id::Life(1)));
    call.pieces.iter().map(outcome).collect()
}

/// Returns the same outcome for each piece of a call.
pub(crate) fn repeat(call: &batch::Call, outcome: batch::Outcome) -> Vec<batch::Outcome> {
    vec![outcome; call.pieces.len()]
}

/// Completes a job of eight pieces; returns its results, which stay at the target.
pub(crate) fn store_results(queue: &mut batch::Queue, now: Instant) -> Vec<batch::Handle> {
    push(queue, 8, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    let events = queue.complete_call(&call, stored(&call), now);
    let Ok([batch::Event::Done(_, handles)]) = <[_; 1]>::try_from(events) else {
        panic!("the job is not done");
    };
    handles
}
