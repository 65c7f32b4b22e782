//! The bundle in force in this process, and how it gets here.
//!
//! The control thread runs [`run`], which follows the head in the object service and asks peers
//! where that falls short. Everything else holds a [`Feed`] and reads from it without waiting.

pub use counters::Failure;
pub use feed::{
    Feed,
    Snapshot, //
};
pub use follow::run;
pub use options::{
    Options,
    Timing, //
};
pub use peers::{
    PeerError,
    Peers,
    Rpc, //
};

mod counters;
mod feed;
mod follow;
mod gather;
mod options;
mod peers;
