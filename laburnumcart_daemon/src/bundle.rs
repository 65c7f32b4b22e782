//! Bundle synchronisation: the bundle in force in this process and how it is kept up to date.
//!
//! The control thread runs [`run`], which watches the head in the object service and falls back to
//! peers. All other code holds a [`Feed`] and reads from it without blocking.

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
mod fallback;
mod feed;
mod follow;
mod options;
mod peers;
mod run;
