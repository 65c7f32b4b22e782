//! Client of the platform's object service.

pub mod store;
