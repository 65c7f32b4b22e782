//! An engine that starts again under its id after the time of day on its machine has jumped back.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{Run, http, plain, store, system};

/// Largest jump of the time of day on the site, in milliseconds.
const JUMP_MS: u128 = 2400;
/// Time for which a crashed engine is down.
const DOWN: Duration = Duration::from_millis(800);
/// Time for which it runs before it crashes.
const UP: Duration = Duration::from_millis(1200);
const DRAIN: f64 = 2.0;
/// Time for which the engine goes on after it has reported that it leaves.
const LEAVING: Duration = Duration::from_millis(4000);
const WORK: Duration = Duration::from_millis(300);
const CLIENTS: usize = 8;
const NAME: &str = "i-engine1";

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("after 1970").as_millis()
}

fn entry(engine: &system::Engine, state: &str, born: u128) -> String {
    let entry = system::entry("desk-a", engine.addr, "z-1", 6, state);
    format!("{},\"born\":{born}}}", entry.trim_end_matches('}'))
}

pub fn run(run: &Run) -> i32 {
    let store = store::Store::start("127.0.0.1");
    let runs = plain::Runs::default();
    let start = |name: &str| {
        plain::start_engine(&store, name, ("desk-a", "z-1"), WORK, &runs, &run.record)
    };
    for name in ["i-engine2", "i-engine3"] {
        let engine = start(name);
        store.put("servers", name, &entry(&engine, "ready", unix_ms()));
    }
    let open = ",\"anonymous\":true";
    let route = plain::route("r-post", "/post/", "non_idempotent", "desk-a", 3000, open);
    let config = system::config(1, &[route], &[system::service("desk-a", 100)], "");
    store.put("config", "main", &config);
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
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (sender, is_over) = (sender.clone(), is_over.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 * i as u64));
                let mut client = http::Client::new(sender.addr);
                while !is_over.load(Ordering::SeqCst) {
                    sender.send(&mut client, "/post/a", "", &[b'x'; 600]);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    // The engine starts while the time of day on its machine is ahead.
    let born = unix_ms() + if run.has_trouble { JUMP_MS } else { 0 };
    let (began, engine) = (Instant::now(), start(NAME));
    store.put("servers", NAME, &entry(&engine, "ready", born));
    run.record.line(format!("{NAME} starts, born {born}"));
    thread::sleep(UP.saturating_sub(began.elapsed()));
    run.record.line(format!("{NAME} crashes; the time of day is right again"));
    engine.end();
    thread::sleep(DOWN);
    engine.start();
    let born = unix_ms();
    store.put("servers", NAME, &entry(&engine, "ready", born));
    run.record.line(format!("{NAME} is back under its id, born {born}"));
    thread::sleep(Duration::from_secs(5));
    store.put("servers", NAME, &entry(&engine, "draining", born));
    let confirmed = run.record.now();
    run.record.line(format!("the store confirms that {NAME} is draining"));
    thread::sleep(LEAVING);
    let ended = run.record.now();
    engine.end();
    store.delete("servers", NAME);
    run.record.line(format!("{NAME} exits"));
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    judge(run, &sender.sent.lock().unwrap(), &runs, (confirmed, ended))
}

/// DRAIN: a request reaches the engine later than the bound after the confirmation.
fn judge(run: &Run, sent: &[plain::Sent], runs: &plain::Runs, (from, to): (f64, f64)) -> i32 {
    let runs = runs.lock().unwrap();
    let at_engine = |s: &plain::Sent| {
        let mut ran = runs.get(&s.id).into_iter().flatten();
        ran.find(|ran| ran.engine == NAME).map(|ran| ran.at)
    };
    let served = sent.iter().filter_map(at_engine).filter(|at| *at < from).count();
    let late = |s: &&plain::Sent| at_engine(s).is_some_and(|at| at > from + DRAIN && at < to);
    let late: Vec<_> = sent.iter().filter(late).collect();
    let lost = late.iter().filter(|s| s.ended.status() != 200).count();
    for request in &late {
        run.record.line(format!(
            "late: {} sent at {:.3} reaches {NAME} {:.3} s after the confirmation and ends with {}",
            request.id,
            request.at,
            at_engine(request).unwrap_or_default() - from,
            request.ended.status()
        ));
    }
    run.record.line(format!(
        "{} requests; {NAME} ran {served} before it was draining, {} later than {DRAIN} s after the \
         confirmation, {lost} of these without a success",
        sent.len(),
        late.len()
    ));
    i32::from(!late.is_empty())
}
