//! Settings of a whole system on one machine: what each process is given, and its load.

pub mod layout;
pub mod shape;

mod documents;
mod files;

pub use self::files::write;
