//! Messages and connections between the processes of the system.
//!
//! An entry has one lane to each agent that it routes to: a series of WebSocket connections, each
//! with a higher session number than the one before; see [`lane`].

pub mod agent;
pub mod entry;
pub mod gateway;
pub mod lane;
pub mod peer;
pub mod route;
pub mod secret;
pub mod stage;
