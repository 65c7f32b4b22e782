//! Runs the real binaries as separate processes on loopback, for tests of the whole.

pub mod cases;
mod files;
pub mod fleet;
pub mod http;
pub mod port;
pub mod process;
pub mod relay;
pub mod rollout;
pub mod sample;
pub mod schema;
pub mod wait;
