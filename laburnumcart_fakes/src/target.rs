//! Stand-in targets: model engines, pools and plain services with set times and faults.

pub mod behaviour;
pub mod ledger;
pub mod settings;

mod cache;
mod core;
mod engine;
mod gate;
mod orders;
mod pool;
mod routes;
mod server;

pub use self::server::{
    Target,
    start, //
};
