//! Fakes of the platform, engines and services, and a load tool.

pub mod client;
pub mod demo;
pub mod expected;
pub mod load;
pub mod measure;
pub mod objects;
pub mod port;
pub mod program;
pub mod scripted;
pub mod store;
pub mod target;
