//! Demo of a complete system on one machine: settings of all processes and a load plan.

pub mod layout;
pub mod shape;

mod documents;
mod files;

pub use self::files::write;
