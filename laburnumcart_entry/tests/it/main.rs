//! Integration tests of the entry against fake agents.

mod agent;
mod claims;
mod doubt;
mod fixture;
mod members;
mod policy;
mod relay;
mod requests;
