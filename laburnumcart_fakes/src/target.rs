//! Fake targets: model engines, pools and plain services with configurable times and faults.

pub mod behaviour;
pub mod ledger;
pub mod settings;

mod cache;
mod engine;
mod orders;
mod pool;
mod routes;
mod server;
mod slots;
mod state;

pub use self::server::{
    Target,
    start, //
};
