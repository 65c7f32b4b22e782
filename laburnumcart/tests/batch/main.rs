//! The queue of pieces.

mod admission;
mod burst;
mod calls;
mod cost;
mod load;
mod order;
mod outlook;
mod owners;
mod support;
