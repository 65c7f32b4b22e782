//! State of a stage that lasts across its attempts.

use std::net;

use serde_json::value;
use tokio::time;

use laburnumcart::{
    bundle,
    retry, //
};

/// State of a stage that lasts across its attempts.
pub(super) struct Progress<'a> {
    pub(super) stage: &'a bundle::Stage,
    pub(super) kind: bundle::Kind,
    pub(super) idempotent: bool,
    /// Whether the text is streamed to the caller.
    pub(super) streams: bool,
    pub(super) body: Box<value::RawValue>,
    /// Text received so far from all attempts; engines only.
    pub(super) received: String,
    /// Addresses of the agents that attempts were sent to, in order.
    pub(super) tried: Vec<net::SocketAddr>,
    /// Expected time of this stage and those after it.
    pub(super) needed: time::Duration,
    pub(super) attempts: retry::Attempts,
}
