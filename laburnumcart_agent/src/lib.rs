//! Agent daemon: the one process of the system beside each target.
//!
//! It admits attempts from entries, queues them, executes them on its target, keeps the results
//! until they are settled, and gives the target its orders.

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
