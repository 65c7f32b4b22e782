//! Measurement of load cases with the system and with the baselines in alternation.

pub mod case;
pub mod figures;
pub mod plot;
pub mod runner;
pub mod table;
