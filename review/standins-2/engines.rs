//! Engines of the platform: model engines, stage engines and plain ones.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{http, json, record::Record, store::Store};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Model,
    Stage,
    Plain,
}

/// What one engine is.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub kind: Kind,
    pub zone: String,
    pub addr: SocketAddr,
    record: Record,
    runs: Runs,
    turn: Arc<Mutex<()>>,
}

/// Runs of requests by attempt, over all engines.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, u32>>>);

impl Runs {
    fn add(&self, attempt: &str) {
        *self.0.lock().unwrap().entry(attempt.to_owned()).or_default() += 1;
    }

    pub fn of(&self, attempt: &str) -> u32 {
        self.0.lock().unwrap().get(attempt).copied().unwrap_or(0)
    }
}

static HANDLES: AtomicU64 = AtomicU64::new(0x5c1e_07a2);

/// Time of a call of a stage, and of each of its pieces.
const CALL: Duration = Duration::from_millis(200);
const PIECE: Duration = Duration::from_millis(14);

/// Starts an engine and registers it.
pub fn start(store: &Store, service: &str, kind: Kind, zone: &str, number: usize, record: &Record, runs: &Runs) -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let engine = Engine {
        id: format!("i-{service}{number}"),
        service: service.to_owned(),
        kind,
        zone: zone.to_owned(),
        addr,
        record: record.clone(),
        runs: runs.clone(),
        turn: Arc::default(),
    };
    engine.register(store, "ready");
    let served = engine.clone();
    http::serve(listener, move |request, stream| served.answer(request, stream));
    engine
}

impl Engine {
    /// Writes the engine's entry.
    pub fn register(&self, store: &Store, state: &str) {
        let slots = if self.kind == Kind::Stage { 1 } else { 64 };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"born\":1780000000000,\"sequence\":0}}",
            self.service, self.addr, self.zone
        );
        store.put("servers", &self.id, &entry);
    }

    fn head(&self, request: &http::Message) -> String {
        let echo = request.header("x-laburnumcart-attempt-id").unwrap_or("");
        format!("x-laburnumcart-attempt-id: {echo}\r\nx-laburnumcart-instance-load: 1,0,64\r\nkeep-alive: timeout=20\r\n")
    }

    fn answer(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.word();
        if path == "/api/report" || path == "/health" {
            let id = format!("x-laburnumcart-instance-id: {}\r\nx-laburnumcart-instance-load: 1,0,64\r\n", self.id);
            return http::respond(stream, "200 OK", &id, "{\"queued_requests\":0,\"busy\":false,\"free_mb\":30}");
        }
        if request.header("x-laburnumcart-expect-instance").is_some_and(|id| id != self.id) {
            let id = format!("{}x-laburnumcart-not-executed: 1\r\n", self.head(request));
            return http::respond(stream, "421 Misdirected Request", &id, "");
        }
        match path {
            "/api/stage-run" => self.run_pieces(request, stream),
            "/api/stage-free" => http::respond(stream, "200 OK", &self.head(request), ""),
            _ => self.run(request, stream),
        }
    }

    fn run_pieces(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let body = request.text();
        let items = json::elements(json::member(&body, "items").unwrap_or("[]"));
        let _turn = self.turn.lock().unwrap();
        thread::sleep(CALL + PIECE * items.len() as u32);
        let made = items.iter().map(|item| {
            let attempt = json::member(item, "id").map_or("", json::text);
            let part = |name| json::member(item, name).unwrap_or("-").to_owned();
            let handle = format!("{}/{:x}", self.addr, HANDLES.fetch_add(1, Ordering::Relaxed));
            self.record.line(&format!("piece run attempt={attempt} engine={} stage={} segment={} inputs={} handle={handle}", self.id, part("stage"), part("segment"), part("inputs")));
            format!("{{\"handle\":\"{handle}\"}}")
        });
        let made: Vec<_> = made.collect();
        let body = format!("{{\"items\":[{}]}}", made.join(","));
        http::respond(stream, "200 OK", &format!("{}content-type: application/json\r\n", self.head(request)), &body)
    }

    fn run(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let attempt = request.header("x-laburnumcart-attempt-id").unwrap_or("");
        self.runs.add(attempt);
        self.record.line(&format!("request run attempt={attempt} engine={} inputs={}", self.id, request.header("x-laburnumcart-inputs").unwrap_or("-")));
        let stamp = "x-laburnumcart-server-stamp: 3e1b.07\r\n";
        if self.kind == Kind::Plain {
            thread::sleep(Duration::from_millis(30));
            return http::respond(stream, "200 OK", &format!("{}{stamp}", self.head(request)), &format!("done {attempt}"));
        }
        let head = format!("HTTP/1.1 200 OK\r\n{}{stamp}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n", self.head(request));
        stream.write_all(head.as_bytes())?;
        for number in 1..=4 {
            thread::sleep(Duration::from_millis(20));
            let event = format!("id: {number}\ndata: {attempt}-{number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
