//! HTTP client of the load tool and the tests, and a parser of event streams.

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy,
    rt, //
};

/// Error of a call that got no complete response.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum CallError {
    /// The connection failed, so nothing was sent.
    #[display("not connected")]
    NotConnected,
    /// The connection closed before the end of the response.
    #[display("connection lost")]
    Lost,
    /// The URL or a header is malformed.
    #[display("malformed call")]
    Malformed,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of `Retry-After` in seconds, if any.
    pub retry_after: Option<u64>,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Reads the body as JSON; `None` if it is not valid.
    pub fn json(&self) -> Option<serde_json::Value> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a GET call.
    pub async fn get(&self, url: &str) -> Result<Response, CallError> {
        self.send(http::Request::get(url), Bytes::new()).await
    }

    /// Sends a POST call.
    pub async fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response, CallError> {
        let builder = http::Request::post(url).header("content-type", "application/json");
        let call = headers
            .iter()
            .fold(builder, |call, (name, value)| call.header(*name, *value));
        self.send(call, body.into()).await
    }

    async fn send(&self, call: http::request::Builder, body: Bytes) -> Result<Response, CallError> {
        let call = call
            .body(Full::new(body))
            .map_err(|_| CallError::Malformed)?;
        let response = self.inner.request(call).await.map_err(call_error)?;
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = response.into_body().collect().await;
        Ok(Response {
            status,
            retry_after,
            body: body.map_err(|_| CallError::Lost)?.to_bytes(),
        })
    }
}

fn call_error(error: legacy::Error) -> CallError {
    if error.is_connect() {
        CallError::NotConnected
    } else {
        CallError::Lost
    }
}

/// One server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Event name, `message` by default.
    pub name: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Parses the complete events of a stream and ignores the text after the last blank line.
pub fn parse_events(text: &str) -> Vec<Event> {
    let Some((complete, _)) = text.rsplit_once("\n\n") else {
        return Vec::new();
    };
    complete.split("\n\n").map(parse_event).collect()
}

fn parse_event(text: &str) -> Event {
    let mut name = "message";
    let mut data = Vec::new();
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("event:") {
            name = rest.trim_start();
        } else if let Some(rest) = line.strip_prefix("data:") {
            data.push(rest.strip_prefix(' ').unwrap_or(rest));
        }
    }
    Event {
        name: name.into(),
        data: data.join("\n"),
    }
}

/// Joins the text of an engine's event stream; `None` if it does not finish with the end event.
pub fn join_stream(body: &[u8]) -> Option<String> {
    let events = parse_events(std::str::from_utf8(body).ok()?);
    let (end, pieces) = events.split_last()?;
    if end.name != "end" {
        return None;
    }
    let piece = |event: &Event| {
        let data: serde_json::Value = serde_json::from_str(&event.data).ok()?;
        data.get("text")?.as_str().map(String::from)
    };
    pieces.iter().map(piece).collect()
}
