//! Load tool: open-loop load against the system or, as a baseline, straight to the targets.

pub mod cost;
pub mod plan;
pub mod report;
pub mod run;

mod baseline;
mod case;
mod faults;
mod system;
