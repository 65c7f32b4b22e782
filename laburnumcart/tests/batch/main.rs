//! The queue of pieces.

mod admission;
mod burst;
mod calls;
mod cost;
mod estimate;
mod load;
mod order;
mod owners;
mod support;
