//! Tests of the batch queue.

mod admission;
mod burst;
mod calls;
mod cost;
mod estimate;
mod locality;
mod ordering;
mod owners;
mod support;
