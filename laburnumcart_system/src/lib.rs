//! Runs the real binaries as separate processes on loopback, for tests of the whole.

pub mod collector;
pub mod fleet;
pub mod http;
pub mod letters;
pub mod port;
pub mod process;
pub mod relay;
pub mod reply;
pub mod sample;
pub mod schema;
pub mod slopes;
pub mod wait;
