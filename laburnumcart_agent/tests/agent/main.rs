//! An agent over real connections, with a target that fails as each test says.

mod fixture;
mod phases;
mod sign;
mod target;
