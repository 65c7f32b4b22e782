//! Case 6: all machines lose power, a few come back, and those serve no staged request.

mod engines;
mod gateways;
mod http;
mod json;
mod record;
mod store;

use std::{
    env, fs,
    net::SocketAddr,
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Processor share of a machine.
const CORES: f64 = 0.19;

/// Machines of the deployment, and those that come back after the fault.
const MACHINES: usize = 64;
const LEFT: usize = 4;

/// `recovery_s` of the sheet.
const RECOVERY: Duration = Duration::from_secs(15);

/// Share of the requests that has to be served before the fault, and after the recovery.
const SERVED: f64 = 0.25;

fn stage(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":810,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"segments\":{{\"slots\":1,\"queue\":2,\"batch\":12,\"call_ms\":200.0,\"item_ms\":14.0,\"headroom_mb\":27.0,\"handle_ttl_s\":4.0,\"link_mbps\":10000}}}}")
}

/// A pipeline like that of `acta-ingreso` and a look-up like `consulta-run`, with their figures.
fn config() -> String {
    let services = ["first", "second", "third"].map(stage).join(",");
    format!("{{\"version\":7,\"routes\":[{{\"name\":\"draft\",\"host\":\"desk.example\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":1900,\"priority\":1,\"service\":\"model\",\"max_attempts\":2,\"stages\":[{{\"service\":\"first\",\"after\":[],\"byte_count\":8000}},{{\"service\":\"second\",\"after\":[0],\"byte_count\":60000}},{{\"service\":\"third\",\"after\":[1],\"byte_count\":6000}}],\"anonymous\":true,\"resumable\":true,\"gap_target_ms\":500}},{{\"name\":\"look\",\"host\":\"desk.example\",\"path_prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"plain\",\"max_attempts\":2,\"anonymous\":true}}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":810,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":32,\"kv_cache_tokens\":439320}}}},{{\"name\":\"plain\",\"health_path\":\"/health\",\"max_connections\":680,\"cold_start_s\":0.0,\"cold_per_s\":0.0}},{services}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}")
}

fn request(kind: &str, attempt: &str) -> (String, Duration) {
    let head = format!("Host: desk.example\r\nX-Laburnumcart-Attempt-Id: {attempt}\r\n");
    match kind {
        "draft" => (
            format!("POST /draft/x HTTP/1.1\r\n{head}X-Laburnumcart-Deadline-Ms: 6000\r\nX-Laburnumcart-Model: m\r\nX-Laburnumcart-Token-Usage: 1460,80\r\nX-Laburnumcart-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Laburnumcart-Chunks: 1,6,10\r\nX-Laburnumcart-Chunk-Key: 7c1e07a291bd\r\nContent-Length: 0\r\n\r\n"),
            Duration::from_millis(6000),
        ),
        _ => (
            format!("GET /look/x HTTP/1.1\r\n{head}X-Laburnumcart-Deadline-Ms: 1500\r\n\r\n"),
            Duration::from_millis(1500),
        ),
    }
}

