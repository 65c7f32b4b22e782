//! A change of the configuration that adds a route to engines which follow HTTP/1.1 to the letter.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{Run, http, plain, store, system};

const WATCHED: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(100);

fn config(version: u64, has_later: bool) -> String {
    let open = ",\"anonymous\":true";
    let mut routes = vec![plain::route("r-first", "/first/", "idempotent", "desk-a", 3000, open)];
    if has_later {
        routes.push(plain::route("r-later", "/later/", "idempotent", "desk-b", 3000, open));
    }
    let services = [system::service("desk-a", 100), system::service("desk-b", 100)];
    system::config(version, &routes, &services, "")
}

/// Starts an engine that refuses a request with more than one `Host` line, as RFC 9112, section
/// 3.2, demands of a server, and serves all others.
fn start_strict(store: &store::Store, name: &str, record: &system::Record) -> system::Engine {
    let (own, record) = (name.to_owned(), record.clone());
    let engine = system::start_engine(move |call, stream| {
        let lines = |name: &str| call.headers.iter().filter(|(n, _)| n == name).count();
        let id = call.header("x-laburnumcart-attempt-id").unwrap_or("").to_owned();
        let headers = [
            ("X-Laburnumcart-Instance-Id", own.as_str()),
            ("X-Laburnumcart-Attempt-Id", id.as_str()),
            ("X-Laburnumcart-Server-Stamp", "s.1"),
        ];
        if call.word(1) == "/health" {
            return http::write_message(stream, "HTTP/1.1 200 OK", &headers[..1], b"").is_ok();
        }
        if lines("host") != 1 {
            let all: Vec<_> = call.headers.iter().map(|(n, v)| format!("{n}: {v}")).collect();
            record.line(format!("{own} refuses a request with the lines [{}]", all.join(" | ")));
            let close = [("Connection", "close")];
            let _ = http::write_message(stream, "HTTP/1.1 400 Bad Request", &close, b"");
            return false;
        }
        record.line(format!("{own} runs {id}"));
        http::write_message(stream, "HTTP/1.1 200 OK", &headers, id.as_bytes()).is_ok()
    });
    store.put("servers", name, &system::entry("desk-b", engine.addr, "z-1", 6, "ready"));
    engine
}

pub fn run(run: &Run) -> i32 {
    let store = store::Store::start("127.0.0.1");
    let runs = plain::Runs::default();
    for name in ["i-engine1", "i-engine2"] {
        let place = ("desk-a", "z-1");
        plain::start_engine(&store, name, place, Duration::ZERO, &runs, &run.record);
    }
    let names = ["i-engine3", "i-engine4"];
    let strict = names.map(|name| start_strict(&store, name, &run.record));
    store.put("config", "main", &config(1, false));
    let Some(gateways) = system::start_gateways(run, &store, 2, system::BOUNDS) else {
        return 2;
    };
    let sender = plain::Sender {
        addr: gateways[0].callers,
        host: "desk.example",
        deadline: Duration::from_millis(3000),
        sent: Arc::new(Mutex::new(Vec::new())),
        record: run.record.clone(),
    };
    // The same request, sent to the engines themselves.
    for engine in &strict {
        let direct = plain::Sender { addr: engine.addr, ..sender.clone() };
        if direct.send(&mut http::Client::new(engine.addr), "/direct/a", "", b"{}") != 200 {
            run.record.line("an engine does not serve a proper request");
            return 2;
        }
    }
    let mut paths = vec!["/first/a"];
    if run.has_trouble {
        store.put("config", "main", &config(4, true));
        paths.push("/later/a");
        run.record.line("version 4 is confirmed: it adds the route /later/ to desk-b");
    }
    let confirmed = run.record.now();
    let end = Instant::now() + WATCHED;
    let mut client = http::Client::new(sender.addr);
    while Instant::now() < end {
        for path in &paths {
            sender.send(&mut client, path, "", b"{}");
        }
        thread::sleep(PAUSE);
    }
    judge(run, &sender.sent.lock().unwrap(), confirmed)
}

/// CONFIG: machines in touch get 20 or more requests on a route that was added later, and serve them
/// less than a quarter as often as those on the first routes.
fn judge(run: &Run, sent: &[plain::Sent], confirmed: f64) -> i32 {
    let on = |path: &'static str| {
        let late = sent.iter().filter(move |s| s.path == path && s.at > confirmed + 2.0);
        late.fold((0, 0), |(all, served), s| {
            (all + 1, served + u32::from(s.ended.status() == 200))
        })
    };
    let ((first, first_served), (later, later_served)) = (on("/first/a"), on("/later/a"));
    run.record.line(format!(
        "later than 2 s after the confirmation: /first/ {first} requests, {first_served} served; \
         /later/ {later} requests, {later_served} served"
    ));
    if first_served == 0 {
        return 2;
    }
    let share = |served: u32, all: u32| f64::from(served) / f64::from(all.max(1));
    let is_broken = share(later_served, later) < share(first_served, first) / 4.0;
    i32::from(later >= 20 && is_broken)
}
