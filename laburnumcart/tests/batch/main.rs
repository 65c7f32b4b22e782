//! The queue of pieces.

mod calls;
mod order;
mod outlook;
mod support;