/// Sends four drafts and one look-up a second to each caller's address; returns the share that is
/// served.
fn load(label: &str, callers: &[SocketAddr], length: Duration, record: &record::Record) -> f64 {
    let results: Arc<Mutex<Vec<(&str, bool, u128)>>> = Arc::default();
    let (start, mut threads, mut number) = (Instant::now(), Vec::new(), 0);
    while start.elapsed() < length {
        for addr in callers.iter().copied() {
            number += 1;
            let kind = if number % 5 == 0 { "look" } else { "draft" };
            let attempt = format!("{label}-{number}");
            let (results, record) = (results.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let (request, limit) = request(kind, &attempt);
                record.line(&format!("client sends {attempt} {kind} to {addr}"));
                let sent = Instant::now();
                let answer = http::call(addr, &request, limit);
                let ms = sent.elapsed().as_millis();
                let status = answer.as_ref().map_or(0, http::Message::status);
                let text = answer.filter(|_| status != 200).map_or(String::new(), |a| a.text());
                record.line(&format!("client got {attempt} {kind} status={status} after {ms} ms {}", text.trim()));
                results.lock().unwrap().push((kind, status == 200, ms));
            }));
        }
        thread::sleep(Duration::from_millis(500));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let results = results.lock().unwrap();
    for kind in ["draft", "look"] {
        let mut times: Vec<_> = results.iter().filter(|r| r.0 == kind).collect();
        times.sort_by_key(|r| r.2);
        let served = times.iter().filter(|r| r.1).count();
        let median = times.get(times.len() / 2).map_or(0, |r| r.2);
        record.say(&format!("{label}: {kind}: {served} of {} served, median {median} ms", times.len()));
    }
    results.iter().filter(|r| r.1).count() as f64 / results.len().max(1) as f64
}

fn main() {
    let number = |name: &str, default: usize| env::var(name).ok().and_then(|l| l.parse().ok()).unwrap_or(default);
    let (count, left) = (number("MACHINES", MACHINES), number("LEFT", LEFT));
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = env::temp_dir().join(format!("review-dead-peers-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = record::Record::create(&env::var("RECORD").unwrap_or_else(|_| "record.txt".into()));
    let store = store::Store::default();
    let common = gateways::Settings { store: store.start(), folder: folder.clone(), descriptors: 4100, store_writes: 3200, retry_extra: 246 };
    store.put("config", "main", &config());
    let runs = engines::Runs::default();
    for service in ["model", "plain", "first", "second", "third"] {
        let kind = match service {
            "model" => engines::Kind::Model,
            "plain" => engines::Kind::Plain,
            _ => engines::Kind::Stage,
        };
        for number in 0..4 {
            engines::start(&store, service, kind, ZONES[number % 3], number + 1, &record, &runs);
        }
    }
    let machine = |n: usize| gateways::Gateway::new(&format!("frontend-{}-{}", ZONES[n % 3], n / 3 + 1), ZONES[n % 3], CORES, &common);
    let mut machines: Vec<_> = (0..count).map(machine).collect();
    machines.iter_mut().for_each(gateways::Gateway::start);
    let is_ready = machines.iter().all(|m| m.wait_ready(Duration::from_secs(20)));
    thread::sleep(Duration::from_secs(3));
    let members = store.names("gateways").len();
    record.say(&format!("{count} machines, ready={is_ready}, members={members}"));
    let callers: Vec<_> = machines[..left].iter().map(|m| m.callers).collect();
    let before = load("before", &callers, Duration::from_secs(6), &record);
    // The final fault: all machines lose power. Those that are lost for good answer nothing from now
    // on, and the others are back at once.
    if trouble {
        machines[left..].iter().for_each(|m| m.signal(gateways::STOP));
    }
    machines[..left].iter_mut().for_each(gateways::Gateway::end);
    thread::sleep(Duration::from_secs(1));
    machines[..left].iter_mut().for_each(gateways::Gateway::start);
    let is_back = machines[..left].iter().all(|m| m.wait_ready(Duration::from_secs(20)));
    let lost = if trouble { count - left } else { 0 };
    record.say(&format!("all machines have lost power; {left} are back, ready={is_back}; {lost} are lost for good"));
    load("recovery", &callers, RECOVERY, &record);
    let after = load("after", &callers, Duration::from_secs(20), &record);
    let ready = machines[..left].iter().all(gateways::Gateway::is_ready);
    record.say(&format!("served before {before:.3}, after {after:.3}; the machines that are back say ready={ready}"));
    drop(machines);
    let _ = fs::remove_dir_all(&folder);
    let code = match (is_ready && is_back && members == count && before >= SERVED, after < SERVED) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    record.say(&format!("exit {code}"));
    process::exit(code);
}
