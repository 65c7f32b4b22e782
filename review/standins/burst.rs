//! Requests with large bodies, as many at once as a burst brings.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{Run, http, plain, store, system};

/// Clients before the burst; each has one request at a time.
const CLIENTS: usize = 8;
/// The site's largest burst, as a multiple of the traffic, and its length.
const BURST: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_secs(7);
const CALM_TIME: Duration = Duration::from_secs(6);
/// Bytes of a body; the configuration allows 4,194,304.
const BODY: usize = 4_000_000;
/// Pause between the beginnings of two requests of a client.
const PERIOD: Duration = Duration::from_millis(2500);
/// Work of an engine on a request, and what client and route allow.
const WORK: Duration = Duration::from_millis(2000);
const DEADLINE: Duration = Duration::from_millis(8000);
const ENGINES: usize = 5;

pub fn run(run: &Run) -> i32 {
    let store = store::Store::start("127.0.0.1");
    let runs = plain::Runs::default();
    for i in 0..ENGINES {
        let zone = format!("z-{}", i % 2 + 1);
        let place = ("posts", zone.as_str());
        plain::start_engine(&store, &format!("i-engine{i}"), place, WORK, &runs, &run.record);
    }
    let open = ",\"anonymous\":true";
    let route = plain::route("r-post", "/post/", "non_idempotent", "posts", 8000, open);
    let config = system::config(1, &[route], &[system::service("posts", 100)], "");
    store.put("config", "main", &config);
    let Some(mut gateways) = system::start_gateways(run, &store, 2, system::BOUNDS) else {
        return 2;
    };
    let sender = plain::Sender {
        addr: gateways[0].callers,
        host: "desk.example",
        deadline: DEADLINE,
        sent: Arc::new(Mutex::new(Vec::new())),
        record: run.record.clone(),
    };
    let calm = Instant::now() + CALM_TIME;
    let end = calm + BURST_TIME;
    let all = match run.has_trouble {
        true => (CLIENTS as f64 * BURST) as usize,
        false => CLIENTS,
    };
    let client = |i: usize| {
        let start = match i < CLIENTS {
            true => Instant::now(),
            false => calm,
        };
        // The clients begin one after the other, so that no link is full.
        let start = start + PERIOD * i as u32 / all as u32;
        let sender = sender.clone();
        thread::spawn(move || send_until(&sender, start, end))
    };
    let clients: Vec<_> = (0..all).map(client).collect();
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    if gateways.iter_mut().any(system::Gateway::has_ended) {
        run.record.line("a gateway has ended");
    }
    judge(run, &sender.sent.lock().unwrap(), &runs)
}

fn send_until(sender: &plain::Sender, start: Instant, end: Instant) {
    thread::sleep(start.saturating_duration_since(Instant::now()));
    let mut client = http::Client::new(sender.addr);
    let large = vec![b'x'; BODY];
    let mut next = Instant::now();
    while next < end {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if client.answered == 0 {
            // The first request on a channel is small.
            sender.send(&mut client, "/post/a", "", b"{}");
        }
        sender.send(&mut client, "/post/a", "", &large);
        next = (next + PERIOD).max(Instant::now());
    }
}

/// LOST: requests from a kept channel that were passed on to a sound engine, and whose channel was
/// closed without an answer before the deadline; more than three break the rule.
fn judge(run: &Run, sent: &[plain::Sent], runs: &plain::Runs) -> i32 {
    let runs = runs.lock().unwrap();
    let is_lost = |s: &&plain::Sent| {
        s.is_kept && s.is_cut() && s.taken < DEADLINE && runs.contains_key(&s.id)
    };
    let lost: Vec<_> = sent.iter().filter(is_lost).collect();
    for request in &lost {
        let ran = &runs[&request.id][0];
        run.record.line(format!(
            "lost: {} sent at {:.3} on a kept channel, run by {} from {:.3}, channel closed after \
             {:.2?} without an answer",
            request.id, request.at, ran.engine, ran.at, request.taken
        ));
    }
    let with = |status| sent.iter().filter(|s| s.ended.status() == status).count();
    run.record.line(format!(
        "{} requests, {} answered, {} refused with 503, {} passed on and closed without an answer",
        sent.len(),
        with(200),
        with(503),
        lost.len()
    ));
    match with(200) {
        0 => 2,
        _ => i32::from(lost.len() > 3),
    }
}
