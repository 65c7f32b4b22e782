//! HTTP client for tests.

use std::{
    net,
    time, //
};

use http_body_util::BodyExt;
use hyper_util::{
    client::legacy,
    rt, //
};

/// Longest wait for one response.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Client that keeps no idle connections, so that requests fail once the server is killed.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body as text.
    pub body: String,
}

/// Reason why there is no complete response.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// The connection failed or was closed early.
    #[display("connection failed")]
    Connection,
    /// No response within the timeout.
    #[display("no response within the timeout")]
    Timeout,
}

impl Response {
    /// Parses the body as JSON; returns `null` if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Default for Client {
    fn default() -> Self {
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { inner }
    }
}

impl Client {
    /// Sends a request and reads the complete response.
    pub async fn send(&self, request: http::Request<String>) -> Result<Response, Failure> {
        let request = request.map(|body| http_body_util::Full::new(bytes::Bytes::from(body)));
        let call = async {
            let response = self.inner.request(request).await;
            let (parts, body) = response.map_err(|_| Failure::Connection)?.into_parts();
            let body = body.collect().await.map_err(|_| Failure::Connection)?;
            Ok(Response {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            })
        };
        tokio::time::timeout(TIMEOUT, call)
            .await
            .unwrap_or(Err(Failure::Timeout))
    }

    /// Sends a GET request.
    pub async fn get(&self, addr: net::SocketAddr, path: &str) -> Result<Response, Failure> {
        let request = http::Request::get(format!("http://{addr}{path}"));
        self.send(request.body(String::new()).expect("request"))
            .await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(
        &self,
        addr: net::SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<Response, Failure> {
        let request = http::Request::post(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        self.send(request.body(body.to_string()).expect("request"))
            .await
    }
}
