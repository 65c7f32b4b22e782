//! Entry daemon: accepts callers' requests, runs their pipelines and routes stages to agents.

pub mod answers;
pub mod at_most_once;
pub mod callers;
pub mod claims;
pub mod control;
pub mod driver;
pub mod entry;
pub mod gossip;
pub mod links;
pub mod listing;
pub mod members;
pub mod metrics;
pub mod peers;
pub mod policy;
pub mod request;
pub mod routes;
pub mod run;
pub mod settings;
