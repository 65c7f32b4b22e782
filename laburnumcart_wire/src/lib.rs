//! Messages between the system's own processes.
//!
//! An entry holds one lane to each agent that it routes to. A lane is a series of WebSocket
//! connections, each with a higher session number; see [`lane`].

pub mod agent;
pub mod entry;
pub mod gateway;
pub mod lane;
pub mod peer;
pub mod secret;
pub mod stage;
