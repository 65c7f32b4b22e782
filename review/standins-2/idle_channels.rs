//! Case 8: channels that clients keep for their next request shut out all new ones.

mod engines;
mod gateways;
mod http;
mod json;
mod record;
mod store;

use std::{
    env, fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Descriptors of the machine, the fewest on any sheet; 200 of them are for files.
const DESCRIPTORS: u32 = 3075;

/// Channels that clients keep open, at most the descriptors that are left less some for the machine.
const KEPT: usize = 2_400;

/// Clients that try to open a channel, and how often each tries.
const NEW_CLIENTS: usize = 10;

/// `contact_ms` of the sheet, and the time for which a client waits for its request to be read.
const CONTACT: Duration = Duration::from_millis(4_000);
const PATIENCE: Duration = Duration::from_millis(1_000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":2,"service":"plain","max_attempts":2,"anonymous":true}],"services":[{"name":"plain","health_path":"/health","max_connections":220,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

fn request(attempt: &str) -> String {
    format!("GET /look/x HTTP/1.1\r\nHost: desk.example\r\nX-Laburnumcart-Attempt-Id: {attempt}\r\nX-Laburnumcart-Deadline-Ms: 1000\r\n\r\n")
}

/// Opens a channel, has one request served and keeps the channel.
fn keep_channel(addr: SocketAddr, attempt: &str) -> Option<(TcpStream, u16)> {
    let stream = TcpStream::connect_timeout(&addr, PATIENCE).ok()?;
    (&stream).write_all(request(attempt).as_bytes()).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let answer = http::Reader::new(stream.try_clone().ok()?).read().ok()??;
    Some((stream, answer.status()))
}

fn main() {
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = env::temp_dir().join(format!("review-idle-channels-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = record::Record::create(&env::var("RECORD").unwrap_or_else(|_| "record.txt".into()));
    let store = store::Store::default();
    let common = gateways::Settings { store: store.start(), folder: folder.clone(), descriptors: DESCRIPTORS, store_writes: 1200, retry_extra: 92 };
    store.put("config", "main", CONFIG);
    let runs = engines::Runs::default();
    for number in 1..=3 {
        engines::start(&store, "plain", engines::Kind::Plain, "zone-a", number, &record, &runs);
    }
    let mut machine = gateways::Gateway::new("frontend-zone-a-1", "zone-a", 0.068, &common);
    machine.start();
    let is_ready = machine.wait_ready(Duration::from_secs(20));
    let addr = machine.callers;
    let kept: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    if trouble {
        let threads = (0..20).map(|part| {
            let (kept, record) = (kept.clone(), record.clone());
            thread::spawn(move || {
                for number in 0..KEPT / 20 {
                    let attempt = format!("kept-{part}-{number}");
                    match keep_channel(addr, &attempt) {
                        Some((stream, status)) => {
                            record.line(&format!("client got {attempt} status={status}, keeps its channel"));
                            kept.lock().unwrap().push(stream);
                        }
                        None => {
                            record.line(&format!("client {attempt} got no answer, closes its channel"));
                            return;
                        }
                    }
                }
            })
        });
        let threads: Vec<_> = threads.collect();
        threads.into_iter().for_each(|t| drop(t.join()));
    }
    record.say(&format!("ready={is_ready}, channels that are kept: {}", kept.lock().unwrap().len()));
    let results: Arc<Mutex<Vec<bool>>> = Arc::default();
    let start = Instant::now();
    let threads = (0..NEW_CLIENTS).map(|client| {
        let (results, record) = (results.clone(), record.clone());
        thread::spawn(move || {
            let mut number = 0;
            while start.elapsed() < CONTACT + PATIENCE {
                number += 1;
                let attempt = format!("new-{client}-{number}");
                record.line(&format!("client opens a channel for {attempt}"));
                let answer = http::call(addr, &request(&attempt), PATIENCE);
                let status = answer.map_or(0, |a| a.status());
                record.line(&format!("client got {attempt} status={status}"));
                results.lock().unwrap().push(status != 0);
                thread::sleep(Duration::from_millis(100));
            }
        })
    });
    let threads: Vec<_> = threads.collect();
    let mut is_always_ready = true;
    while start.elapsed() < CONTACT + PATIENCE {
        let ready = machine.is_ready();
        record.line(&format!("platform asks whether the machine is ready: {ready}"));
        is_always_ready &= ready;
        thread::sleep(Duration::from_secs(1));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let results = results.lock().unwrap();
    let answered = results.iter().filter(|a| **a).count();
    record.say(&format!("{NEW_CLIENTS} new clients, {} new channels, {answered} were answered; the machine always said ready={is_always_ready}", results.len()));
    drop(machine);
    let _ = fs::remove_dir_all(&folder);
    let is_broken = answered == 0 && is_always_ready;
    let code = if !is_ready { 2 } else { i32::from(is_broken) };
    record.say(&format!("exit {code}"));
    process::exit(code);
}
