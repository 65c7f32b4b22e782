//! Client of the platform's object service.
//!
//! [`store::Store`] is what the system asks of the service. [`client::Client`] reaches it over
//! HTTP, [`memory::Memory`] takes its place in tests; [`settle`] and [`follow`] work over both;
//! [`replica`] passes on what was followed.

mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
pub mod follow;
pub mod memory;
pub mod replica;
pub mod settle;
pub mod store;
