//! The queue of pieces.

mod admission;
mod calls;
mod load;
mod order;
mod outlook;
mod support;
