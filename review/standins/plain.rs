//! Engines of a plain service, and clients that send to it one request at a time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, store, system};

/// A request that an engine has begun to run.
#[derive(Clone, Debug)]
pub struct Ran {
    pub engine: String,
    pub service: String,
    pub at: f64,
}

/// Runs by the id of the request.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Ran>>>>;

/// Starts an engine that answers each request after `work`, and enters it in the store.
///
/// A body of up to a hundred bytes takes no time.
pub fn start_engine(
    store: &store::Store,
    name: &str,
    (service, zone): (&str, &str),
    work: Duration,
    runs: &Runs,
    record: &system::Record,
) -> system::Engine {
    let (runs, record) = (runs.clone(), record.clone());
    let (own, of) = (name.to_owned(), service.to_owned());
    let engine = system::start_engine(move |call, stream| {
        let id = call.header("x-laburnumcart-attempt-id").unwrap_or("").to_owned();
        let headers = [
            ("X-Laburnumcart-Instance-Id", own.as_str()),
            ("Keep-Alive", "timeout=15"),
            ("X-Laburnumcart-Attempt-Id", id.as_str()),
            ("X-Laburnumcart-Server-Stamp", "s.1"),
        ];
        if call.word(1) == "/health" {
            return http::write_message(stream, "HTTP/1.1 200 OK", &headers[..2], b"").is_ok();
        }
        let expected = call.header("x-laburnumcart-expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            let first = "HTTP/1.1 421 Misdirected Request";
            return http::write_message(stream, first, &headers[..3], b"").is_ok();
        }
        let at = record.now();
        record.line(format!("{own} of {of} runs {id}, {} bytes", call.body.len()));
        let ran = Ran { engine: own.clone(), service: of.clone(), at };
        runs.lock().unwrap().entry(id.clone()).or_default().push(ran);
        if call.body.len() > 100 {
            thread::sleep(work);
        }
        http::write_message(stream, "HTTP/1.1 200 OK", &headers, id.as_bytes()).is_ok()
    });
    store.put("servers", name, &system::entry(service, engine.addr, zone, 6, "ready"));
    engine
}

/// A request as its client saw it.
#[derive(Debug)]
pub struct Sent {
    pub id: String,
    pub path: String,
    pub at: f64,
    pub taken: Duration,
    /// Whether it was sent on a channel that had brought an answer.
    pub is_kept: bool,
    pub ended: http::Ended,
}

impl Sent {
    pub fn is_cut(&self) -> bool {
        matches!(self.ended, http::Ended::Cut(_))
    }
}

/// What clients send and where they note it.
#[derive(Clone)]
pub struct Sender {
    pub addr: SocketAddr,
    pub host: &'static str,
    pub deadline: Duration,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    pub record: system::Record,
}

static NUMBER: AtomicU64 = AtomicU64::new(0xa001);

impl Sender {
    /// Sends one request and notes how it ended; returns the status, 0 without an answer.
    pub fn send(&self, client: &mut http::Client, path: &str, key: &str, body: &[u8]) -> u16 {
        let id = format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![
            ("Host", self.host),
            ("X-Laburnumcart-Attempt-Id", id.as_str()),
            ("X-Laburnumcart-Deadline-Ms", deadline.as_str()),
        ];
        if !key.is_empty() {
            headers.push(("X-Api-Key", key));
        }
        let is_kept = client.is_open() && client.answered > 0;
        let (at, began) = (self.record.now(), Instant::now());
        let first = format!("POST {path} HTTP/1.1");
        let ended = client.send(&first, &headers, body, self.deadline + Duration::from_secs(2));
        let taken = began.elapsed();
        let text = match &ended {
            http::Ended::Answer(answer) => answer.first.clone(),
            http::Ended::Cut(cause) => format!("no answer ({cause})"),
        };
        self.record.line(format!(
            "client: {id} to {path} sent at {at:.3}, {} bytes, key {key:?}: {text} after {taken:.2?}",
            body.len()
        ));
        let status = ended.status();
        let path = path.to_owned();
        self.sent.lock().unwrap().push(Sent { id, path, at, taken, is_kept, ended });
        status
    }
}

/// Returns a route; `more` are further members.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":3000,\"priority\":1,\
         \"service\":\"{service}\",\"max_attempts\":1{more}}}"
    )
}
