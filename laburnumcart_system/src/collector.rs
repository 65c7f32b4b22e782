//! A collector of traces, as far as tests need one: OTLP over HTTP, JSON.

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

const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";

/// One span as it came in.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Span {
    /// Process that sent it.
    #[serde(skip)]
    pub instance: String,
    /// Trace that it belongs to.
    pub trace_id: String,
    /// Its identity in the trace.
    pub span_id: String,
    /// Span that it is a child of; empty for a root.
    #[serde(default)]
    pub parent_span_id: String,
    /// Name.
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

/// A running collector; it ends when it is dropped.
#[derive(Debug)]
pub struct Collector {
    /// Address that it listens on.
    pub addr: net::SocketAddr,
    spans: Arc<Mutex<Vec<Span>>>,
    task: task::JoinHandle<()>,
}

impl Collector {
    /// Starts a collector on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port can be had.
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

    /// Returns what has come in so far.
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

/// Serves the exports of one connection until it ends.
async fn serve(stream: tokio::net::TcpStream, spans: Arc<Mutex<Vec<Span>>>) {
    let mut stream = io::BufReader::new(stream);
    while let Some(body) = read(&mut stream).await {
        lock(&spans).extend(parse(&body));
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Reads the body of one export; `None` at the end of the connection.
async fn read(stream: &mut io::BufReader<tokio::net::TcpStream>) -> Option<Vec<u8>> {
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

fn parse(body: &[u8]) -> Vec<Span> {
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
