//! Session numbers of the connections from one caller process to one agent.
//!
//! A connection can go silent forever while bytes sent over it are still in flight. The caller then
//! opens a new connection with the next session number, and the agent refuses every call of an
//! older session of the lane. A call that the agent has not received by then can never start, so an
//! attempt unknown to the agent is proven not executed. This takes only a few numbers of state per
//! lane.
//!
//! The caller sends no other call over a connection before the answer to `hello`, as it would be
//! refused. It queries an attempt only over a newer session than the one that carried the attempt:
//! the agent handles the calls of one connection concurrently, so a query could overtake the call.

use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::id;

/// Identity of a connection in its lane; sent with every call that can start work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Incarnation of the process that opened the lane.
    pub lane: id::Incarnation,
    /// Number of the connection within the lane, from 1.
    pub number: u64,
}
