//! The queue of pieces.

mod calls;
mod load;
mod order;
mod outlook;
mod support;
