//! Requests of callers.

use std::net;

use serde_json::Value;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Pipeline to run.
    pub pipeline: &'a str,
    /// Bearer token.
    pub token: &'a str,
    /// JSON body.
    pub body: Value,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether to request a stream of events.
    pub events: bool,
    /// Value of the `traceparent` header.
    pub traceparent: Option<&'a str>,
}

impl<'a> Call<'a> {
    /// Describes a request for a JSON response without an idempotency key.
    pub fn new(pipeline: &'a str, token: &'a str, body: Value) -> Self {
        Self {
            pipeline,
            token,
            body,
            key: None,
            events: false,
            traceparent: None,
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Requests a stream of events.
    #[must_use]
    pub fn events(mut self) -> Self {
        self.events = true;
        self
    }

    /// Sets the caller's span.
    #[must_use]
    pub fn traceparent(mut self, parent: &'a str) -> Self {
        self.traceparent = Some(parent);
        self
    }

    /// Returns the HTTP request for the entry at `addr`.
    pub(super) fn request(&self, addr: net::SocketAddr) -> hyper::Request<String> {
        let uri = format!("http://{addr}/v1/pipelines/{}", self.pipeline);
        let mut request = hyper::Request::post(uri)
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.token));
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(parent) = self.traceparent {
            request = request.header("traceparent", parent);
        }
        if self.events {
            request = request.header("accept", "text/event-stream");
        }
        request.body(self.body.to_string()).expect("request")
    }
}
