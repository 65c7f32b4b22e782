//! Runs the real binaries as separate processes on loopback, for end-to-end tests.

pub mod case_requests;
pub mod collector;
mod files;
pub mod fleet;
pub mod http;
mod keygen;
pub mod text_requests;
pub use laburnumcart_fakes::port;
pub mod control_cost;
pub mod process;
pub mod relay;
pub mod reply;
pub mod rollout;
pub mod sample;
pub mod schema;
pub mod soak;
pub mod wait;
