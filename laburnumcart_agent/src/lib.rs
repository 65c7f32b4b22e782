//! Agent daemon, which runs beside each target.
//!
//! It admits attempts from entries, queues them, executes them at its target, keeps the results
//! until they are settled, and sends the target its load and unload orders.

pub mod agent;
mod control;
pub mod counters;
pub mod execute;
pub mod job;
pub mod run;
pub mod scheduler;
pub mod service;
pub mod settings;
pub mod shared;
pub mod snapshot;
pub mod target;
