//! The bundle in force in this process, and how it gets here.
//!
//! The control thread runs [`run`], which follows the head in the object service and asks peers
//! where that falls short. Everything else holds a [`Feed`] and reads from it without waiting.

use laburnumcart::{
    document,
    seal, //
};

use crate::settings;

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

/// Returns the keys that a fleet trusts, whose settings stand at `$.fleet`.
pub fn trust(fleet: &settings::Fleet) -> Result<seal::Trust, document::Faults> {
    let at = document::Path::root().key("fleet");
    seal::Trust::new(fleet.keys.clone(), fleet.signers, &at)
}
