//! The bundle in force in this process, and how it gets here.
//!
//! The control thread runs [`run`], which follows the head in the object service and asks peers
//! where that falls short. Everything else holds a [`Feed`] and reads from it without waiting.

pub use counters::Failure;
pub use feed::{
    Feed,
    Snapshot, //
};
pub use options::{
    Options,
    Timing, //
};
pub use peers::{
    PeerError,
    Peers,
    RpcPeers, //
};
pub use run::run;

mod counters;
mod feed;
mod follow;
mod gather;
mod options;
mod peers;
mod run;
