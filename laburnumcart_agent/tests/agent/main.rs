//! Tests of an agent over real connections, with a target that fails as each test configures.

mod counters;
mod doubt;
mod fixture;
mod phases;
mod sign;
mod stopping;
mod suspects;
mod target;
