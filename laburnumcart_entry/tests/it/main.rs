//! Tests of the entry against small agents of their own.

mod agent;
mod bench;
mod doubt;
mod relay;
mod requests;
