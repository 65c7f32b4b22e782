//! Large answers, as many at once as a burst brings, beside small posts.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{Run, http, plain, store, system};

/// Clients that post, before and in the burst.
const POSTERS: usize = 12;
/// Clients that read large answers before the burst.
const READERS: usize = 4;
/// The site's largest burst, as a multiple of the traffic, and its length.
const BURST: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_secs(7);
const CALM_TIME: Duration = Duration::from_secs(6);
/// Size of an answer, and the parts in which its engine sends it, with the pause between them.
const ANSWER: usize = 7 << 20;
const PARTS: usize = 28;
const PAUSE: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(1500);
const DEADLINE: Duration = Duration::from_millis(8000);

fn answer_large(call: &http::Message, stream: &mut TcpStream) -> bool {
    let id = call.header("x-laburnumcart-attempt-id").unwrap_or("");
    if call.word(1) == "/health" {
        return http::write_message(stream, "HTTP/1.1 200 OK", &[], b"").is_ok();
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Laburnumcart-Attempt-Id: {id}\r\nX-Laburnumcart-Server-Stamp: s.1\r\n\
         Content-Length: {ANSWER}\r\n\r\n"
    );
    let part = vec![b'x'; ANSWER / PARTS];
    let mut sent = stream.write_all(head.as_bytes());
    for _ in 0..PARTS {
        sent = sent.and_then(|()| stream.write_all(&part));
        thread::sleep(PAUSE);
    }
    sent.is_ok()
}

pub fn run(run: &Run) -> i32 {
    let store = store::Store::start("127.0.0.1");
    let runs = plain::Runs::default();
    for i in 0..4 {
        let zone = format!("z-{}", i % 2 + 1);
        let place = ("posts", zone.as_str());
        plain::start_engine(&store, &format!("i-post{i}"), place, WORK, &runs, &run.record);
        let engine = system::start_engine(answer_large);
        let entry = system::entry("files", engine.addr, &zone, 6, "ready");
        store.put("servers", &format!("i-file{i}"), &entry);
    }
    let open = ",\"anonymous\":true";
    let routes = [
        plain::route("r-post", "/post/", "non_idempotent", "posts", 8000, open),
        plain::route("r-file", "/file/", "idempotent", "files", 8000, open),
    ];
    let services = [system::service("posts", 100), system::service("files", 100)];
    store.put("config", "main", &system::config(1, &routes, &services, ""));
    let Some(gateways) = system::start_gateways(run, &store, 2, system::BOUNDS) else {
        return 2;
    };
    let sender = plain::Sender {
        addr: gateways[0].callers,
        host: "desk.example",
        deadline: DEADLINE,
        sent: Arc::new(Mutex::new(Vec::new())),
        record: run.record.clone(),
    };
    let now = Instant::now();
    let (calm, end) = (now + CALM_TIME, now + CALM_TIME + BURST_TIME);
    let readers = match run.has_trouble {
        true => (READERS as f64 * BURST) as usize,
        false => READERS,
    };
    let client = |i: usize| {
        let sender = sender.clone();
        let (path, body, start) = match i {
            i if i < POSTERS => ("/post/a", vec![b'x'; 600], now),
            i if i < POSTERS + READERS => ("/file/a", Vec::new(), now),
            _ => ("/file/a", Vec::new(), calm),
        };
        let start = start + Duration::from_millis(100) * i as u32;
        thread::spawn(move || {
            thread::sleep(start.saturating_duration_since(Instant::now()));
            let mut client = http::Client::new(sender.addr);
            while Instant::now() < end {
                let begin = Instant::now();
                sender.send(&mut client, path, "", &body);
                // A client whose request was cut doesn't come again sooner.
                thread::sleep((begin + WORK).saturating_duration_since(Instant::now()));
            }
        })
    };
    let clients: Vec<_> = (0..POSTERS + readers).map(client).collect();
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    judge(run, &sender.sent.lock().unwrap(), &runs)
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
    let count = |path: &str, is_cut: bool| {
        let of = sent.iter().filter(|s| s.path == path && s.is_cut() == is_cut);
        of.count()
    };
    run.record.line(format!(
        "posts: {} answered, {} without an answer, {} of them from a kept channel and run; large \
         answers: {} whole, {} cut",
        count("/post/a", false),
        count("/post/a", true),
        lost.len(),
        count("/file/a", false),
        count("/file/a", true)
    ));
    match count("/post/a", false) {
        0 => 2,
        _ => i32::from(lost.len() > 3),
    }
}
