//! Numbering of the connections between one caller and one agent.
//!
//! A connection can go silent for good while bytes of it are still under way. The caller then opens
//! a new one with the next session number. The agent refuses every call that names an older session
//! of the lane, so that a call which it has not seen by then can never start: "unknown" is a proof
//! of "not run", with a few numbers of state a lane.
//!
//! The caller sends nothing over a connection before `hello` was answered over it, as it would be
//! refused. It asks about an attempt only over a newer session than the one that carried it: the
//! agent works on the calls of one connection at once, so that the question can overtake the call.

use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::id;

/// Place of a connection in its lane; sent with every call that can start work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Life of the process that opened the lane.
    pub lane: id::Incarnation,
    /// Number of the connection within the lane, from 1.
    pub number: u64,
}
