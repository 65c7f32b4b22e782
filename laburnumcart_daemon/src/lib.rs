//! Code shared by the daemons: command line, settings, logs, traces, metrics, bundle
//! synchronisation and graceful shutdown.

pub mod admin;
pub mod args;
pub mod bundle;
pub mod control;
pub mod launch;
pub mod logs;
pub mod metrics;
pub mod peer;
pub mod process;
pub mod settings;
pub mod stop;
pub mod traces;

pub use laburnumcart::event;
