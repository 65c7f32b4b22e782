//! Minimal trace collector for tests: OTLP over HTTP with JSON bodies.

use std::{
    net,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use serde::Deserialize;
use tokio::{
    io::{
        self,
        AsyncBufReadExt,
        AsyncReadExt,
        AsyncWriteExt, //
    },
    task,
};

/// Response to every export.
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";

/// One received span.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Span {
    /// Instance that sent the span.
    #[serde(skip)]
    pub instance: String,
    /// ID of the trace.
    pub trace_id: String,
    /// ID of the span.
    pub span_id: String,
    /// ID of the parent span; empty for a root span.
    #[serde(default)]
    pub parent_span_id: String,
    /// Name of the span.
    pub name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Export {
    resource_spans: Vec<ResourceSpans>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ResourceSpans {
    resource: Resource,
    scope_spans: Vec<ScopeSpans>,
}

#[derive(Deserialize)]
struct Resource {
    attributes: Vec<Attribute>,
}

#[derive(Deserialize)]
struct Attribute {
    key: String,
    value: serde_json::Value,
}

#[derive(Deserialize)]
struct ScopeSpans {
    spans: Vec<Span>,
}

/// A running collector; it stops accepting connections when it is dropped.
#[derive(Debug)]
pub struct Collector {
    /// Address that the collector listens on.
    pub addr: net::SocketAddr,
    spans: Arc<Mutex<Vec<Span>>>,
    task: task::JoinHandle<()>,
}

impl Collector {
    /// Starts a collector on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let spans = Arc::<Mutex<Vec<Span>>>::default();
        let task = tokio::spawn({
            let spans = spans.clone();
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, spans.clone()));
                }
            }
        });
        Self { addr, spans, task }
    }

    /// Returns the spans received so far.
    pub fn spans(&self) -> Vec<Span> {
        lock(&self.spans).clone()
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(spans: &Mutex<Vec<Span>>) -> MutexGuard<'_, Vec<Span>> {
    spans.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the exports on one connection until it is closed.
async fn serve(stream: tokio::net::TcpStream, spans: Arc<Mutex<Vec<Span>>>) {
    let mut stream = io::BufReader::new(stream);
    while let Some(body) = read_body(&mut stream).await {
        lock(&spans).extend(parse_spans(&body));
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

/// Reads the body of one export; returns `None` when the connection is closed.
async fn read_body(stream: &mut io::BufReader<tokio::net::TcpStream>) -> Option<Vec<u8>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

fn parse_spans(body: &[u8]) -> Vec<Span> {
    let export: Export = serde_json::from_slice(body).expect("an export of spans");
    let mut all = Vec::new();
    for group in export.resource_spans {
        let name = |a: &&Attribute| a.key == "service.instance.id";
        let name = group.resource.attributes.iter().find(name);
        let name = name.and_then(|a| a.value["stringValue"].as_str());
        for mut span in group.scope_spans.into_iter().flat_map(|s| s.spans) {
            span.instance = name.unwrap_or_default().into();
            all.push(span);
        }
    }
    all
}
