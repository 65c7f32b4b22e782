//! Client of the platform's object service.
//!
//! [`store::Store`] is the interface of the service. [`client::Client`] implements it over HTTP and
//! [`memory::Memory`] in memory, for tests; [`settle`] and [`follow`] work with any implementation.
//! [`replica`] serves a followed prefix to other processes. [`socket`] bounds what HTTP clients read.

mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
pub mod follow;
pub mod memory;
pub mod progress;
pub mod raw;
pub mod replica;
pub mod settle;
pub mod socket;
pub mod store;
