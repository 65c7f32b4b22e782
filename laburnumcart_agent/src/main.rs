//! Starts an agent.

fn main() {}
