//! Load generator: open-loop load on the system or, as a baseline, directly on the targets.

pub mod cost;
pub mod plan;
pub mod report;
pub mod run;

mod baseline;
mod case;
mod faults;
mod system;
