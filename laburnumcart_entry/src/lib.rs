//! Entry daemon: callers' requests, pipelines and routing.

pub mod claims;
