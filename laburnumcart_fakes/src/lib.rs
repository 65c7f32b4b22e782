//! Stand-ins for the platform, engines and services, and a load tool.

pub mod client;
pub mod expected;
pub mod store;
pub mod target;
