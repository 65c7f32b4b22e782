//! A queue and what its targets make.

use std::time;

use laburnumcart::{
    batch,
    id,
    ingress,
    unit, //
};
use tokio::time::Instant;

pub(crate) const MS: time::Duration = time::Duration::from_millis(1);

pub(crate) const SHAPE: ingress::Batching = ingress::Batching {
    pieces: 8,
    call_time: time::Duration::from_millis(200),
    piece_time: time::Duration::from_millis(20),
    capacity: unit::Size(12_000),
    ttl: time::Duration::from_secs(4),
};

pub(crate) const SIZE: unit::Size = unit::Size(1000);

pub(crate) fn queue(targets: usize) -> batch::Queue {
    let mut queue = batch::Queue::new(SHAPE);
    for i in 0..targets {
        queue
            .targets
            .add(["north", "south"][i % 2].parse().unwrap());
    }
    queue
}

pub(crate) fn push(
    queue: &mut batch::Queue,
    pieces: u32,
    due: time::Duration,
    now: Instant,
) -> batch::JobKey {
    let spec = batch::Spec::new(pieces, SIZE, now + due).deadline(now + 5000 * MS);
    queue.push(spec)
}

pub(crate) fn made(call: &batch::Call) -> Vec<batch::Outcome> {
    let name = |p: &batch::Piece| format!("{:?}-{}-{:?}", p.job, p.index, call.target);
    let outcome = |p| batch::Outcome::Stored(batch::Handle::new(name(p), id::Life(1)));
    call.pieces.iter().map(outcome).collect()
}

pub(crate) fn all(call: &batch::Call, outcome: batch::Outcome) -> Vec<batch::Outcome> {
    vec![outcome; call.pieces.len()]
}

/// Has a job of eight pieces made; returns the results, which lie at its target.
pub(crate) fn hold(queue: &mut batch::Queue, now: Instant) -> Vec<batch::Handle> {
    push(queue, 8, 1000 * MS, now);
    let call = queue.next_call(now).unwrap();
    let events = queue.complete_call(&call, made(&call), now);
    let Ok([batch::Event::Done(_, handles)]) = <[_; 1]>::try_from(events) else {
        panic!("the job is done");
    };
    handles
}
