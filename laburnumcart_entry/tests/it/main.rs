//! Tests of the entry against small agents of their own.

mod agent;
mod bench;
mod claims;
mod doubt;
mod members;
mod policy;
mod relay;
mod requests;
