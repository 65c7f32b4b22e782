//! Progress of one stage over its attempts.

use std::net;

use serde_json::value;
use tokio::time;

use laburnumcart::{
    bundle,
    retry, //
};

/// Progress of one stage over its attempts.
pub(super) struct Tries<'a> {
    pub(super) stage: &'a bundle::Stage,
    pub(super) kind: bundle::Kind,
    pub(super) idempotent: bool,
    /// Whether the text goes to the caller as it comes.
    pub(super) streams: bool,
    pub(super) body: Box<value::RawValue>,
    /// Text that earlier attempts have received; engines only.
    pub(super) received: String,
    /// Agents that attempts went to, the last one last.
    pub(super) tried: Vec<net::SocketAddr>,
    /// Least time that this stage and those after it need.
    pub(super) needed: time::Duration,
    pub(super) attempts: retry::Attempts,
}
