//! Measurement of whole cases: the system against the baselines, alternated in one run.

pub mod case;
pub mod figures;
pub mod plot;
pub mod runner;
pub mod table;
